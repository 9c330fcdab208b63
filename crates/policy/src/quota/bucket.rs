//! Token bucket.

use std::time::Duration;

use super::Bound;
use crate::moment::Moment;

/// Time over which an allowance is added. Lenders that do not know each other yet may
/// give the same allowance; they find each other in a fraction of this time.
const ALLOWANCE_PERIOD: Duration = Duration::from_secs(1);

/// A token bucket that refills at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    /// Available tokens of the rate and burst. With `extra` they are within 0..=capacity.
    tokens: f64,
    /// Available tokens of the allowance, which are taken last.
    extra: f64,
    /// Tokens of the allowance that were taken and not reported yet.
    extra_taken: f64,
    /// Further tokens, which are added in equal parts during [`ALLOWANCE_PERIOD`].
    allowance: f64,
    /// Part of them that has not been added yet.
    allowance_left: f64,
    updated: Moment,
}

impl Bucket {
    /// A bucket that starts with `tokens`, at most the burst.
    pub const fn new(bound: Bound, tokens: f64, now: Moment) -> Self {
        Self {
            rate: bound.rate,
            capacity: bound.burst,
            tokens: tokens.min(bound.burst),
            extra: 0.0,
            extra_taken: 0.0,
            allowance: 0.0,
            allowance_left: 0.0,
            updated: now,
        }
    }

    /// Adds `tokens` during the next second, as far as the capacity allows.
    pub fn add_allowance(&mut self, tokens: f64, now: Moment) {
        self.refill(now);
        self.allowance = tokens;
        self.allowance_left = tokens;
    }

    /// Changes rate and capacity. Tokens above the new capacity are discarded, and with a
    /// lower rate the rest of an allowance.
    pub fn set_bound(&mut self, bound: Bound, now: Moment) {
        self.refill(now);
        if bound.rate < self.rate {
            self.allowance_left = 0.0;
        }
        self.rate = bound.rate;
        self.capacity = bound.burst;
        self.tokens = self.tokens.min(bound.burst);
        self.extra = self.extra.min(bound.burst - self.tokens);
    }

    /// Takes up to `wanted` whole tokens and returns the number taken.
    pub fn take(&mut self, wanted: u32, now: Moment) -> u32 {
        self.refill(now);
        let taken = (self.tokens + self.extra).floor().min(f64::from(wanted));
        let extra = (taken - self.tokens).max(0.0);
        self.tokens -= taken - extra;
        self.extra -= extra;
        self.extra_taken += extra;
        taken as u32
    }

    /// Tokens of the allowance that were taken since the last call.
    pub const fn report_extra(&mut self) -> f64 {
        std::mem::replace(&mut self.extra_taken, 0.0)
    }

    /// Tokens available now.
    pub fn tokens(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.tokens + self.extra
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.updated);
        let part = elapsed.div_duration_f64(ALLOWANCE_PERIOD) * self.allowance;
        let part = part.min(self.allowance_left);
        self.allowance_left -= part;
        let added = elapsed.as_secs_f64() * self.rate;
        self.tokens = (self.tokens + added).min(self.capacity);
        self.extra = (self.extra + part).min(self.capacity - self.tokens);
        self.updated = self.updated.max(now);
    }
}
