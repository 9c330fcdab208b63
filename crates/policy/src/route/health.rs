//! Outlier detection from the outcomes of calls.

use std::time::Duration;

use crate::moment::Moment;

/// Weight of one outcome in the moving average of the failure rate.
const SMOOTHING: f64 = 0.15;
/// Failure rate above which a target may be ejected.
const OUTLIER_RATE: f64 = 0.5;
/// Margin by which the failure rate of a target must exceed that of its service.
const OUTLIER_MARGIN: f64 = 0.2;
/// Outcomes required before a target may be ejected.
const MIN_OUTCOMES: u32 = 5;
/// Length of the first ejection. Each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Number of ejections after which the length no longer doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Failure rate of one target or of a whole service, and ejection state.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Exponential moving average of the failure rate, within 0..=1.
    failure_rate: f64,
    outcomes: u32,
    /// End of the current ejection.
    ejected_until: Option<Moment>,
    ejections: u32,
    /// When the last probe call was sent after the ejection ended. Cleared once its
    /// outcome is known.
    probed_at: Option<Moment>,
}

impl Health {
    pub(super) fn observe(&mut self, failed: bool) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failure_rate += SMOOTHING * (f64::from(u8::from(failed)) - self.failure_rate);
    }

    pub(super) const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    pub(super) const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the failure rate is high in absolute terms and compared with the
    /// service. An ejected target counts as an outlier.
    pub(super) fn is_outlier(&self, service: &Self) -> bool {
        self.outcomes >= MIN_OUTCOMES
            && self.failure_rate > OUTLIER_RATE
            && self.failure_rate > service.failure_rate + OUTLIER_MARGIN
            || self.is_ejected()
    }

    /// Starts an ejection and returns its length, which doubles up to a limit.
    pub(super) fn eject(&mut self, now: Moment) -> Duration {
        let length = FIRST_EJECTION * 2u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.ejected_until = Some(now + length);
        self.probed_at = None;
        length
    }

    /// Ends an ejection after a success. Returns whether there was one.
    pub(super) fn restore(&mut self) -> bool {
        self.probed_at = None;
        if self.ejected_until.take().is_none() {
            self.ejections = if self.failure_rate < 0.05 {
                0
            } else {
                self.ejections
            };
            return false;
        }
        self.failure_rate = 0.0;
        self.outcomes = 0;
        true
    }

    /// Whether calls may be sent: there is no ejection, or it has ended and no
    /// probe call was sent within [`FIRST_EJECTION`].
    pub(super) fn accepts_calls(&self, now: Moment) -> bool {
        let Some(until) = self.ejected_until else {
            return true;
        };
        let probed_recently = self
            .probed_at
            .is_some_and(|since| now.since(since) < FIRST_EJECTION);
        now >= until && !probed_recently
    }

    pub(super) fn record_probe(&mut self, now: Moment) {
        if self.is_ejected() {
            self.probed_at = Some(now);
        }
    }
}
