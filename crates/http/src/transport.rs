//! TCP connections that report their end as an error.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection on which a read fails with [`ErrorKind::UnexpectedEof`] at its end. The
/// client library ends any body at an orderly end of the connection.
#[derive(Debug)]
pub struct Transport(TcpStream);

/// Connector of the client library that opens such connections.
pub fn connector() -> awc::Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, Transport>, Error = ConnectError> + Clone,
> {
    let service = actix_tls::connect::Connector::default().service();
    let service = ServiceExt::<ConnectInfo<Uri>>::map(service, |connection| {
        let (stream, uri) = Connection::into_parts(connection);
        Connection::new(uri, Transport(stream))
    });
    awc::Connector::new().connector(service)
}

impl AsyncRead for Transport {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.get_mut().0).poll_read(context, buffer))?;
        if buffer.filled().len() == filled && buffer.remaining() > 0 {
            return Poll::Ready(Err(Error::from(ErrorKind::UnexpectedEof)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().0).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().0).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().0).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().0).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

impl ActixStream for Transport {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, context)
    }
}
