//! What the parts of one daemon share.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, SystemTime};

use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_note::{Config, Lookup, Names, Note, Settings};
use cardamomshed_policy::admission::{self, Admission};
use cardamomshed_policy::member::{self, Fleet, Profile};
use cardamomshed_policy::price;
use cardamomshed_policy::quota::{Lender, Wallet};
use cardamomshed_policy::registration::Registration;
use cardamomshed_policy::rotation::Rotation;
use cardamomshed_policy::route::ByteBudget;
use cardamomshed_policy::{Moment, RouteKey};
use cardamomshed_wire::{Request, Secret};
use slog::{Logger, info};
use tokio::sync::{Notify, mpsc};

use crate::beside::Beside;
use crate::claim::Ask;
use crate::clock::Clock;
use crate::context::Contexts;
use crate::directory::Directory;
use crate::history::History;
use crate::link::Links;
use crate::metrics::Metrics;
use crate::runner::Job;
use crate::service::Services;
use crate::sync::lock;
use crate::trace::Trace;

/// Channels from the request path to the actors.
#[derive(Debug)]
pub struct Channels {
    /// Calls for the target beside this daemon.
    pub jobs: mpsc::UnboundedSender<Job>,
    /// Idempotency keys to be claimed or settled.
    pub claims: mpsc::UnboundedSender<Ask>,
    /// Gossip to be sent.
    pub gossip: mpsc::UnboundedSender<member::Send>,
}

/// What the parts of one daemon share.
#[derive(Debug)]
pub struct Node {
    /// Settings as read at the start.
    pub settings: Settings,
    /// Own name, shared.
    pub name: Arc<str>,
    /// Number of this process, drawn at its start.
    pub boot: u64,
    /// Clock of every decision.
    pub clock: Clock,
    /// Wall clock at the start in microseconds since the Unix epoch.
    pub epoch_us: u64,
    /// Proves that this daemon belongs to the fleet.
    pub secret: Secret,
    /// Names and their keys.
    pub names: Names,
    /// Release notes seen.
    pub history: History,
    /// Target beside this daemon.
    pub beside: Beside,
    /// Incarnation of that target.
    pub registration: Mutex<Registration>,
    /// Turns of the services that share a route.
    pub rotations: Mutex<HashMap<RouteKey, Rotation>>,
    /// Newest configuration as the platform's operators wrote it, with keys
    /// replaced by digests, for peers that are behind.
    pub operator_config: Mutex<Option<Arc<str>>>,
    /// Call contexts that are valid.
    pub contexts: Contexts,
    /// Services and their targets.
    pub services: Services,
    /// Who holds which lender slot.
    pub directory: Directory,
    /// Peer links.
    pub links: Links,
    /// Members of the fleet.
    pub fleet: Mutex<Fleet>,
    /// Prices of routes, and what calls on the target beside cause.
    pub prices: Mutex<Prices>,
    /// Shedding at the ingress.
    pub admission: Mutex<Admission>,
    /// Prepaid quota tokens.
    pub wallet: Mutex<Wallet>,
    /// Quota shares held, by lender slot.
    pub lenders: Mutex<BTreeMap<u16, Lender>>,
    /// Wakes requests that wait for quota tokens.
    pub tokens_arrived: Notify,
    /// Bytes left for the slow link.
    pub slow_link: Mutex<ByteBudget>,
    /// Recent decisions.
    pub trace: Trace,
    /// Metrics.
    pub metrics: Metrics,
    /// Log.
    pub log: Logger,
    /// Channels to the actors.
    pub channels: Channels,
    /// Wakes the search for members after a failed one came back.
    pub rejoin: Notify,
    /// Wakes the actor that follows release notes; the member named here has
    /// a newer one.
    pub newer_note: Mutex<Option<Arc<str>>>,
    /// Wakes the actor that follows release notes.
    pub note_wake: Notify,
    /// Wakes the actor that asks for quota tokens.
    pub quota_wake: Notify,
    lookup: RwLock<Arc<Lookup>>,
    /// Moment in microseconds of the last confirmation that the
    /// configuration in force is the newest.
    confirmed_us: AtomicU64,
    leaving: AtomicBool,
    closing: AtomicBool,
    bodies: AtomicUsize,
}

/// Prices as this daemon knows them.
#[derive(Debug, Default)]
pub struct Prices {
    /// Prices of routes, from the ends of calls.
    pub book: price::Book,
    /// Calls that the target beside this daemon makes.
    pub chain: price::Chain,
    /// Load of each client account at this ingress.
    pub usage: admission::Usage,
}

/// Choices that experiments vary.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How the ingress sheds.
    pub shedding: admission::Method,
    /// Gossip settings.
    pub gossip: member::Config,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            shedding: admission::Method::Levels,
            gossip: member::Config::default(),
        }
    }
}

impl Node {
    /// Prepares a daemon.
    ///
    /// # Errors
    ///
    /// [`Code::FigureRange`] for a fleet secret that is too short.
    pub fn new(
        settings: Settings,
        options: Options,
        log: Logger,
        channels: Channels,
        links: Links,
    ) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let epoch_us = wall_clock_us();
        let name = settings.node.to_text();
        let gossip = member::Config {
            period: settings.timing.probe.get(),
            ..options.gossip
        };
        let profile = Profile {
            domain: settings.domain.to_text(),
            region: settings.region.to_text(),
            gossip: settings.peers,
            peer: settings.peers,
            admin: settings.admin,
            service: None,
            slots: 0,
            open: false,
            lends: Vec::new(),
        };
        let fleet = Fleet::new(gossip, Arc::clone(&name), epoch_us / 1_000, profile);
        let slow_link = ByteBudget::new(settings.slow_link.get() as u64, clock.now());
        Ok(Self {
            boot: rand::random(),
            epoch_us,
            secret: Secret::new(&settings.fleet_secret)?,
            names: Names::default(),
            history: History::default(),
            beside: Beside::new(clock),
            registration: Mutex::default(),
            rotations: Mutex::default(),
            operator_config: Mutex::default(),
            contexts: Contexts::default(),
            services: Services::new(settings.domain.to_text(), settings.region.to_text()),
            directory: Directory::default(),
            links,
            fleet: Mutex::new(fleet),
            prices: Mutex::default(),
            admission: Mutex::new(Admission::new(options.shedding)),
            wallet: Mutex::default(),
            lenders: Mutex::default(),
            tokens_arrived: Notify::new(),
            slow_link: Mutex::new(slow_link),
            trace: Trace::default(),
            metrics: Metrics::new()?,
            log,
            channels,
            rejoin: Notify::new(),
            newer_note: Mutex::new(None),
            note_wake: Notify::new(),
            quota_wake: Notify::new(),
            lookup: RwLock::default(),
            confirmed_us: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            bodies: AtomicUsize::new(0),
            name,
            clock,
            settings,
        })
    }

    /// The configuration in force.
    pub fn lookup(&self) -> Arc<Lookup> {
        let lookup = self.lookup.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&lookup)
    }

    /// Puts the next release note in force.
    ///
    /// # Errors
    ///
    /// Why the note does not fit; the configuration in force stays.
    pub fn apply(&self, note: &Note) -> Result<u64, Failure> {
        let config = self
            .lookup()
            .config
            .apply(note)
            .map_err(|misfit| misfit.failure)?;
        let revision = config.revision;
        self.install(config);
        self.history.push(revision, note.clone());
        info!(self.log, "{}", Event::NoteInForce.text();
            "event" => Event::NoteInForce.number(), "note" => %note.note, "revision" => revision);
        Ok(revision)
    }

    /// Puts a whole configuration in force if it is newer.
    pub fn install(&self, config: Config) {
        let mut lookup = self.lookup.write().unwrap_or_else(PoisonError::into_inner);
        if config.revision <= lookup.config.revision {
            return;
        }
        let revision = config.revision;
        *lookup = Arc::new(Lookup::new(config, &self.names));
        drop(lookup);
        self.metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        if self.settings.sidecar.is_none() {
            self.confirm();
        }
        self.quota_wake.notify_one();
        let output = lock(&self.fleet).set_head(revision, &mut rand::rng());
        crate::actor::gossip::post(self, output);
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

    /// Refuses new requests from now on; the process is about to end.
    pub fn set_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Whether new requests are refused.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Announces that the daemon is leaving.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Counts body bytes held, for as long as the guard lives.
    ///
    /// # Errors
    ///
    /// [`Code::MemoryShed`] where the limit would be exceeded.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Result<Held, Code> {
        let before = self.bodies.fetch_add(bytes, Ordering::Relaxed);
        let held = Held {
            node: Arc::clone(self),
            bytes,
        };
        if before + bytes > self.settings.bodies.get() {
            return Err(Code::MemoryShed);
        }
        Ok(held)
    }

    /// Logs a decision about a request and keeps it for `explain`.
    pub fn decide(&self, event: Event, request: Request, detail: fmt::Arguments<'_>) {
        let detail = detail.to_string();
        info!(self.log, "{}", event.text();
            "event" => event.number(), "request" => %request, "detail" => &detail);
        self.trace.record(request, self.clock.now(), event, detail);
    }

    /// Logs an event that is about no single request.
    pub fn note_event(&self, event: Event, detail: fmt::Arguments<'_>) {
        info!(self.log, "{}", event.text(); "event" => event.number(), "detail" => %detail);
    }
}

/// Body bytes that are counted while this lives.
#[derive(Debug)]
pub struct Held {
    node: Arc<Node>,
    bytes: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.node.bodies.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

fn wall_clock_us() -> u64 {
    let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
