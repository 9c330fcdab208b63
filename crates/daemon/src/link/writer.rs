//! The sending half of a connection: frames at once, bodies in turn.

use std::collections::VecDeque;

use bytes::Bytes;
use cardamomshed_wire::{Frame, encode};
use futures_util::{Sink, SinkExt};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::{Error, Message};

/// Bytes of a body that go into one message, so that a large body does not
/// hold up small ones.
const CHUNK: usize = 32 * 1024;

/// What is to be sent.
#[derive(Debug)]
pub(super) enum Out {
    /// A frame without a body.
    Frame(Frame),
    /// A frame with its chunk, which is not split.
    Whole(Frame, Bytes),
    /// The head of a call or answer with its body, sent in chunks.
    Body(Frame, Bytes),
    /// Stop sending the body of this call or answer.
    Drop(u64),
}

/// A body of which a part was sent.
struct Rest {
    id: u64,
    is_call: bool,
    body: Bytes,
}

impl Rest {
    fn frame(&self) -> Frame {
        if self.is_call {
            Frame::CallData { id: self.id }
        } else {
            Frame::AnswerData { id: self.id }
        }
    }
}

/// Sends until the channel closes or the connection fails.
pub(super) async fn run<S>(mut sink: S, mut queue: mpsc::UnboundedReceiver<Out>)
where
    S: Sink<Message, Error = Error> + Unpin,
{
    let mut rests = VecDeque::new();
    loop {
        if rests.is_empty() {
            let Some(out) = queue.recv().await else {
                break;
            };
            if take(&mut sink, &mut rests, out).await.is_err() {
                return;
            }
        }
        while let Ok(out) = queue.try_recv() {
            if take(&mut sink, &mut rests, out).await.is_err() {
                return;
            }
        }
        if send_chunk(&mut sink, &mut rests).await.is_err() {
            return;
        }
        if rests.is_empty() && sink.flush().await.is_err() {
            return;
        }
    }
    // The connection is being given up; a failure to close it says nothing.
    let _ = sink.close().await;
}

async fn take<S>(sink: &mut S, rests: &mut VecDeque<Rest>, out: Out) -> Result<(), Error>
where
    S: Sink<Message, Error = Error> + Unpin,
{
    match out {
        Out::Frame(frame) => sink.feed(Message::Binary(encode(&frame, &[]))).await,
        Out::Whole(frame, chunk) => sink.feed(Message::Binary(encode(&frame, &chunk))).await,
        Out::Drop(id) => {
            rests.retain(|rest| rest.id != id);
            Ok(())
        }
        Out::Body(frame, mut body) => {
            let first = body.split_to(body.len().min(CHUNK));
            let message = Message::Binary(encode(&frame, &first));
            let (id, is_call) = match &frame {
                Frame::Call(call) => (call.id, true),
                Frame::Answer(answer) => (answer.id, false),
                _ => unreachable!("only calls and answers have bodies"),
            };
            if !body.is_empty() {
                rests.push_back(Rest { id, is_call, body });
            }
            sink.feed(message).await
        }
    }
}

async fn send_chunk<S>(sink: &mut S, rests: &mut VecDeque<Rest>) -> Result<(), Error>
where
    S: Sink<Message, Error = Error> + Unpin,
{
    let Some(mut rest) = rests.pop_front() else {
        return Ok(());
    };
    let frame = rest.frame();
    let chunk = rest.body.split_to(rest.body.len().min(CHUNK));
    if !rest.body.is_empty() {
        rests.push_back(rest);
    }
    sink.feed(Message::Binary(encode(&frame, &chunk))).await
}
