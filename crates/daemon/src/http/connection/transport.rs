//! Streams that connections are served on.

use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::BytesMut;
use tokio::net::TcpStream;

/// Stream of a connection.
pub trait Transport {
    /// Part of a connection's reservation that is left for its input, in bytes.
    const INPUT_BYTES: usize;

    /// The socket that carries the stream.
    fn socket(&self) -> &Rc<TcpStream>;

    /// Completes what precedes the first request.
    ///
    /// # Errors
    ///
    /// If the client fails, or does not follow the protocol.
    fn poll_handshake(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Waits until [`Self::try_read`] may return data or the end of the input.
    ///
    /// # Errors
    ///
    /// If the client fails, or does not follow the protocol.
    fn poll_readable(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Reads into the free capacity of the buffer. Returns 0 at the end of the input.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if there is no data, or another error of the stream.
    fn try_read(&mut self, buffer: &mut BytesMut) -> io::Result<usize>;

    /// Writes a prefix of `bytes`, which are not empty, and returns its length once the
    /// kernel has accepted all of it. While the call is pending, a later one must pass
    /// the same bytes, or more.
    ///
    /// # Errors
    ///
    /// If the client does not receive any more.
    fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>>;

    /// Tells the client that nothing more follows, as far as the protocol has a message
    /// for that. The write side of the socket stays open.
    ///
    /// # Errors
    ///
    /// If the client does not receive any more.
    fn poll_close(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
}

/// A stream without TLS.
#[derive(Debug)]
pub struct Tcp(Rc<TcpStream>);

impl Tcp {
    /// Stream on this socket.
    pub fn new(socket: TcpStream) -> Self {
        Self(Rc::new(socket))
    }
}

impl Transport for Tcp {
    // The rest of 16 KiB: 4 KiB for kept output, and the state of the connection.
    const INPUT_BYTES: usize = 8 * 1024;

    fn socket(&self) -> &Rc<TcpStream> {
        &self.0
    }

    fn poll_handshake(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_readable(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_read_ready(cx)
    }

    fn try_read(&mut self, buffer: &mut BytesMut) -> io::Result<usize> {
        self.0.try_read_buf(buffer)
    }

    fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_close(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
