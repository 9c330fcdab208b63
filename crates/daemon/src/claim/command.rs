//! Commands of the request path to the claim task.

use cardamomshed_policy::evacuation::Stamp;
use tokio::sync::oneshot;

use super::row::{Proposal, Settlement, Snapshot};

/// Result of a claim.
#[derive(Debug)]
pub enum Decision {
    /// The claim is recorded and the request may run. Carries the era and
    /// version of the row.
    Granted(Stamp),
    /// An earlier request with the key was answered.
    Answered(Snapshot),
    /// An earlier request with the key is in progress.
    InProgress,
    /// It is unknown whether an earlier request with the key ran.
    Undetermined,
    /// The key was used for a different request.
    KeyReused,
    /// The claim was not recorded. Carries the cause.
    Unavailable(String),
}

/// A command to the claim task.
#[derive(Debug)]
pub enum Command {
    /// Claims a key and sends the result.
    Claim(Proposal, oneshot::Sender<Decision>),
    /// Records the outcome of a claimed request.
    Settle(Settlement),
}
