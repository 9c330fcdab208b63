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

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

mod head;
mod message;
mod reader;

use head::Framing;
pub use message::{Correlation, Defect, Error, Loss, Request, Response};
use reader::Reader;

use crate::memory::Memory;

/// Idle time after which a connection is not used for a request that must not
/// be repeated. The target may close such a connection while the request is
/// sent, which leaves its outcome unknown.
const MAX_UNREPEATABLE_IDLE: Duration = Duration::from_millis(1_500);
/// Largest request body that is sent with the head in one write, in bytes.
const MAX_JOINED_BODY: usize = 16 * 1024;
/// Requests without a success after which a connection is closed rather than kept.
const MAX_UNSUCCESSFUL: usize = 64;

/// Progress of sending a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Upload {
    /// A part is not written yet.
    Sending,
    Sent,
    Failed,
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
    /// Account in which the bodies of responses are reserved.
    memory: Memory,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(memory: Memory) -> Self {
        Self {
            idle: RefCell::default(),
            memory,
        }
    }

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
        let exchanged = round_trip(&mut connection.stream, request, limit, &self.memory);
        let (response, keep_for) = exchanged.await?;
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
    memory: &Memory,
) -> Result<(Response, Option<Duration>), Error> {
    let (read_half, mut write_half) = stream.split();
    let mut first = request.head.as_bytes().to_vec();
    let mut rest: &[u8] = request.body;
    if rest.len() <= MAX_JOINED_BODY {
        first.extend_from_slice(rest);
        rest = &[];
    }
    let mut reader = Reader {
        half: read_half,
        buffer: BytesMut::new(),
        late: 0,
        upload_failed: false,
        memory,
    };
    let mut upload = Upload::Sending;
    let head = {
        let write = async {
            write_half.write_all(&first).await?;
            write_half.write_all(rest).await
        };
        tokio::pin!(write);
        let read = reader.response_head(request, limit);
        tokio::pin!(read);
        loop {
            tokio::select! {
                biased;
                sent = &mut write, if upload == Upload::Sending => {
                    // After a failed write, a response may still be readable.
                    upload = if sent.is_ok() { Upload::Sent } else { Upload::Failed };
                }
                head = &mut read => break head?,
            }
        }
    };
    reader.upload_failed = upload == Upload::Failed;
    let body = reader.body(&head, request.head_only, limit).await?;
    let is_reusable = upload == Upload::Sent && head.keep_alive && reader.buffer.is_empty();
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
