//! Rows of the claims table, one per client account and idempotency key.

use bytes::Bytes;
use cardamomshed_note::Digest;
use cardamomshed_policy::admission::ADMIT_ALL;
use cardamomshed_policy::claim::{Stage, Written};
use cardamomshed_policy::evacuation::Stamp;
use cardamomshed_wire::Load;
use serde::{Deserialize, Serialize};

use crate::clock::{Clock, wall_clock_ms};
use crate::context::Context;
use crate::reply::Answer;
use crate::request::Parts;

/// Name of the table.
pub(super) const TABLE: &str = "claims";
/// Largest answer body that is stored, in bytes. An answer whose body is not stored is
/// replayed with an empty one.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Time after its deadline at which an open claim is treated as an unknown
/// outcome, in milliseconds. It covers the clock skew between two VMs.
const EXPIRY_MARGIN_MS: u64 = 30_000;
/// Memory that a kept row takes beside its text and body, in bytes.
const ROW_BYTES: usize = 320;

/// A claim that is to be recorded.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Key of the row: a hash of the client account and the idempotency key.
    pub(crate) key: String,
    /// Random id of this claim.
    pub(crate) claim: u64,
    /// Hash of method, path and body, which detects a key that is reused for a
    /// different request.
    pub(crate) fingerprint: String,
    /// Wall-clock deadline in milliseconds since the Unix epoch.
    pub(crate) until_ms: u64,
}

/// The outcome of a claimed request, which is to be recorded.
#[derive(Clone, Debug)]
pub struct Settlement {
    pub(crate) key: String,
    pub(crate) claim: u64,
    pub(crate) fingerprint: String,
    /// Era and version of the row when it was claimed; `None` if unknown.
    pub(crate) stamp: Option<Stamp>,
    pub(crate) outcome: Outcome,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// The request ran and was answered.
    Answered(Snapshot),
    /// The request has not run and will not; the key is released.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
}

/// Content of a row.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Row {
    pub(crate) claim: u64,
    pub(crate) fingerprint: String,
    pub(crate) until_ms: u64,
    pub(crate) state: State,
}

/// State of a claimed request.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum State {
    Open,
    Unknown,
    Answered(Snapshot),
}

/// An answer stored for replay to later requests with the same key.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    status: u16,
    headers: Vec<(String, String)>,
    /// Complete body, or `None` if it exceeds [`MAX_BODY_BYTES`] or may not be stored.
    body: Option<Vec<u8>>,
}

impl Proposal {
    pub(crate) fn new(clock: &Clock, context: &Context, key: &str, parts: &Parts) -> Self {
        let hex = |digest: Digest| digest.to_string().replace("sha256:", "");
        let body = Digest::of(&String::from_utf8_lossy(&parts.body));
        let request = format!("{} {} {body}", parts.method, parts.path);
        let remaining_ms = clock.remaining(context.deadline).as_millis() as u64;
        Self {
            key: hex(Digest::of(&format!("{}\n{key}", context.account))),
            claim: rand::random::<u64>() >> 12,
            fingerprint: hex(Digest::of(&request)),
            until_ms: wall_clock_ms() + remaining_ms,
        }
    }

    pub(crate) fn row(&self) -> Row {
        Row {
            claim: self.claim,
            fingerprint: self.fingerprint.clone(),
            until_ms: self.until_ms,
            state: State::Open,
        }
    }

    /// The row as written by a request that was sent in `era`, the era now.
    pub(crate) fn written(&self, era: u64) -> Written<Row> {
        Written {
            key: self.key.as_str().into(),
            claim: self.claim,
            stage: Stage::Open,
            value: Some(self.row()),
            bytes: ROW_BYTES,
            era,
            is_same_era: true,
        }
    }
}

impl Settlement {
    /// Version of the row, `None` if it is unknown or of another era than `era`, in which
    /// the store may have given it to another row.
    pub(crate) fn version(&self, era: u64) -> Option<u64> {
        let stamp = self.stamp.filter(|stamp| stamp.era == era);
        stamp.map(|stamp| stamp.version)
    }

    /// Content of the row, `None` if it is to be removed.
    pub(crate) fn into_row(self) -> Option<Row> {
        let state = match self.outcome {
            Outcome::NotRun => return None,
            Outcome::Unknown => State::Unknown,
            Outcome::Answered(answer) => State::Answered(answer),
        };
        Some(Row {
            claim: self.claim,
            fingerprint: self.fingerprint,
            until_ms: 0,
            state,
        })
    }

    /// The row as written by a request that was sent in `era`.
    pub(crate) fn written(self, era: u64, is_same_era: bool) -> Written<Row> {
        let (key, claim) = (self.key.as_str().into(), self.claim);
        let row = self.into_row();
        Written {
            key,
            claim,
            stage: row.as_ref().map_or(Stage::Removed, |_| Stage::Settled),
            bytes: ROW_BYTES + row.as_ref().map_or(0, Row::body_bytes),
            value: row,
            era,
            is_same_era,
        }
    }
}

impl Row {
    /// Memory that the stored answer takes, in bytes.
    fn body_bytes(&self) -> usize {
        let State::Answered(snapshot) = &self.state else {
            return 0;
        };
        let headers = snapshot.headers.iter();
        let headers = headers.map(|(name, value)| name.len() + value.len() + 48);
        snapshot.body.as_ref().map_or(0, Vec::len) + headers.sum::<usize>()
    }

    /// Whether the claim is past its deadline by more than the clock skew, so
    /// that its request can no longer be running.
    pub(crate) fn is_expired(&self) -> bool {
        wall_clock_ms() > self.until_ms + EXPIRY_MARGIN_MS
    }
}

impl Snapshot {
    /// Creates the stored form of an answer. Its body is left out if it is too large
    /// or `keeps_body` is not set.
    pub(crate) fn new(answer: &Answer, keeps_body: bool) -> Self {
        let fits = keeps_body && answer.body.len() <= MAX_BODY_BYTES;
        Self {
            status: answer.status,
            headers: answer.headers.clone(),
            body: fits.then(|| answer.body.to_vec()),
        }
    }

    pub(crate) fn into_answer(self, tokens: u8) -> Answer {
        Answer {
            price: 0.0,
            pressure: 0.0,
            status: self.status,
            headers: self.headers,
            body: Bytes::from(self.body.unwrap_or_default()),
            load: Load::default(),
            level: ADMIT_ALL,
            tokens,
        }
    }
}
