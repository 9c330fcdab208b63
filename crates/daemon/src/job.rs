//! A call on its way to the target beside this daemon.

use bytes::Bytes;
use cardamomshed_policy::Moment;
use cardamomshed_wire::Call;
use tokio::sync::oneshot;

use crate::reply::Reply;

/// A call for the target. Dropping the receiver of `reply` cancels it.
#[derive(Debug)]
pub struct Job {
    /// The call.
    pub call: Box<Call>,
    /// Its whole body.
    pub body: Bytes,
    /// Its deadline on this daemon's clock.
    pub deadline: Moment,
    /// Where its end is told.
    pub reply: oneshot::Sender<Reply>,
}
