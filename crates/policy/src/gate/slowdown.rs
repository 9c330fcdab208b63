//! How much longer than usual work takes on a target at this moment, as it reports.

use std::time::Duration;

use crate::moment::Moment;

/// Time constant of the smoothed factor. Slow phases last several hundred milliseconds.
const MEMORY: Duration = Duration::from_millis(50);
/// Smallest weight of one report.
const MIN_WEIGHT: f64 = 0.2;
/// Age up to which the last factor is in force.
const VALID: Duration = Duration::from_millis(300);
/// Time constant with which an older factor returns to one.
const EXPIRY: Duration = Duration::from_millis(300);
/// Bounds of a reported factor.
const BOUNDS: std::ops::RangeInclusive<f64> = 0.25..=8.0;

/// Factor by which work takes longer than usual; one without recent reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slowdown {
    /// Within [`BOUNDS`].
    factor: f64,
    updated: Moment,
}

impl Slowdown {
    pub(super) const NONE: Self = Self {
        factor: 1.0,
        updated: Moment::ZERO,
    };

    pub(super) fn observe(&mut self, factor: f64, now: Moment) {
        let elapsed = now.since(self.updated).div_duration_f64(MEMORY);
        let weight = (1.0 - (-elapsed).exp()).max(MIN_WEIGHT);
        let current = self.factor(now);
        let factor = factor.clamp(*BOUNDS.start(), *BOUNDS.end());
        self.factor = current + weight * (factor - current);
        self.updated = now;
    }

    pub(super) fn factor(self, now: Moment) -> f64 {
        let expired = now.since(self.updated).saturating_sub(VALID);
        1.0 + (self.factor - 1.0) * (-expired.div_duration_f64(EXPIRY)).exp()
    }
}
