//! What the outcomes of calls say of one target, or of a whole service.

use std::time::Duration;

use crate::moment::Moment;

/// Weight of one outcome in the smoothed share of failures.
const SMOOTHING: f64 = 0.15;
/// Share of failures above which a target may be ejected.
const OUTLIER_SHARE: f64 = 0.5;
/// Margin by which a target must fail more than its service.
const OUTLIER_MARGIN: f64 = 0.2;
/// Outcomes without which a target is not judged.
const MIN_OUTCOMES: u32 = 5;
/// Length of a first ejection; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Doublings after which ejections grow no longer.
const MAX_DOUBLINGS: u32 = 5;

/// Outcomes of calls to one target, or to all targets of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Smoothed share of failures, within 0..=1.
    failures: f64,
    outcomes: u32,
    /// End of the ejection in force.
    ejected_until: Option<Moment>,
    ejections: u32,
    /// A call was sent after the ejection's end and has not answered.
    probing: Option<Moment>,
}

impl Health {
    pub(super) fn observe(&mut self, failed: bool) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failures += SMOOTHING * (f64::from(u8::from(failed)) - self.failures);
    }

    pub(super) const fn failure_share(&self) -> f64 {
        self.failures
    }

    pub(super) const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether it fails while the service as a whole does not.
    pub(super) fn is_outlier(&self, service: &Self) -> bool {
        self.outcomes >= MIN_OUTCOMES
            && self.failures > OUTLIER_SHARE
            && self.failures > service.failures + OUTLIER_MARGIN
            || self.is_ejected()
    }

    /// Starts an ejection, longer each time, and gives its length.
    pub(super) fn eject(&mut self, now: Moment) -> Duration {
        let length = FIRST_EJECTION * 2u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.ejected_until = Some(now + length);
        self.probing = None;
        length
    }

    /// Ends an ejection after a success; says whether there was one.
    pub(super) fn restore(&mut self) -> bool {
        self.probing = None;
        if self.ejected_until.take().is_none() {
            self.ejections = if self.failures < 0.05 {
                0
            } else {
                self.ejections
            };
            return false;
        }
        self.failures = 0.0;
        self.outcomes = 0;
        true
    }

    /// Whether calls may go there: not ejected, or due for one call that
    /// finds out.
    pub(super) fn takes_calls(&self, now: Moment) -> bool {
        let Some(until) = self.ejected_until else {
            return true;
        };
        let probed_lately = self
            .probing
            .is_some_and(|since| now.since(since) < FIRST_EJECTION);
        now >= until && !probed_lately
    }

    pub(super) fn note_probe(&mut self, now: Moment) {
        if self.is_ejected() {
            self.probing = Some(now);
        }
    }
}
