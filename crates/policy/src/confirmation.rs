//! When the configuration was last confirmed as the newest, and when a daemon
//! confirms it by a read of its own.
//!
//! The pollers of a failure domain confirm the configuration for all its members.
//! If no confirmation arrives, the members read the store one after the other, and
//! the first that succeeds confirms for the rest.

use std::time::Duration;

use crate::moment::Moment;

/// Fraction of the bound on withdrawn keys after which the first member reads.
const FIRST_READ: f64 = 0.5;
/// Fraction of that bound by which the last member reads. Keys are refused soon
/// after it, and a read takes time.
const LAST_READ: f64 = 0.62;
/// Delay between the reads of two successive members.
const RANK_DELAY: Duration = Duration::from_millis(40);

/// Age of the last confirmation at which the member with this rank in its failure
/// domain reads the store. `withdraw_within` is the time within which a withdrawn
/// key must be refused.
pub fn read_age(withdraw_within: Duration, rank: usize) -> Duration {
    let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX).min(1_000);
    let age = withdraw_within.mul_f64(FIRST_READ) + delay;
    age.min(withdraw_within.mul_f64(LAST_READ))
}

/// Which reads of the store confirm the configuration in force.
///
/// A store that has returned from an older copy may lack the newest configuration, with
/// the keys that it withdraws, until its writer writes it again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reads {
    /// Era of the store at the last read; `None` before the first.
    era: Option<u64>,
    /// When a read first showed that the store had returned from a copy.
    returned_at: Option<Moment>,
    /// Highest revision that the store held in that era.
    revision: u64,
}

impl Reads {
    /// Records a read in this era that ended `now`.
    pub fn record(&mut self, era: u64, now: Moment) {
        if self.era == Some(era) {
            return;
        }
        self.returned_at = self.era.map(|_| now).or(self.returned_at);
        self.era = Some(era);
        self.revision = 0;
    }

    /// Records the revision of a configuration that was read.
    pub const fn record_revision(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
        }
    }

    /// Whether a read sent at `sent` confirms the configuration of revision `in_force`:
    /// the store holds no older one, and has not returned from a copy within `settle`.
    pub fn confirm(&self, in_force: u64, sent: Moment, settle: Duration) -> bool {
        let is_settled = self
            .returned_at
            .is_none_or(|returned| sent.since(returned) >= settle);
        self.revision >= in_force && is_settled
    }
}

/// When the configuration was known to be the newest, on the local clock.
///
/// Another process may have known it before this one started, so that a date may
/// precede the origin of the clock, which no [`Moment`] does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Date(i64);

impl Date {
    /// The date of a moment.
    pub fn of(moment: Moment) -> Self {
        Self::from_micros(i64::try_from(moment.as_micros()).unwrap_or(i64::MAX))
    }

    /// The date `micros` microseconds after the origin.
    pub const fn from_micros(micros: i64) -> Self {
        Self(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// This date as a moment, `None` if it precedes the origin.
    pub fn moment(self) -> Option<Moment> {
        u64::try_from(self.0).ok().map(Moment::from_micros)
    }

    /// This date plus `length`.
    #[must_use]
    pub fn after(self, length: Duration) -> Self {
        Self(self.0.saturating_add(micros(length)))
    }

    /// This date minus `length`.
    #[must_use]
    pub fn before(self, length: Duration) -> Self {
        Self(self.0.saturating_sub(micros(length)))
    }

    /// Time elapsed since this date, zero if it is later than `now`.
    pub fn age(self, now: Moment) -> Duration {
        let age = Self::of(now).0.saturating_sub(self.0);
        Duration::from_micros(u64::try_from(age).unwrap_or_default())
    }
}

fn micros(length: Duration) -> i64 {
    i64::try_from(length.as_micros()).unwrap_or(i64::MAX)
}
