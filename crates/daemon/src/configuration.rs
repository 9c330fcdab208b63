//! The configuration in force, and when it was last known to be the newest.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use cardamomshed_note::{Config, Interner, Lookup};
use cardamomshed_policy::Moment;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::history::History;

/// Time after which another member is asked for a newer configuration.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// Since when a condition holds for the revision in force; a new revision
/// starts it over.
#[derive(Debug, Default)]
pub struct Behind {
    since: Option<(Moment, u64)>,
}

impl Behind {
    /// Time for which the condition has held for this revision.
    pub fn since(&mut self, revision: u64, now: Moment) -> Duration {
        let since = self.since.filter(|(_, then)| *then == revision);
        let (since, _) = *self.since.insert(since.unwrap_or((now, revision)));
        now.since(since)
    }

    /// Whether a member may be asked for what follows this revision; none was
    /// in the last while.
    pub fn may_ask(&mut self, revision: u64, now: Moment) -> bool {
        let lately =
            |(asked, then): &(Moment, u64)| *then == revision && now.since(*asked) < ASK_AGAIN;
        if self.since.as_ref().is_some_and(lately) {
            return false;
        }
        self.since = Some((now, revision));
        true
    }
}

/// The configuration in force, and when it was last known to be the newest.
#[derive(Debug)]
pub struct Configuration {
    clock: Clock,
    lookup: RwLock<Arc<Lookup>>,
    /// Moment in microseconds of the last confirmation, on the leases' clock.
    confirmed_us: AtomicU64,
    /// Release notes seen.
    pub history: History,
    /// Newest configuration as the platform's operators wrote it, with keys
    /// replaced by digests, for peers that are behind.
    pub written: Mutex<Option<Arc<str>>>,
    /// Member that has a newer configuration.
    pub newer: Mutex<Option<Arc<str>>>,
    /// Since when a newer configuration is known of.
    pub behind: Mutex<Behind>,
    /// When a member was asked for it.
    pub asked: Mutex<Behind>,
    /// Wakes the actor that follows the configuration.
    pub wake: Notify,
}

impl Configuration {
    /// An empty configuration that nobody has confirmed.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            lookup: RwLock::default(),
            confirmed_us: AtomicU64::new(0),
            history: History::default(),
            written: Mutex::default(),
            newer: Mutex::default(),
            behind: Mutex::default(),
            asked: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// The configuration in force.
    pub fn lookup(&self) -> Arc<Lookup> {
        let lookup = self.lookup.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&lookup)
    }

    /// Puts a whole configuration in force if it is newer; says whether it is.
    pub fn replace(&self, config: Config, names: &Interner) -> bool {
        let mut lookup = self.lookup.write().unwrap_or_else(PoisonError::into_inner);
        let newer = config.revision > lookup.config.revision;
        if newer {
            *lookup = Arc::new(Lookup::new(config, names));
        }
        newer
    }

    /// The current moment of the clock that leases are measured on, which
    /// counts the time for which this VM was suspended.
    pub fn lease_now(&self) -> Moment {
        self.clock.now() + self.clock.suspended()
    }

    /// Notes that the configuration in force is the newest.
    pub fn confirm(&self) {
        self.confirm_lease(self.lease_now());
    }

    /// Notes that it was the newest at this moment of the decisions' clock.
    pub fn confirm_at(&self, moment: Moment) {
        self.confirm_lease(moment + self.clock.suspended());
    }

    /// Notes that it was the newest at this moment of the leases' clock.
    pub fn confirm_lease(&self, moment: Moment) {
        self.confirmed_us
            .fetch_max(moment.as_micros(), Ordering::Relaxed);
    }

    /// When the configuration in force was last known to be the newest, on
    /// the decisions' clock.
    pub fn confirmed(&self) -> Moment {
        let confirmed = Moment::from_micros(self.confirmed_us.load(Ordering::Relaxed));
        confirmed.before(self.clock.suspended())
    }

    /// Time since the configuration in force was last known to be the newest,
    /// also where this VM was suspended meanwhile.
    pub fn unconfirmed_for(&self) -> Duration {
        let confirmed = Moment::from_micros(self.confirmed_us.load(Ordering::Relaxed));
        self.lease_now().since(confirmed)
    }
}
