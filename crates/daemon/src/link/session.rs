//! Accepting end of a link. It runs received calls and retains each reply until
//! the caller confirms it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_code::{Code, Event};
use cardamomshed_policy::Moment;
use cardamomshed_policy::admission::ADMIT_ALL;
use cardamomshed_policy::member::Record;
use cardamomshed_policy::memory::Kind;
use cardamomshed_wire::{Answer, Call, Frame, Refusal, decode};
use futures_util::StreamExt;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

use super::handshake::{Remote, Socket};
use super::sessions::{Completed, Outlet, Progress};
use super::writer::{self, Outbound};
use crate::job::Job;
use crate::memory::Buffer;
use crate::node::Node;
use crate::reply::{Refused, Reply};
use crate::sync::lock;

/// Member records per message.
const MEMBERS_PER_FRAME: usize = 200;

/// Serves one connection until it fails, is replaced by a newer one of the same
/// process, or delivers no message for the sum of the idle and silence limits.
pub(super) async fn run(node: Arc<Node>, socket: Socket, remote: Remote) {
    let (sink, mut stream) = socket.split();
    let (out, queue) = mpsc::unbounded_channel();
    let writer = actix_rt::spawn(writer::run(sink, queue));
    let boot = remote.boot;
    let reader = {
        let node = Arc::clone(&node);
        let out = out.clone();
        actix_rt::spawn(async move {
            let read_timeout = node.current_settings().timing.idle.get()
                + node.current_settings().timing.silence.get();
            while let Ok(Some(Ok(message))) = timeout(read_timeout, stream.next()).await {
                let Message::Binary(bytes) = message else {
                    continue;
                };
                if let Err(detail) = receive(&node, boot, &out, &bytes) {
                    node.log_event(Event::LinkRejected, format_args!("{detail}"));
                    break;
                }
            }
        })
    };
    let handle = reader.abort_handle();
    let previous = node
        .links
        .sessions
        .update(boot, |session| session.connect(out.clone(), handle));
    if let Some(previous) = previous {
        // Frames still buffered on the previous connection must not be
        // processed after those of this one.
        previous.abort();
    }
    // Joining an aborted reader returns an error, which is expected.
    let _ = reader.await;
    writer.abort();
    node.links.sessions.update(boot, |session| {
        let current = session
            .out
            .as_ref()
            .is_some_and(|now| now.queue.same_channel(&out));
        if current {
            session.out = None;
            session.reader = None;
        }
    });
}

fn receive(
    node: &Arc<Node>,
    boot: u64,
    out: &mpsc::UnboundedSender<Outbound>,
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
            node.links.sessions.update(boot, |session| {
                let completed = matches!(session.calls.get(&id), Some(Progress::Completed(..)));
                if completed {
                    session.calls.remove(&id);
                }
            });
        }
        Frame::RequestMembers {
            digests,
            record,
            uncounted,
        } => {
            let (mut records, sizes) = {
                let fleet = lock(&node.members.fleet);
                let sizes = (uncounted && fleet.is_counted()).then(|| fleet.sizes());
                (fleet.differing(&digests), sizes)
            };
            if let Some(sizes) = sizes {
                send(out, Frame::Sizes(sizes));
            }
            if let Some(record) = record {
                let name = Arc::clone(&record.name);
                merge_members(node, vec![*record]);
                // A process that has restarted may not know the departure of its target.
                let departed = lock(&node.members.fleet).departed(&name).cloned();
                records.extend(departed);
            }
            // The sender waits for a response even if nothing differs.
            if records.is_empty() {
                send(out, Frame::Members(Vec::new()));
            }
            for part in records.chunks(MEMBERS_PER_FRAME) {
                send(out, Frame::Members(part.to_vec()));
            }
        }
        Frame::RequestNotes { after } => send_notes(node, out, after),
        Frame::RequestTokens(request) => send(
            out,
            Frame::GrantTokens(crate::actor::quota::lend(node, request)),
        ),
        other => handle_control(node, other, &chunk),
    }
    Ok(())
}

/// Handles frames that either end may send; ignores all others.
pub(super) fn handle_control(node: &Arc<Node>, frame: Frame, chunk: &Bytes) {
    match frame {
        Frame::Members(records) => {
            merge_members(node, records);
            node.members.exchanged.store(true, Ordering::Relaxed);
        }
        Frame::Sizes(sizes) => crate::members::receive_sizes(node, sizes, "peer"),
        Frame::Note { revision } => crate::actor::distribution::receive(node, revision, chunk),
        Frame::GrantTokens(grant) => crate::actor::quota::receive(node, &grant),
        _ => {}
    }
}

fn merge_members(node: &Arc<Node>, records: Vec<Record>) {
    let output = lock(&node.members.fleet).merge_all(records, node.clock.now());
    crate::members::apply_output(node, output);
}

fn send(out: &mpsc::UnboundedSender<Outbound>, frame: Frame) {
    // The frame is lost if the connection has ended.
    let _ = out.send(Outbound::Frame(frame));
}

fn send_notes(node: &Node, out: &mpsc::UnboundedSender<Outbound>, after: u64) {
    for (revision, row) in crate::actor::distribution::rows_since(node, after) {
        let _ = out.send(Outbound::Unsplit(Frame::Note { revision }, row));
    }
}

/// Handles the head of a call with the first chunk of its body. A call that is
/// already known is ignored.
fn begin_call(
    node: &Arc<Node>,
    boot: u64,
    out: &mpsc::UnboundedSender<Outbound>,
    call: Box<Call>,
    chunk: &Bytes,
) {
    let id = call.id;
    let deadline = node.clock.now() + Duration::from_millis(u64::from(call.timeout_ms));
    let is_known = node
        .links
        .sessions
        .update(boot, |session| session.calls.contains_key(&id));
    if is_known {
        return;
    }
    let limit = node.lookup().config.limits.body.get() as u64;
    let length = call.length as usize;
    let mut body = Buffer::new(&node.memory, Kind::Request, length);
    let code = if call.length > limit {
        Some(Code::BodyTooLarge)
    } else if !body.reserve_exact(length) || !body.extend(chunk) {
        Some(Code::MemoryShed)
    } else {
        None
    };
    if let Some(code) = code {
        let refused = Refused::not_run(code, "", call.tokens);
        reject(node, boot, out, id, deadline, refused);
        return;
    }
    if body.len() == length {
        start(node, boot, call, body.freeze(), deadline);
        return;
    }
    node.links.sessions.update(boot, |session| {
        let receiving = Progress::Receiving(call, body, deadline);
        session.calls.insert(id, receiving);
    });
}

/// Appends a chunk to the body of a call and starts the call when the body is
/// complete.
fn continue_call(node: &Arc<Node>, boot: u64, id: u64, chunk: &Bytes) {
    let completed = node.links.sessions.update(boot, |session| {
        let Some(Progress::Receiving(call, body, ..)) = session.calls.get_mut(&id) else {
            return None;
        };
        // A body beyond its declared length never starts.
        if body.extend(chunk) && (body.len() as u64) < call.length {
            return None;
        }
        session.calls.remove(&id)
    });
    if let Some(Progress::Receiving(call, body, deadline)) = completed
        && body.len() as u64 == call.length
    {
        start(node, boot, call, body.freeze(), deadline);
    }
}

/// Queues a complete call for execution.
fn start(node: &Arc<Node>, boot: u64, call: Box<Call>, body: Bytes, deadline: Moment) {
    let id = call.id;
    let tokens = call.tokens;
    let (reply, completion) = oneshot::channel();
    let job = Job {
        call,
        body,
        deadline,
        reply,
    };
    let queued = node.jobs.send(job).is_ok();
    let task = {
        let node = Arc::clone(node);
        actix_rt::spawn(async move {
            let reply = match completion.await {
                Ok(reply) => reply,
                Err(_) if !queued => Reply::Refused(Refused::not_run(Code::Leaving, "", tokens)),
                Err(_) => Reply::Refused(Refused::unknown(Code::OutcomeUnknown, "", tokens)),
            };
            finish(&node, boot, id, reply, deadline);
        })
    };
    node.links.sessions.update(boot, |session| {
        let running = Progress::Running(task.abort_handle(), deadline);
        session.calls.insert(id, running);
    });
}

/// Stores the reply of a call and sends it over the newest connection.
fn finish(node: &Node, boot: u64, id: u64, reply: Reply, deadline: Moment) {
    node.links.sessions.update(boot, |session| {
        let mut completed = Completed {
            reply,
            deadline,
            sent_on: None,
        };
        if let Some(out) = &session.out {
            completed.send(out, id);
        }
        session.calls.insert(id, Progress::Completed(completed));
    });
}

impl Completed {
    /// Sends the reply over a connection, unless it was sent there before.
    fn send(&mut self, out: &Outlet, id: u64) {
        if self.sent_on != Some(out.key) {
            self.sent_on = Some(out.key);
            send_reply(&out.queue, id, &self.reply);
        }
    }
}

fn send_reply(out: &mpsc::UnboundedSender<Outbound>, id: u64, reply: &Reply) {
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
                pressure: answer.pressure,
                tokens: answer.tokens,
            };
            Outbound::Body(Frame::Answer(Box::new(head)), answer.body.clone())
        }
        Reply::Refused(refused) => Outbound::Frame(Frame::Refusal(Box::new(Refusal {
            id,
            code: refused.code,
            ran: refused.ran,
            detail: refused.detail.clone(),
            load: refused.load.unwrap_or_default(),
            level: refused.level.unwrap_or(ADMIT_ALL),
            price: refused.price.unwrap_or(0.0),
            pressure: refused.pressure.unwrap_or(0.0),
            tokens: refused.tokens,
        }))),
    };
    let _ = out.send(message);
}

/// Refuses a call permanently as not run. A copy of it that arrives later is
/// ignored.
fn reject(
    node: &Node,
    boot: u64,
    out: &mpsc::UnboundedSender<Outbound>,
    id: u64,
    deadline: Moment,
    refused: Refused,
) {
    send_reply(out, id, &Reply::Refused(refused));
    node.links.sessions.update(boot, |session| {
        session.calls.insert(id, Progress::Rejected(deadline));
    });
}

/// Sends the reply of a completed call over the newest connection, unless it was sent
/// there already; that of a running call follows when it completes. A call that was
/// not received in full is refused as not run.
fn resume(node: &Node, boot: u64, out: &mpsc::UnboundedSender<Outbound>, id: u64, timeout_ms: u32) {
    let deadline = node.clock.now() + Duration::from_millis(u64::from(timeout_ms));
    let not_received =
        node.links
            .sessions
            .update(boot, |session| match session.calls.get_mut(&id) {
                Some(Progress::Running(..)) => false,
                Some(Progress::Completed(completed)) => {
                    if let Some(out) = &session.out {
                        completed.send(out, id);
                    }
                    false
                }
                Some(Progress::Receiving(..) | Progress::Rejected(_)) | None => true,
            });
    if not_received {
        let refused = Refused::not_run(Code::LinkFailed, "call not received", 0);
        reject(node, boot, out, id, deadline, refused);
    }
}

/// Discards a call and aborts it if it is queued or running.
fn cancel(node: &Node, boot: u64, id: u64) {
    let progress = node.links.sessions.update(boot, |session| {
        if let Some(out) = &session.out {
            // The rest of its answer is not sent.
            let _ = out.queue.send(Outbound::Discard(id));
        }
        session.calls.remove(&id)
    });
    if let Some(Progress::Running(task, _)) = progress {
        task.abort();
    }
}
