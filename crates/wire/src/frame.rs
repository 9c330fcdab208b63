//! The frames of a peer link.
//!
//! Calls go from the end that dialled to the end that accepted; two daemons
//! that call each other keep one link for each direction.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Code, Ran};
use cardamomshed_policy::admission::{Level, Rank};
use cardamomshed_policy::member::Record;
use cardamomshed_policy::{Priority, gate};
use serde::{Deserialize, Serialize};

use crate::Request;

/// Version of the link protocol.
pub const VERSION: u16 = 2;

/// One message on a peer link.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// First frame, from the end that dialled.
    Hello(Hello),
    /// Answers a hello and proves the fleet secret.
    Welcome(Welcome),
    /// Proves the fleet secret to the end that accepted.
    Proof {
        /// Authentication code over both nonces.
        code: [u8; 32],
    },
    /// Asks for a sign of life.
    Ping,
    /// A sign of life.
    Pong,
    /// Starts a call. Its body follows in [`Frame::CallData`].
    Call(Box<Call>),
    /// A chunk of a call's body.
    CallData {
        /// The call.
        id: u64,
    },
    /// Asks for the answer of a call that was sent on an earlier link.
    Resume {
        /// The call.
        id: u64,
        /// Time left until the deadline, in milliseconds.
        timeout_ms: u32,
    },
    /// The call's answer is of no use any more.
    Cancel {
        /// The call.
        id: u64,
    },
    /// The whole answer has arrived; it need not be kept.
    Received {
        /// The call.
        id: u64,
    },
    /// Starts an answer. Its body follows in [`Frame::AnswerData`].
    Answer(Box<Answer>),
    /// A chunk of an answer's body.
    AnswerData {
        /// The call.
        id: u64,
    },
    /// The call ends without an answer.
    Refusal(Box<Refusal>),
    /// Asks for the members of the groups whose digests differ.
    AskMembers {
        /// Digests of the sender's groups; empty to ask for all members.
        digests: Vec<u64>,
    },
    /// Members that the sender knows.
    Members(Vec<Record>),
    /// Asks for the release notes behind a revision.
    AskNotes {
        /// Revision in force at the sender.
        after: u64,
    },
    /// Release notes follow as the chunk, in the form of the platform's row.
    Note {
        /// Revision of the note.
        revision: u64,
    },
    /// Asks for prepaid quota tokens.
    AskTokens(Grant),
    /// Gives prepaid quota tokens.
    GiveTokens(Grant),
}

/// First frame of the end that dialled.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// Version of the link protocol.
    pub version: u16,
    /// Name of the daemon that dialled.
    pub node: Arc<str>,
    /// Number of its process, drawn at its start.
    pub boot: u64,
    /// Random, never used twice.
    pub nonce: [u8; 16],
}

/// First frame of the end that accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Welcome {
    /// Name of the daemon that accepted.
    pub node: Arc<str>,
    /// Number of its process, drawn at its start.
    pub boot: u64,
    /// Random, never used twice.
    pub nonce: [u8; 16],
    /// Authentication code over both nonces.
    pub code: [u8; 32],
}

/// A call for the target beside the receiver.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// Unique among the calls of the process that dialled.
    #[serde(rename = "i")]
    pub id: u64,
    /// Root request that the call belongs to.
    #[serde(rename = "q")]
    pub request: Request,
    /// Client account of the root request.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// Priority of the root request.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// Place of the root request in the order of shedding.
    #[serde(rename = "o")]
    pub rank: Rank,
    /// Time left until the deadline, in milliseconds.
    #[serde(rename = "t")]
    pub timeout_ms: u32,
    /// Attempt tokens lent with the call.
    #[serde(rename = "k")]
    pub tokens: u8,
    /// Hops from the caller, the first call having depth zero.
    #[serde(rename = "d")]
    pub depth: u8,
    /// Service that is called.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Route of the call, which tells calls of different cost apart.
    #[serde(rename = "r")]
    pub route: Arc<str>,
    /// Whether the call may run more than once.
    #[serde(rename = "z")]
    pub repeatable: bool,
    /// HTTP method.
    #[serde(rename = "m")]
    pub method: String,
    /// Path and query.
    #[serde(rename = "u")]
    pub path: String,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Vec<(String, String)>,
    /// Length of the body in bytes.
    #[serde(rename = "l")]
    pub length: u64,
}

/// Load of a target, attached to every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Calls that run.
    #[serde(rename = "r")]
    pub running: u32,
    /// Calls that wait.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Calls that may run at once.
    #[serde(rename = "l")]
    pub limit: u32,
    /// Smoothed service time in microseconds.
    #[serde(rename = "t")]
    pub service_us: u32,
}

impl From<gate::Load> for Load {
    fn from(load: gate::Load) -> Self {
        Self {
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
            service_us: u32::try_from(load.service_time.as_micros()).unwrap_or(u32::MAX),
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
        }
    }
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// The call.
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
    /// Lowest admission level along the call's chain.
    #[serde(rename = "x")]
    pub level: Level,
    /// Price of the call's whole chain.
    #[serde(rename = "$")]
    pub price: f32,
    /// Attempt tokens left of those lent.
    #[serde(rename = "k")]
    pub tokens: u8,
}

/// The end of a call without an answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// The call.
    #[serde(rename = "i")]
    pub id: u64,
    /// Numbered cause.
    #[serde(rename = "c")]
    pub code: Code,
    /// What is known of the call's execution.
    #[serde(rename = "n")]
    pub ran: Ran,
    /// What exactly was wrong, for a person.
    #[serde(rename = "e")]
    pub detail: String,
    /// Load of the target.
    #[serde(rename = "o")]
    pub load: Load,
    /// Lowest admission level along the call's chain.
    #[serde(rename = "x")]
    pub level: Level,
    /// Price of the call's whole chain.
    #[serde(rename = "$")]
    pub price: f32,
    /// Attempt tokens left of those lent.
    #[serde(rename = "k")]
    pub tokens: u8,
}

/// Prepaid quota tokens, asked for or given.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Client account.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// Tokens asked for.
    #[serde(rename = "w")]
    pub wanted: u32,
    /// Tokens given.
    #[serde(rename = "n")]
    pub tokens: u32,
    /// Moment of the ask on the asking process's clock, in microseconds;
    /// repeated by the grant.
    #[serde(rename = "t")]
    pub asked_us: u64,
    /// Time for which the tokens are valid from then, in microseconds.
    #[serde(rename = "v")]
    pub validity_us: u64,
    /// Lenders that were asked before for these tokens.
    #[serde(rename = "c")]
    pub turn: u8,
    /// Whether the daemon that answers holds a lender slot; one that does not
    /// knows nothing of the account's tokens.
    #[serde(rename = "h")]
    pub lends: bool,
}
