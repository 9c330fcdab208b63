//! The order in which requests are shed.

use serde::{Deserialize, Serialize};

use crate::key::Priority;

/// Ranks of one priority.
pub(super) const SPAN: f32 = 128.0;
/// Rank, within its priority, of a request with the weight one.
const MIDDLE: f32 = 64.0;
/// Ranks that double the weight.
const PER_OCTAVE: f32 = 8.0;

/// Place of a request in the order of shedding: the smaller, the later.
///
/// Its whole part divided by 128 is the priority. Within it, the place grows
/// with the logarithm of the weight: the account's load over the mean of all
/// accounts, times a uniform draw. Admitting the weights below a threshold
/// gives each account the lesser of its load and one common bound, which is
/// max-min fairness.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
pub struct Rank(pub f32);

impl Rank {
    /// The most important rank there is.
    pub const FIRST: Self = Self(0.0);

    /// Rank of a request with this weight.
    pub fn new(priority: Priority, weight: f64) -> Self {
        let octaves = weight.max(1e-9).log2() as f32;
        let place = (MIDDLE + PER_OCTAVE * octaves).clamp(0.0, SPAN - 0.01);
        Self(priority.index() as f32 * SPAN + place)
    }
}
