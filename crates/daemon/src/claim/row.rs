//! Rows of claimed idempotency keys.

use bytes::Bytes;
use cardamomshed_note::Digest;
use cardamomshed_policy::admission::ADMIT_ALL;
use cardamomshed_wire::Load;
use serde::{Deserialize, Serialize};

use crate::clock::{Clock, wall_clock_ms};
use crate::context::Context;
use crate::parts::Parts;
use crate::reply::Answer;

/// Largest answer body that is stored, in bytes; a larger one is repeated
/// as its status alone.
const MAX_BODY: usize = 64 * 1024;
/// Time beyond the deadline after which an open claim is taken for one with
/// an unknown fate. It covers the difference of two VMs' wall clocks.
const OPEN_AFTER_MS: u64 = 30_000;

/// A key that a request asks to claim.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Row, by client account and idempotency key.
    pub(crate) key: String,
    /// Identity of this claim.
    pub(crate) claim: u64,
    /// What the request is, so that a reused key is noticed.
    pub(crate) fingerprint: String,
    /// Wall-clock deadline in milliseconds since the Unix epoch.
    pub(crate) until_ms: u64,
}

/// How a claimed request ended.
#[derive(Clone, Debug)]
pub struct Settled {
    pub(crate) key: String,
    pub(crate) claim: u64,
    pub(crate) fingerprint: String,
    /// Version of the row when it was claimed; zero when that is unknown.
    pub(crate) version: u64,
    pub(crate) outcome: Outcome,
}

/// How a claimed request ended.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// It ran and was answered.
    Answered(Stored),
    /// It has not run and will not; the key is free again.
    NotRun,
    /// It is unknown whether it ran.
    Unknown,
}

/// Contents of a row.
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
    Answered(Stored),
}

/// An answer as it is repeated to a second caller.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Stored {
    status: u16,
    headers: Vec<(String, String)>,
    /// Body bytes; left out when they were too many.
    body: Option<Vec<u8>>,
}

impl Wanted {
    pub(crate) fn new(clock: &Clock, context: &Context, key: &str, parts: &Parts) -> Self {
        let hex = |digest: Digest| digest.to_string().replace("sha256:", "");
        let body = Digest::of(&String::from_utf8_lossy(&parts.body));
        let request = format!("{} {} {body}", parts.method, parts.path);
        let left = clock.left(context.deadline).as_millis() as u64;
        Self {
            key: hex(Digest::of(&format!("{}\n{key}", context.account))),
            claim: rand::random::<u64>() >> 12,
            fingerprint: hex(Digest::of(&request)),
            until_ms: wall_clock_ms() + left,
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
}

impl Row {
    /// Whether an open claim has been open for so long that its holder must
    /// have ended.
    pub(crate) fn is_overdue(&self) -> bool {
        wall_clock_ms() > self.until_ms + OPEN_AFTER_MS
    }
}

impl Stored {
    pub(crate) fn new(answer: &Answer) -> Self {
        let fits = answer.body.len() <= MAX_BODY;
        Self {
            status: answer.status,
            headers: answer.headers.clone(),
            body: fits.then(|| answer.body.to_vec()),
        }
    }

    pub(crate) fn into_answer(self, tokens: u8) -> Answer {
        Answer {
            price: 0.0,
            status: self.status,
            headers: self.headers,
            body: Bytes::from(self.body.unwrap_or_default()),
            load: Load::default(),
            level: ADMIT_ALL,
            tokens,
        }
    }
}
