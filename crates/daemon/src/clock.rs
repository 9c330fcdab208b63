//! The runtime's clock as the policies see it.

use std::time::Duration;

use cardamomshed_policy::Moment;
use tokio::time::Instant;

/// Moments since the start of the process, on the runtime's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The current moment.
    pub fn now(&self) -> Moment {
        Moment::ZERO + self.origin.elapsed()
    }

    /// The moment as the runtime's timers take it.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.origin + moment.since(Moment::ZERO)
    }

    /// Time from now to `moment`, zero if it has passed.
    pub fn left(&self, moment: Moment) -> Duration {
        moment.since(self.now())
    }
}
