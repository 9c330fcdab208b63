//! Dialling end of a link. It connects, sends calls and receives their answers.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_code::{Code, Event};
use cardamomshed_note::Timing;
use cardamomshed_policy::Moment;
use cardamomshed_policy::memory::Kind;
use cardamomshed_wire::{Answer, Frame, Refusal, decode};
use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_tungstenite::tungstenite::Message;

use super::handshake::{self, Socket};
use super::sessions::RETENTION;
use super::table::{Command, Link, Pending};
use super::writer::{self, Outbound};
use crate::memory::Buffer;
use crate::node::Node;
use crate::reply::{self, Refused, Reply};
use crate::sync::lock;

/// Statuses that an answer may have. A peer of an earlier version passes on others.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Memory that the buffers of a link take, in bytes.
pub(super) const LINK_BYTES: usize = 64 * 1024;
/// Base of the exponential backoff between dial attempts.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
/// Largest backoff between two dial attempts, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Consecutive failed dials after which sent calls fail with an unknown
/// outcome, and after which the link to an address of no member is removed.
const FAIL_SENT_AFTER: u32 = 3;
/// Consecutive failed dials after which the link is removed even if its peer is
/// still a member.
const REMOVE_AFTER: u32 = 60;
/// Number of heartbeat intervals between two pings on a link without calls.
const IDLE_PING_EVERY: u32 = 10;

/// Why a connection ended.
enum End {
    /// No call was open within the idle timeout.
    Idle,
    /// It failed, or the peer sent nothing within the silence limit. Carries the
    /// cause.
    Lost(String),
}

/// Runs one link until it is idle or its peer cannot be reached.
pub(super) async fn run(
    node: Arc<Node>,
    link: Arc<Link>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let mut failures = 0;
    let mut last_boot = None;
    loop {
        let Some(_reservation) = node.memory.reserve(Kind::Link, LINK_BYTES) else {
            failures += 1;
            if !handle_dial_failure(&node, &link, failures, "no memory for the link").await {
                break;
            }
            continue;
        };
        let connect = node.current_settings().timing.connect.get();
        let dialled = timeout(connect, handshake::dial(&node, link.peer.address)).await;
        let connection = match dialled {
            Ok(Ok(connection)) if connection.remote.node == link.peer.node => connection,
            other => {
                let detail = match other {
                    Ok(Ok(other)) => format!("address belongs to node {}", other.remote.node),
                    Ok(Err(failure)) => failure.to_string(),
                    Err(_) => "connection timed out".to_owned(),
                };
                failures += 1;
                if !handle_dial_failure(&node, &link, failures, &detail).await {
                    break;
                }
                continue;
            }
        };
        failures = 0;
        node.routing.services.set_linked(&link.peer, true);
        node.log_event(Event::LinkOpened, format_args!("node={}", link.peer.node));
        let boot = connection.remote.boot;
        if last_boot.is_some_and(|last| last != boot) {
            fail_sent_calls(&link, "peer process restarted");
        }
        last_boot = Some(boot);
        link.set_round_trip(connection.round_trip);
        match run_connection(&node, &link, &mut commands, connection.socket).await {
            End::Idle => break,
            End::Lost(detail) => {
                node.log_event(
                    Event::LinkClosed,
                    format_args!("node={} {detail}", link.peer.node),
                );
            }
        }
    }
    node.links.remove(&link);
    // Routing skips peers that are marked as not linked, so a target whose
    // link was removed would never be called again. The next call opens a new
    // link, which detects whether the peer is reachable.
    node.routing.services.set_linked(&link.peer, true);
    commands.close();
    link.fail(true, "link closed");
}

/// Fails affected calls after a failed dial and waits for the backoff. Returns
/// whether to dial again.
async fn handle_dial_failure(node: &Node, link: &Link, failures: u32, detail: &str) -> bool {
    node.routing.services.set_linked(&link.peer, false);
    if failures == 1 {
        node.log_event(
            Event::LinkClosed,
            format_args!("node={} dial failed: {detail}", link.peer.node),
        );
    }
    link.fail(failures >= FAIL_SENT_AFTER, detail);
    let is_member = lock(&node.members.fleet)
        .get(&link.peer.node)
        .is_some_and(|record| record.state.is_active() && record.profile.peer == link.peer.address);
    if !is_member && failures >= FAIL_SENT_AFTER || failures >= REMOVE_AFTER {
        return false;
    }
    let backoff = BASE_BACKOFF * 2u32.pow(failures.min(6));
    let jitter = 0.5 + rand::random::<f64>();
    sleep(backoff.min(MAX_BACKOFF).mul_f64(jitter)).await;
    true
}

/// Fails sent calls with an unknown outcome. A restarted peer has no state of
/// them, so they cannot be resumed.
fn fail_sent_calls(link: &Link, detail: &str) {
    let sent = lock(&link.calls)
        .extract_if(|_, pending| pending.is_sent())
        .collect::<Vec<_>>();
    for (_, pending) in sent {
        let refused = Refused::unknown(Code::OutcomeUnknown, detail, 0);
        let _ = pending.reply.send(Reply::Refused(refused));
    }
}

/// Runs the link over one connection until the connection ends.
async fn run_connection(
    node: &Arc<Node>,
    link: &Arc<Link>,
    commands: &mut mpsc::UnboundedReceiver<Command>,
    socket: Socket,
) -> End {
    let timing = &node.settings.timing;
    let (sink, mut stream) = socket.split();
    let (out, queue) = mpsc::unbounded_channel();
    let writer = actix_rt::spawn(writer::run(sink, queue));
    resume_calls(node, link, &out);
    let mut heartbeat = interval(timing.heartbeat.get());
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut liveness = Liveness::new(timing);
    let end = loop {
        tokio::select! {
            message = stream.next() => match message {
                Some(Ok(Message::Binary(bytes))) => {
                    liveness.received_at = Instant::now();
                    if let Err(detail) = receive(node, link, &out, &mut liveness, &bytes) {
                        break End::Lost(detail);
                    }
                }
                Some(Ok(Message::Close(_))) | None => break End::Lost("closed".to_owned()),
                Some(Ok(_)) => liveness.received_at = Instant::now(),
                Some(Err(error)) => break End::Lost(error.to_string()),
            },
            command = commands.recv() => {
                liveness.used_at = Instant::now();
                match command {
                    Some(command) => execute(node, link, &out, command),
                    None => break End::Idle,
                }
            }
            _ = heartbeat.tick() => {
                let calls = !lock(&link.calls).is_empty();
                match liveness.on_heartbeat(calls) {
                    Action::Ping => {
                        liveness.pinged_at.get_or_insert_with(Instant::now);
                        let _ = out.send(Outbound::Frame(Frame::Ping));
                    }
                    Action::Skip => {}
                    Action::Close => break End::Idle,
                    Action::Replace => {
                        node.log_event(Event::LinkTimedOut, format_args!("node={}", link.peer.node));
                        break End::Lost("silent".to_owned());
                    }
                }
            }
        }
    };
    writer.abort();
    end
}

/// Action to take at a heartbeat.
enum Action {
    Ping,
    Skip,
    /// Close the link, which is idle.
    Close,
    /// Replace the connection, on which nothing was received in time.
    Replace,
}

/// Detects silence and idleness of one connection.
struct Liveness<'a> {
    timing: &'a Timing,
    /// Time of the last received message, or of the last heartbeat without
    /// open calls.
    received_at: Instant,
    /// Time of the last command or heartbeat with an open call.
    used_at: Instant,
    /// Time of the first ping that the peer has not answered.
    pinged_at: Option<Instant>,
    heartbeats: u32,
}

impl<'a> Liveness<'a> {
    fn new(timing: &'a Timing) -> Self {
        let now = Instant::now();
        Self {
            timing,
            received_at: now,
            used_at: now,
            pinged_at: None,
            heartbeats: 0,
        }
    }

    /// Chooses the action for a heartbeat. `calls` is whether any call is open.
    /// Silence counts only while calls are open. It is measured from the last
    /// message or the last heartbeat without an open call, whichever is later.
    fn on_heartbeat(&mut self, calls: bool) -> Action {
        let now = Instant::now();
        self.heartbeats = self.heartbeats.wrapping_add(1);
        if calls {
            self.used_at = now;
            let silent = now.duration_since(self.received_at) >= self.timing.silence.get();
            return if silent {
                Action::Replace
            } else {
                Action::Ping
            };
        }
        self.received_at = now;
        if now.duration_since(self.used_at) >= self.timing.idle.get() {
            Action::Close
        } else if self.heartbeats.is_multiple_of(IDLE_PING_EVERY) {
            Action::Ping
        } else {
            Action::Skip
        }
    }
}

/// Sends calls that have not been sent and resumes the others by id. Partial
/// answers are discarded, since they are sent again in full.
fn resume_calls(node: &Node, link: &Link, out: &mpsc::UnboundedSender<Outbound>) {
    let now = node.clock.now();
    let mut calls = lock(&link.calls);
    for (id, pending) in calls.iter_mut() {
        pending.partial = None;
        if pending.is_sent() {
            node.metrics.resumed.inc();
            node.log_decision(
                Event::CallResumed,
                pending.call.request,
                format_args!("call={id} node={}", link.peer.node),
            );
            let remaining = link.remaining_at_peer(pending.deadline, now);
            let frame = Frame::Resume {
                id: *id,
                timeout_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
            };
            let _ = out.send(Outbound::Frame(frame));
        } else {
            pending.send(link.remaining_at_peer(pending.deadline, now), now, out);
        }
    }
}

impl Pending {
    /// Sends the call with the time that it has at the peer.
    fn send(&mut self, remaining: Duration, now: Moment, out: &mpsc::UnboundedSender<Outbound>) {
        let timeout_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
        self.known_until = Some(now + Duration::from_millis(u64::from(timeout_ms)) + RETENTION);
        self.call.timeout_ms = timeout_ms;
        let frame = Frame::Call(Box::new(self.call.clone()));
        let _ = out.send(Outbound::Body(frame, self.body.clone()));
    }
}

fn execute(node: &Node, link: &Link, out: &mpsc::UnboundedSender<Outbound>, command: Command) {
    match command {
        Command::Start(id) => {
            let now = node.clock.now();
            let mut calls = lock(&link.calls);
            if let Some(pending) = calls.get_mut(&id).filter(|pending| !pending.is_sent()) {
                node.metrics
                    .bytes
                    .with_label_values(&["calls"])
                    .inc_by(pending.body.len() as u64);
                pending.send(link.remaining_at_peer(pending.deadline, now), now, out);
            }
        }
        Command::Cancel(id) => {
            let _ = out.send(Outbound::Discard(id));
            let _ = out.send(Outbound::Frame(Frame::Cancel { id }));
        }
        Command::Send(frame) => {
            let _ = out.send(Outbound::Frame(frame));
        }
    }
}

/// Handles a message from the peer and confirms each completed call.
fn receive(
    node: &Arc<Node>,
    link: &Link,
    out: &mpsc::UnboundedSender<Outbound>,
    liveness: &mut Liveness<'_>,
    bytes: &Bytes,
) -> Result<(), String> {
    let (frame, chunk) = decode(bytes).map_err(|failure| failure.to_string())?;
    let completed = match frame {
        Frame::Answer(answer) => begin_answer(node, link, *answer, &chunk),
        Frame::AnswerData { id } => continue_answer(node, link, id, &chunk),
        Frame::Refusal(refusal) => {
            let id = refusal.id;
            link.refuse(id, refused_from_wire(*refusal), node.clock.now());
            Some(Frame::Received { id })
        }
        Frame::Pong => {
            if let Some(pinged_at) = liveness.pinged_at.take() {
                link.record_round_trip(pinged_at.elapsed());
            }
            None
        }
        other => {
            super::session::handle_control(node, other, &chunk);
            None
        }
    };
    if let Some(frame) = completed {
        let _ = out.send(Outbound::Frame(frame));
    }
    Ok(())
}

fn refused_from_wire(refusal: Refusal) -> Refused {
    Refused {
        code: refusal.code,
        ran: refusal.ran,
        detail: refusal.detail,
        // A limit of zero means that the peer has no target.
        load: (refusal.load.limit > 0).then_some(refusal.load),
        level: (refusal.load.limit > 0).then_some(refusal.level),
        price: (refusal.load.limit > 0).then_some(refusal.price),
        pressure: (refusal.load.limit > 0).then_some(refusal.pressure),
        tokens: refusal.tokens,
    }
}

/// Handles the head of an answer with the first chunk of its body. If that completes the
/// call, returns the frame that tells the peer so. An answer for which there is no memory
/// is cancelled, so that the peer does not send the rest.
fn begin_answer(node: &Node, link: &Link, answer: Answer, chunk: &Bytes) -> Option<Frame> {
    let id = answer.id;
    let limit = node.lookup().config.limits.body.get() as u64;
    if answer.length > limit {
        let refused = Refused::unknown(Code::AnswerTooLarge, "", answer.tokens);
        link.complete(id, Reply::Refused(refused));
        return Some(Frame::Received { id });
    }
    if !FINAL_STATUSES.contains(&answer.status) {
        let detail = format!("status {} is not that of a response", answer.status);
        let refused = Refused::unknown(Code::TargetFailed, detail, answer.tokens);
        link.complete(id, Reply::Refused(refused));
        return Some(Frame::Received { id });
    }
    // Answers that were begun on an earlier connection have been discarded.
    let is_repeated = lock(&link.calls)
        .get(&id)
        .is_some_and(|pending| pending.partial.is_some());
    if is_repeated {
        let detail = "answer begun twice on one connection";
        let refused = Refused::unknown(Code::FrameInvalid, detail, answer.tokens);
        link.complete(id, Reply::Refused(refused));
        return Some(Frame::Received { id });
    }
    let length = answer.length as usize;
    let mut body = Buffer::new(&node.memory, Kind::Response, length);
    if !body.reserve_exact(length) || !body.extend(chunk) {
        return Some(discard_answer(node, link, id, answer.tokens));
    }
    if body.len() == length {
        let reply = Reply::Answer(complete_answer(answer, body.freeze()));
        link.complete(id, reply);
        return Some(Frame::Received { id });
    }
    if let Some(pending) = lock(&link.calls).get_mut(&id) {
        pending.partial = Some((answer, body));
    }
    None
}

/// Completes a call whose answer finds no memory.
fn discard_answer(node: &Node, link: &Link, id: u64, tokens: u8) -> Frame {
    let metrics = &node.metrics.unreserved;
    metrics.with_label_values(&["answer"]).inc();
    let detail = "no memory for the answer";
    let refused = Refused::unknown(Code::AnswerTooLarge, detail, tokens);
    link.complete(id, Reply::Refused(refused));
    Frame::Cancel { id }
}

/// Appends a chunk to the body of an answer. If that completes the call, returns the
/// frame that tells the peer so.
fn continue_answer(node: &Node, link: &Link, id: u64, chunk: &Bytes) -> Option<Frame> {
    let mut calls = lock(&link.calls);
    let (answer, body) = calls.get_mut(&id)?.partial.as_mut()?;
    if !body.extend(chunk) {
        let tokens = answer.tokens;
        drop(calls);
        return Some(discard_answer(node, link, id, tokens));
    }
    if (body.len() as u64) < answer.length {
        return None;
    }
    let (answer, body) = calls.get_mut(&id)?.partial.take()?;
    drop(calls);
    let is_exact = body.len() as u64 == answer.length;
    let reply = if is_exact {
        Reply::Answer(complete_answer(answer, body.freeze()))
    } else {
        Reply::Refused(Refused::unknown(
            Code::FrameInvalid,
            "answer body exceeds its declared length",
            0,
        ))
    };
    link.complete(id, reply);
    Some(Frame::Received { id })
}

fn complete_answer(answer: Answer, body: Bytes) -> reply::Answer {
    reply::Answer {
        status: answer.status,
        headers: answer.headers,
        body,
        load: answer.load,
        level: answer.level,
        price: answer.price,
        pressure: answer.pressure,
        tokens: answer.tokens,
    }
}
