//! Configuration of a gate.

use std::time::Duration;

/// Configuration of a [`Gate`](super::Gate).
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Calls that the target runs concurrently.
    pub slots: u32,
    /// Ramp-up time during which a new target gets its slots step by step; zero
    /// disables the ramp.
    pub cold_start: Duration,
    /// Longest time in the queue, regardless of the deadline.
    pub max_wait: Duration,
    /// Service time that is assumed before the first call completes.
    pub initial_estimate: Duration,
    /// Whether the concurrency limit falls below the slots when the target
    /// slows down.
    pub adaptive: bool,
    /// Whether queued calls are shed when no call completes for a long time.
    pub detects_stall: bool,
}

impl Config {
    /// Adaptive limit, no ramp-up, waits of at most 500 ms and an initial
    /// service time of 10 ms.
    pub const fn new(slots: u32) -> Self {
        Self {
            slots,
            cold_start: Duration::ZERO,
            max_wait: Duration::from_millis(500),
            initial_estimate: Duration::from_millis(10),
            adaptive: true,
            detects_stall: true,
        }
    }

    /// Fixes the limit at the number of slots, for targets whose own time
    /// cannot be separated from the time of their outbound calls.
    #[must_use]
    pub const fn fixed(mut self) -> Self {
        self.adaptive = false;
        self
    }

    /// Keeps queued calls however long none completes, for limits that another
    /// gate enforces behind this one.
    #[must_use]
    pub const fn without_stall(mut self) -> Self {
        self.detects_stall = false;
        self
    }

    /// Sets the ramp-up time of a new target.
    #[must_use]
    pub const fn cold_start(mut self, length: Duration) -> Self {
        self.cold_start = length;
        self
    }

    /// Sets the longest time in the queue.
    #[must_use]
    pub const fn max_wait(mut self, length: Duration) -> Self {
        self.max_wait = length;
        self
    }
}
