//! The end of a call, as every part of the daemon passes it on.

use bytes::Bytes;
use cardamomshed_code::{Code, Ran};
use cardamomshed_policy::admission::Level;
use cardamomshed_wire::Load;

/// The end of a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The target's whole answer.
    Answer(Answer),
    /// No answer.
    Refused(Refused),
}

/// A target's whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
    /// Load of the target.
    pub load: Load,
    /// Lowest admission level along the call's chain.
    pub level: Level,
    /// Price of the call's whole chain.
    pub price: f32,
    /// Attempt tokens left.
    pub tokens: u8,
}

/// Why a call has no answer.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Numbered cause.
    pub code: Code,
    /// What is known of the call's execution. `Ran::No` only when it is
    /// known that the call has not run and will not.
    pub ran: Ran,
    /// What exactly was wrong, for a person.
    pub detail: String,
    /// Load of the target, where it is known.
    pub load: Option<Load>,
    /// Lowest admission level along the call's chain, where it is known.
    pub level: Option<Level>,
    /// Price of the call's whole chain, where it is known.
    pub price: Option<f32>,
    /// Attempt tokens left.
    pub tokens: u8,
}

impl Refused {
    /// A call that has not run and will not; it leaves all its tokens.
    pub fn not_run(code: Code, detail: impl Into<String>, tokens: u8) -> Self {
        Self {
            code,
            ran: Ran::No,
            detail: detail.into(),
            load: None,
            level: None,
            price: None,
            tokens,
        }
    }

    /// A call whose execution is unknown.
    pub fn unknown(code: Code, detail: impl Into<String>, tokens: u8) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(code, detail, tokens)
        }
    }

    /// Whether a service below had no capacity for the call.
    pub const fn is_shed(&self) -> bool {
        matches!(
            self.code,
            Code::QueueFull | Code::DeadlineUnmet | Code::TargetTimeout
        )
    }
}
