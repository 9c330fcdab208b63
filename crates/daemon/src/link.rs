//! Peer links: calls to other daemons over one connection for each pair.
//!
//! A call belongs to a [`Link`], not to a connection. When a connection goes
//! silent it is replaced and open calls are resumed by id on the new one, so
//! a call ends once, with a whole answer or with a refusal.

mod accept;
mod dial;
mod handshake;
mod session;
mod writer;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use cardamomshed_code::Code;
use cardamomshed_policy::Moment;
use cardamomshed_wire::{Answer, Call, Frame};
use tokio::sync::{mpsc, oneshot};

pub use accept::accept;
pub use session::Sessions;

use crate::node::Node;
use crate::reply::{Refused, Reply};
use crate::service::Peer;
use crate::sync::lock;

/// Bytes of a body that go into one message, so that a large body does not
/// hold up small ones.
pub(crate) const CHUNK: usize = 32 * 1024;

/// What the parts of a daemon ask of a link.
#[derive(Debug)]
enum Command {
    /// Send this call.
    Start(u64),
    /// The answer of this call is of no use any more.
    Cancel(u64),
    /// Send this frame, unless the link goes down.
    Send(Frame),
}

/// An open call.
#[derive(Debug)]
struct Pending {
    call: Call,
    body: Bytes,
    deadline: Moment,
    /// Whether any part of it may have reached the other end.
    sent: bool,
    /// Answer whose body is still arriving.
    partial: Option<(Answer, BytesMut)>,
    reply: oneshot::Sender<Reply>,
}

/// Calls to one other daemon.
#[derive(Debug)]
pub struct Link {
    peer: Peer,
    calls: Mutex<HashMap<u64, Pending>>,
    commands: mpsc::UnboundedSender<Command>,
}

/// A link that is to be run, with its commands.
#[derive(Debug)]
pub struct Start {
    link: Arc<Link>,
    commands: mpsc::UnboundedReceiver<Command>,
}

/// Every link that this daemon dials, and what others dialled.
#[derive(Debug)]
pub struct Links {
    dialled: Mutex<HashMap<Arc<str>, Arc<Link>>>,
    starts: mpsc::UnboundedSender<Start>,
    next_call: AtomicU64,
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
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Start>) {
        let (starts, receiver) = mpsc::unbounded_channel();
        let links = Self {
            dialled: Mutex::default(),
            starts,
            next_call: AtomicU64::new(1),
            sessions: Sessions::default(),
        };
        (links, receiver)
    }

    /// A call number that this process has not used.
    pub fn next_call(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Makes a call and waits for its end.
    pub async fn call(
        &self,
        node: &Arc<Node>,
        peer: &Peer,
        call: Call,
        body: Bytes,
        deadline: Moment,
    ) -> Reply {
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
        let link = self.get(node, peer);
        lock(&link.calls).insert(id, pending);
        let guard = Guard { link: &link, id };
        if link.commands.send(Command::Start(id)).is_err() {
            return Reply::Refused(Refused::not_run(Code::LinkFailed, "link closed", tokens));
        }
        let ended = end.await;
        drop(guard);
        ended.unwrap_or_else(|_| {
            Reply::Refused(Refused::unknown(Code::FateUnknown, "the link ended", 0))
        })
    }

    /// Sends a frame that needs no care: it may be lost with the link.
    pub fn send(&self, node: &Arc<Node>, peer: &Peer, frame: Frame) {
        // A link that has just closed loses the frame, as any loss would.
        let _ = self.get(node, peer).commands.send(Command::Send(frame));
    }

    /// Links that are open at both ends.
    pub fn len(&self) -> usize {
        lock(&self.dialled).len()
    }

    /// Whether this daemon dials no link.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn get(&self, node: &Arc<Node>, peer: &Peer) -> Arc<Link> {
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
            node.note_event(
                cardamomshed_code::Event::LinkClosed,
                format_args!("node={} the daemon is stopping", peer.node),
            );
        }
        link
    }

    /// Forgets a link that closed for want of calls.
    fn forget(&self, link: &Arc<Link>) {
        let mut dialled = lock(&self.dialled);
        let same = dialled
            .get(&link.peer.node)
            .is_some_and(|known| Arc::ptr_eq(known, link));
        if same {
            dialled.remove(&link.peer.node);
        }
    }
}

/// Runs links as they are started.
pub async fn run(node: Arc<Node>, starts: &mut mpsc::UnboundedReceiver<Start>) {
    while let Some(start) = starts.recv().await {
        actix_rt::spawn(dial::run(Arc::clone(&node), start.link, start.commands));
    }
}

impl Link {
    /// Ends a call.
    fn end(&self, id: u64, reply: Reply) {
        if let Some(pending) = lock(&self.calls).remove(&id) {
            // A caller that is gone has dropped its receiver.
            let _ = pending.reply.send(reply);
        }
    }

    /// Ends every call that has not been sent, or every call.
    fn fail(&self, also_sent: bool, detail: &str) {
        let failed = lock(&self.calls)
            .extract_if(|_, pending| also_sent || !pending.sent)
            .collect::<Vec<_>>();
        for (_, pending) in failed {
            let refused = if pending.sent {
                Refused::unknown(Code::FateUnknown, detail, 0)
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
