//! The frames of a peer link.
//!
//! Calls are sent from the end that opened the connection to the end that
//! accepted it. Two daemons that call each other keep one link for each
//! direction.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Code, Ran};
use cardamomshed_policy::admission::{Level, Rank};
use cardamomshed_policy::member::{Record, Size};
use cardamomshed_policy::{Priority, gate};
use serde::{Deserialize, Serialize};

use crate::Request;

/// Version of the link protocol.
pub const VERSION: u16 = 2;

/// One message on a peer link.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// First frame, from the end that opened the connection.
    Hello(Hello),
    /// Response to [`Frame::Hello`]; proves the fleet secret.
    Welcome(Welcome),
    /// Proves the fleet secret to the end that accepted the connection.
    Proof {
        /// Authentication code over the nonces and names of both ends.
        code: [u8; 32],
    },
    /// Keepalive request; the peer responds with [`Frame::Pong`].
    Ping,
    /// Response to [`Frame::Ping`].
    Pong,
    /// Starts a call. Its body follows in [`Frame::CallData`].
    Call(Box<Call>),
    /// A chunk of a call's body.
    CallData {
        /// Identifier of the call.
        id: u64,
    },
    /// Requests the answer to a call that was sent on an earlier link.
    Resume {
        /// Identifier of the call.
        id: u64,
        /// Time left until the deadline, in milliseconds.
        timeout_ms: u32,
    },
    /// Cancels a call whose answer is no longer needed.
    Cancel {
        /// Identifier of the call.
        id: u64,
    },
    /// Acknowledges a complete answer, which the sender may then discard.
    Received {
        /// Identifier of the call.
        id: u64,
    },
    /// Starts an answer. Its body follows in [`Frame::AnswerData`].
    Answer(Box<Answer>),
    /// A chunk of an answer's body.
    AnswerData {
        /// Identifier of the call.
        id: u64,
    },
    /// Ends a call without an answer.
    Refusal(Box<Refusal>),
    /// Requests the members of the groups whose digests differ.
    #[serde(rename = "AskMembers")]
    RequestMembers {
        /// Digests of the sender's groups; empty to request all members.
        digests: Vec<u64>,
        /// Record of the sender, which the receiver may not have yet.
        #[serde(default)]
        record: Option<Box<Record>>,
        /// Whether the sender does not know the size of the fleet yet. If the receiver
        /// does, it sends [`Frame::Sizes`] first.
        #[serde(default)]
        uncounted: bool,
    },
    /// Number of members of each failure domain, sent only to a peer that asked for
    /// it, since older daemons do not know this frame.
    Sizes(Vec<Size>),
    /// Membership records that the sender holds.
    Members(Vec<Record>),
    /// Requests the release notes after a revision.
    #[serde(rename = "AskNotes")]
    RequestNotes {
        /// Revision in force at the sender.
        after: u64,
    },
    /// A release note, in the format of its row in the platform's store; the
    /// note is the chunk of the frame.
    Note {
        /// Revision of the note.
        revision: u64,
    },
    /// Requests prepaid quota tokens.
    #[serde(rename = "AskTokens")]
    RequestTokens(Grant),
    /// Grants prepaid quota tokens, or none.
    #[serde(rename = "GiveTokens")]
    GrantTokens(Grant),
}

/// Contents of [`Frame::Hello`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// Version of the link protocol.
    pub version: u16,
    /// Name of the daemon that opened the connection.
    pub node: Arc<str>,
    /// Random number of its process, chosen at its start.
    pub boot: u64,
    /// Random; never reused.
    pub nonce: [u8; 16],
}

/// Contents of [`Frame::Welcome`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Welcome {
    /// Name of the daemon that accepted the connection.
    pub node: Arc<str>,
    /// Random number of its process, chosen at its start.
    pub boot: u64,
    /// Random; never reused.
    pub nonce: [u8; 16],
    /// Authentication code over the nonces and names of both ends.
    pub code: [u8; 32],
}

/// Head of a call to the target that the receiving daemon serves.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// Identifier, unique among the calls of the process that opened the
    /// connection.
    #[serde(rename = "i")]
    pub id: u64,
    /// Identity of the root request.
    #[serde(rename = "q")]
    pub request: Request,
    /// Client account of the root request.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// Priority of the root request.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// Rank of the root request, which determines the order of load shedding.
    #[serde(rename = "o")]
    pub rank: Rank,
    /// Time left until the deadline, in milliseconds.
    #[serde(rename = "t")]
    pub timeout_ms: u32,
    /// Attempt tokens lent with the call.
    #[serde(rename = "k")]
    pub tokens: u8,
    /// Number of hops before this one; the first call has depth zero.
    #[serde(rename = "d")]
    pub depth: u8,
    /// Service to call.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Route of the call; distinguishes calls of different cost.
    #[serde(rename = "r")]
    pub route: Arc<str>,
    /// Whether the call may be executed more than once.
    #[serde(rename = "z")]
    pub repeatable: bool,
    /// Whether a target received an earlier attempt of this call.
    #[serde(rename = "f")]
    pub repeated: bool,
    /// HTTP method.
    #[serde(rename = "m")]
    pub method: String,
    /// Path and query of the URL.
    #[serde(rename = "u")]
    pub path: String,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Vec<(String, String)>,
    /// Length of the body in bytes.
    #[serde(rename = "l")]
    pub length: u64,
}

/// Load of a target, sent with every answer and refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Running calls.
    #[serde(rename = "r")]
    pub running: u32,
    /// Queued calls.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Calls that may run concurrently.
    #[serde(rename = "l")]
    pub limit: u32,
    /// Smoothed service time in microseconds; saturates at [`u32::MAX`].
    #[serde(rename = "t")]
    pub service_us: u32,
    /// Share of the calls that the target rejects, in percent.
    #[serde(rename = "j", default, skip_serializing_if = "is_zero")]
    pub rejected_percent: u8,
    /// Price of a call on the target itself, in millionths; saturates at [`u32::MAX`].
    #[serde(rename = "p", default, skip_serializing_if = "is_free")]
    pub price_millionths: u32,
}

/// Millionths in a unit of prices.
const MILLIONTHS: f64 = 1e6;

impl Load {
    /// Sets the price of a call.
    #[must_use]
    pub fn with_price(mut self, price: f64) -> Self {
        self.price_millionths = (price * MILLIONTHS).round() as u32;
        self
    }

    /// Price of a call on the target itself, without its outbound calls.
    pub fn price(self) -> f64 {
        f64::from(self.price_millionths) / MILLIONTHS
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that `skip_serializing_if` requires"
)]
const fn is_zero(value: &u8) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that `skip_serializing_if` requires"
)]
const fn is_free(price: &u32) -> bool {
    *price == 0
}

impl From<gate::Load> for Load {
    fn from(load: gate::Load) -> Self {
        Self {
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
            service_us: u32::try_from(load.service_time.as_micros()).unwrap_or(u32::MAX),
            rejected_percent: (load.rejection * 100.0).round() as u8,
            price_millionths: 0,
        }
    }
}

impl From<Load> for gate::Load {
    fn from(load: Load) -> Self {
        Self {
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
            service_time: Duration::from_micros(u64::from(load.service_us)),
            rejection: f64::from(load.rejected_percent.min(100)) / 100.0,
        }
    }
}

/// Head of an answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Identifier of the call.
    #[serde(rename = "i")]
    pub id: u64,
    /// HTTP status.
    #[serde(rename = "c")]
    pub status: u16,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Vec<(String, String)>,
    /// Length of the body in bytes.
    #[serde(rename = "l")]
    pub length: u64,
    /// Load of the target.
    #[serde(rename = "o")]
    pub load: Load,
    /// Lowest admission level in the call's chain.
    #[serde(rename = "x")]
    pub level: Level,
    /// Price of the call's entire chain.
    #[serde(rename = "$")]
    pub price: f32,
    /// Calls that run or wait at the tightest limit in front of the target,
    /// relative to that limit.
    #[serde(rename = "q")]
    pub pressure: f32,
    /// Attempt tokens that remain of those lent with the call.
    #[serde(rename = "k")]
    pub tokens: u8,
}

/// Contents of [`Frame::Refusal`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Identifier of the call.
    #[serde(rename = "i")]
    pub id: u64,
    /// Numbered cause.
    #[serde(rename = "c")]
    pub code: Code,
    /// What is known about the execution of the call.
    #[serde(rename = "n")]
    pub ran: Ran,
    /// Human-readable detail; may be empty.
    #[serde(rename = "e")]
    pub detail: String,
    /// Load of the target.
    #[serde(rename = "o")]
    pub load: Load,
    /// Lowest admission level in the call's chain.
    #[serde(rename = "x")]
    pub level: Level,
    /// Price of the call's entire chain.
    #[serde(rename = "$")]
    pub price: f32,
    /// Calls that run or wait at the tightest limit in front of the target,
    /// relative to that limit.
    #[serde(rename = "q")]
    pub pressure: f32,
    /// Attempt tokens that remain of those lent with the call.
    #[serde(rename = "k")]
    pub tokens: u8,
}

/// Request for prepaid quota tokens, and its response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Client account.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// Number of tokens requested.
    #[serde(rename = "w")]
    pub requested: u32,
    /// Number of tokens granted; zero in a request.
    #[serde(rename = "n")]
    pub tokens: u32,
    /// Time of the request on the clock of the requesting process, in
    /// microseconds; returned unchanged in the response.
    #[serde(rename = "t")]
    pub requested_us: u64,
    /// Validity of the tokens from that time, in microseconds.
    #[serde(rename = "v")]
    pub validity_us: u64,
    /// Number of lenders tried for these tokens, including the one that receives
    /// the request.
    #[serde(rename = "c")]
    pub lenders_tried: u8,
    /// Whether the responding daemon holds a lender slot. One without a slot has
    /// no state of the account's tokens.
    #[serde(rename = "h")]
    pub is_lender: bool,
}
