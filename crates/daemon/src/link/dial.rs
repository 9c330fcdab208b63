//! The end of a link that dials, sends calls and collects their answers.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cardamomshed_code::{Code, Event};
use cardamomshed_note::Timing;
use cardamomshed_wire::{Answer, Frame, Refusal, decode};
use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_tungstenite::tungstenite::Message;

use super::handshake::{self, Socket};
use super::table::{Command, Link, Pending};
use super::writer::{self, Out};
use crate::node::Node;
use crate::reply::{self, Refused, Reply};
use crate::sync::lock;

/// Pause before the first redial; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two redials.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Failed redials after which calls that were sent are given up.
const GIVE_UP_AFTER: u32 = 3;
/// Failed redials after which a link without calls is forgotten.
const FORGET_AFTER: u32 = 60;
/// Heartbeats on a link without calls, as a multiple of the ordinary time.
const IDLE_HEARTBEATS: u32 = 10;

/// Why a connection ended.
enum End {
    /// There were no calls for long.
    Idle,
    /// It failed or went silent; the detail says how.
    Lost(String),
}

/// Runs one link until it has had no calls for long.
pub(super) async fn run(
    node: Arc<Node>,
    link: Arc<Link>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let mut failures = 0;
    let mut last_boot = None;
    loop {
        let connect = node.current().timing.connect.get();
        let dialled = timeout(connect, handshake::dial(&node, link.peer.address)).await;
        let (socket, boot) = match dialled {
            Ok(Ok((socket, other))) if other.node == link.peer.node => (socket, other.boot),
            other => {
                let detail = match other {
                    Ok(Ok((_, other))) => format!("{} answered instead", other.node),
                    Ok(Err(failure)) => failure.to_string(),
                    Err(_) => "the connection was not opened in time".to_owned(),
                };
                failures += 1;
                if !after_failure(&node, &link, failures, &detail).await {
                    break;
                }
                continue;
            }
        };
        failures = 0;
        node.routing.services.set_linked(&link.peer.node, true);
        node.note_event(Event::LinkOpened, format_args!("node={}", link.peer.node));
        if last_boot.is_some_and(|last| last != boot) {
            fail_sent(&link, "the other daemon was restarted");
        }
        last_boot = Some(boot);
        match drive(&node, &link, &mut commands, socket).await {
            End::Idle => break,
            End::Lost(detail) => {
                node.note_event(
                    Event::LinkClosed,
                    format_args!("node={} {detail}", link.peer.node),
                );
            }
        }
    }
    node.links.forget(&link);
    // The next call opens a new link and finds out; without this a target
    // whose link was given up would never be called again.
    node.routing.services.set_linked(&link.peer.node, true);
    commands.close();
    link.fail(true, "link closed");
}

/// Settles calls after a failed redial; says whether to try again.
async fn after_failure(node: &Node, link: &Link, failures: u32, detail: &str) -> bool {
    node.routing.services.set_linked(&link.peer.node, false);
    if failures == 1 {
        node.note_event(
            Event::LinkClosed,
            format_args!("node={} not reached: {detail}", link.peer.node),
        );
    }
    link.fail(failures >= GIVE_UP_AFTER, detail);
    let known = lock(&node.members.fleet)
        .get(&link.peer.node)
        .is_some_and(|record| record.state.is_active());
    if !known && failures >= GIVE_UP_AFTER || failures >= FORGET_AFTER {
        return false;
    }
    let pause = FIRST_PAUSE * 2u32.pow(failures.min(6));
    let spread = 0.5 + rand::random::<f64>();
    sleep(pause.min(MAX_PAUSE).mul_f64(spread)).await;
    true
}

fn fail_sent(link: &Link, detail: &str) {
    let sent = lock(&link.calls)
        .extract_if(|_, pending| pending.sent)
        .collect::<Vec<_>>();
    for (_, pending) in sent {
        let refused = Refused::unknown(Code::FateUnknown, detail, 0);
        let _ = pending.reply.send(Reply::Refused(refused));
    }
}

/// Uses one connection until it ends.
async fn drive(
    node: &Arc<Node>,
    link: &Arc<Link>,
    commands: &mut mpsc::UnboundedReceiver<Command>,
    socket: Socket,
) -> End {
    let timing = &node.settings.timing;
    let (sink, mut stream) = socket.split();
    let (out, queue) = mpsc::unbounded_channel();
    let writer = actix_rt::spawn(writer::run(sink, queue));
    resume(node, link, &out);
    let mut heartbeat = interval(timing.heartbeat.get());
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut vitals = Vitals::new(timing);
    let end = loop {
        tokio::select! {
            message = stream.next() => match message {
                Some(Ok(Message::Binary(bytes))) => {
                    vitals.heard = Instant::now();
                    if let Err(detail) = receive(node, link, &out, &bytes) {
                        break End::Lost(detail);
                    }
                }
                Some(Ok(Message::Close(_))) | None => break End::Lost("closed".to_owned()),
                Some(Ok(_)) => vitals.heard = Instant::now(),
                Some(Err(error)) => break End::Lost(error.to_string()),
            },
            command = commands.recv() => {
                vitals.used = Instant::now();
                match command {
                    Some(command) => obey(node, link, &out, command),
                    None => break End::Idle,
                }
            }
            _ = heartbeat.tick() => {
                let calls = !lock(&link.calls).is_empty();
                match vitals.beat(calls) {
                    Beat::Ping => {
                        let _ = out.send(Out::Frame(Frame::Ping));
                    }
                    Beat::Nothing => {}
                    Beat::Idle => break End::Idle,
                    Beat::Silent => {
                        node.note_event(Event::LinkSilent, format_args!("node={}", link.peer.node));
                        break End::Lost("silent".to_owned());
                    }
                }
            }
        }
    };
    writer.abort();
    end
}

/// What is due at a heartbeat.
enum Beat {
    Ping,
    Nothing,
    Idle,
    Silent,
}

/// Signs of life on one connection.
struct Vitals<'a> {
    timing: &'a Timing,
    /// When the other end was heard last.
    heard: Instant,
    /// When the link had a call or command last.
    used: Instant,
    beats: u32,
}

impl<'a> Vitals<'a> {
    fn new(timing: &'a Timing) -> Self {
        let now = Instant::now();
        Self {
            timing,
            heard: now,
            used: now,
            beats: 0,
        }
    }

    /// Decides at a heartbeat. Silence counts only while calls are open; it
    /// is measured from the first heartbeat that finds one.
    fn beat(&mut self, calls: bool) -> Beat {
        let now = Instant::now();
        self.beats = self.beats.wrapping_add(1);
        if calls {
            self.used = now;
            let silent = now.duration_since(self.heard) >= self.timing.silence.get();
            return if silent { Beat::Silent } else { Beat::Ping };
        }
        self.heard = now;
        if now.duration_since(self.used) >= self.timing.idle.get() {
            Beat::Idle
        } else if self.beats.is_multiple_of(IDLE_HEARTBEATS) {
            Beat::Ping
        } else {
            Beat::Nothing
        }
    }
}

/// Sends what was never sent and asks for the rest.
fn resume(node: &Node, link: &Link, out: &mpsc::UnboundedSender<Out>) {
    let now = node.clock.now();
    let mut calls = lock(&link.calls);
    for (id, pending) in calls.iter_mut() {
        pending.partial = None;
        if pending.sent {
            node.metrics.resumed.inc();
            node.decide(
                Event::CallResumed,
                pending.call.request,
                format_args!("call={id} node={}", link.peer.node),
            );
            let left = pending.deadline.since(now).as_millis();
            let frame = Frame::Resume {
                id: *id,
                timeout_ms: u32::try_from(left).unwrap_or(u32::MAX),
            };
            let _ = out.send(Out::Frame(frame));
        } else {
            pending.start(now, out);
        }
    }
}

impl Pending {
    fn start(&mut self, now: cardamomshed_policy::Moment, out: &mpsc::UnboundedSender<Out>) {
        self.sent = true;
        let left = self.deadline.since(now).as_millis();
        self.call.timeout_ms = u32::try_from(left).unwrap_or(u32::MAX);
        let frame = Frame::Call(Box::new(self.call.clone()));
        let _ = out.send(Out::Body(frame, self.body.clone()));
    }
}

fn obey(node: &Node, link: &Link, out: &mpsc::UnboundedSender<Out>, command: Command) {
    match command {
        Command::Start(id) => {
            let now = node.clock.now();
            let mut calls = lock(&link.calls);
            if let Some(pending) = calls.get_mut(&id).filter(|pending| !pending.sent) {
                node.metrics
                    .bytes
                    .with_label_values(&["calls"])
                    .inc_by(pending.body.len() as u64);
                pending.start(now, out);
            }
        }
        Command::Cancel(id) => {
            let _ = out.send(Out::Drop(id));
            let _ = out.send(Out::Frame(Frame::Cancel { id }));
        }
        Command::Send(frame) => {
            let _ = out.send(Out::Frame(frame));
        }
    }
}

/// Takes in a message from the other end.
fn receive(
    node: &Arc<Node>,
    link: &Link,
    out: &mpsc::UnboundedSender<Out>,
    bytes: &Bytes,
) -> Result<(), String> {
    let (frame, chunk) = decode(bytes).map_err(|failure| failure.to_string())?;
    let ended = match frame {
        Frame::Answer(answer) => begin_answer(node, link, *answer, &chunk),
        Frame::AnswerData { id } => continue_answer(link, id, &chunk),
        Frame::Refusal(refusal) => {
            let id = refusal.id;
            link.end(id, Reply::Refused(from_wire(*refusal)));
            Some(id)
        }
        other => {
            super::session::control(node, other, &chunk);
            None
        }
    };
    if let Some(id) = ended {
        let _ = out.send(Out::Frame(Frame::Received { id }));
    }
    Ok(())
}

fn from_wire(refusal: Refusal) -> Refused {
    Refused {
        code: refusal.code,
        ran: refusal.ran,
        detail: refusal.detail,
        // A limit of zero says that there is no target.
        load: (refusal.load.limit > 0).then_some(refusal.load),
        level: (refusal.load.limit > 0).then_some(refusal.level),
        price: (refusal.load.limit > 0).then_some(refusal.price),
        tokens: refusal.tokens,
    }
}

fn begin_answer(node: &Node, link: &Link, answer: Answer, chunk: &Bytes) -> Option<u64> {
    let id = answer.id;
    let limit = node.lookup().config.limits.body.get() as u64;
    if answer.length > limit {
        let refused = Refused::unknown(Code::AnswerTooLarge, "", answer.tokens);
        link.end(id, Reply::Refused(refused));
        return Some(id);
    }
    if answer.length == chunk.len() as u64 {
        link.end(id, Reply::Answer(whole(answer, chunk.clone())));
        return Some(id);
    }
    let mut body = BytesMut::with_capacity(answer.length as usize);
    body.extend_from_slice(chunk);
    if let Some(pending) = lock(&link.calls).get_mut(&id) {
        pending.partial = Some((answer, body));
    }
    None
}

fn continue_answer(link: &Link, id: u64, chunk: &Bytes) -> Option<u64> {
    let mut calls = lock(&link.calls);
    let (answer, body) = calls.get_mut(&id)?.partial.as_mut()?;
    body.extend_from_slice(chunk);
    if (body.len() as u64) < answer.length {
        return None;
    }
    let (answer, body) = calls.get_mut(&id)?.partial.take()?;
    drop(calls);
    let fits = body.len() as u64 == answer.length;
    let reply = if fits {
        Reply::Answer(whole(answer, body.freeze()))
    } else {
        Reply::Refused(Refused::unknown(Code::FrameInvalid, "answer too long", 0))
    };
    link.end(id, reply);
    Some(id)
}

fn whole(answer: Answer, body: Bytes) -> reply::Answer {
    reply::Answer {
        status: answer.status,
        headers: answer.headers,
        body,
        load: answer.load,
        level: answer.level,
        price: answer.price,
        tokens: answer.tokens,
    }
}
