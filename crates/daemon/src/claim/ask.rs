//! What the request path asks of the claim maker, and what comes of it.

use tokio::sync::oneshot;

use super::row::{Settled, Stored, Wanted};

/// What a claim came to.
#[derive(Debug)]
pub enum Claimed {
    /// The request may run; the row has this version.
    Mine(u64),
    /// It ran before, with this answer.
    Answered(Stored),
    /// It is in progress elsewhere.
    InProgress,
    /// An earlier one ended with an unknown fate.
    Open,
    /// The key was used for another request.
    Reused,
    /// The platform did not record it.
    Unavailable(String),
}

/// What the request path asks of the claim maker.
#[derive(Debug)]
pub enum Ask {
    /// Claim a key.
    Claim(Wanted, oneshot::Sender<Claimed>),
    /// Record how a claimed request ended.
    Settle(Settled),
}
