//! A token bucket.

use super::Bound;
use crate::moment::Moment;

/// A token bucket that is refilled with time.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    /// Tokens at hand, within 0..=capacity.
    tokens: f64,
    updated: Moment,
}

impl Bucket {
    /// A bucket that starts with these tokens.
    pub const fn new(bound: Bound, tokens: f64, now: Moment) -> Self {
        Self {
            rate: bound.rate,
            capacity: bound.burst,
            tokens: tokens.min(bound.burst),
            updated: now,
        }
    }

    /// Changes the bound; tokens above the new capacity are lost.
    pub fn set_bound(&mut self, bound: Bound, now: Moment) {
        self.refill(now);
        self.rate = bound.rate;
        self.capacity = bound.burst;
        self.tokens = self.tokens.min(bound.burst);
    }

    /// Takes up to `wanted` whole tokens and gives how many.
    pub fn take(&mut self, wanted: u32, now: Moment) -> u32 {
        self.refill(now);
        let taken = self.tokens.floor().min(f64::from(wanted));
        self.tokens -= taken;
        taken as u32
    }

    /// Tokens at hand.
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
