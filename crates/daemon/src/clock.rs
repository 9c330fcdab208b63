//! The runtime's clock as the policies see it.

use std::time::{Duration, SystemTime};

use cardamomshed_policy::Moment;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Moments since the start of the process, on the runtime's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// Time for which the VM had been suspended at the origin.
    suspended: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
            suspended: suspended_since_boot(),
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

    /// Time for which the VM was suspended since the origin; the monotonic
    /// clock does not count it.
    pub fn suspended(&self) -> Duration {
        suspended_since_boot().saturating_sub(self.suspended)
    }
}

/// Differences of the two clocks below this come from reading one after the
/// other.
const RESOLUTION: Duration = Duration::from_millis(5);

fn suspended_since_boot() -> Duration {
    let elapsed = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    let monotonic = elapsed(ClockId::Monotonic);
    let difference = elapsed(ClockId::Boottime).saturating_sub(monotonic);
    if difference < RESOLUTION {
        return Duration::ZERO;
    }
    difference
}

/// Wall clock in microseconds since the Unix epoch.
pub fn wall_clock_us() -> u64 {
    let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Wall clock in milliseconds since the Unix epoch.
pub fn wall_clock_ms() -> u64 {
    wall_clock_us() / 1_000
}
