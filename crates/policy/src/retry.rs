//! Limits on retries over a whole call chain.
//!
//! A root request starts with a few attempt tokens. Each call lends some of them
//! to the callee, and the response returns what is left, so the sum over the
//! chain never grows, whatever its depth and fan-out. In addition, each ingress
//! has a retry budget per service, a share of its requests, so that retries do
//! not multiply when many requests fail at once.

use std::time::Duration;

use crate::moment::Moment;

/// Attempt tokens of one hop of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Escrow {
    /// Tokens that this hop may spend or lend.
    held: u8,
    /// Tokens lent to calls that are not answered yet.
    lent: u8,
}

impl Escrow {
    /// Creates an escrow that holds `tokens` and has lent none.
    pub const fn new(tokens: u8) -> Self {
        Self {
            held: tokens,
            lent: 0,
        }
    }

    /// Tokens that this hop may spend or lend.
    pub const fn held(&self) -> u8 {
        self.held
    }

    /// Lends half of the held tokens, rounded up, to one call. Returns the number
    /// lent.
    pub const fn lend(&mut self) -> u8 {
        let share = self.held.div_ceil(2);
        self.held -= share;
        self.lent += share;
        share
    }

    /// Takes back the `left` unspent tokens of a call that was lent `lent`. A callee
    /// that reports more than it was lent is credited with what it was lent.
    pub fn restore(&mut self, lent: u8, left: u8) {
        let lent = lent.min(self.lent);
        self.lent -= lent;
        self.held += left.min(lent);
    }

    /// Spends a token on another attempt. Returns false if none is held.
    pub const fn spend(&mut self) -> bool {
        if self.held == 0 {
            return false;
        }
        self.held -= 1;
        true
    }
}

/// Default number of retries per request.
const DEFAULT_RATIO: f64 = 0.1;
/// Default number of retries beyond the ratio, per [`LIFETIME`].
const DEFAULT_SLACK: f64 = 10.0;
/// Length of the window in which retries are limited.
const WINDOW: Duration = Duration::from_secs(10);
/// Slots into which the window is divided.
const SLOTS: usize = 10;
/// Slots that are kept. Retries count for one more than requests, since the first
/// slot of a window is covered in part.
const KEPT: usize = SLOTS + 1;

/// Retry budget of one ingress for one service.
///
/// In any ten seconds that end with a retry, there are at most `ratio` retries for
/// each request of that time, and `slack` beyond. So a fault that begins suddenly
/// finds the retries of the calm time before it, and those of a fleet do not exceed
/// the ratio times its requests and the sum of the slacks.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Retries allowed per request.
    ratio: f64,
    /// Retries allowed per window beyond the ratio.
    slack: f64,
    /// Requests by slot.
    requests: [f64; KEPT],
    /// Retries by slot, those charged included.
    retries: [f64; KEPT],
    /// Number of the current slot since the origin of the clock.
    slot: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            ratio: DEFAULT_RATIO,
            slack: DEFAULT_SLACK,
            requests: [0.0; KEPT],
            retries: [0.0; KEPT],
            slot: 0,
        }
    }
}

impl Budget {
    /// Sets the retries per request and the slack.
    pub const fn set_bounds(&mut self, ratio: f64, slack: f64) {
        self.ratio = ratio;
        self.slack = slack;
    }

    /// Records a request, which allows some retries.
    pub fn record_request(&mut self, now: Moment) {
        self.advance(now);
        self.requests[self.slot as usize % KEPT] += 1.0;
    }

    /// Spends a retry. Returns false if less than one is available.
    pub fn spend(&mut self, now: Moment) -> bool {
        self.advance(now);
        let oldest = (self.slot + 1) as usize % KEPT;
        let requests = self.requests.iter().sum::<f64>() - self.requests[oldest];
        let available = self.ratio * requests + self.slack - self.retries.iter().sum::<f64>();
        if available < 1.0 {
            return false;
        }
        self.retries[self.slot as usize % KEPT] += 1.0;
        true
    }

    /// Deducts repeated requests that were not sent under this budget, such as the
    /// calls of a target that runs a repeated request.
    pub fn charge(&mut self, requests: f64, now: Moment) {
        self.advance(now);
        self.retries[self.slot as usize % KEPT] += requests;
    }

    /// Clears the slots that have left the window.
    fn advance(&mut self, now: Moment) {
        let length = WINDOW.as_micros() as u64 / SLOTS as u64;
        let slot = now.as_micros() / length;
        let passed = slot.saturating_sub(self.slot).min(KEPT as u64);
        for offset in 1..=passed {
            let index = (slot + KEPT as u64 - passed + offset) as usize % KEPT;
            self.requests[index] = 0.0;
            self.retries[index] = 0.0;
        }
        self.slot = self.slot.max(slot);
    }
}
