//! Limit on the calls to a target that is cold, or that may be.
//!
//! A cold target sustains few calls and crashes under more, after which it is cold
//! again. What is known of it comes from its heartbeats, which may be late, and from
//! health checks. A report that may be older than what is known never lifts the limit.

use std::time::Duration;

use crate::moment::Moment;

/// Time by which a heartbeat may be late. One that arrives within it after a suspicion
/// may have been sent before.
const MAX_HEARTBEAT_LATENESS: Duration = Duration::from_secs(3);
/// Smallest burst in calls, since a call starts only with a whole token.
const MIN_BURST: f64 = 1.0;
/// Share of the slack that a burst may use. The other half is for a second burst
/// within the same second, after a restart of the daemon.
const BURST_SHARE: f64 = 0.5;

/// What a target reports of its cold time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// In a heartbeat, which may have been sent some time ago.
    Heartbeat {
        /// Remaining cold time when it was sent.
        left: Duration,
        /// Whether it is the first of its incarnation of the target, so that no
        /// earlier one can have sent it.
        restarted: bool,
    },
    /// In the response to a health check. It replaces the heartbeats received before
    /// the request.
    Check {
        /// Remaining cold time.
        left: Duration,
        /// When the check was requested.
        requested_at: Moment,
    },
}

/// Token bucket that is in force while the target is cold, or while it is not known
/// whether it is.
#[derive(Clone, Copy, Debug)]
pub struct Warmup {
    /// Calls per second that a cold target sustains; zero for no limit.
    rate: f64,
    /// Largest number of tokens; at least [`MIN_BURST`].
    burst: f64,
    /// Tokens at `refilled_at`, within `0..=burst`. Calls take tokens whether or not
    /// the limit is in force, so that a target that becomes cold repeatedly does not
    /// get a burst each time.
    tokens: f64,
    refilled_at: Moment,
    /// End of the cold time according to the last heartbeat.
    heartbeat_end: Moment,
    /// When that heartbeat arrived.
    heartbeat_at: Moment,
    /// End of the cold time according to the last health check.
    check_end: Moment,
    /// Whether it is unknown if the target is cold.
    unknown: bool,
    /// When the target last gave reason to assume that it restarted. Only reports of
    /// a later state end `unknown`.
    suspected_at: Option<Moment>,
}

impl Default for Warmup {
    /// No limit; the state of the target is unknown.
    fn default() -> Self {
        Self {
            rate: 0.0,
            burst: MIN_BURST,
            tokens: MIN_BURST,
            refilled_at: Moment::ZERO,
            heartbeat_end: Moment::ZERO,
            heartbeat_at: Moment::ZERO,
            check_end: Moment::ZERO,
            unknown: true,
            suspected_at: None,
        }
    }
}

impl Warmup {
    /// Sets the calls per second that a cold target sustains, zero for no limit, and
    /// the calls in a second that are allowed beyond a multiple of the rate.
    pub fn set_limit(&mut self, rate: f64, slack: f64, now: Moment) {
        self.tokens = self.tokens(now);
        self.refilled_at = now;
        self.rate = rate.max(0.0);
        self.burst = (slack * BURST_SHARE).max(MIN_BURST);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Whether calls need a token.
    pub fn is_in_force(&self, now: Moment) -> bool {
        self.rate > 0.0 && (self.unknown || now < self.heartbeat_end.max(self.check_end))
    }

    /// Whether there is a limit and it is unknown if the target is cold, so that a
    /// health check is of use.
    pub fn needs_check(&self) -> bool {
        self.rate > 0.0 && self.unknown
    }

    /// Time until the cold time ends by the reports received.
    pub fn remaining(&self, now: Moment) -> Duration {
        self.heartbeat_end.max(self.check_end).since(now)
    }

    /// Records a report of the target.
    pub fn record(&mut self, report: Report, now: Moment) {
        match report {
            Report::Heartbeat { left, restarted } => {
                self.heartbeat_end = now + left;
                self.heartbeat_at = now;
                let may_precede_suspicion = self
                    .suspected_at
                    .is_some_and(|at| now.since(at) < MAX_HEARTBEAT_LATENESS);
                if restarted || !may_precede_suspicion {
                    self.unknown = false;
                }
            }
            Report::Check { left, requested_at } => {
                if self.suspected_at.is_some_and(|at| requested_at < at) {
                    return;
                }
                self.check_end = now + left;
                if self.heartbeat_at <= requested_at {
                    self.heartbeat_end = Moment::ZERO;
                }
                self.unknown = false;
            }
        }
    }

    /// Records that the target may have become cold.
    pub const fn suspect(&mut self, now: Moment) {
        self.unknown = true;
        self.suspected_at = Some(now);
    }

    /// Forgets what was reported of an earlier target. The tokens stay.
    pub const fn reset_reports(&mut self) {
        self.heartbeat_end = Moment::ZERO;
        self.heartbeat_at = Moment::ZERO;
        self.check_end = Moment::ZERO;
        self.unknown = true;
        self.suspected_at = None;
    }

    /// Whether a call may start.
    pub fn permits(&self, now: Moment) -> bool {
        !self.is_in_force(now) || self.tokens(now) >= 1.0
    }

    /// Takes the token of a call that starts.
    pub fn take(&mut self, now: Moment) {
        self.tokens = (self.tokens(now) - 1.0).max(0.0);
        self.refilled_at = now;
    }

    /// Time until the given number of calls can have started.
    pub fn wait_for(&self, calls: usize, now: Moment) -> Duration {
        if !self.is_in_force(now) {
            return Duration::ZERO;
        }
        let missing = (calls as f64 - self.tokens(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }

    /// Calls that run concurrently at the rate of a cold target, at least one.
    pub fn concurrency(&self, service_time: Duration) -> u32 {
        ((self.rate * service_time.as_secs_f64()).round() as u32).max(1)
    }

    fn tokens(&self, now: Moment) -> f64 {
        let refill = self.rate * now.since(self.refilled_at).as_secs_f64();
        (self.tokens + refill).min(self.burst)
    }
}
