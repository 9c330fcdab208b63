//! Shared state of one daemon.

use std::fmt;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use cardamomshed_code::Event;
use cardamomshed_note::{Interner, Lookup, Settings};
use cardamomshed_platform::{Budget, Client, Era, Rates};
use cardamomshed_policy::admission::{self, Admission};
use cardamomshed_policy::confirmation::Date;
use cardamomshed_policy::member::{self, Fleet, Profile};
use cardamomshed_policy::memory::Limits;
use cardamomshed_policy::registration::{Incarnation, Registration};
use cardamomshed_policy::route::ByteBudget;
use cardamomshed_wire::{Request, Secret};
use slog::{Logger, info};
use tokio::sync::{Notify, mpsc};

use crate::backpressure::Windows;
use crate::claim::command::Command;
use crate::clock::{Clock, wall_clock_us};
use crate::configuration::Configuration;
use crate::context::Contexts;
use crate::departure::Departures;
use crate::evacuation::Evacuation;
use crate::http::connection_table;
use crate::job::Job;
use crate::lifecycle::Lifecycle;
use crate::link::table::Links;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::quota::Quota;
use crate::routing::Routing;
use crate::service::Services;
use crate::target::Target;
use crate::trace::Trace;

/// Channels from the request path to the actors.
#[derive(Debug)]
pub struct Channels {
    /// Calls queued for the local target.
    pub jobs: mpsc::UnboundedSender<Job>,
    /// Commands to claim or settle idempotency keys.
    pub claims: mpsc::UnboundedSender<Command>,
    /// Departures of the target to be stored.
    pub departures: mpsc::UnboundedSender<Incarnation>,
    /// Gossip packets to be sent.
    pub gossip: mpsc::UnboundedSender<member::Send>,
}

/// Membership state.
#[derive(Debug)]
pub struct Members {
    /// Members of the fleet.
    pub fleet: Mutex<Fleet>,
    /// Gossip packets to be sent.
    pub outgoing: mpsc::UnboundedSender<member::Send>,
    /// Wakes member discovery after a failed member has become alive again.
    pub rejoin: Notify,
    /// Whether another member has answered a request for its records.
    pub exchanged: AtomicBool,
}

/// State of one daemon, shared by the request path and the actors.
#[derive(Debug)]
pub struct Node {
    /// Settings as read at the start, for values that cannot change while the daemon
    /// runs.
    pub settings: Settings,
    /// Current settings, which a reload replaces.
    current: RwLock<Arc<Settings>>,
    /// Name of this daemon, from the settings.
    pub name: Arc<str>,
    /// Random number that identifies this process, drawn at its start.
    pub boot: u64,
    /// Monotonic clock of every decision.
    pub clock: Clock,
    /// Wall-clock time of the start, in microseconds since the Unix epoch.
    pub epoch_us: u64,
    /// Fleet secret, which authenticates links and gossip.
    pub secret: Secret,
    /// Interned names and their keys.
    pub names: Interner,
    /// Lifecycle flags.
    pub lifecycle: Lifecycle,
    /// Account of memory.
    pub memory: Memory,
    /// Open connections of callers.
    pub connections: Arc<connection_table::Table>,
    /// Current configuration.
    pub configuration: Configuration,
    /// Target that this daemon protects, with its admission state.
    pub local_target: Target,
    /// Current and replaced incarnations of that target.
    pub registration: Mutex<Registration>,
    /// Valid call contexts.
    pub contexts: Contexts,
    /// Routing state: services, prices and admission.
    pub routing: Routing,
    /// Evacuated failure domains.
    pub evacuation: Evacuation,
    /// Links to other daemons.
    pub links: Links,
    /// Members of the fleet.
    pub members: Members,
    /// Quota tokens and lender slots.
    pub quota: Quota,
    /// Recent decisions, for `explain`.
    pub trace: Trace,
    /// Metrics.
    pub metrics: Metrics,
    /// Budget of this daemon's calls to the platform's store.
    pub store_budget: Arc<Budget>,
    /// Era of the platform's store.
    pub store_era: Arc<Era>,
    /// Logger.
    pub log: Logger,
    /// Calls queued for the local target.
    pub jobs: mpsc::UnboundedSender<Job>,
    /// Commands to claim or settle idempotency keys.
    pub claims: mpsc::UnboundedSender<Command>,
    /// Departures of the target.
    pub departures: Departures,
}

/// Parameters that experiments vary.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Load shedding method of the ingress.
    pub shedding: admission::Method,
    /// Parameters of the gossip protocol.
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
    /// Creates the state of a daemon, with no other member known.
    ///
    /// # Errors
    ///
    /// [`Code::ValueRange`](cardamomshed_code::Code::ValueRange) if the fleet
    /// secret is too short, or an error of the metrics registry.
    pub fn new(
        settings: Settings,
        options: Options,
        log: Logger,
        channels: Channels,
        links: Links,
    ) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let epoch_us = wall_clock_us();
        let name = settings.node.to_arc();
        let fleet = new_fleet(&settings, &options, &name, epoch_us);
        let slow_link = ByteBudget::new(settings.slow_link.get() as u64, clock.now());
        let services = Services::new(settings.domain.to_arc(), settings.region.to_arc());
        Ok(Self {
            boot: rand::random(),
            epoch_us,
            secret: Secret::new(&settings.fleet_secret)?,
            names: Interner::default(),
            lifecycle: Lifecycle::default(),
            memory: Memory::new(Limits::new(settings.memory.get(), settings.bodies.get())),
            connections: Arc::default(),
            configuration: Configuration::new(clock),
            local_target: Target::new(clock),
            registration: Mutex::default(),
            contexts: Contexts::default(),
            routing: Routing {
                services,
                rotations: Mutex::default(),
                slow_link: Mutex::new(slow_link),
                windows: Windows::new(clock),
                prices: Mutex::default(),
                admission: Mutex::new(Admission::new(options.shedding)),
                reservations: Mutex::default(),
            },
            evacuation: Evacuation::new(settings.domain.to_arc()),
            links,
            members: Members {
                fleet: Mutex::new(fleet),
                outgoing: channels.gossip,
                rejoin: Notify::new(),
                exchanged: AtomicBool::new(false),
            },
            quota: Quota::default(),
            trace: Trace::default(),
            metrics: Metrics::new()?,
            store_budget: Arc::new(Budget::new(store_rates(&settings))),
            store_era: Arc::default(),
            log,
            jobs: channels.jobs,
            claims: channels.claims,
            departures: Departures::new(channels.departures),
            name,
            clock,
            current: RwLock::new(Arc::new(settings.clone())),
            settings,
        })
    }

    /// The current settings.
    pub fn current_settings(&self) -> Arc<Settings> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Applies the changed settings that need no restart. Returns the names of the
    /// changed fields that do.
    pub fn reload(&self, changed: &Settings) -> Vec<&'static str> {
        let (next, unapplied) = self.current_settings().reloaded(changed);
        self.memory
            .with(|account| account.set_requests(next.bodies.get()));
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(next);
        unapplied
    }

    /// Creates a client of the platform's store for use on the calling thread. All
    /// clients of a daemon share its call budget.
    pub fn store_client(&self) -> Client {
        let settings = &self.settings;
        Client::new(&settings.platform, settings.timing.platform.get())
            .with_budget(Arc::clone(&self.store_budget))
            .with_era(Arc::clone(&self.store_era))
    }

    /// The current configuration with its indexes.
    pub fn lookup(&self) -> Arc<Lookup> {
        self.configuration.lookup()
    }

    /// Logs a decision about a request and records it for `explain`.
    pub fn log_decision(&self, event: Event, request: Request, detail: fmt::Arguments<'_>) {
        let detail = detail.to_string();
        info!(self.log, "{}", event.text();
            "event" => event.number(), "request" => %request, "detail" => &detail);
        self.trace.record(request, self.clock.now(), event, detail);
    }

    /// Records that the configuration was the newest at `date`, as known by a read of
    /// the store or from a peer. Logs the first confirmation since the start.
    pub fn confirm_configuration(&self, date: Date, source: &str) {
        if self.configuration.confirm(date) {
            let age = date.age(self.clock.now());
            self.log_event(
                Event::ConfigConfirmed,
                format_args!(
                    "revision={} by={source} age_ms={}",
                    self.lookup().config.revision,
                    age.as_millis()
                ),
            );
        }
    }

    /// Logs an event that does not concern a single request.
    pub fn log_event(&self, event: Event, detail: fmt::Arguments<'_>) {
        info!(self.log, "{}", event.text(); "event" => event.number(), "detail" => %detail);
    }
}

/// Rate limits of the platform's store from the settings.
pub fn store_rates(settings: &Settings) -> Rates {
    Rates {
        reads: settings.platform_reads,
        writes: settings.platform_writes,
    }
}

/// Creates a fleet with this daemon as its only known member.
fn new_fleet(settings: &Settings, options: &Options, name: &Arc<str>, epoch_us: u64) -> Fleet {
    let gossip = member::Config {
        probe_interval: settings.timing.probe.get(),
        ..options.gossip
    };
    let profile = Profile {
        domain: settings.domain.to_arc(),
        region: settings.region.to_arc(),
        gossip: settings.peers,
        peer: settings.peers,
        admin: settings.admin,
        service: None,
        slots: 0,
        open: false,
        lender_slots: Vec::new(),
        departure: None,
    };
    Fleet::new(gossip, Arc::clone(name), epoch_us / 1_000, profile)
}
