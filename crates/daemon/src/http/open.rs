//! Count of the open requests of callers, for which a stopping daemon waits.
//!
//! A request is open until its response has been handed to the connection, or, without
//! TLS, has been written. Long bodies are handed over in parts, because the connection
//! takes one of any size at once and writes it as fast as the caller reads.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use actix_web::HttpResponse;
use actix_web::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

use crate::node::Node;

/// Largest part of a body that is handed to the connection at once, in bytes. The
/// connection asks for the next one once less than this is left to write.
const PART_BYTES: usize = 32 * 1024;

/// Guard that counts an open request in the metrics. The count is correct even if the
/// caller disconnects and the handler or the response is dropped.
pub(super) struct Guard(Arc<Node>);

impl Guard {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        node.metrics.open.inc();
        Self(Arc::clone(node))
    }

    /// Keeps the request open until the body of its response has been handed to the
    /// connection.
    pub(super) fn attach(self, response: HttpResponse) -> HttpResponse {
        response.map_body(|_, body| match body.try_into_bytes() {
            Ok(rest) if !rest.is_empty() => BoxBody::new(Body { rest, _guard: self }),
            Ok(empty) => BoxBody::new(empty),
            Err(body) => body,
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.metrics.open.dec();
    }
}

/// Body of the response to an open request.
struct Body {
    rest: Bytes,
    _guard: Guard,
}

impl MessageBody for Body {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(self.rest.split_to(length))))
    }
}
