//! Monotonic time as the policies use it.

use std::ops::Add;
use std::time::Duration;

/// Microseconds since a fixed origin that the caller chooses.
///
/// Moments are comparable only within one process, since each process has its
/// own origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// The moment `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The moment `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`, zero if `earlier` is later than this
    /// moment.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, length: Duration) -> Self {
        let micros = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
