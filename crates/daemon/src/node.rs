//! One daemon: the state of each of its parts.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use cardamomshed_code::Event;
use cardamomshed_note::{Interner, Lookup, Settings};
use cardamomshed_platform::{Budget, Client, Rates};
use cardamomshed_policy::admission::{self, Admission};
use cardamomshed_policy::member::{self, Fleet, Profile};
use cardamomshed_policy::registration::Registration;
use cardamomshed_policy::route::ByteBudget;
use cardamomshed_wire::{Request, Secret};
use slog::{Logger, info};
use tokio::sync::{Notify, mpsc};

use crate::beside::Beside;
use crate::claim::command::Command;
use crate::clock::{Clock, wall_clock_us};
use crate::configuration::Configuration;
use crate::context::Contexts;
use crate::departure::Departure;
use crate::job::Job;
use crate::life::Life;
use crate::link::table::Links;
use crate::metrics::Metrics;
use crate::quota::Quota;
use crate::routing::Routing;
use crate::service::Services;
use crate::trace::Trace;

/// Channels from the request path to the actors.
#[derive(Debug)]
pub struct Channels {
    /// Calls for the target beside this daemon.
    pub jobs: mpsc::UnboundedSender<Job>,
    /// Idempotency keys to be claimed or settled.
    pub claims: mpsc::UnboundedSender<Command>,
    /// Departures of the target to be kept.
    pub departures: mpsc::UnboundedSender<Departure>,
    /// Gossip to be sent.
    pub gossip: mpsc::UnboundedSender<member::Send>,
}

/// What a daemon knows of the others.
#[derive(Debug)]
pub struct Members {
    /// Members of the fleet.
    pub fleet: Mutex<Fleet>,
    /// Gossip to be sent.
    pub sends: mpsc::UnboundedSender<member::Send>,
    /// Wakes the search for members after a failed one came back.
    pub rejoin: Notify,
}

/// One daemon: the state of each of its parts.
#[derive(Debug)]
pub struct Node {
    /// Settings as read at the start, for what does not change while the
    /// daemon runs.
    pub settings: Settings,
    /// Settings in force.
    current: RwLock<Arc<Settings>>,
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
    pub names: Interner,
    /// Whether requests are taken, and bytes held for them.
    pub life: Life,
    /// The configuration in force.
    pub configuration: Configuration,
    /// Target beside this daemon.
    pub beside: Beside,
    /// Incarnation of that target.
    pub registration: Mutex<Registration>,
    /// Call contexts that are valid.
    pub contexts: Contexts,
    /// Services, and the price of calls to them.
    pub routing: Routing,
    /// Peer links.
    pub links: Links,
    /// Members of the fleet.
    pub members: Members,
    /// Quota tokens and lender slots.
    pub quota: Quota,
    /// Recent decisions.
    pub trace: Trace,
    /// Metrics.
    pub metrics: Metrics,
    /// Calls that this daemon may make to the platform's store.
    pub store_calls: Arc<Budget>,
    /// Log.
    pub log: Logger,
    /// Calls for the target beside this daemon.
    pub jobs: mpsc::UnboundedSender<Job>,
    /// Idempotency keys to be claimed or settled.
    pub claims: mpsc::UnboundedSender<Command>,
    /// Departures of the target to be kept.
    pub departures: mpsc::UnboundedSender<Departure>,
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
    /// [`Code::ValueRange`](cardamomshed_code::Code::ValueRange) for a fleet
    /// secret that is too short.
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
        let fleet = fleet(&settings, &options, &name, epoch_us);
        let slow_link = ByteBudget::new(settings.slow_link.get() as u64, clock.now());
        let services = Services::new(settings.domain.to_arc(), settings.region.to_arc());
        Ok(Self {
            boot: rand::random(),
            epoch_us,
            secret: Secret::new(&settings.fleet_secret)?,
            names: Interner::default(),
            life: Life::default(),
            configuration: Configuration::new(clock),
            beside: Beside::new(clock),
            registration: Mutex::default(),
            contexts: Contexts::default(),
            routing: Routing {
                services,
                rotations: Mutex::default(),
                slow_link: Mutex::new(slow_link),
                prices: Mutex::default(),
                admission: Mutex::new(Admission::new(options.shedding)),
            },
            links,
            members: Members {
                fleet: Mutex::new(fleet),
                sends: channels.gossip,
                rejoin: Notify::new(),
            },
            quota: Quota::default(),
            trace: Trace::default(),
            metrics: Metrics::new()?,
            store_calls: Arc::new(Budget::new(store_rates(&settings))),
            log,
            jobs: channels.jobs,
            claims: channels.claims,
            departures: channels.departures,
            name,
            clock,
            current: RwLock::new(Arc::new(settings.clone())),
            settings,
        })
    }

    /// The settings in force.
    pub fn current(&self) -> Arc<Settings> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Takes in what of changed settings can change while the daemon runs,
    /// and names the fields that wait for a restart.
    pub fn reload(&self, changed: &Settings) -> Vec<&'static str> {
        let (next, waiting) = self.current().reloaded(changed);
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(next);
        waiting
    }

    /// A client of the platform's store. It belongs to the calling thread;
    /// all clients of a daemon share its part of the store's rates.
    pub fn store(&self) -> Client {
        let settings = &self.settings;
        Client::new(&settings.platform, settings.timing.platform.get())
            .with_budget(Arc::clone(&self.store_calls))
    }

    /// The configuration in force.
    pub fn lookup(&self) -> Arc<Lookup> {
        self.configuration.lookup()
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

/// Rates of the platform's store, of the settings.
pub fn store_rates(settings: &Settings) -> Rates {
    Rates {
        reads: settings.platform_reads,
        writes: settings.platform_writes,
    }
}

/// A fleet of which this daemon is the one member known.
fn fleet(settings: &Settings, options: &Options, name: &Arc<str>, epoch_us: u64) -> Fleet {
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
    };
    Fleet::new(gossip, Arc::clone(name), epoch_us / 1_000, profile)
}
