//! One request of a connection and its response.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_codec::{Decoder, Encoder};
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::h1::{Codec, Message};
use actix_http::{ConnectionType, Response};
use actix_web::http::StatusCode;
use bytes::{Bytes, BytesMut};

use super::input::Charge;

/// Interim response to a request whose client waits before it sends the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request that has been started. It is dropped once its response has been written,
/// and with it the body and the guard that counts the request as open.
pub struct Exchange {
    /// Codec that decoded the head. It decodes the body, and its state (version, HEAD,
    /// connection option) determines how the response is encoded.
    codec: Codec,
    /// Whether the client waits for an interim response.
    awaits_continue: bool,
    /// Whether the request's method is HEAD.
    is_head: bool,
    /// Reserved memory of the request's head, until the request has been answered.
    head: Option<Charge>,
    state: State,
}

enum State {
    Running,
    /// The response is known, and nothing of it has been encoded.
    Answered(Response<()>, BoxBody),
    /// The head of the response has been encoded.
    Sending(BoxBody),
}

/// Result of decoding a part of a request's body.
pub enum Decoded {
    Chunk(Bytes),
    End,
    /// More input is needed.
    Pending,
    Malformed,
}

/// Result of encoding a part of a response.
pub enum Encoded {
    /// Something was encoded, and more follows.
    Part,
    /// The response is complete.
    Whole,
    /// Nothing can be encoded now.
    Pending,
    /// The rest of the response cannot be sent.
    Failed,
}

impl Exchange {
    pub const fn new(
        codec: Codec,
        is_head: bool,
        awaits_continue: bool,
        head: Option<Charge>,
    ) -> Self {
        Self {
            codec,
            awaits_continue,
            is_head,
            head,
            state: State::Running,
        }
    }

    pub fn answer(&mut self, response: Response<BoxBody>) {
        let (head, body) = response.into_parts();
        self.state = State::Answered(head, body);
        self.head = None;
    }

    /// Decodes a part of the request's body.
    pub fn decode(&mut self, received: &mut BytesMut) -> Decoded {
        match self.codec.decode(received) {
            Ok(Some(Message::Chunk(Some(chunk)))) => Decoded::Chunk(chunk),
            Ok(Some(Message::Chunk(None))) => Decoded::End,
            Ok(None) => Decoded::Pending,
            Ok(Some(Message::Item(_))) | Err(_) => Decoded::Malformed,
        }
    }

    /// Length of the part of the body that has not been encoded, zero if unknown.
    pub fn held_bytes(&self) -> usize {
        match &self.state {
            State::Running => 0,
            State::Answered(_, body) | State::Sending(body) => match body.size() {
                BodySize::Sized(length) => usize::try_from(length).unwrap_or(usize::MAX),
                BodySize::None | BodySize::Stream => 0,
            },
        }
    }

    /// Asks the client for the request's body if it waits with it.
    pub fn encode_continue(&mut self, output: &mut BytesMut) -> bool {
        let asks = std::mem::take(&mut self.awaits_continue);
        if asks {
            output.extend_from_slice(CONTINUE);
        }
        asks
    }

    /// Encodes the next part of the response. `is_last`: the response ends the
    /// connection.
    pub fn poll_encode(
        &mut self,
        is_last: bool,
        output: &mut BytesMut,
        cx: &mut Context<'_>,
    ) -> Encoded {
        match std::mem::replace(&mut self.state, State::Running) {
            State::Running => Encoded::Pending,
            State::Answered(head, body) => self.encode_head(head, body, is_last, output),
            State::Sending(mut body) => {
                let chunk = match Pin::new(&mut body).poll_next(cx) {
                    Poll::Pending => {
                        self.state = State::Sending(body);
                        return Encoded::Pending;
                    }
                    Poll::Ready(Some(Err(_))) => return Encoded::Failed,
                    Poll::Ready(Some(Ok(chunk))) => Some(chunk),
                    Poll::Ready(None) => None,
                };
                let is_end = chunk.is_none();
                if self.codec.encode(Message::Chunk(chunk), output).is_err() {
                    // The body is shorter than its declared length.
                    return Encoded::Failed;
                }
                self.state = State::Sending(body);
                if is_end {
                    Encoded::Whole
                } else {
                    Encoded::Part
                }
            }
        }
    }

    fn encode_head(
        &mut self,
        head: Response<()>,
        body: BoxBody,
        is_last: bool,
        output: &mut BytesMut,
    ) -> Encoded {
        let size = body.size();
        let has_body = !self.is_head
            && !head.status().is_informational()
            && !matches!(
                head.status(),
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            )
            && !matches!(size, BodySize::None | BodySize::Sized(0));
        let head = with_connection(head, is_last);
        if self
            .codec
            .encode(Message::Item((head, size)), output)
            .is_err()
        {
            return Encoded::Failed;
        }
        if !has_body {
            return Encoded::Whole;
        }
        self.state = State::Sending(body);
        Encoded::Part
    }
}

/// Head with the connection option that matches the response's place. The closing
/// response is the last one that the client reads, so an earlier one must not close.
fn with_connection(mut head: Response<()>, is_last: bool) -> Response<()> {
    if is_last {
        head.head_mut().set_connection_type(ConnectionType::Close);
        return head;
    }
    if head.head().connection_type() != ConnectionType::Close {
        return head;
    }
    // The option of a head can be set and not be reset.
    let mut open = Response::with_body(head.status(), ());
    open.head_mut().reason = head.head().reason;
    std::mem::swap(open.headers_mut(), head.headers_mut());
    open
}
