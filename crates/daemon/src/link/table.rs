//! Links that this daemon dials and the calls that are open on them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_code::{Code, Event, Ran};
use cardamomshed_policy::Moment;
use cardamomshed_wire::{Answer, Call, Frame};
use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot};

use super::sessions::Sessions;
use crate::memory::Buffer;
use crate::reply::{Refused, Reply};
use crate::service::Peer;
use crate::sync::lock;

/// Command to the task of a link.
#[derive(Debug)]
pub(super) enum Command {
    /// Sends the call with this id.
    Start(u64),
    /// Cancels the call with this id; its caller no longer waits.
    Cancel(u64),
    /// Sends a frame. It is lost if the link fails.
    Send(Frame),
}

/// A call without a reply so far.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) call: Call,
    pub(super) body: Bytes,
    pub(super) deadline: Moment,
    /// Until when the peer knows the call, if it received it; `None` if no part of the
    /// call has been sent.
    pub(super) known_until: Option<Moment>,
    /// Answer whose body has been received in part.
    pub(super) partial: Option<(Answer, Buffer)>,
    pub(super) reply: oneshot::Sender<Reply>,
}

impl Pending {
    /// Whether any part of the call may have reached the peer.
    pub(super) const fn is_sent(&self) -> bool {
        self.known_until.is_some()
    }
}

/// Calls to one other daemon.
#[derive(Debug)]
pub struct Link {
    pub(super) peer: Peer,
    pub(super) calls: Mutex<HashMap<u64, Pending>>,
    /// Shortest round trip to the peer over the current connection, in
    /// microseconds.
    round_trip_us: AtomicU64,
    commands: mpsc::UnboundedSender<Command>,
}

/// A link whose task is to be spawned, with the receiver of its commands.
#[derive(Debug)]
pub struct Task {
    pub(super) link: Arc<Link>,
    pub(super) commands: mpsc::UnboundedReceiver<Command>,
}

/// Links that this daemon dials, and the sessions of daemons that dialled it.
#[derive(Debug)]
pub struct Links {
    dialled: Mutex<HashMap<Arc<str>, Arc<Link>>>,
    tasks: mpsc::UnboundedSender<Task>,
    next_call: AtomicU64,
    log: Logger,
    /// Sessions on links that other daemons dialled.
    pub sessions: Sessions,
}

/// Cancels a call on drop unless it has completed.
struct Guard<'a> {
    link: &'a Link,
    id: u64,
}

impl Links {
    /// Creates an empty table. Each new link is sent to the receiver, which
    /// must spawn its task.
    pub fn new(log: Logger) -> (Self, mpsc::UnboundedReceiver<Task>) {
        let (tasks, receiver) = mpsc::unbounded_channel();
        let links = Self {
            dialled: Mutex::default(),
            tasks,
            next_call: AtomicU64::new(1),
            log,
            sessions: Sessions::default(),
        };
        (links, receiver)
    }

    /// Call id that is unique within this process, from 1 upward.
    pub fn next_call_id(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a call to `peer` and waits for its reply, at most for `limit`. A link
    /// is opened if there is none; dropping the future cancels the call.
    pub async fn call(
        &self,
        peer: &Peer,
        call: Call,
        body: Bytes,
        deadline: Moment,
        limit: Duration,
    ) -> Reply {
        let id = call.id;
        let tokens = call.tokens;
        let (reply, completion) = oneshot::channel();
        let pending = Pending {
            call,
            body,
            deadline,
            known_until: None,
            partial: None,
            reply,
        };
        let link = self.get_or_open(peer);
        lock(&link.calls).insert(id, pending);
        let guard = Guard { link: &link, id };
        if link.commands.send(Command::Start(id)).is_err() {
            // A call is also sent when the link connects, so it may have been.
            return guard.expire(tokens);
        }
        let outcome = tokio::time::timeout(limit, completion).await;
        let Ok(reply) = outcome else {
            return guard.expire(tokens);
        };
        drop(guard);
        reply.unwrap_or_else(|_| {
            Reply::Refused(Refused::unknown(
                Code::OutcomeUnknown,
                "link closed before the reply arrived",
                0,
            ))
        })
    }

    /// Sends a frame without delivery guarantee: it is lost if the link fails.
    pub fn send(&self, peer: &Peer, frame: Frame) {
        // The link may have closed since it was looked up; the frame is then lost.
        let _ = self.get_or_open(peer).commands.send(Command::Send(frame));
    }

    /// Number of links that this daemon dials.
    pub fn len(&self) -> usize {
        lock(&self.dialled).len()
    }

    /// Whether this daemon dials no link.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn get_or_open(&self, peer: &Peer) -> Arc<Link> {
        let mut dialled = lock(&self.dialled);
        let existing = dialled
            .get(&peer.node)
            .filter(|link| link.peer.address == peer.address && !link.commands.is_closed());
        if let Some(link) = existing {
            return Arc::clone(link);
        }
        let (commands, receiver) = mpsc::unbounded_channel();
        let link = Arc::new(Link {
            peer: peer.clone(),
            calls: Mutex::default(),
            round_trip_us: AtomicU64::new(0),
            commands,
        });
        dialled.insert(Arc::clone(&peer.node), Arc::clone(&link));
        let task = Task {
            link: Arc::clone(&link),
            commands: receiver,
        };
        if self.tasks.send(task).is_err() {
            let event = Event::LinkClosed;
            info!(self.log, "{}", event.text();
                "event" => event.number(),
                "detail" => format!("node={} not opened: daemon is stopping", peer.node));
        }
        link
    }

    /// Removes a link that has closed, unless a newer one has replaced it.
    pub(super) fn remove(&self, link: &Arc<Link>) {
        let mut dialled = lock(&self.dialled);
        let is_current = dialled
            .get(&link.peer.node)
            .is_some_and(|current| Arc::ptr_eq(current, link));
        if is_current {
            dialled.remove(&link.peer.node);
        }
    }
}

impl Link {
    /// Starts over with the round trip of a new connection.
    pub(super) fn set_round_trip(&self, round_trip: Duration) {
        let micros = round_trip.as_micros() as u64;
        self.round_trip_us.store(micros, Ordering::Relaxed);
    }

    /// Takes over a shorter round trip.
    pub(super) fn record_round_trip(&self, round_trip: Duration) {
        let micros = round_trip.as_micros() as u64;
        self.round_trip_us.fetch_min(micros, Ordering::Relaxed);
    }

    /// Time that a call sent now has at the peer, so that a reply at its end
    /// arrives before `deadline`. At least half of the time until then.
    pub(super) fn remaining_at_peer(&self, deadline: Moment, now: Moment) -> Duration {
        let remaining = deadline.since(now);
        let round_trip = Duration::from_micros(self.round_trip_us.load(Ordering::Relaxed));
        remaining.saturating_sub(round_trip).max(remaining / 2)
    }

    /// Completes a call that the peer refuses. A peer that does not know a call has not
    /// received it, unless it has had the time to forget it.
    pub(super) fn refuse(&self, id: u64, mut refused: Refused, now: Moment) {
        if refused.code == Code::LinkFailed {
            let calls = lock(&self.calls);
            let known_until = calls.get(&id).and_then(|pending| pending.known_until);
            if known_until.is_none_or(|until| until <= now) {
                refused.ran = Ran::Unknown;
                "the peer no longer knows the call".clone_into(&mut refused.detail);
            }
        }
        self.complete(id, Reply::Refused(refused));
    }

    /// Completes a call with `reply`; an unknown id is ignored.
    pub(super) fn complete(&self, id: u64, reply: Reply) {
        if let Some(pending) = lock(&self.calls).remove(&id) {
            // The receiver is dropped when the caller no longer waits.
            let _ = pending.reply.send(reply);
        }
    }

    /// Fails every call that has not been sent and, if `also_sent`, the sent
    /// ones too, with an unknown outcome.
    pub(super) fn fail(&self, also_sent: bool, detail: &str) {
        let failed = lock(&self.calls)
            .extract_if(|_, pending| also_sent || !pending.is_sent())
            .collect::<Vec<_>>();
        for (_, pending) in failed {
            let refused = if pending.is_sent() {
                Refused::unknown(Code::OutcomeUnknown, detail, 0)
            } else {
                Refused::not_run(Code::LinkFailed, detail, pending.call.tokens)
            };
            let _ = pending.reply.send(Reply::Refused(refused));
        }
    }
}

impl Guard<'_> {
    /// Gives the call up. A call that was not sent by then never will be.
    fn expire(self, tokens: u8) -> Reply {
        let mut calls = lock(&self.link.calls);
        let is_unsent = calls
            .get(&self.id)
            .is_some_and(|pending| !pending.is_sent());
        if is_unsent {
            calls.remove(&self.id);
        }
        drop(calls);
        Reply::Refused(if is_unsent {
            let detail = "not sent before the deadline";
            Refused::not_run(Code::LinkFailed, detail, tokens)
        } else {
            Refused::unknown(Code::OutcomeUnknown, "no reply before the deadline", 0)
        })
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if lock(&self.link.calls).remove(&self.id).is_some() {
            let _ = self.link.commands.send(Command::Cancel(self.id));
        }
    }
}
