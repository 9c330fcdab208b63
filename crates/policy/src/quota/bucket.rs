//! Token bucket.

use super::Bound;
use crate::moment::Moment;

/// A token bucket that refills at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    /// Available tokens, within 0..=capacity.
    tokens: f64,
    updated: Moment,
}

impl Bucket {
    /// A bucket that starts with `tokens`, at most the burst.
    pub const fn new(bound: Bound, tokens: f64, now: Moment) -> Self {
        Self {
            rate: bound.rate,
            capacity: bound.burst,
            tokens: tokens.min(bound.burst),
            updated: now,
        }
    }

    /// Changes rate and capacity. Tokens above the new capacity are discarded.
    pub fn set_bound(&mut self, bound: Bound, now: Moment) {
        self.refill(now);
        self.rate = bound.rate;
        self.capacity = bound.burst;
        self.tokens = self.tokens.min(bound.burst);
    }

    /// Takes up to `wanted` whole tokens and returns the number taken.
    pub fn take(&mut self, wanted: u32, now: Moment) -> u32 {
        self.refill(now);
        let taken = self.tokens.floor().min(f64::from(wanted));
        self.tokens -= taken;
        taken as u32
    }

    /// Tokens available now.
    pub fn tokens(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.tokens
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}
