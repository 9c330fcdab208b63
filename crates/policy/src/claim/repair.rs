//! What is done about one row after a return of the store.

use super::{Stage, Written};

/// A row as the store holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found {
    /// Random id of its claim; `None` if the row is not a valid claim.
    pub claim: Option<u64>,
    /// Whether its request may be running.
    pub is_open: bool,
    /// Version of the row.
    pub version: u64,
}

/// Action for a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repair {
    /// The store holds the row as it was written.
    Intact,
    /// Nothing is missing, but the row may not have been in the copy.
    Nothing,
    /// The row is written, since the store lacks it.
    Create,
    /// The row is written or removed, since the store holds an earlier stage with this
    /// version.
    Replace(u64),
    /// Another daemon has an open claim on the key, which it may release.
    Blocked,
    /// Another daemon has settled a claim on the key. Its row wins.
    Conflict,
}

impl Repair {
    /// Chooses the action for a row that this daemon wrote and the store holds like this.
    pub fn choose<V>(written: &Written<V>, found: Option<Found>) -> Self {
        let is_removed = written.stage == Stage::Removed;
        let Some(found) = found else {
            return if is_removed {
                Self::Nothing
            } else {
                Self::Create
            };
        };
        if found.claim != Some(written.claim) {
            return match (is_removed, found.is_open) {
                (true, _) => Self::Nothing,
                (false, true) => Self::Blocked,
                (false, false) => Self::Conflict,
            };
        }
        match (written.stage, found.is_open) {
            (Stage::Open, true) | (Stage::Settled, false) => Self::Intact,
            (Stage::Settled | Stage::Removed, true) => Self::Replace(found.version),
            (Stage::Open | Stage::Removed, false) => Self::Nothing,
        }
    }
}
