//! Calls received over links, by the process that sent them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use cardamomshed_policy::Moment;
use cardamomshed_wire::Call;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::writer::Outbound;
use crate::memory::Buffer;
use crate::reply::Reply;
use crate::sync::lock;

/// Time after its deadline for which the state of a call is retained, so that
/// the caller can still resume it.
pub(super) const RETENTION: Duration = Duration::from_secs(1);

/// State of a call received over a link.
#[derive(Debug)]
pub(super) enum Progress {
    /// Part of the body has been received.
    Receiving(Box<Call>, Buffer, Moment),
    /// The call is queued or running. Aborting the task cancels it.
    Running(AbortHandle, Moment),
    /// The call completed; the caller has not yet confirmed the reply.
    Completed(Completed),
    /// The call was reported as not run, so it must not be started later.
    Rejected(Moment),
}

impl Progress {
    const fn deadline(&self) -> Moment {
        match self {
            Self::Receiving(_, _, deadline)
            | Self::Running(_, deadline)
            | Self::Rejected(deadline) => *deadline,
            Self::Completed(completed) => completed.deadline,
        }
    }
}

/// Reply to a completed call.
#[derive(Debug)]
pub(super) struct Completed {
    pub(super) reply: Reply,
    pub(super) deadline: Moment,
    /// Connection on which the reply was sent last. It is not sent on that one again:
    /// the parts of two copies of one body could not be told apart.
    pub(super) sent_on: Option<ConnectionKey>,
}

/// Number of a connection among those of one process of another daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ConnectionKey(u64);

/// Sending end of a connection.
#[derive(Debug)]
pub(super) struct Outlet {
    pub(super) key: ConnectionKey,
    pub(super) queue: mpsc::UnboundedSender<Outbound>,
}

/// Calls of one process of another daemon, across all its connections.
#[derive(Debug, Default)]
pub(super) struct Session {
    /// Sending end of the newest connection, which replaces all earlier ones.
    pub(super) out: Option<Outlet>,
    /// Reader task of that connection.
    pub(super) reader: Option<AbortHandle>,
    /// Key of the newest connection so far, which may have ended.
    last_connection: ConnectionKey,
    /// Calls by id.
    pub(super) calls: HashMap<u64, Progress>,
}

impl Session {
    /// Replaces the connection. Returns the reader of the previous one, which the
    /// caller must abort.
    pub(super) fn connect(
        &mut self,
        queue: mpsc::UnboundedSender<Outbound>,
        reader: AbortHandle,
    ) -> Option<AbortHandle> {
        self.last_connection.0 += 1;
        self.out = Some(Outlet {
            key: self.last_connection,
            queue,
        });
        self.reader.replace(reader)
    }
}

/// Sessions of other daemons, by the `boot` number of their process.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: Mutex<HashMap<u64, Session>>,
}

impl Sessions {
    /// Removes calls whose retention after the deadline is over, aborts those
    /// still running, and removes disconnected sessions without calls.
    pub fn remove_expired(&self, now: Moment) {
        let mut sessions = lock(&self.sessions);
        for session in sessions.values_mut() {
            session.calls.retain(|_, progress| {
                let retained = progress.deadline() + RETENTION > now;
                if let (false, Progress::Running(task, _)) = (retained, &*progress) {
                    task.abort();
                }
                retained
            });
        }
        sessions.retain(|_, session| session.out.is_some() || !session.calls.is_empty());
    }

    /// Whether no call of another daemon is being received, running or waiting
    /// for its reply to be confirmed.
    pub fn is_idle(&self) -> bool {
        let busy = |progress: &Progress| !matches!(progress, Progress::Rejected(_));
        let sessions = lock(&self.sessions);
        !sessions
            .values()
            .any(|session| session.calls.values().any(busy))
    }

    /// Applies `change` to the session of process `boot`, which is created if it
    /// does not exist.
    pub(super) fn update<R>(&self, boot: u64, change: impl FnOnce(&mut Session) -> R) -> R {
        change(lock(&self.sessions).entry(boot).or_default())
    }
}
