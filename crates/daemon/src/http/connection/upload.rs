//! Body of a request on its way from the connection to the handler.

use std::task::{Context, Poll};

use actix_http::BoxedPayloadStream;
use actix_http::error::PayloadError;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use tokio::sync::mpsc::error::{SendError, TrySendError};
use tokio::sync::mpsc::{self, OwnedPermit, Sender};

/// Parts of a request body that are received before the handler reads them.
const MAX_PARTS: usize = 2;

/// Part of a request body.
enum Part {
    Chunk(Bytes),
    End,
    Malformed,
}

/// Sending side of a request body. Dropping it before the end of the body tells the
/// handler that the body is incomplete.
pub struct Upload {
    sender: Sender<Part>,
    room: Room,
}

/// Room for the next part.
enum Room {
    Unknown,
    Awaited(LocalBoxFuture<'static, Result<OwnedPermit<Part>, SendError<()>>>),
    Reserved(OwnedPermit<Part>),
    /// The handler reads no more. Further parts are discarded.
    Discards,
}

impl Upload {
    /// Creates both sides of a body.
    pub fn new() -> (Self, BoxedPayloadStream) {
        let (sender, mut receiver) = mpsc::channel(MAX_PARTS);
        let mut is_ended = false;
        let stream = stream::poll_fn(move |cx| {
            if is_ended {
                return Poll::Ready(None);
            }
            receiver.poll_recv(cx).map(|part| {
                let chunk = match part {
                    Some(Part::Chunk(bytes)) => return Some(Ok(bytes)),
                    Some(Part::End) => None,
                    Some(Part::Malformed) => Some(Err(PayloadError::EncodingCorrupted)),
                    None => Some(Err(PayloadError::Incomplete(None))),
                };
                is_ended = true;
                chunk
            })
        });
        let room = Room::Unknown;
        (Self { sender, room }, Box::pin(stream))
    }

    /// Waits until the handler has room for another part or reads no more.
    pub fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            self.room = match &mut self.room {
                Room::Unknown => match self.sender.clone().try_reserve_owned() {
                    Ok(permit) => Room::Reserved(permit),
                    Err(TrySendError::Closed(_)) => Room::Discards,
                    Err(TrySendError::Full(sender)) => {
                        Room::Awaited(sender.reserve_owned().boxed_local())
                    }
                },
                Room::Awaited(reserving) => match reserving.poll_unpin(cx) {
                    Poll::Ready(Ok(permit)) => Room::Reserved(permit),
                    Poll::Ready(Err(_)) => Room::Discards,
                    Poll::Pending => return Poll::Pending,
                },
                Room::Reserved(_) | Room::Discards => return Poll::Ready(()),
            };
        }
    }

    /// Hands a part to the handler. Only called when there is room.
    pub fn send(&mut self, chunk: Bytes) {
        self.send_part(Part::Chunk(chunk));
    }

    /// Ends the body. Only called when there is room.
    pub fn end(mut self) {
        self.send_part(Part::End);
    }

    /// Tells the handler that the body is malformed. Only called when there is room.
    pub fn fail(mut self) {
        self.send_part(Part::Malformed);
    }

    fn send_part(&mut self, part: Part) {
        if let Room::Reserved(permit) = std::mem::replace(&mut self.room, Room::Unknown) {
            permit.send(part);
        }
    }
}
