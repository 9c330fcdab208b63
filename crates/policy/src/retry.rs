//! Bounds on retries over the whole call chain.
//!
//! A root request is given a few attempt tokens. They are lent down the
//! chain with each call and what is left comes back with the answer, so the
//! sum over the chain never grows, whatever its depth and fan-out. Besides,
//! each ingress keeps a budget per service as a share of its successes, so
//! that retries cannot multiply when many requests fail at once.

/// Attempt tokens held by one hop of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Escrow {
    /// Tokens that this hop may spend or lend.
    held: u8,
    /// Tokens lent to calls whose answers are outstanding.
    lent: u8,
}

impl Escrow {
    /// An escrow with this many tokens.
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

    /// Lends half of what is held, rounded up, to one call.
    pub const fn lend(&mut self) -> u8 {
        let share = self.held.div_ceil(2);
        self.held -= share;
        self.lent += share;
        share
    }

    /// Takes back what a call left of `lent` tokens. A call that reports
    /// more than it was lent is taken to have left what it was lent.
    pub fn restore(&mut self, lent: u8, left: u8) {
        let lent = lent.min(self.lent);
        self.lent -= lent;
        self.held += left.min(lent);
    }

    /// Spends a token on another attempt.
    pub const fn spend(&mut self) -> bool {
        if self.held == 0 {
            return false;
        }
        self.held -= 1;
        true
    }
}

/// Share of successes that may be retried.
const RATIO: f64 = 0.1;
/// Largest budget saved up, in retries.
const CAPACITY: f64 = 20.0;

/// Retry budget of one ingress towards one service. Over a fleet the retries
/// never exceed the ratio of all successes plus the sum of the capacities.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Retries at hand, within 0..=`capacity`.
    tokens: f64,
    /// Largest budget saved up, in retries.
    capacity: f64,
    /// Share of successes that may be retried.
    ratio: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            tokens: CAPACITY * 0.5,
            capacity: CAPACITY,
            ratio: RATIO,
        }
    }
}

impl Budget {
    /// Changes the bounds; saved retries above the new capacity are lost.
    pub const fn set_bounds(&mut self, ratio: f64, capacity: f64) {
        self.ratio = ratio;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Counts a success.
    pub const fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Spends a retry if the budget has one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
