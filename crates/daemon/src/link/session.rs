//! The end of a link that accepted: it runs calls and keeps their answers
//! until they have arrived.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cardamomshed_code::{Code, Event};
use cardamomshed_policy::Moment;
use cardamomshed_policy::admission::OPEN;
use cardamomshed_wire::{Answer, Call, Frame, Refusal, decode};
use futures_util::StreamExt;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

use super::handshake::{Other, Socket};
use super::sessions::Served;
use super::writer::{self, Out};
use crate::job::Job;
use crate::life::Held;
use crate::node::Node;
use crate::reply::{Refused, Reply};
use crate::sync::lock;

/// Records in one message of members.
const MEMBERS_PER_FRAME: usize = 200;

/// Serves one connection until it ends.
pub(super) async fn run(node: Arc<Node>, socket: Socket, other: Other) {
    let (sink, mut stream) = socket.split();
    let (out, queue) = mpsc::unbounded_channel();
    let writer = actix_rt::spawn(writer::run(sink, queue));
    let boot = other.boot;
    let reader = {
        let node = Arc::clone(&node);
        let out = out.clone();
        actix_rt::spawn(async move {
            let patience = node.current().timing.idle.get() + node.current().timing.silence.get();
            while let Ok(Some(Ok(message))) = timeout(patience, stream.next()).await {
                let Message::Binary(bytes) = message else {
                    continue;
                };
                if let Err(detail) = receive(&node, boot, &out, &bytes) {
                    node.note_event(Event::LinkRejected, format_args!("{detail}"));
                    break;
                }
            }
        })
    };
    let handle = reader.abort_handle();
    let earlier = node.links.sessions.with(boot, |session| {
        session.out = Some(out.clone());
        session.reader.replace(handle)
    });
    if let Some(earlier) = earlier {
        // Frames left on an earlier connection must not be taken in after
        // those of this one.
        earlier.abort();
    }
    // A reader that was replaced ends with an error, which says nothing new.
    let _ = reader.await;
    writer.abort();
    node.links.sessions.with(boot, |session| {
        let current = session
            .out
            .as_ref()
            .is_some_and(|now| now.same_channel(&out));
        if current {
            session.out = None;
            session.reader = None;
        }
    });
}

fn receive(
    node: &Arc<Node>,
    boot: u64,
    out: &mpsc::UnboundedSender<Out>,
    bytes: &Bytes,
) -> Result<(), String> {
    let (frame, chunk) = decode(bytes).map_err(|failure| failure.to_string())?;
    match frame {
        Frame::Ping => send(out, Frame::Pong),
        Frame::Call(call) => begin_call(node, boot, out, call, &chunk),
        Frame::CallData { id } => continue_call(node, boot, id, &chunk),
        Frame::Resume { id, timeout_ms } => resume(node, boot, out, id, timeout_ms),
        Frame::Cancel { id } => cancel(node, boot, id),
        Frame::Received { id } => {
            node.links.sessions.with(boot, |session| {
                let ended = matches!(session.calls.get(&id), Some(Served::Done(..)));
                if ended {
                    session.calls.remove(&id);
                }
            });
        }
        Frame::AskMembers { digests } => {
            let records = lock(&node.members.fleet).differing(&digests);
            for part in records.chunks(MEMBERS_PER_FRAME) {
                send(out, Frame::Members(part.to_vec()));
            }
        }
        Frame::AskNotes { after } => send_notes(node, out, after),
        Frame::AskTokens(ask) => send(out, Frame::GiveTokens(crate::actor::quota::lend(node, ask))),
        other => control(node, other, &chunk),
    }
    Ok(())
}

/// Takes in frames that either end may send.
pub(super) fn control(node: &Arc<Node>, frame: Frame, chunk: &Bytes) {
    match frame {
        Frame::Members(records) => {
            let output = lock(&node.members.fleet).merge_all(records, node.clock.now());
            crate::members::post(node, output);
        }
        Frame::Note { revision } => crate::actor::config::receive(node, revision, chunk),
        Frame::GiveTokens(grant) => crate::actor::quota::receive(node, &grant),
        _ => {}
    }
}

fn send(out: &mpsc::UnboundedSender<Out>, frame: Frame) {
    // A connection that has ended loses the frame, as any loss would.
    let _ = out.send(Out::Frame(frame));
}

fn send_notes(node: &Node, out: &mpsc::UnboundedSender<Out>, after: u64) {
    for (revision, row) in crate::actor::config::rows_since(node, after) {
        let _ = out.send(Out::Whole(Frame::Note { revision }, row));
    }
}

fn begin_call(
    node: &Arc<Node>,
    boot: u64,
    out: &mpsc::UnboundedSender<Out>,
    call: Box<Call>,
    chunk: &Bytes,
) {
    let id = call.id;
    let deadline = node.clock.now() + Duration::from_millis(u64::from(call.timeout_ms));
    let known = node
        .links
        .sessions
        .with(boot, |session| session.calls.contains_key(&id));
    if known {
        return;
    }
    let limit = node.lookup().config.limits.body.get() as u64;
    let held = node
        .life
        .hold(call.length as usize, node.current().bodies.get());
    let refused = match &held {
        _ if call.length > limit => Some(Code::BodyTooLarge),
        Err(code) => Some(*code),
        Ok(_) => None,
    };
    if let Some(code) = refused {
        let refused = Refused::not_run(code, "", call.tokens);
        bar(node, boot, out, id, deadline, refused);
        return;
    }
    let Ok(held) = held else {
        return;
    };
    if call.length == chunk.len() as u64 {
        start(node, boot, call, chunk.clone(), deadline, held);
        return;
    }
    let mut body = BytesMut::with_capacity(call.length as usize);
    body.extend_from_slice(chunk);
    node.links.sessions.with(boot, |session| {
        let arriving = Served::Arriving(call, body, deadline, held);
        session.calls.insert(id, arriving);
    });
}

fn continue_call(node: &Arc<Node>, boot: u64, id: u64, chunk: &Bytes) {
    let whole = node.links.sessions.with(boot, |session| {
        let Some(Served::Arriving(call, body, ..)) = session.calls.get_mut(&id) else {
            return None;
        };
        body.extend_from_slice(chunk);
        if (body.len() as u64) < call.length {
            return None;
        }
        session.calls.remove(&id)
    });
    if let Some(Served::Arriving(call, body, deadline, held)) = whole
        && body.len() as u64 == call.length
    {
        start(node, boot, call, body.freeze(), deadline, held);
    }
}

fn start(node: &Arc<Node>, boot: u64, call: Box<Call>, body: Bytes, deadline: Moment, held: Held) {
    let id = call.id;
    let tokens = call.tokens;
    let (reply, end) = oneshot::channel();
    let job = Job {
        call,
        body,
        deadline,
        reply,
    };
    let sent = node.jobs.send(job).is_ok();
    let task = {
        let node = Arc::clone(node);
        actix_rt::spawn(async move {
            let reply = match end.await {
                Ok(reply) => reply,
                Err(_) if !sent => Reply::Refused(Refused::not_run(Code::Leaving, "", tokens)),
                Err(_) => Reply::Refused(Refused::unknown(Code::FateUnknown, "", tokens)),
            };
            drop(held);
            finish(&node, boot, id, reply, deadline);
        })
    };
    node.links.sessions.with(boot, |session| {
        let running = Served::Running(task.abort_handle(), deadline);
        session.calls.insert(id, running);
    });
}

/// Keeps the end of a call and sends it over the newest connection.
fn finish(node: &Node, boot: u64, id: u64, reply: Reply, deadline: Moment) {
    node.links.sessions.with(boot, |session| {
        if let Some(out) = &session.out {
            send_reply(out, id, &reply);
        }
        session.calls.insert(id, Served::Done(reply, deadline));
    });
}

fn send_reply(out: &mpsc::UnboundedSender<Out>, id: u64, reply: &Reply) {
    let message = match reply {
        Reply::Answer(answer) => {
            let head = Answer {
                id,
                status: answer.status,
                headers: answer.headers.clone(),
                length: answer.body.len() as u64,
                load: answer.load,
                level: answer.level,
                price: answer.price,
                tokens: answer.tokens,
            };
            Out::Body(Frame::Answer(Box::new(head)), answer.body.clone())
        }
        Reply::Refused(refused) => Out::Frame(Frame::Refusal(Box::new(Refusal {
            id,
            code: refused.code,
            ran: refused.ran,
            detail: refused.detail.clone(),
            load: refused.load.unwrap_or_default(),
            level: refused.level.unwrap_or(OPEN),
            price: refused.price.unwrap_or(0.0),
            tokens: refused.tokens,
        }))),
    };
    let _ = out.send(message);
}

/// Refuses a call for good: it has not run, and a late copy of it is ignored.
fn bar(
    node: &Node,
    boot: u64,
    out: &mpsc::UnboundedSender<Out>,
    id: u64,
    deadline: Moment,
    refused: Refused,
) {
    send_reply(out, id, &Reply::Refused(refused));
    node.links.sessions.with(boot, |session| {
        session.calls.insert(id, Served::Barred(deadline));
    });
}

fn resume(node: &Node, boot: u64, out: &mpsc::UnboundedSender<Out>, id: u64, timeout_ms: u32) {
    let deadline = node.clock.now() + Duration::from_millis(u64::from(timeout_ms));
    let unknown = node
        .links
        .sessions
        .with(boot, |session| match session.calls.get(&id) {
            Some(Served::Running(..)) => false,
            Some(Served::Done(reply, _)) => {
                send_reply(out, id, reply);
                false
            }
            Some(Served::Arriving(..) | Served::Barred(_)) | None => true,
        });
    if unknown {
        let refused = Refused::not_run(Code::LinkFailed, "the call did not arrive", 0);
        bar(node, boot, out, id, deadline, refused);
    }
}

fn cancel(node: &Node, boot: u64, id: u64) {
    let served = node
        .links
        .sessions
        .with(boot, |session| session.calls.remove(&id));
    if let Some(Served::Running(task, _)) = served {
        task.abort();
    }
}
