//! Smoothed rate of events.

use crate::moment::Moment;

/// Time constant of the smoothing, in seconds.
const SMOOTHING_S: f64 = 1.0;

/// Exponentially decaying count of events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    count: f64,
    updated: Moment,
}

impl Rate {
    /// Records an event.
    pub(super) fn record(&mut self, now: Moment) {
        self.count = self.decayed(now) + 1.0;
        self.updated = self.updated.max(now);
    }

    /// Events per second.
    pub(super) fn per_second(&self, now: Moment) -> f64 {
        self.decayed(now) / SMOOTHING_S
    }

    fn decayed(&self, now: Moment) -> f64 {
        self.count * (-now.since(self.updated).as_secs_f64() / SMOOTHING_S).exp()
    }
}
