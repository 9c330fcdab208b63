//! Links that this daemon dials, and the calls that are open on them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use cardamomshed_code::{Code, Event};
use cardamomshed_policy::Moment;
use cardamomshed_wire::{Answer, Call, Frame};
use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot};

use super::sessions::Sessions;
use crate::reply::{Refused, Reply};
use crate::service::Peer;
use crate::sync::lock;

/// What the parts of a daemon ask of a link.
#[derive(Debug)]
pub(super) enum Command {
    /// Send this call.
    Start(u64),
    /// The answer of this call is of no use any more.
    Cancel(u64),
    /// Send this frame, unless the link goes down.
    Send(Frame),
}

/// An open call.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) call: Call,
    pub(super) body: Bytes,
    pub(super) deadline: Moment,
    /// Whether any part of it may have reached the other end.
    pub(super) sent: bool,
    /// Answer whose body is still arriving.
    pub(super) partial: Option<(Answer, BytesMut)>,
    pub(super) reply: oneshot::Sender<Reply>,
}

/// Calls to one other daemon.
#[derive(Debug)]
pub struct Link {
    pub(super) peer: Peer,
    pub(super) calls: Mutex<HashMap<u64, Pending>>,
    commands: mpsc::UnboundedSender<Command>,
}

/// A link that is to be run, with its commands.
#[derive(Debug)]
pub struct Start {
    pub(super) link: Arc<Link>,
    pub(super) commands: mpsc::UnboundedReceiver<Command>,
}

/// Every link that this daemon dials, and what others dialled.
#[derive(Debug)]
pub struct Links {
    dialled: Mutex<HashMap<Arc<str>, Arc<Link>>>,
    starts: mpsc::UnboundedSender<Start>,
    next_call: AtomicU64,
    log: Logger,
    /// Links that other daemons dialled.
    pub sessions: Sessions,
}

/// Cancels a call unless it ended.
struct Guard<'a> {
    link: &'a Link,
    id: u64,
}

impl Links {
    /// No links; new ones are handed to the receiver to be run.
    pub fn new(log: Logger) -> (Self, mpsc::UnboundedReceiver<Start>) {
        let (starts, receiver) = mpsc::unbounded_channel();
        let links = Self {
            dialled: Mutex::default(),
            starts,
            next_call: AtomicU64::new(1),
            log,
            sessions: Sessions::default(),
        };
        (links, receiver)
    }

    /// A call number that this process has not used.
    pub fn next_call(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Makes a call and waits for its end.
    pub async fn call(&self, peer: &Peer, call: Call, body: Bytes, deadline: Moment) -> Reply {
        let id = call.id;
        let tokens = call.tokens;
        let (reply, end) = oneshot::channel();
        let pending = Pending {
            call,
            body,
            deadline,
            sent: false,
            partial: None,
            reply,
        };
        let link = self.get(peer);
        lock(&link.calls).insert(id, pending);
        let guard = Guard { link: &link, id };
        if link.commands.send(Command::Start(id)).is_err() {
            return Reply::Refused(Refused::not_run(Code::LinkFailed, "link closed", tokens));
        }
        let ended = end.await;
        drop(guard);
        ended.unwrap_or_else(|_| {
            Reply::Refused(Refused::unknown(Code::OutcomeUnknown, "the link ended", 0))
        })
    }

    /// Sends a frame that needs no care: it may be lost with the link.
    pub fn send(&self, peer: &Peer, frame: Frame) {
        // A link that has just closed loses the frame, as any loss would.
        let _ = self.get(peer).commands.send(Command::Send(frame));
    }

    /// Links that are open at both ends.
    pub fn len(&self) -> usize {
        lock(&self.dialled).len()
    }

    /// Whether this daemon dials no link.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn get(&self, peer: &Peer) -> Arc<Link> {
        let mut dialled = lock(&self.dialled);
        let known = dialled
            .get(&peer.node)
            .filter(|link| link.peer.address == peer.address && !link.commands.is_closed());
        if let Some(link) = known {
            return Arc::clone(link);
        }
        let (commands, receiver) = mpsc::unbounded_channel();
        let link = Arc::new(Link {
            peer: peer.clone(),
            calls: Mutex::default(),
            commands,
        });
        dialled.insert(Arc::clone(&peer.node), Arc::clone(&link));
        let start = Start {
            link: Arc::clone(&link),
            commands: receiver,
        };
        if self.starts.send(start).is_err() {
            let event = Event::LinkClosed;
            info!(self.log, "{}", event.text();
                "event" => event.number(),
                "detail" => format!("node={} the daemon is stopping", peer.node));
        }
        link
    }

    /// Forgets a link that closed for want of calls.
    pub(super) fn forget(&self, link: &Arc<Link>) {
        let mut dialled = lock(&self.dialled);
        let same = dialled
            .get(&link.peer.node)
            .is_some_and(|known| Arc::ptr_eq(known, link));
        if same {
            dialled.remove(&link.peer.node);
        }
    }
}

impl Link {
    /// Ends a call.
    pub(super) fn end(&self, id: u64, reply: Reply) {
        if let Some(pending) = lock(&self.calls).remove(&id) {
            // A caller that is gone has dropped its receiver.
            let _ = pending.reply.send(reply);
        }
    }

    /// Ends every call that has not been sent, or every call.
    pub(super) fn fail(&self, also_sent: bool, detail: &str) {
        let failed = lock(&self.calls)
            .extract_if(|_, pending| also_sent || !pending.sent)
            .collect::<Vec<_>>();
        for (_, pending) in failed {
            let refused = if pending.sent {
                Refused::unknown(Code::OutcomeUnknown, detail, 0)
            } else {
                Refused::not_run(Code::LinkFailed, detail, pending.call.tokens)
            };
            let _ = pending.reply.send(Reply::Refused(refused));
        }
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if lock(&self.link.calls).remove(&self.id).is_some() {
            let _ = self.link.commands.send(Command::Cancel(self.id));
        }
    }
}
