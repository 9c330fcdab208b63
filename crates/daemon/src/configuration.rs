//! The current configuration and the time of its last confirmation as the newest.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use cardamomshed_note::{Config, Interner, Lookup};
use cardamomshed_policy::Moment;
use cardamomshed_policy::confirmation::Date;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::history::History;

/// Value of [`Configuration::confirmed_us`] before the first confirmation.
const UNCONFIRMED: i64 = i64::MIN;
/// Shortest interval between two requests for a newer configuration.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Start time of a condition that concerns one revision. A different revision
/// restarts the timer.
#[derive(Debug, Default)]
pub struct Timer {
    since: Option<(Moment, u64)>,
}

impl Timer {
    /// Time since the first call for this revision; zero on that call.
    pub fn elapsed(&mut self, revision: u64, now: Moment) -> Duration {
        let since = self.since.filter(|(_, last)| *last == revision);
        let (since, _) = *self.since.insert(since.unwrap_or((now, revision)));
        now.since(since)
    }

    /// Whether updates to this revision may be requested from a member at `now`,
    /// which limits the rate of requests. If so, the request counts as sent.
    pub fn may_request(&mut self, revision: u64, now: Moment) -> bool {
        let recent =
            |(sent, last): &(Moment, u64)| *last == revision && now.since(*sent) < MIN_INTERVAL;
        if self.since.as_ref().is_some_and(recent) {
            return false;
        }
        self.since = Some((now, revision));
        true
    }
}

/// The current configuration with the state of its distribution.
#[derive(Debug)]
pub struct Configuration {
    clock: Clock,
    lookup: RwLock<Arc<Lookup>>,
    /// Date of the last confirmation, in microseconds; [`UNCONFIRMED`] before the
    /// first. A configuration from a peer does not change it.
    confirmed_us: AtomicI64,
    /// Recent release notes.
    pub history: History,
    /// Newest configuration in the operators' JSON, with API keys replaced by
    /// digests, for peers whose configuration is older.
    pub operator_config: Mutex<Option<Arc<str>>>,
    /// Name of a member that has a newer configuration.
    pub newer_member: Mutex<Option<Arc<str>>>,
    /// Time since which a newer configuration is known to exist.
    pub outdated: Mutex<Timer>,
    /// Time of the last request for a newer configuration.
    pub requested: Mutex<Timer>,
    /// Wakes the actor that follows the configuration.
    pub wake: Notify,
}

impl Configuration {
    /// Creates an empty, unconfirmed configuration with revision 0.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            lookup: RwLock::default(),
            confirmed_us: AtomicI64::new(UNCONFIRMED),
            history: History::default(),
            operator_config: Mutex::default(),
            newer_member: Mutex::default(),
            outdated: Mutex::default(),
            requested: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// The current configuration with its indexes.
    pub fn lookup(&self) -> Arc<Lookup> {
        let lookup = self.lookup.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&lookup)
    }

    /// Replaces the configuration if `config` has a higher revision. Returns whether
    /// it was replaced.
    pub fn replace(&self, config: Config, names: &Interner) -> bool {
        let mut lookup = self.lookup.write().unwrap_or_else(PoisonError::into_inner);
        let newer = config.revision > lookup.config.revision;
        if newer {
            *lookup = Arc::new(Lookup::new(config, names));
        }
        newer
    }

    /// Records that the configuration was the newest at `date`. An earlier date than
    /// the recorded one is ignored. Returns whether this is the first confirmation.
    pub fn confirm(&self, date: Date) -> bool {
        let before = self
            .confirmed_us
            .fetch_max(date.as_micros(), Ordering::Relaxed);
        before == UNCONFIRMED
    }

    /// Date of the last confirmation, `None` if this process has received none.
    pub fn confirmed(&self) -> Option<Date> {
        let micros = self.confirmed_us.load(Ordering::Relaxed);
        (micros != UNCONFIRMED).then(|| Date::from_micros(micros))
    }

    /// Time since the last confirmation, `None` before the first.
    pub fn unconfirmed_for(&self) -> Option<Duration> {
        let confirmed = self.confirmed()?;
        Some(confirmed.age(self.clock.now()))
    }
}
