//! Stream of a link, of which little is read before the other end has proved that it
//! belongs to the fleet.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may be read during the handshake. The messages take less than 1 KiB; the
/// rest is for what follows them in the same read.
const HANDSHAKE_BYTES: usize = 16 * 1024;

/// A stream whose input is limited until the handshake is complete.
#[derive(Debug)]
pub(super) struct Limited {
    stream: TcpStream,
    /// Bytes that may still be read, `None` without a limit.
    remaining: Option<usize>,
}

impl Limited {
    pub(super) const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            remaining: Some(HANDSHAKE_BYTES),
        }
    }

    /// Removes the limit.
    pub(super) const fn lift(&mut self) {
        self.remaining = None;
    }
}

impl AsyncRead for Limited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if let Some(remaining) = &mut self.remaining {
            let Some(rest) = remaining.checked_sub(buffer.filled().len() - before) else {
                let error = io::Error::new(io::ErrorKind::InvalidData, "handshake too large");
                return Poll::Ready(Err(error));
            };
            *remaining = rest;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Limited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
