//! Rate limit of the slow link between regions.

use std::time::Duration;

use crate::moment::Moment;

/// Time for which an unused budget is saved. The link is billed by volume, which the
/// mean over this time bounds.
const SAVED: Duration = Duration::from_mins(1);
/// Largest use in one second, as a multiple of the mean. The few daemons whose targets
/// call a small service carry all calls that leave a region, while the others use
/// nothing.
const PEAK: f64 = 4.0;

/// Token buckets of the bytes that one daemon may send over the slow link: on average
/// over a minute, and in a second.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    /// Bytes per second on average.
    rate: f64,
    /// Bytes saved, at most the refill of [`SAVED`]. Negative after a body larger than
    /// what was left, as is `burst`.
    saved: f64,
    /// Bytes that may be sent at once, at most [`PEAK`] times the refill of one second.
    burst: f64,
    refilled_at: Moment,
}

impl ByteBudget {
    /// Creates a budget that refills at this rate. It begins with the refill of one second;
    /// more is saved only from unused time.
    pub const fn new(bytes_per_s: u64, now: Moment) -> Self {
        let rate = bytes_per_s as f64;
        Self {
            rate,
            saved: rate,
            burst: rate * PEAK,
            refilled_at: now,
        }
    }

    /// Refills the budget and returns whether a call may use the link.
    pub fn has_room(&mut self, now: Moment) -> bool {
        (self.saved, self.burst) = self.refilled(now);
        self.refilled_at = now;
        self.saved > 0.0 && self.burst > 0.0
    }

    /// As [`Self::has_room`], without a change.
    pub fn would_have_room(&self, now: Moment) -> bool {
        let (saved, burst) = self.refilled(now);
        saved > 0.0 && burst > 0.0
    }

    /// Bytes saved, and bytes that may be sent at once.
    fn refilled(&self, now: Moment) -> (f64, f64) {
        let refill = self.rate * now.since(self.refilled_at).as_secs_f64();
        let saved = (self.saved + refill).min(self.rate * SAVED.as_secs_f64());
        let burst = (self.burst + refill * PEAK).min(self.rate * PEAK);
        (saved, burst)
    }

    /// Subtracts bytes that were sent.
    pub const fn spend(&mut self, bytes: usize) {
        self.saved -= bytes as f64;
        self.burst -= bytes as f64;
    }
}
