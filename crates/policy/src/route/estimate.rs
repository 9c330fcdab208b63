//! Estimate of a target's load from reports that are some time old.
//!
//! Each reply to a call reports the load of its target. The estimate adds the calls that
//! this daemon sent since, and returns from the reported to the usual load as the report
//! ages.

use std::time::Duration;

use crate::gate::Load;
use crate::moment::Moment;

/// Age from which a report is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(5);
/// Age at which a report counts for 1/e of its difference from the usual load.
const LOAD_MEMORY: Duration = Duration::from_millis(100);
/// The same for the service time, which changes with phases of several hundred
/// milliseconds.
const TIME_MEMORY: Duration = Duration::from_millis(500);
/// Ratio of the service time to the usual one up to which it counts as noise.
const NOISE: f64 = 1.3;
/// Reports from which a target that reports less than the usual load is believed. At a
/// new target, many daemons would otherwise see the same free slots and fill them at once.
const TRUSTED_REPORTS: u32 = 4;
/// Weight of one report in the usual load and service time of its target.
const USUAL_WEIGHT: f64 = 0.1;

/// What is known of the load of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimate {
    /// Last report; only the limit is valid before the first.
    report: Load,
    /// When the target reported last, or was added.
    reported_at: Moment,
    /// Reports without a gap, at most [`TRUSTED_REPORTS`]; zero before the first.
    reports: u32,
    /// Calls from this daemon that are not answered yet.
    in_flight: u32,
    /// Calls sent since the last report; at most `in_flight`.
    sent: u32,
    /// Smoothed number of calls at the target over its reports.
    usual_calls: f64,
    /// Smoothed service time over its reports, in seconds; zero before the first.
    usual_time: f64,
}

impl Estimate {
    /// A target with a limit of `slots` concurrent calls that has reported nothing.
    pub(super) fn new(slots: u32, now: Moment) -> Self {
        Self {
            report: Load {
                limit: slots,
                ..Load::default()
            },
            reported_at: now,
            ..Self::default()
        }
    }

    /// Replaces the limit until the next report.
    pub(super) const fn set_limit(&mut self, slots: u32) {
        self.report.limit = slots;
    }

    pub(super) const fn record_start(&mut self) {
        self.in_flight += 1;
        self.sent += 1;
    }

    pub(super) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent = self.sent.min(self.in_flight);
    }

    /// Records a report. `unknown` is the load that is assumed without one.
    pub(super) fn record_load(&mut self, load: Load, unknown: f64, now: Moment) {
        let calls = f64::from(load.running + load.waiting);
        let time = load.service_time.as_secs_f64();
        if self.age(now).is_some() {
            self.usual_calls += USUAL_WEIGHT * (calls - self.usual_calls);
            self.usual_time += USUAL_WEIGHT * (time - self.usual_time);
        } else {
            self.reports = 0;
            self.usual_calls = calls.max(unknown * f64::from(load.limit));
            self.usual_time = time;
        }
        self.report = load;
        self.reported_at = now;
        self.reports = (self.reports + 1).min(TRUSTED_REPORTS);
        self.sent = 0;
    }

    /// Age of the last report, unless there is none or it is too old to be used.
    pub(super) fn age(&self, now: Moment) -> Option<Duration> {
        let age = now.since(self.reported_at);
        (self.reports > 0 && age < MAX_LOAD_AGE).then_some(age)
    }

    /// Whether there is neither a recent report nor a call that will bring one.
    pub(super) fn is_untried(&self, now: Moment) -> bool {
        self.in_flight == 0 && self.age(now).is_none()
    }

    /// Share of rejected calls, if it was reported recently.
    pub(super) fn rejection(&self, now: Moment) -> Option<f64> {
        self.age(now).map(|_| self.report.rejection)
    }

    /// Estimated calls per slot, with one more call. A target without a recent report is
    /// assumed to have the load `unknown`, so that a new target is not taken for an idle
    /// one by every daemon at once.
    pub(super) fn load(&self, unknown: f64, now: Moment) -> f64 {
        let limit = f64::from(self.report.limit.max(1));
        let known = self.age(now).map(|age| {
            let reported = f64::from(self.report.running + self.report.waiting);
            let trust = f64::from(self.reports) / f64::from(TRUSTED_REPORTS);
            let believed = self.usual_calls + (reported - self.usual_calls) * trust;
            approach(reported.max(believed), self.usual_calls, age, LOAD_MEMORY)
        });
        let calls = known.unwrap_or(unknown * limit) + f64::from(self.sent);
        (calls.max(f64::from(self.in_flight)) + 1.0) / limit
    }

    /// Estimated service time relative to the usual one of this target; one unless it is
    /// clearly slower than usual.
    pub(super) fn slowdown(&self, now: Moment) -> f64 {
        let time = self.service_time(now);
        let slowdown = time.map(|time| time / self.usual_time);
        let slowdown = slowdown.filter(|slowdown| slowdown.is_finite());
        slowdown.filter(|slowdown| *slowdown > NOISE).unwrap_or(1.0)
    }

    /// Estimated service time in seconds, if a recent report tells it.
    pub(super) fn service_time(&self, now: Moment) -> Option<f64> {
        let age = self.age(now)?;
        let reported = self.report.service_time.as_secs_f64();
        let time = approach(reported, self.usual_time, age, TIME_MEMORY);
        (time > 0.0).then_some(time)
    }
}

/// Value that was `reported` at this age and returns to the usual one.
fn approach(reported: f64, usual: f64, age: Duration, memory: Duration) -> f64 {
    let weight = (-age.div_duration_f64(memory)).exp();
    usual + (reported - usual) * weight
}
