//! Complete deployments in one process: platform, daemons or baseline, and
//! targets.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use cardamomshed_daemon::daemon::Bound;
use cardamomshed_daemon::node::Node;
use cardamomshed_daemon::{Daemon, Options, logging};
use cardamomshed_load::Source;
use cardamomshed_note::{
    Account, Evacuations, Grant, Key, LogFormat, Name, Note, Rate, Route, Section, Settings,
    Timespan, Timing,
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

/// Time within which a started fleet must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Path segment below the first service's path. Its route has critical priority
/// and is not repeatable.
pub const ONCE: &str = "once";

/// System under test between callers and targets.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Daemons of this project, one beside each target.
    Daemon(Options),
    /// Processes of the naive baseline, one beside each target.
    Naive,
}

/// Handle of a daemon on its own thread; dropping it makes the daemon leave.
#[derive(Debug)]
pub struct Member {
    /// Shared state of the daemon, for inspection.
    pub node: Arc<Node>,
    thread: Option<Thread>,
}

/// Running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// Shape that the fleet was started with.
    pub shape: Shape,
    /// Stand-in platform.
    pub platform: Platform,
    /// Daemons, one beside each target; empty for the baseline.
    pub daemons: Vec<Member>,
    /// Processes of the baseline; empty otherwise.
    pub naive: Vec<Naive>,
    /// Targets, in the order of the daemons.
    pub targets: Vec<Target>,
    /// Keys of the accounts, in the order of the shape.
    pub keys: Vec<String>,
}

/// Node name and location of a daemon.
#[derive(Clone, Debug)]
pub struct Location {
    /// Node name.
    pub node: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
}

impl Member {
    /// Starts a daemon in this process.
    ///
    /// # Panics
    ///
    /// Panics if the daemon cannot be started.
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

    /// Makes the daemon leave the fleet, and blocks until it has stopped.
    pub fn leave(&mut self) {
        drop(self.thread.take());
    }
}

/// Settings of a daemon that listens on free loopback ports. `domains` are all
/// failure domains with their regions, `platform` is the base URL.
///
/// # Panics
///
/// Panics if a name is not valid.
pub fn settings(location: &Location, domains: &[(String, String)], platform: &str) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        node: name(&location.node),
        domain: name(&location.domain),
        region: name(&location.region),
        fleet_secret: secret(platform),
        callers: any_port,
        target: any_port,
        peers: any_port,
        admin: any_port,
        platform: platform.into(),
        domains: domains.iter().map(|(domain, _)| name(domain)).collect(),
        tls: None,
        platform_reads: 2_000.0,
        platform_writes: 400.0,
        slow_link: cardamomshed_note::Size::from_bytes(200 * 1024),
        bodies: cardamomshed_note::Size::from_bytes(256 * 1024 * 1024),
        memory: cardamomshed_note::Size::from_bytes(1024 * 1024 * 1024),
        descriptors: 4_100,
        connections: None,
        timing: Timing {
            poll: Timespan::from_millis(200),
            drain: Timespan::from_millis(5_000),
            ..Timing::default()
        },
        log: LogFormat::Off,
        sidecar: None,
    }
}

/// Fleet secret of the daemons on the platform with this base URL. Fleets have different
/// ones: a port of a daemon that has ended may be bound by one of another fleet, and
/// daemons with the same secret accept each other's members.
pub fn secret(platform: &str) -> Arc<str> {
    format!("{SECRET} {platform}").into()
}

/// Converts text into a name.
///
/// # Panics
///
/// Panics if the name is not valid.
pub fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).expect("a valid name")
}

impl Fleet {
    /// Starts a deployment and blocks until every daemon is ready.
    ///
    /// # Panics
    ///
    /// Panics if the fleet is not ready within 20 s.
    pub fn start(shape: Shape, kind: Kind) -> Self {
        Self::start_with(shape, kind, |_| {})
    }

    /// Like [`Self::start`], with `change` applied to the settings of every
    /// daemon.
    ///
    /// # Panics
    ///
    /// Panics if the fleet is not ready within 20 s.
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
        for index in 0..fleet.shape.services.len() {
            for number in 0..fleet.shape.services[index].targets {
                fleet.add(index, number, kind, &change);
            }
        }
        for naive in &fleet.naive {
            naive.set_targets(&fleet.targets);
        }
        fleet.wait_ready();
        fleet
    }

    /// Starts target `number` of a service with the daemon or baseline process
    /// beside it.
    fn add(&mut self, service: usize, number: usize, kind: Kind, change: &impl Fn(&mut Settings)) {
        let service = self.shape.services[service].clone();
        let (domain, region) = &self.shape.domains[number % self.shape.domains.len()];
        let location = Location {
            node: format!("{}-{number}", service.name),
            domain: domain.clone(),
            region: region.clone(),
        };
        let daemon = match kind {
            Kind::Daemon(options) => {
                let mut settings = settings(&location, &self.shape.domains, &self.platform.base());
                change(&mut settings);
                let running = Member::start(settings, options);
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
            announces: matches!(kind, Kind::Daemon(_)),
        }));
    }

    /// Release note with the routes, accounts and keys of the shape.
    ///
    /// # Panics
    ///
    /// Panics if a name or rate of the shape is not valid.
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
            regions: None,
            internal,
        };
        let mut routes = Vec::new();
        for (index, service) in self.shape.services.iter().enumerate() {
            let service = &service.name;
            routes.push(route(
                format!("/{service}"),
                service,
                service,
                false,
                index > 0,
            ));
        }
        let first = &self.shape.services[0].name;
        let once = format!("{first}-{ONCE}");
        routes.push(route(format!("/{first}/{ONCE}"), &once, first, true, false));
        let accounts = self.shape.accounts.iter().map(|account| Account {
            unlimited: false,
            priority: None,
            regions: None,
            name: name(&account.name),
            rate: Rate::try_from(format!("{}/s", account.rate)).expect("a valid rate"),
            burst: account.burst,
        });
        let keys = self.shape.accounts.iter().zip(&self.keys);
        let keys = keys.map(|(account, key)| Grant {
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
                add: keys.collect(),
                ..Section::default()
            },
            evacuations: Evacuations::default(),
            limits: None,
        }
    }

    /// Release note of this name without changes.
    pub fn blank_note(&self, note: &str) -> Note {
        Note {
            note: name(note),
            routes: Section::default(),
            accounts: Section::default(),
            keys: Section::default(),
            evacuations: Evacuations::default(),
            limits: None,
            ..self.first_note()
        }
    }

    /// Release note that adds an account of this name, at 5 requests per second.
    ///
    /// # Panics
    ///
    /// Panics if the name is not valid.
    pub fn account_note(&self, account: &str) -> Note {
        let mut note = self.blank_note(&format!("add-{account}"));
        note.accounts.add.push(Account {
            unlimited: false,
            priority: None,
            regions: None,
            name: name(account),
            rate: Rate::try_from("5/s".to_owned()).expect("a valid rate"),
            burst: 10,
        });
        note
    }

    /// Release note that withdraws the key of this name.
    pub fn withdrawal_note(&self, key: &str) -> Note {
        let mut note = self.blank_note(&format!("withdraw-{key}"));
        note.keys.withdraw.push(name(key));
        note
    }

    /// Writes a release note to the platform, after the last one.
    ///
    /// # Panics
    ///
    /// Panics if the platform refuses the write.
    pub fn apply(&self, note: &Note) {
        let base = self.platform.base();
        let key = format!("{:012}", self.platform.rows("notes") + 1);
        let note = note.clone();
        thread::run(move || async move {
            let client = Client::new(&base, Duration::from_secs(5));
            let written = client.put("notes", &key, Condition::Absent, &note).await;
            written.expect("the platform accepts the note");
        });
    }

    /// Caller listeners of all daemons, or of all processes of the baseline.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let ours = self
            .daemons
            .iter()
            .map(|daemon| daemon.node.settings.callers);
        ours.chain(self.naive.iter().map(|naive| naive.callers))
            .collect()
    }

    /// Source of `GET` requests of an account, given by its index. `rate` is in
    /// requests per second.
    pub fn source(&self, account: usize, rate: f64) -> Source {
        let name = &self.shape.accounts[account].name;
        Source::get(name, &self.keys[account], &self.shape.path(), rate)
    }

    /// Source of `POST` requests of an account to the route of [`ONCE`]. `rate`
    /// is in requests per second.
    pub fn critical_source(&self, account: usize, rate: f64) -> Source {
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

    /// Changes the behaviour of every target for calls that arrive from now on.
    pub fn change_targets(&self, change: impl Fn(&mut Behaviour)) {
        for target in &self.targets {
            target.change(&change);
        }
    }

    /// Number of calls received so far, over all targets.
    pub fn executions(&self) -> u64 {
        self.targets.iter().map(Target::total).sum()
    }

    fn wait_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self
            .daemons
            .iter()
            .all(|daemon| self.is_ready(&daemon.node))
        {
            assert!(
                Instant::now() < deadline,
                "fleet not ready within 20 s; targets, revision and lender slots by daemon: {:?}",
                self.daemons
                    .iter()
                    .map(|daemon| readiness(&daemon.node))
                    .collect::<Vec<_>>()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Whether a daemon knows every target and every lender slot, and has the
    /// latest note in force.
    fn is_ready(&self, node: &Node) -> bool {
        let (targets, revision, lenders) = readiness(node);
        let slots = usize::from(node.lookup().config.limits.lender_slots);
        targets == self.daemons.len()
            && revision == self.platform.rows("notes") as u64
            && lenders == self.shape.domains.len() * slots
    }
}

/// Number of known targets, revision in force, and number of known lender slots
/// of a daemon.
fn readiness(node: &Node) -> (usize, u64, usize) {
    let known = node.routing.services.summary();
    let targets = known.iter().map(|service| service.targets).sum();
    let fleet = node
        .members
        .fleet
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let slots_of = |record: &Record| record.profile.lender_slots.len();
    let lenders = fleet.members().map(slots_of).sum::<usize>() + slots_of(fleet.own());
    (targets, node.lookup().config.revision, lenders)
}
