//! Calls that came over links, by the process that made them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use bytes::BytesMut;
use cardamomshed_policy::Moment;
use cardamomshed_wire::Call;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::writer::Out;
use crate::life::Held;
use crate::reply::Reply;
use crate::sync::lock;

/// Time beyond the deadline for which an answer is kept.
const KEEP: Duration = Duration::from_secs(1);

/// A call that came over a link.
#[derive(Debug)]
pub(super) enum Served {
    /// Its body is still arriving.
    Arriving(Box<Call>, BytesMut, Moment, Held),
    /// It waits or runs; aborting cancels it.
    Running(AbortHandle, Moment),
    /// It ended and its end has not arrived at the other daemon.
    Done(Reply, Moment),
    /// It was said not to have run, so it must not be started any more.
    Barred(Moment),
}

impl Served {
    const fn deadline(&self) -> Moment {
        match self {
            Self::Arriving(_, _, deadline, _)
            | Self::Running(_, deadline)
            | Self::Done(_, deadline)
            | Self::Barred(deadline) => *deadline,
        }
    }
}

/// Calls of one process of another daemon, over all its connections.
#[derive(Debug, Default)]
pub(super) struct Session {
    /// The newest connection, which replaces all earlier ones.
    pub(super) out: Option<mpsc::UnboundedSender<Out>>,
    pub(super) reader: Option<AbortHandle>,
    pub(super) calls: HashMap<u64, Served>,
}

/// Calls of every other daemon, by the number of its process.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: Mutex<HashMap<u64, Session>>,
}

impl Sessions {
    /// Forgets answers that are of no use any more.
    pub fn sweep(&self, now: Moment) {
        let mut sessions = lock(&self.sessions);
        for session in sessions.values_mut() {
            session.calls.retain(|_, served| {
                let keep = served.deadline() + KEEP > now;
                if let (false, Served::Running(task, _)) = (keep, &*served) {
                    task.abort();
                }
                keep
            });
        }
        sessions.retain(|_, session| session.out.is_some() || !session.calls.is_empty());
    }

    /// Whether any call of another daemon runs.
    pub fn is_idle(&self) -> bool {
        let busy = |served: &Served| !matches!(served, Served::Barred(_));
        let sessions = lock(&self.sessions);
        !sessions
            .values()
            .any(|session| session.calls.values().any(busy))
    }

    pub(super) fn with<R>(&self, boot: u64, change: impl FnOnce(&mut Session) -> R) -> R {
        change(lock(&self.sessions).entry(boot).or_default())
    }
}
