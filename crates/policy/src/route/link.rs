//! Rate limit of the slow link between regions.

use crate::moment::Moment;

/// Token bucket of the bytes that one daemon may send over the slow link.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    /// Refill rate in bytes per second.
    rate: f64,
    /// Available bytes, at most the refill of one second. Negative after a body
    /// larger than the available bytes.
    available: f64,
    refilled_at: Moment,
}

impl ByteBudget {
    /// Creates a full budget that refills at this rate.
    pub const fn new(bytes_per_s: u64, now: Moment) -> Self {
        Self {
            rate: bytes_per_s as f64,
            available: bytes_per_s as f64,
            refilled_at: now,
        }
    }

    /// Refills the budget and returns whether a call may use the link.
    pub fn has_room(&mut self, now: Moment) -> bool {
        self.available = self.refilled(now);
        self.refilled_at = now;
        self.available > 0.0
    }

    /// As [`Self::has_room`], without a change.
    pub fn would_have_room(&self, now: Moment) -> bool {
        self.refilled(now) > 0.0
    }

    fn refilled(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.available + elapsed * self.rate).min(self.rate)
    }

    /// Subtracts bytes that were sent.
    pub const fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
