//! When a daemon confirms its configuration by a read of its own.
//!
//! The pollers of a failure domain confirm the configuration for all its members.
//! If no confirmation arrives, the members read the store one after the other, and
//! the first that succeeds confirms for the rest.

use std::time::Duration;

/// Fraction of the bound on withdrawn keys after which the first member reads.
const FIRST_READ: f64 = 0.5;
/// Fraction of that bound by which the last member reads. Keys are refused soon
/// after it, and a read takes time.
const LAST_READ: f64 = 0.62;
/// Delay between the reads of two successive members.
const RANK_DELAY: Duration = Duration::from_millis(40);

/// Age of the last confirmation at which the member with this rank in its failure
/// domain reads the store. `withdraw_within` is the time within which a withdrawn
/// key must be refused.
pub fn read_age(withdraw_within: Duration, rank: usize) -> Duration {
    let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX).min(1_000);
    let age = withdraw_within.mul_f64(FIRST_READ) + delay;
    age.min(withdraw_within.mul_f64(LAST_READ))
}
