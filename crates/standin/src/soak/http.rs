//! HTTP/1.1 messages over a TCP connection whose every byte the soak decides.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest number of header fields in a message.
const MAX_FIELDS: usize = 64;
const LINE_END: &[u8] = b"\r\n";
/// Time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How the end of a body is determined.
enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method of a request; empty in a response.
    pub method: String,
    /// Path of a request; empty in a response.
    pub path: String,
    /// Status of a response; zero in a request.
    pub status: u16,
    /// Header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

impl Message {
    /// Value of the first field with this name, in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A connection with the bytes that were read beyond the last message.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Connection {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        // Messages are small; without this option they would wait for more.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Those of the socket, or [`ErrorKind::TimedOut`].
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        Ok(Self::new(connected.map_err(|_| ErrorKind::TimedOut)??))
    }

    /// Writes bytes as they are.
    ///
    /// # Errors
    ///
    /// Those of the socket.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        // Without the option, the connection is closed in order.
        let _ = self.stream.set_zero_linger();
    }

    /// Reads one message.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnexpectedEof`] if the connection ends before the message is
    /// complete, [`ErrorKind::InvalidData`] if it is malformed, or an error of the
    /// socket.
    pub async fn read(&mut self) -> Result<Message> {
        loop {
            if let Some((mut message, length)) = parse(&self.buffer)? {
                self.buffer.advance(length);
                message.body = self.body(&message).await?;
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// Waits for the other end to close the connection, or for surplus bytes.
    pub async fn ended(&mut self) {
        // Either outcome ends the wait.
        let _ = self.fill().await;
    }

    async fn body(&mut self, head: &Message) -> Result<Bytes> {
        match framing(head)? {
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.fill().await?;
                }
                Ok(self.buffer.split_to(length).freeze())
            }
            Framing::Chunked => self.chunks().await,
            Framing::UntilClose => {
                while self.stream.read_buf(&mut self.buffer).await? > 0 {}
                Ok(self.buffer.split().freeze())
            }
        }
    }

    /// Reads a chunked body. Extensions and trailers, which neither end sends, are
    /// malformed.
    async fn chunks(&mut self) -> Result<Bytes> {
        let mut body = BytesMut::new();
        loop {
            // The parser takes a missing size for zero.
            let has_size = self.buffer.first().is_none_or(u8::is_ascii_hexdigit);
            let size = httparse::parse_chunk_size(&self.buffer);
            let Ok(httparse::Status::Complete((start, length))) = size else {
                size.map_err(|_| ErrorKind::InvalidData)?;
                self.fill().await?;
                continue;
            };
            let length = usize::try_from(length).map_err(|_| ErrorKind::InvalidData)?;
            while self.buffer.len() < start + length + LINE_END.len() {
                self.fill().await?;
            }
            self.buffer.advance(start);
            body.extend_from_slice(&self.buffer[..length]);
            self.buffer.advance(length);
            if !has_size || !self.buffer.starts_with(LINE_END) {
                return Err(ErrorKind::InvalidData.into());
            }
            self.buffer.advance(LINE_END.len());
            if length == 0 {
                return Ok(body.freeze());
            }
        }
    }

    async fn fill(&mut self) -> Result<()> {
        if self.stream.read_buf(&mut self.buffer).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }
}

/// Framing of a body by the head of its message.
fn framing(head: &Message) -> Result<Framing> {
    let values = |name: &'static str| {
        let fields = head.fields.iter();
        let found = fields.filter(move |(field, _)| field == name);
        found.map(|(_, value)| value.as_str()).collect::<Vec<_>>()
    };
    let is_request = !head.method.is_empty();
    if !is_request && !(200..600).contains(&head.status) {
        return Err(ErrorKind::InvalidData.into());
    }
    let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
    match (&*lengths, &*codings) {
        ([], []) if is_request || matches!(head.status, 204 | 304) => Ok(Framing::Length(0)),
        ([], []) => Ok(Framing::UntilClose),
        ([], [coding]) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
            let length = length.parse().map_err(|_| ErrorKind::InvalidData)?;
            Ok(Framing::Length(length))
        }
        _ => Err(ErrorKind::InvalidData.into()),
    }
}

/// Parses a head and returns it with its length, or `None` if it is incomplete.
fn parse(buffer: &[u8]) -> Result<Option<(Message, usize)>> {
    let malformed = |error: httparse::Error| Error::new(ErrorKind::InvalidData, error.to_string());
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut message = Message::default();
    let parsed = if buffer.starts_with(b"HTTP/") {
        let mut response = httparse::Response::new(&mut fields);
        let parsed = response.parse(buffer).map_err(malformed)?;
        message.status = response.code.unwrap_or(0);
        message.fields = owned(response.headers);
        parsed
    } else {
        let mut request = httparse::Request::new(&mut fields);
        let parsed = request.parse(buffer).map_err(malformed)?;
        request.method.unwrap_or("").clone_into(&mut message.method);
        request.path.unwrap_or("").clone_into(&mut message.path);
        message.fields = owned(request.headers);
        parsed
    };
    Ok(match parsed {
        httparse::Status::Complete(length) => Some((message, length)),
        httparse::Status::Partial => None,
    })
}

fn owned(fields: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let fields = fields.iter().filter(|field| !field.name.is_empty());
    let fields = fields.map(|field| {
        let value = String::from_utf8_lossy(field.value).into_owned();
        (field.name.to_ascii_lowercase(), value)
    });
    fields.collect()
}

/// Bytes of a request.
pub fn request(method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    message(&format!("{method} {path} HTTP/1.1"), fields, body)
}

/// Bytes of a response.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    message(&format!("HTTP/1.1 {status} Status"), fields, body)
}

fn message(first_line: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in fields {
        text.push_str(name);
        text.push_str(": ");
        text.push_str(value);
        text.push_str("\r\n");
    }
    text.push_str("content-length: ");
    text.push_str(&body.len().to_string());
    text.push_str("\r\n\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
