//! Streams with TLS. The library of the protocol does no I/O; this module moves records
//! between it and the socket.

use std::io::{self, BufRead as _, IoSlice, Read, Write};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::BytesMut;
use rustls::{ServerConfig, ServerConnection};
use tokio::net::TcpStream;

use super::transport::Transport;

/// Largest part of a response that is encrypted at once, in bytes: the content of one
/// record.
const RECORD_BYTES: usize = 16 * 1024;
/// Bytes of records that may be received without any data in them, which includes the
/// handshake. The library buffers messages of up to 64 KiB until they are complete; a
/// record of the largest size, and what is read beyond it, take up 21 KiB.
const MAX_OVERHEAD_BYTES: usize = 24 * 1024;

/// A stream with TLS.
#[derive(Debug)]
pub struct Tls {
    socket: Rc<TcpStream>,
    session: ServerConnection,
    /// Bytes received since the last data.
    overhead: usize,
    /// Length of the data that are encrypted and not written whole; at most
    /// [`RECORD_BYTES`].
    encrypted: usize,
    /// Whether the client has been told, or has caused, the end of the session.
    is_closed: bool,
}

impl Tls {
    /// Stream on this socket, which starts with the handshake.
    ///
    /// # Errors
    ///
    /// If the configuration is not usable.
    pub fn new(config: Arc<ServerConfig>, socket: TcpStream) -> Result<Self, rustls::Error> {
        Ok(Self {
            socket: Rc::new(socket),
            session: ServerConnection::new(config)?,
            overhead: 0,
            encrypted: 0,
            is_closed: false,
        })
    }

    /// Receives records and processes them. Returns after one read.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let length = loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.session.read_tls(&mut Socket(&self.socket)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => break read?,
            }
        };
        self.overhead += length;
        let processed = self.session.process_new_packets();
        let state = processed.map_err(|error| {
            self.is_closed = true;
            // The alert that tells the cause. Without room for it, it is lost.
            let _ = self.session.write_tls(&mut Socket(&self.socket));
            io::Error::new(io::ErrorKind::InvalidData, error)
        })?;
        if state.plaintext_bytes_to_read() > 0 {
            self.overhead = 0;
        } else if self.overhead > MAX_OVERHEAD_BYTES {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        } else if length == 0 && self.session.is_handshaking() {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }

    /// Writes the records that are complete.
    fn poll_flush(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.session.wants_write() {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.session.write_tls(&mut Socket(&self.socket)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => drop(written?),
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Transport for Tls {
    // An idle connection takes 18 KiB of the 24 KiB that are reserved for it.
    const INPUT_BYTES: usize = 6 * 1024;

    fn socket(&self) -> &Rc<TcpStream> {
        &self.socket
    }

    fn poll_handshake(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.poll_flush(cx))?;
            if !self.session.is_handshaking() {
                return Poll::Ready(Ok(()));
            }
            ready!(self.poll_receive(cx))?;
        }
    }

    fn poll_readable(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            match self.session.reader().fill_buf() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                filled => return Poll::Ready(filled.map(drop)),
            }
            ready!(self.poll_receive(cx))?;
        }
    }

    fn try_read(&mut self, buffer: &mut BytesMut) -> io::Result<usize> {
        let mut reader = self.session.reader();
        let data = reader.fill_buf()?;
        let length = data.len().min(buffer.capacity() - buffer.len());
        buffer.extend_from_slice(&data[..length]);
        reader.consume(length);
        Ok(length)
    }

    fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.encrypted == 0 {
            ready!(self.poll_flush(cx))?;
            let length = bytes.len().min(RECORD_BYTES);
            self.encrypted = self.session.writer().write(&bytes[..length])?;
        }
        ready!(self.poll_flush(cx))?;
        Poll::Ready(Ok(std::mem::take(&mut self.encrypted)))
    }

    fn poll_close(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !std::mem::replace(&mut self.is_closed, true) {
            self.session.send_close_notify();
        }
        self.poll_flush(cx)
    }
}

/// Non-blocking I/O on a socket.
struct Socket<'a>(&'a TcpStream);

impl Read for Socket<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.try_read(buffer)
    }
}

impl Write for Socket<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.try_write(bytes)
    }

    fn write_vectored(&mut self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        self.0.try_write_vectored(parts)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
