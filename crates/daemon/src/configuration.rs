//! The current configuration and the time of its last confirmation as the newest.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use cardamomshed_note::{Config, Interner, Lookup};
use cardamomshed_policy::Moment;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::history::History;

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
    /// Moment of the last confirmation, in microseconds.
    confirmed_us: AtomicU64,
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
            confirmed_us: AtomicU64::new(0),
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

    /// Records that the configuration is the newest now.
    pub fn confirm(&self) {
        self.confirm_at(self.clock.now());
    }

    /// Records that it was the newest at `moment`. An earlier moment than the
    /// recorded one is ignored.
    pub fn confirm_at(&self, moment: Moment) {
        self.confirmed_us
            .fetch_max(moment.as_micros(), Ordering::Relaxed);
    }

    /// Moment of the last confirmation.
    pub fn confirmed(&self) -> Moment {
        Moment::from_micros(self.confirmed_us.load(Ordering::Relaxed))
    }

    /// Time since the last confirmation.
    pub fn unconfirmed_for(&self) -> Duration {
        self.clock.now().since(self.confirmed())
    }
}
