//! Sending half of a connection. Frames are sent at once; bodies are split into
//! chunks that are sent round-robin.

use std::collections::VecDeque;

use bytes::Bytes;
use cardamomshed_wire::{Frame, encode};
use futures_util::{Sink, SinkExt};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::{Error, Message};

/// Largest chunk of a body in one message, in bytes. It is bounded so that a
/// large body does not delay small ones.
const CHUNK_BYTES: usize = 32 * 1024;

/// An item in the queue of a connection.
#[derive(Debug)]
pub(super) enum Outbound {
    /// A frame without a body.
    Frame(Frame),
    /// A frame with a payload that is sent in one message.
    Unsplit(Frame, Bytes),
    /// The head of a call or answer with its body, which is sent in chunks.
    Body(Frame, Bytes),
    /// Discards the unsent chunks of the call or answer with this id.
    Discard(u64),
}

/// Unsent part of a body.
struct Remainder {
    id: u64,
    is_call: bool,
    body: Bytes,
}

impl Remainder {
    fn frame(&self) -> Frame {
        if self.is_call {
            Frame::CallData { id: self.id }
        } else {
            Frame::AnswerData { id: self.id }
        }
    }
}

/// Sends queued items until the queue is closed or the connection fails.
pub(super) async fn run<S>(mut sink: S, mut queue: mpsc::UnboundedReceiver<Outbound>)
where
    S: Sink<Message, Error = Error> + Unpin,
{
    let mut remainders = VecDeque::new();
    loop {
        if remainders.is_empty() {
            let Some(item) = queue.recv().await else {
                break;
            };
            if enqueue(&mut sink, &mut remainders, item).await.is_err() {
                return;
            }
        }
        while let Ok(item) = queue.try_recv() {
            if enqueue(&mut sink, &mut remainders, item).await.is_err() {
                return;
            }
        }
        if send_chunk(&mut sink, &mut remainders).await.is_err() {
            return;
        }
        if remainders.is_empty() && sink.flush().await.is_err() {
            return;
        }
    }
    // The connection is no longer used, so a failure to close it is ignored.
    let _ = sink.close().await;
}

async fn enqueue<S>(
    sink: &mut S,
    remainders: &mut VecDeque<Remainder>,
    item: Outbound,
) -> Result<(), Error>
where
    S: Sink<Message, Error = Error> + Unpin,
{
    match item {
        Outbound::Frame(frame) => sink.feed(Message::Binary(encode(&frame, &[]))).await,
        Outbound::Unsplit(frame, chunk) => sink.feed(Message::Binary(encode(&frame, &chunk))).await,
        Outbound::Discard(id) => {
            remainders.retain(|remainder| remainder.id != id);
            Ok(())
        }
        Outbound::Body(frame, mut body) => {
            let first = body.split_to(body.len().min(CHUNK_BYTES));
            let message = Message::Binary(encode(&frame, &first));
            let (id, is_call) = match &frame {
                Frame::Call(call) => (call.id, true),
                Frame::Answer(answer) => (answer.id, false),
                _ => unreachable!("only calls and answers have bodies"),
            };
            if !body.is_empty() {
                remainders.push_back(Remainder { id, is_call, body });
            }
            sink.feed(message).await
        }
    }
}

async fn send_chunk<S>(sink: &mut S, remainders: &mut VecDeque<Remainder>) -> Result<(), Error>
where
    S: Sink<Message, Error = Error> + Unpin,
{
    let Some(mut remainder) = remainders.pop_front() else {
        return Ok(());
    };
    let frame = remainder.frame();
    let chunk = remainder
        .body
        .split_to(remainder.body.len().min(CHUNK_BYTES));
    if !remainder.body.is_empty() {
        remainders.push_back(remainder);
    }
    sink.feed(Message::Binary(encode(&frame, &chunk))).await
}
