//! The order in which requests are shed.

use serde::{Deserialize, Serialize};

use crate::key::Priority;

/// Ranks of one priority.
pub(super) const RANKS_PER_PRIORITY: f32 = 128.0;
/// Rank, within its priority, of a request of weight one.
const UNIT_WEIGHT_OFFSET: f32 = 64.0;
/// Ranks by which a request moves when its weight doubles.
const RANKS_PER_DOUBLING: f32 = 8.0;

/// Position of a request in the order of shedding: higher ranks are shed first.
///
/// The rank divided by 128, rounded down, is the index of the priority. The
/// rest grows with the logarithm of the weight: the account's load relative to
/// the mean over all accounts, times a uniform random number. A threshold on
/// the weight admits, for each account, the lesser of its load and one common
/// bound, which is max-min fairness.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
pub struct Rank(pub f32);

impl Rank {
    /// The rank that is shed last.
    pub const MOST_IMPORTANT: Self = Self(0.0);

    /// Rank of a request with this priority and weight.
    pub fn new(priority: Priority, weight: f64) -> Self {
        let doublings = weight.max(1e-9).log2() as f32;
        let offset = (UNIT_WEIGHT_OFFSET + RANKS_PER_DOUBLING * doublings)
            .clamp(0.0, RANKS_PER_PRIORITY - 0.01);
        Self(priority.index() as f32 * RANKS_PER_PRIORITY + offset)
    }
}
