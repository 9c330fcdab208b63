//! A client account's rate limit over the whole fleet.
//!
//! The rate and burst are divided into shares whose sums never exceed them, so
//! the limit holds without agreement between daemons. A [`Lender`] holds a
//! share under a lease and grants prepaid tokens. A [`Wallet`] at each ingress
//! holds granted tokens, which expire after a short time. The loss of a
//! message, a daemon or a lease can lose tokens but never creates any.

mod bucket;
mod holders;
mod lender;
mod wallet;

pub use bucket::Bucket;
pub use holders::{Slot, holders, order};
pub use lender::{Lease, Lender, RAISE_AFTER};
pub use wallet::{Spend, Wallet};

use std::time::Duration;

/// Parts of a whole bound.
pub const MILLION: u32 = 1_000_000;

/// Rate limit of a client account, or a share of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may arrive at once.
    pub burst: f64,
}

impl Bound {
    /// The share of `parts` per million of this bound.
    #[must_use]
    pub fn share(self, parts: u32) -> Self {
        let share = f64::from(parts) / f64::from(MILLION);
        Self {
            rate: self.rate * share,
            burst: self.burst * share,
        }
    }

    /// Requests that the first lender of an account grants in excess of this bound after
    /// a start. Its bucket is empty then, and after a start of the whole fleet an account
    /// within its rate would be refused until the bucket has filled. The lender that was
    /// lost may have granted everything just before, so this is half of what the platform
    /// tolerates in excess: a tenth of the requests in a window, and 20.
    pub fn start_allowance(self) -> f64 {
        const WINDOW: Duration = Duration::from_secs(5);
        0.05 * (self.rate * WINDOW.as_secs_f64() + self.burst) + 10.0
    }
}

/// Longest validity of prepaid tokens.
pub const MAX_VALIDITY: Duration = Duration::from_millis(120);

/// Validity of prepaid tokens of an account. It is short enough that the
/// outstanding tokens never exceed half the burst.
pub fn validity(bound: Bound) -> Duration {
    let half = bound.burst * 0.5 / bound.rate.max(f64::MIN_POSITIVE);
    MAX_VALIDITY.min(Duration::try_from_secs_f64(half).unwrap_or(MAX_VALIDITY))
}
