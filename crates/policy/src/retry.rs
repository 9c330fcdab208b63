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
/// Time for which the retries that a request allows stay available.
const LIFETIME: Duration = Duration::from_secs(10);
/// Slots into which that time is divided.
const SLOTS: usize = 10;

/// Retry budget of one ingress for one service.
///
/// Every request allows `ratio` retries within the following [`LIFETIME`], so that
/// a fault that begins suddenly finds the retries of the calm time before it. In any
/// interval of that length, the retries of a fleet do not exceed the ratio times the
/// requests of that and of the preceding interval, plus twice the sum of the slacks.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Retries allowed per request.
    ratio: f64,
    /// Retries allowed per [`LIFETIME`] beyond the ratio.
    slack: f64,
    /// Retries allowed by the requests of each slot and not used, none negative.
    earned: [f64; SLOTS],
    /// Number of the current slot since the origin of the clock.
    slot: u64,
    /// Unused part of the slack, within `0..=slack`.
    spare: f64,
    spare_updated: Moment,
    /// Retries charged beyond those that were available.
    debt: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            ratio: DEFAULT_RATIO,
            slack: DEFAULT_SLACK,
            earned: [0.0; SLOTS],
            slot: 0,
            spare: DEFAULT_SLACK,
            spare_updated: Moment::ZERO,
            debt: 0.0,
        }
    }
}

impl Budget {
    /// Sets the retries per request and the slack. Unused slack above the new one
    /// is dropped.
    pub const fn set_bounds(&mut self, ratio: f64, slack: f64) {
        self.ratio = ratio;
        self.slack = slack;
        self.spare = self.spare.min(slack);
    }

    /// Adds the retries that one request allows.
    pub fn record_request(&mut self, now: Moment) {
        self.advance(now);
        let repaid = self.debt.min(self.ratio);
        self.debt -= repaid;
        self.earned[self.slot as usize % SLOTS] += self.ratio - repaid;
    }

    /// Spends a retry. Returns false if less than one is available.
    pub fn spend(&mut self, now: Moment) -> bool {
        self.advance(now);
        let available = self.earned.iter().sum::<f64>() + self.spare;
        if available < 1.0 {
            return false;
        }
        self.take(1.0);
        true
    }

    /// Deducts repeated requests that were not sent under this budget, such as the
    /// calls of a target that runs a repeated request.
    pub fn charge(&mut self, requests: f64, now: Moment) {
        self.advance(now);
        self.debt += self.take(requests);
    }

    /// Takes up to `wanted` retries, the oldest first. Returns those that were
    /// missing.
    fn take(&mut self, mut wanted: f64) -> f64 {
        for age in (0..SLOTS as u64).rev() {
            let slot = (self.slot + SLOTS as u64 - age) as usize % SLOTS;
            let taken = self.earned[slot].min(wanted);
            self.earned[slot] -= taken;
            wanted -= taken;
        }
        let taken = self.spare.min(wanted);
        self.spare -= taken;
        wanted - taken
    }

    /// Drops retries whose lifetime is over and refills the slack.
    fn advance(&mut self, now: Moment) {
        let length = LIFETIME.as_micros() as u64 / SLOTS as u64;
        let slot = now.as_micros() / length;
        let expired = slot.saturating_sub(self.slot).min(SLOTS as u64);
        for passed in 1..=expired {
            self.earned[(self.slot + passed) as usize % SLOTS] = 0.0;
        }
        self.slot = self.slot.max(slot);
        let elapsed = now.since(self.spare_updated);
        let refill = self.slack * elapsed.div_duration_f64(LIFETIME);
        self.spare = (self.spare + refill).min(self.slack);
        self.spare_updated = self.spare_updated.max(now);
    }
}
