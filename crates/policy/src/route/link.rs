//! The byte budget of the slow link between regions.

use crate::moment::Moment;

/// Bytes that one daemon may send over the slow link, refilled with time.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    /// Bytes a second.
    rate: f64,
    /// Bytes at hand, at most one second's worth; below zero after a body
    /// larger than what was left.
    bytes: f64,
    updated: Moment,
}

impl ByteBudget {
    /// A full budget of this many bytes a second.
    pub const fn new(bytes_per_second: u64, now: Moment) -> Self {
        Self {
            rate: bytes_per_second as f64,
            bytes: bytes_per_second as f64,
            updated: now,
        }
    }

    /// Whether a call may use the link.
    pub fn has_room(&mut self, now: Moment) -> bool {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.bytes = (self.bytes + elapsed * self.rate).min(self.rate);
        self.updated = now;
        self.bytes > 0.0
    }

    /// Counts bytes that were sent.
    pub const fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}
