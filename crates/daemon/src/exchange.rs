//! HTTP/1.1 exchanges with the target beside this daemon.
//!
//! Connections are read here on top of the `httparse` parser: an answer
//! without a length ends with its connection, an answer to an earlier
//! request is skipped, and a connection that showed bytes which belong to no
//! request is not used again. The client libraries at hand take an answer
//! without a length for an empty one, or hand a late answer to the next
//! request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Most header fields of an answer.
const MAX_FIELDS: usize = 64;
/// Largest head of an answer in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// Bytes that one read asks for.
const READ_SIZE: usize = 8 * 1024;
/// Answers to earlier requests that are skipped on one connection.
const MAX_SKIPPED: usize = 4;
/// Time for which an unused connection is kept where the target names none.
const KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Part of the target's own idle time-out for which a connection is kept.
const KEEP_SHARE: f64 = 0.7;
/// Unused time after which a connection no longer carries a request that may
/// not be repeated.
const FRESH: Duration = Duration::from_millis(1_500);

/// A request as it is sent.
#[derive(Debug)]
pub struct Outgoing<'a> {
    /// Method, path with query, and header lines, up to the empty line.
    pub head: &'a str,
    /// Whole body.
    pub body: &'a Bytes,
    /// Whether no answer with a body follows.
    pub bodyless: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Field that names the request in its answer, with its value there.
    pub identity: Option<(&'a str, &'a str)>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// Status.
    pub status: u16,
    /// Fields with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// The request was sent; whether it ran is unknown.
    Sent(String),
    /// The answer's body exceeds its limit.
    TooLarge,
}

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    address: SocketAddr,
    since: Instant,
    until: Instant,
}

/// Connections to the target that carry no request now.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
}

impl Pool {
    /// Closes every unused connection.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// [`Broken`].
    pub async fn exchange(
        &self,
        address: SocketAddr,
        connect: Duration,
        request: &Outgoing<'_>,
        limit: usize,
    ) -> Result<Incoming, Broken> {
        let mut stream = match self.take(address, request.repeatable) {
            Some(stream) => stream,
            None => open(address, connect).await?,
        };
        let (incoming, keep) = converse(&mut stream, request, limit).await?;
        if let Some(keep) = keep {
            let now = Instant::now();
            self.idle.borrow_mut().push(Idle {
                stream,
                address,
                since: now,
                until: now + keep,
            });
        }
        Ok(incoming)
    }

    /// Takes the connection that was used last and shows no sign of its end.
    fn take(&self, address: SocketAddr, repeatable: bool) -> Option<TcpStream> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| kept.until > now && kept.address == address);
        while let Some(kept) = idle.pop() {
            if !repeatable && now.duration_since(kept.since) > FRESH {
                idle.push(kept);
                return None;
            }
            let mut probe = [0; 1];
            let quiet = matches!(
                kept.stream.try_read(&mut probe),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
            );
            if quiet {
                return Some(kept.stream);
            }
        }
        None
    }
}

async fn open(address: SocketAddr, connect: Duration) -> Result<TcpStream, Broken> {
    let failed = |detail: String| Broken::NotSent(detail);
    let connected = timeout(connect, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| failed("the connection was not opened in time".to_owned()))?
        .map_err(|error| failed(error.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|error| failed(error.to_string()))?;
    Ok(stream)
}

/// Sends the request and reads its answer; gives the time for which the
/// connection may be kept, if it may.
async fn converse(
    stream: &mut TcpStream,
    request: &Outgoing<'_>,
    limit: usize,
) -> Result<(Incoming, Option<Duration>), Broken> {
    let (read_half, mut write_half) = stream.split();
    let mut wire = Vec::with_capacity(request.head.len() + request.body.len());
    wire.extend_from_slice(request.head.as_bytes());
    wire.extend_from_slice(request.body);
    let mut reader = Reader {
        half: read_half,
        buffer: BytesMut::new(),
    };
    let mut written = false;
    let head = {
        let write = write_half.write_all(&wire);
        tokio::pin!(write);
        let read = reader.answer_head(request);
        tokio::pin!(read);
        loop {
            tokio::select! {
                biased;
                sent = &mut write, if !written => {
                    // An answer may still be there to be read.
                    written = true;
                    if sent.is_err() {
                        break read.await?;
                    }
                }
                head = &mut read => break head?,
            }
        }
    };
    let body = reader.body(&head, request.bodyless, limit).await?;
    let keeps = written && head.keep_alive && reader.buffer.is_empty();
    let keep = keeps
        .then_some(head.framing)
        .filter(|framing| !matches!(framing, Framing::UntilEnd))
        .map(|_| head.keep_for);
    let incoming = Incoming {
        status: head.status,
        headers: head.headers,
        body,
    };
    Ok((incoming, keep))
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length(usize),
    Chunked,
    UntilEnd,
}

#[derive(Debug)]
struct Head {
    status: u16,
    headers: Vec<(String, String)>,
    framing: Framing,
    keep_alive: bool,
    keep_for: Duration,
}

struct Reader<'a> {
    half: tokio::net::tcp::ReadHalf<'a>,
    buffer: BytesMut,
}

impl Reader<'_> {
    /// Reads on; zero bytes are the end of the connection.
    async fn more(&mut self) -> Result<usize, Broken> {
        self.buffer.reserve(READ_SIZE);
        let read = self.half.read_buf(&mut self.buffer).await;
        read.map_err(|error| Broken::Sent(error.to_string()))
    }

    async fn more_or_cut(&mut self) -> Result<(), Broken> {
        if self.more().await? == 0 {
            return Err(Broken::Sent("the target broke off its answer".to_owned()));
        }
        Ok(())
    }

    /// Reads heads up to that of the request's own answer.
    async fn answer_head(&mut self, request: &Outgoing<'_>) -> Result<Head, Broken> {
        for _ in 0..MAX_SKIPPED {
            let head = self.head().await?;
            if (100..200).contains(&head.status) {
                continue;
            }
            let own = request
                .identity
                .is_none_or(|(name, value)| head.is(name, value));
            if own {
                return Ok(head);
            }
            self.body(&head, false, usize::MAX).await?;
            if matches!(head.framing, Framing::UntilEnd) {
                break;
            }
        }
        Err(Broken::Sent("only answers to other requests".to_owned()))
    }

    async fn head(&mut self) -> Result<Head, Broken> {
        loop {
            if let Some((head, length)) = parse_head(&self.buffer)? {
                self.buffer.advance(length);
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD {
                return Err(Broken::Sent("the answer's head is too large".to_owned()));
            }
            self.more_or_cut().await?;
        }
    }

    async fn body(&mut self, head: &Head, bodyless: bool, limit: usize) -> Result<Bytes, Broken> {
        if bodyless || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(Bytes::new());
        }
        match head.framing {
            Framing::Length(length) if length > limit => Err(Broken::TooLarge),
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.more_or_cut().await?;
                }
                Ok(self.buffer.split_to(length).freeze())
            }
            Framing::Chunked => self.chunks(limit).await,
            Framing::UntilEnd => {
                while self.more().await? > 0 {
                    if self.buffer.len() > limit {
                        return Err(Broken::TooLarge);
                    }
                }
                Ok(self.buffer.split().freeze())
            }
        }
    }

    async fn chunks(&mut self, limit: usize) -> Result<Bytes, Broken> {
        let mut body = BytesMut::new();
        loop {
            let (start, length) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete((start, length))) => {
                        break (start, usize::try_from(length).unwrap_or(usize::MAX));
                    }
                    Ok(httparse::Status::Partial) => self.more_or_cut().await?,
                    Err(_) => return Err(Broken::Sent("an invalid chunk".to_owned())),
                }
            };
            self.buffer.advance(start);
            if length == 0 {
                return self.trailers(body.freeze()).await;
            }
            if length > limit.saturating_sub(body.len()) {
                return Err(Broken::TooLarge);
            }
            while self.buffer.len() < length + 2 {
                self.more_or_cut().await?;
            }
            body.extend_from_slice(&self.buffer[..length]);
            self.buffer.advance(length + 2);
        }
    }

    /// Reads the lines behind the last chunk, up to the empty one.
    async fn trailers(&mut self, body: Bytes) -> Result<Bytes, Broken> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\r\n");
            match end {
                Some(0) => {
                    self.buffer.advance(2);
                    return Ok(body);
                }
                Some(end) => self.buffer.advance(end + 2),
                None => self.more_or_cut().await?,
            }
        }
    }
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn is(&self, name: &str, value: &str) -> bool {
        self.get(name) == Some(value)
    }
}

/// Reads a head if the whole of it is there, with its length.
fn parse_head(buffer: &[u8]) -> Result<Option<(Head, usize)>, Broken> {
    let invalid = |detail: &str| Broken::Sent(format!("an invalid answer: {detail}"));
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(invalid(&error.to_string())),
    };
    let mut headers = Vec::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        let value = std::str::from_utf8(field.value).map_err(|_| invalid(field.name))?;
        headers.push((field.name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut head = Head {
        status: response.code.unwrap_or(0),
        headers,
        framing: Framing::UntilEnd,
        keep_alive: response.version == Some(1),
        keep_for: KEEP_ALIVE,
    };
    head.framing = framing(&head).ok_or_else(|| invalid("lengths that differ"))?;
    if let Some(connection) = head.get("connection") {
        let closes = connection.to_ascii_lowercase().contains("close");
        head.keep_alive &= !closes;
    }
    if let Some(seconds) = head.get("keep-alive").and_then(idle_seconds) {
        head.keep_for = Duration::from_secs(seconds).mul_f64(KEEP_SHARE);
    }
    Ok(Some((head, length)))
}

fn framing(head: &Head) -> Option<Framing> {
    if let Some(encoding) = head.get("transfer-encoding") {
        let chunked = encoding.eq_ignore_ascii_case("chunked");
        return (chunked && head.get("content-length").is_none()).then_some(Framing::Chunked);
    }
    let lengths = head
        .headers
        .iter()
        .filter(|(name, _)| name == "content-length");
    let mut found = None;
    for (_, value) in lengths {
        let length = value.parse::<usize>().ok()?;
        if found.is_some_and(|known| known != length) {
            return None;
        }
        found = Some(length);
    }
    Some(found.map_or(Framing::UntilEnd, Framing::Length))
}

/// Seconds of a field such as `timeout=5, max=100`.
fn idle_seconds(field: &str) -> Option<u64> {
    let parts = field.split(',').filter_map(|part| part.split_once('='));
    let timeout = parts
        .into_iter()
        .find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    timeout?.1.trim().parse().ok()
}
