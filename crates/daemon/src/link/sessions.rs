//! Calls received over links, by the process that sent them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use bytes::BytesMut;
use cardamomshed_policy::Moment;
use cardamomshed_wire::Call;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::writer::Outbound;
use crate::lifecycle::Reservation;
use crate::reply::Reply;
use crate::sync::lock;

/// Time after its deadline for which the state of a call is retained, so that
/// the caller can still resume it.
const RETENTION: Duration = Duration::from_secs(1);

/// State of a call received over a link.
#[derive(Debug)]
pub(super) enum Progress {
    /// Part of the body has been received.
    Receiving(Box<Call>, BytesMut, Moment, Reservation),
    /// The call is queued or running. Aborting the task cancels it.
    Running(AbortHandle, Moment),
    /// The call completed; the caller has not yet confirmed the reply.
    Completed(Reply, Moment),
    /// The call was reported as not run, so it must not be started later.
    Rejected(Moment),
}

impl Progress {
    const fn deadline(&self) -> Moment {
        match self {
            Self::Receiving(_, _, deadline, _)
            | Self::Running(_, deadline)
            | Self::Completed(_, deadline)
            | Self::Rejected(deadline) => *deadline,
        }
    }
}

/// Calls of one process of another daemon, across all its connections.
#[derive(Debug, Default)]
pub(super) struct Session {
    /// Queue of the newest connection, which replaces all earlier ones.
    pub(super) out: Option<mpsc::UnboundedSender<Outbound>>,
    /// Reader task of that connection.
    pub(super) reader: Option<AbortHandle>,
    /// Calls by id.
    pub(super) calls: HashMap<u64, Progress>,
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
