//! Open requests of callers: their count, for which a stopping daemon waits, and the
//! memory that their responses keep in use.
//!
//! A request is open until its response has been written. Long bodies are handed over in parts, because the connection
//! takes one of any size at once and writes it as fast as the caller reads.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use cardamomshed_code::{Code, Failure};

use super::connection_table::{Entry, Hold};
use crate::node::Node;
use crate::reply::{Refused, Reply};

/// Largest part of a body that is handed to the connection at once, in bytes. The
/// connection asks for the next one once less than this is left to write.
const PART_BYTES: usize = 32 * 1024;

/// Guard that counts an open request in the metrics and at its connection. The count is
/// correct even if the caller disconnects and the handler or the response is dropped.
pub(super) struct Guard {
    node: Arc<Node>,
    /// Connection of the caller; `None` if its listener does not count connections.
    connection: Option<Arc<Entry>>,
}

impl Guard {
    pub(super) fn new(node: &Arc<Node>, request: &HttpRequest) -> Self {
        node.metrics.open.inc();
        let connection = node.connections.get(request.peer_addr());
        if let Some(connection) = &connection {
            connection.begin_request();
        }
        Self {
            node: Arc::clone(node),
            connection,
        }
    }

    /// Checks whether a response to the request would find memory.
    ///
    /// # Errors
    ///
    /// [`Code::MemoryShed`] if memory is nearly used up, or the connection holds more than
    /// its share of it.
    pub(super) fn check(&self) -> Result<(), Failure> {
        if self.node.memory.is_full() || !self.may_hold(1) {
            count(&self.node, "request");
            return Err(Failure::new(Code::MemoryShed, ""));
        }
        Ok(())
    }

    /// The reply that the connection may hold: an answer for which it has no share of the
    /// memory left is discarded, and its outcome is unknown to the caller.
    pub(super) fn limit(&self, reply: Reply) -> Reply {
        match reply {
            Reply::Answer(answer) if !self.may_hold(answer.body.len()) => {
                count(&self.node, "share");
                let detail = "earlier responses on the connection have not been read";
                Reply::Refused(Refused::unknown(
                    Code::AnswerTooLarge,
                    detail,
                    answer.tokens,
                ))
            }
            reply => reply,
        }
    }

    fn may_hold(&self, bytes: usize) -> bool {
        let Some(connection) = &self.connection else {
            return true;
        };
        let held = connection.held();
        let others = self.node.connections.held().saturating_sub(held);
        let memory = &self.node.memory;
        memory.with(|account| account.may_hold(held, bytes, others))
    }

    /// Keeps the request open until the body of its response has been handed to the
    /// connection.
    pub(super) fn attach(self, response: HttpResponse) -> HttpResponse {
        response.map_body(|_, body| match body.try_into_bytes() {
            Ok(rest) if !rest.is_empty() => {
                let hold = self.connection.as_ref();
                let hold = hold.map(|connection| connection.hold(rest.len()));
                BoxBody::new(Body {
                    rest,
                    _hold: hold,
                    _guard: self,
                })
            }
            Ok(empty) => BoxBody::new(empty),
            Err(body) => body,
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.node.metrics.open.dec();
        if let Some(connection) = &self.connection {
            connection.end_request();
        }
    }
}

/// Counts a request or answer that found no memory.
pub(super) fn count(node: &Node, cause: &str) {
    node.metrics.unreserved.with_label_values(&[cause]).inc();
}

/// Body of the response to an open request.
struct Body {
    rest: Bytes,
    _hold: Option<Hold>,
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
