//! Monotonic clock of the daemon, and wall-clock time.

use std::time::{Duration, SystemTime};

use cardamomshed_policy::Moment;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Moments since the clock was started: the runtime's monotonic clock, plus the
/// time for which the VM was suspended, which that clock does not count. Leases,
/// deadlines and tokens therefore expire during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// Time for which the VM had been suspended between its boot and the origin.
    suspended_at_origin: Duration,
}

impl Clock {
    /// Starts a clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
            suspended_at_origin: suspended_since_boot(),
        }
    }

    /// The current moment.
    pub fn now(&self) -> Moment {
        Moment::ZERO + self.origin.elapsed() + self.suspended()
    }

    /// Time from now to `moment`, zero if it has passed.
    pub fn remaining(&self, moment: Moment) -> Duration {
        moment.since(self.now())
    }

    /// Time for which the VM has been suspended since the origin.
    fn suspended(&self) -> Duration {
        suspended_since_boot().saturating_sub(self.suspended_at_origin)
    }
}

/// Smallest difference between the two clocks that counts as suspension. They
/// are read one after the other, so they may differ by less without one.
const MIN_SUSPENSION: Duration = Duration::from_millis(5);

/// Time for which the VM has been suspended since its boot: the boot-time clock
/// counts it and the monotonic clock does not.
fn suspended_since_boot() -> Duration {
    let elapsed = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    let monotonic = elapsed(ClockId::Monotonic);
    let difference = elapsed(ClockId::Boottime).saturating_sub(monotonic);
    if difference < MIN_SUSPENSION {
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
