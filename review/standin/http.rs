//! HTTP/1.1 over blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a request or response, with field names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Word of the first line: method or status in a request or response.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> Result<usize> {
        let mut part = [0; 65_536];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length)
    }

    fn fill_or_fail(&mut self) -> Result<()> {
        if self.fill()? == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "connection closed"));
        }
        Ok(())
    }

    /// Reads one message. Fails with `UnexpectedEof` where the connection ends
    /// before the message is complete.
    pub fn read(&mut self) -> Result<Message> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            self.fill_or_fail()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
                message.fields.push(field);
            }
        }
        let chunked = message
            .get("transfer-encoding")
            .is_some_and(|value| value == "chunked");
        if chunked {
            loop {
                let line = self.line()?;
                let length = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| Error::new(ErrorKind::InvalidData, "chunk size"))?;
                while self.buffer.len() < length + 2 {
                    self.fill_or_fail()?;
                }
                message.body.extend_from_slice(&self.buffer[..length]);
                self.buffer.drain(..length + 2);
                if length == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message
            .get("content-length")
            .and_then(|value| value.parse().ok());
        if let Some(length) = length {
            while self.buffer.len() < length {
                self.fill_or_fail()?;
            }
            message.body = self.buffer.drain(..length).collect();
        }
        Ok(message)
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            self.fill_or_fail()?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request and reads the response.
    pub fn exchange(&mut self, request: &[u8], limit: Duration) -> Result<Message> {
        self.stream.set_read_timeout(Some(limit))?;
        self.write(request)?;
        self.read()
    }
}

/// Bytes of a response.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Bytes of a request.
pub fn request(method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
