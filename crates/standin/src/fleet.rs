//! A whole deployment in one process: platform, daemons and targets.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use cardamomshed_daemon::daemon::Bound;
use cardamomshed_daemon::node::Node;
use cardamomshed_daemon::{Daemon, Options, logging};
use cardamomshed_load::Source;
use cardamomshed_note::{
    Account, Grant, Key, LogFormat, Name, Note, Rate, Route, Section, Settings, Timespan, Timing,
};
use cardamomshed_platform::{Client, Condition};
use cardamomshed_policy::Priority;
use cardamomshed_policy::member::Record;

use crate::naive::Naive;
use crate::peer::SECRET;
use crate::platform::{Capacity, Platform};
use crate::shape::Shape;
use crate::target::{Behaviour, Config, Target};
use crate::thread::{self, Thread};

/// Longest time that a fleet may take to be ready.
const READY: Duration = Duration::from_secs(20);
/// Path below a service's path whose requests are important and run once.
pub const ONCE: &str = "once";

/// Which system stands between callers and targets.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// The daemons of this project.
    Ours(Options),
    /// The naive baseline.
    Naive,
}

/// A daemon on a thread of its own.
#[derive(Debug)]
pub struct Running {
    /// What the parts of the daemon share.
    pub node: Arc<Node>,
    thread: Option<Thread>,
}

/// A whole deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The deployment's shape.
    pub shape: Shape,
    /// The platform.
    pub platform: Platform,
    /// Daemons, one beside each target; none for the baseline.
    pub daemons: Vec<Running>,
    /// The baseline's processes.
    pub naive: Vec<Naive>,
    /// Targets, in the order of the daemons.
    pub targets: Vec<Target>,
    /// Keys of the accounts, in their order.
    pub keys: Vec<String>,
}

/// Where a daemon of a fleet stands.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of the daemon.
    pub node: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
}

impl Running {
    /// Starts a daemon on free loopback ports.
    ///
    /// # Panics
    ///
    /// When it cannot be started.
    pub fn start(settings: Settings, options: Options) -> Self {
        let (thread, node) = Thread::start(
            "daemon",
            async move || {
                let (log, _flush) = logging::logger(settings.log, &settings.node);
                let bound = Bound::new(settings).expect("free ports");
                let daemon = bound.start(options, log).expect("a daemon");
                (Arc::clone(daemon.node()), daemon)
            },
            async |daemon: Daemon<_>| {
                daemon.leave().await.stop().await;
            },
        );
        Self {
            node,
            thread: Some(thread),
        }
    }

    /// Lets the daemon leave and waits for it.
    pub fn leave(&mut self) {
        drop(self.thread.take());
    }
}

/// Settings of a daemon on free loopback ports.
///
/// # Panics
///
/// When a name is not valid.
pub fn settings(place: &Place, domains: &[(String, String)], platform: &str) -> Settings {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        node: name(&place.node),
        domain: name(&place.domain),
        region: name(&place.region),
        fleet_secret: SECRET.into(),
        callers: free,
        target: free,
        peers: free,
        admin: free,
        platform: platform.into(),
        domains: domains.iter().map(|(domain, _)| name(domain)).collect(),
        tls: None,
        platform_reads: 2_000.0,
        platform_writes: 400.0,
        slow_link: cardamomshed_note::Size::from_bytes(200 * 1024),
        bodies: cardamomshed_note::Size::from_bytes(256 * 1024 * 1024),
        timing: Timing {
            poll: Timespan::from_millis(200),
            drain: Timespan::from_millis(5_000),
            ..Timing::default()
        },
        log: LogFormat::Off,
        sidecar: None,
    }
}

/// A valid name.
///
/// # Panics
///
/// When it is not valid.
pub fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).expect("a valid name")
}

impl Fleet {
    /// Starts a deployment and waits until every daemon can serve.
    ///
    /// # Panics
    ///
    /// When it is not ready in time.
    pub fn start(shape: Shape, kind: Kind) -> Self {
        Self::start_with(shape, kind, |_| {})
    }

    /// Starts a deployment with changed settings.
    ///
    /// # Panics
    ///
    /// When it is not ready in time.
    pub fn start_with(shape: Shape, kind: Kind, change: impl Fn(&mut Settings)) -> Self {
        let platform = Platform::start(Capacity::default());
        let keys = shape
            .accounts
            .iter()
            .map(|_| Key::random().reveal().to_owned());
        let mut fleet = Self {
            keys: keys.collect(),
            platform,
            daemons: Vec::new(),
            naive: Vec::new(),
            targets: Vec::new(),
            shape,
        };
        fleet.apply(&fleet.first_note());
        for place in 0..fleet.shape.services.len() {
            for number in 0..fleet.shape.services[place].upstreams {
                fleet.add(place, number, kind, &change);
            }
        }
        for naive in &fleet.naive {
            naive.set_targets(&fleet.targets);
        }
        fleet.wait_ready();
        fleet
    }

    fn add(&mut self, service: usize, number: usize, kind: Kind, change: &impl Fn(&mut Settings)) {
        let service = self.shape.services[service].clone();
        let (domain, region) = &self.shape.domains[number % self.shape.domains.len()];
        let place = Place {
            node: format!("{}-{number}", service.name),
            domain: domain.clone(),
            region: region.clone(),
        };
        let daemon = match kind {
            Kind::Ours(options) => {
                let mut settings = settings(&place, &self.shape.domains, &self.platform.base());
                change(&mut settings);
                let running = Running::start(settings, options);
                let address = running.node.settings.target;
                self.daemons.push(running);
                address
            }
            Kind::Naive => {
                let naive = Naive::start(&self.shape, &self.keys);
                let address = naive.target;
                self.naive.push(naive);
                address
            }
        };
        let calls = service.calls.iter().map(|called| format!("/{called}"));
        self.targets.push(Target::start(Config {
            service: service.name.clone(),
            slots: service.slots,
            connections: service.connections,
            daemon,
            behaviour: Behaviour {
                service_time: service.service_time,
                calls: calls.collect(),
                ..Behaviour::default()
            },
            announces: matches!(kind, Kind::Ours(_)),
        }));
    }

    /// The note that puts the shape's routes, accounts and keys in force.
    ///
    /// # Panics
    ///
    /// When a name or figure of the shape is not valid.
    pub fn first_note(&self) -> Note {
        let route = |path: String, route: &str, service: &str, once: bool, internal: bool| Route {
            host: None,
            shares: Vec::new(),
            objective: None,
            open: false,
            name: name(route),
            path: path.into(),
            service: name(service),
            priority: if once {
                Priority::Critical
            } else {
                Priority::Normal
            },
            repeatable: !once,
            timeout: Timespan::from_millis(self.shape.timeout.as_millis() as u64),
            retries: self.shape.retries,
            accounts: None,
            internal,
        };
        let mut routes = Vec::new();
        for (place, service) in self.shape.services.iter().enumerate() {
            let service = &service.name;
            routes.push(route(
                format!("/{service}"),
                service,
                service,
                false,
                place > 0,
            ));
        }
        let first = &self.shape.services[0].name;
        let once = format!("{first}-{ONCE}");
        routes.push(route(format!("/{first}/{ONCE}"), &once, first, true, false));
        let accounts = self.shape.accounts.iter().map(|account| Account {
            unlimited: false,
            priority: None,
            name: name(&account.name),
            rate: Rate::try_from(format!("{}/s", account.rate)).expect("a valid rate"),
            burst: account.burst,
        });
        let grants = self.shape.accounts.iter().zip(&self.keys);
        let grants = grants.map(|(account, key)| Grant {
            name: name(&format!("{}-key", account.name)),
            account: name(&account.name),
            digest: cardamomshed_note::Digest::of(key),
        });
        Note {
            note: name("first"),
            author: "stand-in".into(),
            summary: "".into(),
            routes: Section {
                add: routes,
                ..Section::default()
            },
            accounts: Section {
                add: accounts.collect(),
                ..Section::default()
            },
            keys: Section {
                add: grants.collect(),
                ..Section::default()
            },
            limits: None,
        }
    }

    /// A note of this name that changes nothing yet.
    pub fn blank_note(&self, note: &str) -> Note {
        Note {
            note: name(note),
            routes: Section::default(),
            accounts: Section::default(),
            keys: Section::default(),
            limits: None,
            ..self.first_note()
        }
    }

    /// A note that adds a small account of this name.
    ///
    /// # Panics
    ///
    /// When the name is not valid.
    pub fn account_note(&self, account: &str) -> Note {
        let mut note = self.blank_note(&format!("add-{account}"));
        note.accounts.add.push(Account {
            unlimited: false,
            priority: None,
            name: name(account),
            rate: Rate::try_from("5/s".to_owned()).expect("a valid rate"),
            burst: 10,
        });
        note
    }

    /// A note that withdraws a key.
    pub fn withdrawal_note(&self, key: &str) -> Note {
        let mut note = self.blank_note(&format!("withdraw-{key}"));
        note.keys.withdraw.push(name(key));
        note
    }

    /// Writes the next release note to the platform.
    ///
    /// # Panics
    ///
    /// When the platform does not take it.
    pub fn apply(&self, note: &Note) {
        let base = self.platform.base();
        let key = format!("{:012}", self.platform.rows("notes") + 1);
        let note = note.clone();
        thread::run(move || async move {
            let client = Client::new(&base, Duration::from_secs(5));
            let written = client.put("notes", &key, Condition::Absent, &note).await;
            written.expect("the platform takes the note");
        });
    }

    /// Addresses that callers connect to.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let ours = self
            .daemons
            .iter()
            .map(|daemon| daemon.node.settings.callers);
        ours.chain(self.naive.iter().map(|naive| naive.callers))
            .collect()
    }

    /// A stream of `GET` requests of an account, at a rate.
    pub fn source(&self, account: usize, rate: f64) -> Source {
        let name = &self.shape.accounts[account].name;
        Source::get(name, &self.keys[account], &self.shape.path(), rate)
    }

    /// A stream of important requests of an account that run once.
    pub fn once(&self, account: usize, rate: f64) -> Source {
        let name = &self.shape.accounts[account].name;
        Source {
            name: format!("{name}-{ONCE}"),
            method: "POST".to_owned(),
            path: format!("{}/{ONCE}", self.shape.path()),
            ..self.source(account, rate)
        }
    }

    /// Targets of a service.
    pub fn targets_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        self.targets
            .iter()
            .filter(move |target| target.service() == service)
    }

    /// Executions of all targets.
    pub fn executions(&self) -> u64 {
        self.targets.iter().map(Target::total).sum()
    }

    fn wait_ready(&self) {
        let until = Instant::now() + READY;
        while !self
            .daemons
            .iter()
            .all(|daemon| self.is_ready(&daemon.node))
        {
            assert!(
                Instant::now() < until,
                "the fleet is not ready in time: {:?}",
                self.daemons
                    .iter()
                    .map(|daemon| readiness(&daemon.node))
                    .collect::<Vec<_>>()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Whether a daemon knows every target, has the newest note in force and
    /// lenders to ask for quota.
    fn is_ready(&self, node: &Node) -> bool {
        let (targets, revision, lenders) = readiness(node);
        let slots = usize::from(node.lookup().config.limits.lender_slots);
        targets == self.daemons.len()
            && revision == self.platform.rows("notes") as u64
            && lenders == self.shape.domains.len() * slots
    }
}

/// Targets, revision and lender slots that a daemon knows of.
fn readiness(node: &Node) -> (usize, u64, usize) {
    let known = node.routing.services.summary();
    let targets = known.iter().map(|service| service.targets).sum();
    let fleet = node
        .members
        .fleet
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let lends = |record: &Record| record.profile.lender_slots.len();
    let lenders = fleet.members().map(lends).sum::<usize>() + lends(fleet.own());
    (targets, node.lookup().config.revision, lenders)
}
