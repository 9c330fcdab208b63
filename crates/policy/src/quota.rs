//! A client account's rate and burst over the whole fleet.
//!
//! The rate and burst are divided into shares whose sum never exceeds them,
//! so no two daemons need to agree for the bound to hold. A [`Lender`]
//! holds a share under a lease and hands out prepaid tokens; a [`Wallet`]
//! at each ingress holds tokens that lapse after a short time. Losing a
//! message, a daemon or a lease loses tokens and never makes any.

mod bucket;
mod holders;
mod lender;
mod wallet;

pub use bucket::Bucket;
pub use holders::{Slot, holders, order};
pub use lender::{Lease, Lender, RAISE_AFTER};
pub use wallet::{Spend, Wallet};

use std::time::Duration;

/// Parts that make up a whole bound.
pub const MILLION: u32 = 1_000_000;

/// A client account's bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Requests a second.
    pub rate: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

impl Bound {
    /// This share of the bound, in parts per million.
    #[must_use]
    pub fn share(self, parts: u32) -> Self {
        let share = f64::from(parts) / f64::from(MILLION);
        Self {
            rate: self.rate * share,
            burst: self.burst * share,
        }
    }
}

/// Longest time for which prepaid tokens are valid.
pub const MAX_VALIDITY: Duration = Duration::from_millis(120);

/// Time for which prepaid tokens of an account are valid: short enough that
/// the tokens outstanding never make up more than half the burst.
pub fn validity(bound: Bound) -> Duration {
    let half = bound.burst * 0.5 / bound.rate.max(f64::MIN_POSITIVE);
    MAX_VALIDITY.min(Duration::try_from_secs_f64(half).unwrap_or(MAX_VALIDITY))
}
