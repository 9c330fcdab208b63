//! Result of a call.

use bytes::Bytes;
use cardamomshed_code::{Code, Ran};
use cardamomshed_policy::admission::Level;
use cardamomshed_wire::Load;

/// Response or refusal of a call, from the local target, a peer or this daemon.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Complete response of the target, whatever its status.
    Answer(Answer),
    /// No response.
    Refused(Refused),
}

/// Complete response of a target.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
    /// Load reported for the target.
    pub load: Load,
    /// Lowest admission level of the services in the call's chain.
    pub level: Level,
    /// Price of the call, its whole chain included.
    pub price: f32,
    /// Calls that run or wait at the tightest limit in front of the target,
    /// relative to that limit.
    pub pressure: f32,
    /// Unused attempt tokens.
    pub tokens: u8,
}

/// Reason why a call has no response.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Result code.
    pub code: Code,
    /// Whether the call was executed. `Ran::No` only if it is known that it has
    /// not run and will not run.
    pub ran: Ran,
    /// Description of this occurrence, for operators and callers.
    pub detail: String,
    /// Load of the target, if it was reported.
    pub load: Option<Load>,
    /// Lowest admission level of the services in the call's chain, if known.
    pub level: Option<Level>,
    /// Price of the call, its whole chain included, if known.
    pub price: Option<f32>,
    /// Calls that run or wait at the tightest limit in front of the target,
    /// relative to that limit, if known.
    pub pressure: Option<f32>,
    /// Unused attempt tokens.
    pub tokens: u8,
}

impl Refused {
    /// Refusal of a call that has not run and will not run. `tokens` is the number
    /// of unused attempt tokens.
    pub fn not_run(code: Code, detail: impl Into<String>, tokens: u8) -> Self {
        Self {
            code,
            ran: Ran::No,
            detail: detail.into(),
            load: None,
            level: None,
            price: None,
            pressure: None,
            tokens,
        }
    }

    /// Refusal of a call that may have run.
    pub fn unknown(code: Code, detail: impl Into<String>, tokens: u8) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(code, detail, tokens)
        }
    }

    /// Whether load shedding at the ingress refused the request, which has not run and
    /// will not run.
    pub fn is_shed_at_ingress(&self) -> bool {
        self.ran == Ran::No && self.code == Code::AdmissionShed
    }

    /// Whether the refusal indicates that a downstream service lacks capacity.
    pub const fn is_shed(&self) -> bool {
        matches!(
            self.code,
            Code::QueueFull | Code::DeadlineUnmet | Code::TargetTimeout
        )
    }
}
