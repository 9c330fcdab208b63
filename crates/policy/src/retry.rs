//! Limits on retries over a whole call chain.
//!
//! A root request starts with a few attempt tokens. Each call lends some of them
//! to the callee, and the response returns what is left, so the sum over the
//! chain never grows, whatever its depth and fan-out. In addition, each ingress
//! has a retry budget per service, a share of its successes, so that retries do
//! not multiply when many requests fail at once.

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

/// Default number of retries per success.
const DEFAULT_RATIO: f64 = 0.1;
/// Default capacity of a budget, in retries.
const DEFAULT_CAPACITY: f64 = 20.0;

/// Retry budget of one ingress for one service.
///
/// Over a fleet the retries never exceed the ratio times all successes plus the
/// sum of the capacities.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Available retries, within 0..=`capacity`.
    tokens: f64,
    /// Largest number of available retries.
    capacity: f64,
    /// Retries added per success.
    ratio: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            tokens: DEFAULT_CAPACITY * 0.5,
            capacity: DEFAULT_CAPACITY,
            ratio: DEFAULT_RATIO,
        }
    }
}

impl Budget {
    /// Sets the retries per success and the capacity. Available retries above the
    /// new capacity are dropped.
    pub const fn set_bounds(&mut self, ratio: f64, capacity: f64) {
        self.ratio = ratio;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Adds the retries that one success allows, up to the capacity.
    pub const fn record_success(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Spends a retry. Returns false if less than one is available.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
