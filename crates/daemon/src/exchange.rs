//! HTTP/1.1 exchanges with the local target.
//!
//! Responses are read with the `httparse` parser instead of a client library.
//! A response without a length extends to the end of its connection, a response
//! to an earlier request is skipped, and a connection with bytes that belong to
//! no request is not reused. The available client libraries treat a response
//! without a length as empty, or deliver a late response to the next request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

mod head;

use head::{Framing, Head};

/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Largest number of response heads read for one request, interim responses and
/// responses to earlier requests included.
const MAX_RESPONSES: usize = 4;
/// Largest line with the size of a chunk, and largest trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Largest size of the lines between chunks per byte of data, beside
/// [`MAX_HEAD_BYTES`] for the whole body. A chunk of one byte needs five.
const MAX_FRAMING_PER_BYTE: usize = 8;
/// Idle time after which a connection is not used for a request that must not
/// be repeated. The target may close such a connection while the request is
/// sent, which leaves its outcome unknown.
const MAX_UNREPEATABLE_IDLE: Duration = Duration::from_millis(1_500);
/// Requests without a success after which a connection is closed rather than kept.
const MAX_UNSUCCESSFUL: usize = 64;

/// A request to the target.
#[derive(Debug)]
pub struct Request<'a> {
    /// Request line and header lines, with the empty line that ends them.
    pub head: &'a str,
    /// Complete body.
    pub body: &'a Bytes,
    /// Whether the response has no body, as for `HEAD`.
    pub head_only: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How the response to this request is recognised. With `None`, the first final
    /// response is taken.
    pub correlation: Option<Correlation<'a>>,
}

/// Header field by which the response to a request is told from late responses to
/// earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct Correlation<'a> {
    /// Name of the field, in lower case.
    pub name: &'a str,
    /// Value in the response to this request. Responses with another value are
    /// skipped.
    pub value: &'a str,
    /// Whether a response without the field is skipped too.
    pub required: bool,
}

impl Correlation<'_> {
    /// Whether a response whose field has this value, or that lacks the field, may
    /// be the one to this request.
    fn matches(self, value: Option<&str>) -> bool {
        value.map_or(!self.required, |value| value == self.value)
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header fields, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Complete body, without transfer encoding.
    pub body: Bytes,
    /// Late responses to earlier requests that were skipped before this one.
    pub late: u64,
}

/// Why there is no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was established, so nothing was sent.
    NotSent(String),
    /// The request may have been sent; whether it ran is unknown.
    Sent(String),
    /// The response body exceeds the limit.
    TooLarge,
}

/// An open connection to the target.
#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    /// Identifiers of requests on this connection whose response was no success,
    /// such as a rejection. Such a request may be sent to the target again, but not
    /// over this connection: a late copy of its first response could not be told
    /// from the response to the second sending. At most [`MAX_UNSUCCESSFUL`].
    unsuccessful: Vec<Arc<str>>,
}

/// A connection on which no request is open.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    address: SocketAddr,
    released_at: Instant,
    expires_at: Instant,
}

/// Idle connections to the target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
}

impl Pool {
    /// Closes every idle connection.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and reads its complete response. `connect` limits the time
    /// to establish a new connection, `limit` the response body in bytes. The
    /// caller limits the time of the exchange.
    ///
    /// # Errors
    ///
    /// [`Error`], which distinguishes whether the request may have run.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        connect: Duration,
        request: &Request<'_>,
        limit: usize,
    ) -> Result<Response, Error> {
        let mut connection = match self.checkout(address, request) {
            Some(connection) => connection,
            None => Connection::new(connect_to(address, connect).await?),
        };
        let (response, keep_for) = round_trip(&mut connection.stream, request, limit).await?;
        connection.record(request, response.status);
        if let Some(keep_for) = keep_for
            && connection.unsuccessful.len() < MAX_UNSUCCESSFUL
        {
            let now = Instant::now();
            self.idle.borrow_mut().push(Idle {
                connection,
                address,
                released_at: now,
                expires_at: now + keep_for,
            });
        }
        Ok(response)
    }

    /// Takes the most recently used connection on which the request may be sent,
    /// and which is open and has no unread bytes.
    fn checkout(&self, address: SocketAddr, request: &Request<'_>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| idle.expires_at > now && idle.address == address);
        let is_suitable = |idle: &Idle| {
            let idle_time = now.duration_since(idle.released_at);
            (request.repeatable || idle_time <= MAX_UNREPEATABLE_IDLE)
                && idle.connection.may_carry(request)
        };
        // Connections are released at the end of the list.
        while let Some(index) = idle.iter().rposition(is_suitable) {
            let connection = idle.remove(index).connection;
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }
}

impl Connection {
    const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unsuccessful: Vec::new(),
        }
    }

    /// Whether a late response on this connection can be told from the response to
    /// the request.
    fn may_carry(&self, request: &Request<'_>) -> bool {
        request.correlation.is_none_or(|field| {
            let mut carried = self.unsuccessful.iter();
            carried.all(|id| **id != *field.value)
        })
    }

    /// Records that a request was answered with this status.
    fn record(&mut self, request: &Request<'_>, status: u16) {
        if let Some(field) = request.correlation
            && !(200..300).contains(&status)
        {
            self.unsuccessful.push(field.value.into());
        }
    }

    /// Whether the connection is open and has no unread bytes.
    fn is_quiet(&self) -> bool {
        let mut probe = [0; 1];
        matches!(
            self.stream.try_read(&mut probe),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
        )
    }
}

async fn connect_to(address: SocketAddr, connect: Duration) -> Result<TcpStream, Error> {
    let not_sent = |detail: String| Error::NotSent(detail);
    let connected = timeout(connect, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| not_sent("connection timed out".to_owned()))?
        .map_err(|error| not_sent(error.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|error| not_sent(error.to_string()))?;
    Ok(stream)
}

/// Sends a request and reads its response. Also returns the time for which the
/// connection may be kept, or `None` if it must be closed.
async fn round_trip(
    stream: &mut TcpStream,
    request: &Request<'_>,
    limit: usize,
) -> Result<(Response, Option<Duration>), Error> {
    let (read_half, mut write_half) = stream.split();
    let mut message = Vec::with_capacity(request.head.len() + request.body.len());
    message.extend_from_slice(request.head.as_bytes());
    message.extend_from_slice(request.body);
    let mut reader = Reader {
        half: read_half,
        buffer: BytesMut::new(),
        late: 0,
    };
    let mut written = false;
    let head = {
        let write = write_half.write_all(&message);
        tokio::pin!(write);
        let read = reader.response_head(request, limit);
        tokio::pin!(read);
        loop {
            tokio::select! {
                biased;
                sent = &mut write, if !written => {
                    // After a failed write, a response may still be readable.
                    written = true;
                    if sent.is_err() {
                        break read.await?;
                    }
                }
                head = &mut read => break head?,
            }
        }
    };
    let body = reader.body(&head, request.head_only, limit).await?;
    let is_reusable = written && head.keep_alive && reader.buffer.is_empty();
    let keep_for = is_reusable
        .then_some(head.framing)
        .filter(|framing| !matches!(framing, Framing::UntilClose))
        .map(|_| head.keep_for);
    let response = Response {
        status: head.status,
        headers: head.headers,
        body,
        late: reader.late,
    };
    Ok((response, keep_for))
}

struct Reader<'a> {
    half: tokio::net::tcp::ReadHalf<'a>,
    buffer: BytesMut,
    /// Late responses that were skipped.
    late: u64,
}

impl Reader<'_> {
    /// Reads more bytes into the buffer. Returns zero at the end of the connection.
    async fn fill(&mut self) -> Result<usize, Error> {
        self.buffer.reserve(READ_BYTES);
        let read = self.half.read_buf(&mut self.buffer).await;
        read.map_err(|error| Error::Sent(error.to_string()))
    }

    async fn fill_or_fail(&mut self) -> Result<(), Error> {
        if self.fill().await? == 0 {
            return Err(Error::Sent(
                "connection closed before the response was complete".to_owned(),
            ));
        }
        Ok(())
    }

    /// Reads the head of the response to `request`. Skips interim responses and
    /// responses to earlier requests, with bodies of up to `limit` bytes.
    async fn response_head(&mut self, request: &Request<'_>, limit: usize) -> Result<Head, Error> {
        for _ in 0..MAX_RESPONSES {
            let head = self.head().await?;
            if (100..200).contains(&head.status) {
                continue;
            }
            let is_match = request
                .correlation
                .is_none_or(|field| field.matches(head.get(field.name)));
            if is_match {
                return Ok(head);
            }
            self.late += 1;
            self.body(&head, false, limit)
                .await
                .map_err(|error| match error {
                    // This is not the response to the request.
                    Error::TooLarge => Error::Sent("late response too large".to_owned()),
                    other => other,
                })?;
            if matches!(head.framing, Framing::UntilClose) {
                break;
            }
        }
        Err(Error::Sent("no response to this request".to_owned()))
    }

    async fn head(&mut self) -> Result<Head, Error> {
        loop {
            if let Some((head, length)) = head::parse(&self.buffer).map_err(Error::Sent)? {
                self.buffer.advance(length);
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(Error::Sent("response head too large".to_owned()));
            }
            self.fill_or_fail().await?;
        }
    }

    async fn body(&mut self, head: &Head, head_only: bool, limit: usize) -> Result<Bytes, Error> {
        if head_only || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(Bytes::new());
        }
        match head.framing {
            Framing::Length(length) if length > limit => Err(Error::TooLarge),
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.fill_or_fail().await?;
                }
                Ok(self.buffer.split_to(length).freeze())
            }
            Framing::Chunked => self.chunked_body(limit).await,
            Framing::UntilClose => {
                while self.fill().await? > 0 {
                    if self.buffer.len() > limit {
                        return Err(Error::TooLarge);
                    }
                }
                Ok(self.buffer.split().freeze())
            }
        }
    }

    async fn chunked_body(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        let mut framing_bytes = 0;
        loop {
            let (start, length) = self.chunk_size().await?;
            self.buffer.advance(start);
            if length == 0 {
                self.skip_trailers().await?;
                return Ok(body.freeze());
            }
            if length > limit.saturating_sub(body.len()) {
                return Err(Error::TooLarge);
            }
            while self.buffer.len() < length + 2 {
                self.fill_or_fail().await?;
            }
            if &self.buffer[length..length + 2] != b"\r\n" {
                return Err(Error::Sent("chunk longer than its size".to_owned()));
            }
            body.extend_from_slice(&self.buffer[..length]);
            self.buffer.advance(length + 2);
            framing_bytes += start + 2;
            if framing_bytes > MAX_HEAD_BYTES + body.len() * MAX_FRAMING_PER_BYTE {
                return Err(Error::Sent("chunk extensions too large".to_owned()));
            }
        }
    }

    /// Reads the line before a chunk. Returns its length and the size of the chunk,
    /// both in bytes.
    async fn chunk_size(&mut self) -> Result<(usize, usize), Error> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((start, length))) => {
                    return Ok((start, usize::try_from(length).unwrap_or(usize::MAX)));
                }
                Ok(httparse::Status::Partial) => self.fill_line().await?,
                Err(_) => return Err(Error::Sent("invalid chunk size".to_owned())),
            }
        }
    }

    /// Discards the trailer fields, up to and with the empty line.
    async fn skip_trailers(&mut self) -> Result<(), Error> {
        let mut skipped = 0;
        while skipped <= MAX_HEAD_BYTES {
            let end = self.buffer.windows(2).position(|pair| pair == b"\r\n");
            match end {
                Some(0) => {
                    self.buffer.advance(2);
                    return Ok(());
                }
                Some(end) => {
                    self.buffer.advance(end + 2);
                    skipped += end + 2;
                }
                None => self.fill_line().await?,
            }
        }
        Err(Error::Sent("trailer too large".to_owned()))
    }

    /// Reads more of the line that the buffer holds a part of.
    async fn fill_line(&mut self) -> Result<(), Error> {
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(Error::Sent("line of a chunked body too large".to_owned()));
        }
        self.fill_or_fail().await
    }
}
