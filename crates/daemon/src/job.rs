//! Calls queued for the local target.

use bytes::Bytes;
use cardamomshed_policy::Moment;
use cardamomshed_wire::Call;
use tokio::sync::oneshot;

use crate::reply::Reply;

/// A call to run on the local target. Dropping the receiver of `reply` cancels
/// it.
#[derive(Debug)]
pub struct Job {
    /// Head and attributes of the call.
    pub call: Box<Call>,
    /// Complete body of the call.
    pub body: Bytes,
    /// Deadline on the clock of this daemon.
    pub deadline: Moment,
    /// Receives the reply, at most once.
    pub reply: oneshot::Sender<Reply>,
}
