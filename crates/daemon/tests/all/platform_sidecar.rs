//! Daemons deployed as sidecars of the platform: the configuration comes from the
//! operators' row, targets register by heartbeat, and a request goes from the
//! caller's daemon to the daemon of the target.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cardamomshed_daemon::Options;
use cardamomshed_daemon::actor::quota;
use cardamomshed_daemon::node::Node;
use cardamomshed_note::{Settings, Sidecar, Timespan};
use cardamomshed_platform::header;
use cardamomshed_policy::Moment;
use cardamomshed_policy::member::Record;
use cardamomshed_policy::quota::Spend;
use cardamomshed_standin::client::{Reply, Request, eventually as eventually_holds};
use cardamomshed_standin::fleet::{Location, Member, settings};
use cardamomshed_standin::platform::{Capacity, Faults, Platform};

use cardamomshed_wire::Grant;
use serde_json::{Value, json};

use crate::signed_target::{Observation, target};
use crate::{lender_slots, live, own_record};

/// Address that nothing listens on.
pub(crate) const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// Identifier of each attempt.
pub(crate) const ATTEMPT: &str = "9c41d07be2a35f68";
/// Longest wait for an expected status.
const TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) fn sidecar(
    node: &str,
    service: &str,
    target: SocketAddr,
    platform: &Platform,
) -> Settings {
    let place = Location {
        node: node.to_owned(),
        domain: "a".to_owned(),
        region: "r".to_owned(),
    };
    let domains = [("a".to_owned(), "r".to_owned())];
    let mut settings = settings(&place, &domains, &platform.base());
    settings.sidecar = Some(Sidecar {
        service: service.into(),
        address: target,
        ready: SocketAddr::from(([127, 0, 0, 1], 0)),
        strict_keys: true,
        withdraw_within: Timespan::from_millis(3_000),
        grace: Timespan::from_millis(6_000),
        retry_ratio: 0.2,
        retry_slack: 48.0,
        cold_slack: None,
        first_start: false,
    });
    settings
}

/// Settings of a daemon without a target.
pub(crate) fn lone(node: &str, platform: &Platform) -> Settings {
    sidecar(node, "s-one", NOWHERE, platform)
}

/// Starts a daemon without a target.
pub(crate) fn start_lone(node: &str, platform: &Platform) -> Member {
    Member::start(lone(node, platform), Options::default())
}

/// A request with the fields that the platform's clients set.
pub(crate) fn request(to: SocketAddr, path: &str, deadline_ms: &str) -> Request {
    Request::get(to, path)
        .header("host", "h.example")
        .header(header::ATTEMPT, ATTEMPT)
        .header(header::DEADLINE, deadline_ms)
}

/// Sends a daemon the heartbeat of a warm and ready target, with these fields changed.
pub(crate) fn send_heartbeat(
    member: &Member,
    instance: &str,
    target: SocketAddr,
    changed: &Value,
) -> Reply {
    let mut body = json!({
        "service": "s-two", "address": target, "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "warmup-left": "0ms", "sequence": 1, "born": 10
    });
    for (name, value) in changed.as_object().into_iter().flatten() {
        body[name] = value.clone();
    }
    let control = member.node.settings.target;
    let path = format!("/instances/{instance}/heartbeat");
    Request::post(control, &path, body.to_string().as_bytes()).send()
}

pub(crate) fn config(version: u64, key: &str) -> Value {
    json!({
        "version": version,
        "routes": {
            "r-a": {"host": "h.example", "prefix": "/a/", "kind": "idempotent",
                "timeout": "2s", "priority": 0, "service": "s-two", "max-attempts": 2},
            "r-open": {"host": "h.example", "prefix": "/open/", "kind": "idempotent",
                "timeout": "2s", "priority": 1, "service": "s-two", "public": true},
            "r-once": {"host": "h.example", "prefix": "/once/", "kind": "non_idempotent",
                "timeout": "2s", "priority": 1, "service": "s-two", "public": true}
        },
        "services": {"s-two": {"max-connections": 50, "health-path": "/health"}},
        "limits": {},
        "tenants": {"t-1": {"api-keys": [key], "rate-per-s": 500, "burst": 500}}
    })
}

/// Two daemons, the second with a target.
pub(crate) struct Deployment {
    pub(crate) platform: Platform,
    pub(crate) first: Member,
    pub(crate) second: Member,
    pub(crate) observed: Arc<Observation>,
    pub(crate) target: SocketAddr,
    pub(crate) sequence: u64,
    pub(crate) thread: Option<cardamomshed_standin::thread::Thread>,
}

impl Deployment {
    pub(crate) fn start() -> Self {
        let platform = Platform::start(Capacity::default());
        let (thread, target, observed) = target();
        let first = start_lone("n-1", &platform);
        let settings = sidecar("n-2", "s-two", target, &platform);
        let second = Member::start(settings, Options::default());
        Self {
            platform,
            first,
            second,
            observed,
            target,
            sequence: 0,
            thread: Some(thread),
        }
    }

    /// A deployment with a configuration and a target that is ready.
    pub(crate) fn configured() -> Self {
        let mut fleet = Self::start();
        fleet.configure(3, "key-one");
        fleet.heartbeat("ready");
        fleet
    }

    /// A deployment that serves requests on the open route.
    pub(crate) fn serving() -> Self {
        let fleet = Self::configured();
        eventually_status(200, || fleet.get("/open/").send());
        fleet
    }

    /// A deployment that accepts `key-one`.
    pub(crate) fn accepting() -> Self {
        let fleet = Self::configured();
        eventually_status(200, || fleet.get("/a/").key("key-one").send());
        fleet
    }

    pub(crate) fn get(&self, path: &str) -> Request {
        request(self.first.node.settings.callers, path, "1500")
    }

    pub(crate) fn heartbeat(&mut self, state: &str) -> Reply {
        self.heartbeat_of("i-1", 10, state, 0)
    }

    /// Sends the heartbeat of an incarnation with this remaining cold time.
    pub(crate) fn heartbeat_of(
        &mut self,
        instance: &str,
        born: u64,
        state: &str,
        left_ms: u64,
    ) -> Reply {
        self.sequence += 1;
        let changed = json!({
            "state": state, "warmup-left": format!("{left_ms}ms"),
            "sequence": self.sequence, "born": born
        });
        send_heartbeat(&self.second, instance, self.target, &changed)
    }

    /// Waits until both daemons list each other as live and exactly one holds the
    /// lender slot. Before that, both may hold it, until one releases it.
    fn await_lender(&self) {
        let nodes = [&self.first.node, &self.second.node];
        eventually_holds("exactly one lender", || {
            let slots = nodes.iter().map(|node| lender_slots(node));
            slots.sum::<usize>() == 1 && nodes.iter().all(|node| live(node) == 2)
        });
        // The next gossip advertises the holder to both.
        std::thread::sleep(Duration::from_millis(500));
    }

    /// Stops the daemon of the target and starts a new one, which keeps none
    /// of its state.
    pub(crate) fn restart_second(&mut self) {
        self.second.leave();
        let settings = sidecar("n-2", "s-two", self.target, &self.platform);
        self.second = Member::start(settings, Options::default());
    }

    /// Like [`Self::restart_second`], with the same addresses.
    pub(crate) fn restart_in_place(&mut self) {
        let settings = self.second.node.settings.clone();
        self.second.leave();
        self.second = Member::start(settings, Options::default());
    }

    pub(crate) fn configure(&self, version: u64, key: &str) {
        self.platform.write("op", "config", &config(version, key));
    }
}

/// Repeats a request until its response has this status, and returns that
/// response.
pub(crate) fn eventually_status(status: u16, mut request: impl FnMut() -> Reply) -> Reply {
    let until = Instant::now() + TIMEOUT;
    loop {
        let reply = request();
        if reply.status == status {
            return reply;
        }
        assert!(
            Instant::now() < until,
            "got status {}, expected {status}",
            reply.status
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn request_forwarded() {
    let mut fleet = Deployment::start();
    assert_eq!(
        fleet.get("/a/b").send().status,
        503,
        "no configuration is in force yet"
    );
    fleet.configure(3, "key-one");
    eventually_status(401, || fleet.get("/a/b").send());
    assert_eq!(fleet.get("/b/").send().status, 404);
    assert_eq!(fleet.heartbeat("ready").status, 200);
    let request = |fleet: &Deployment| {
        fleet
            .get("/a/b?c=d")
            .key("key-one")
            .header(header::ACCOUNT, "forged")
            .header(header::CALLER_SERVICE, "forged")
            .send()
    };
    let reply = eventually_status(200, || request(&fleet));
    assert_eq!(String::from_utf8_lossy(&reply.body), "GET /a/b?c=d 0");
    assert_eq!(reply.header(header::SIGNATURE), Some("3e1b.07"));
    assert_eq!(reply.header(header::ATTEMPT), Some("9c41d07be2a35f68"));
    let observed = |name: &str| fleet.observed.header(name);
    assert_eq!(observed(header::ACCOUNT).as_deref(), Some("t-1"));
    assert_eq!(observed(header::CALLER_SERVICE).as_deref(), Some("s-one"));
    assert_eq!(observed(header::EXPECTED_INSTANCE).as_deref(), Some("i-1"));
    assert_eq!(observed("host").as_deref(), Some("h.example"));
    assert_eq!(
        observed("authorization"),
        None,
        "a key must not reach a target"
    );
    let remaining = observed(header::DEADLINE).expect("a deadline");
    assert!(remaining.parse::<u64>().expect("a number") <= 1_500);
    assert_eq!(
        eventually_status(200, || fleet.get("/open/x").send()).status,
        200
    );
    assert_eq!(fleet.observed.header(header::ACCOUNT), None);
}

#[test]
fn draining_target_excluded() {
    let mut fleet = Deployment::configured();
    fleet.await_lender();
    eventually_status(200, || fleet.get("/a/").key("key-one").send());
    assert_eq!(fleet.heartbeat("draining").status, 200);
    let runs = fleet.observed.runs.load(Ordering::Relaxed);
    // A delayed heartbeat with an older sequence does not readmit the target.
    fleet.sequence -= 2;
    fleet.heartbeat("ready");
    for _ in 0..20 {
        assert_eq!(fleet.get("/a/").key("key-one").send().status, 503);
    }
    assert_eq!(fleet.observed.runs.load(Ordering::Relaxed), runs);
}

#[test]
fn stale_lender_recovered() {
    let fleet = Deployment::configured();
    fleet.await_lender();
    eventually_status(200, || fleet.get("/a/").key("key-one").send());
    let nodes = [&fleet.first.node, &fleet.second.node];
    let records = nodes.map(|node| own_record(node));
    let holds_slot = |record: &&Record| !record.profile.lender_slots.is_empty();
    let lender = records.iter().find(holds_slot).expect("a lender").clone();
    let other = records.iter().find(|record| !holds_slot(record));
    let mut former = other.expect("a daemon without a slot").clone();
    former
        .profile
        .lender_slots
        .clone_from(&lender.profile.lender_slots);
    // The first daemon has a stale record in which the other one is the lender, as
    // happens while two daemons that started together resolve who holds the
    // slot.
    let directory = &fleet.first.node.quota.directory;
    let without = |record: &Record| {
        let mut record = record.clone();
        record.profile.lender_slots.clear();
        record
    };
    directory.update(&without(&lender));
    directory.update(&former);
    let request = fleet.get("/a/").key("key-one");
    let pending = std::thread::spawn(move || request.send());
    std::thread::sleep(Duration::from_millis(250));
    directory.update(&without(&former));
    directory.update(&lender);
    assert_eq!(
        pending.join().expect("the request thread completes").status,
        200
    );
}

#[test]
fn restart_finds_target() {
    let mut fleet = Deployment::serving();
    fleet.observed.health.store(true, Ordering::Relaxed);
    fleet.restart_second();
    // Without a heartbeat, the health check of the target reports its instance.
    eventually_status(200, || fleet.get("/open/").send());
    assert_eq!(
        fleet.observed.header(header::EXPECTED_INSTANCE).as_deref(),
        Some("i-1")
    );
}

#[test]
fn restart_draining_target() {
    let mut fleet = Deployment::serving();
    assert_eq!(fleet.heartbeat("draining").status, 200);
    // A draining target may still pass its health checks, and a heartbeat that it
    // sent before it drained may arrive late.
    fleet.observed.health.store(true, Ordering::Relaxed);
    fleet.restart_second();
    let runs = fleet.observed.runs.load(Ordering::Relaxed);
    let node = Arc::clone(&fleet.second.node);
    eventually_holds("a configuration", || node.lookup().config.revision > 0);
    std::thread::sleep(Duration::from_millis(300));
    fleet.heartbeat("ready");
    for _ in 0..20 {
        assert_eq!(fleet.get("/open/").send().status, 503);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(fleet.observed.runs.load(Ordering::Relaxed), runs);
}

#[test]
fn shutdown_keeps_serving() {
    let mut fleet = Deployment::serving();
    let request = fleet.get("/open/");
    let second = std::mem::replace(&mut fleet.second, start_lone("n-3", &fleet.platform));
    let started = Instant::now();
    let ending = std::thread::spawn(move || {
        let mut second = second;
        second.leave();
    });
    // The target still runs, so the daemon admits calls for as long as they can
    // complete.
    while started.elapsed() < Duration::from_secs(1) {
        assert_eq!(request.clone().send().status, 200);
        std::thread::sleep(Duration::from_millis(50));
    }
    ending.join().expect("a graceful shutdown");
    assert_eq!(
        request.send().status,
        503,
        "the daemon of the target has stopped"
    );
}

#[test]
fn replaced_key_refused() {
    let mut fleet = Deployment::accepting();
    fleet.configure(9, "key-two");
    eventually_status(401, || fleet.get("/a/").key("key-one").send());
    eventually_status(200, || fleet.get("/a/").key("key-two").send());
    // During an outage of the store no key can be confirmed, so requests with a
    // key are refused. Public routes are still served.
    fleet.platform.set_faults(Faults::DOWN);
    eventually_status(503, || fleet.get("/a/").key("key-two").send());
    fleet.heartbeat("ready");
    assert_eq!(fleet.get("/open/").send().status, 200);
    fleet.platform.set_faults(Faults::default());
    eventually_status(200, || fleet.get("/a/").key("key-two").send());
}

#[test]
fn truncated_history_reread() {
    let fleet = Deployment::accepting();
    fleet.configure(4, "key-two");
    fleet.platform.clear_history();
    eventually_status(200, || fleet.get("/a/").key("key-two").send());
    // An invalid configuration leaves the one in force unchanged.
    fleet.platform.write("op", "config", &json!({"routes": 7}));
    std::thread::sleep(Duration::from_millis(300));
    fleet.await_lender();
    assert_eq!(fleet.get("/a/").key("key-two").send().status, 200);
}

/// Spends a token of account `t-1` from the wallet of a daemon.
fn spend(node: &Node) -> Spend {
    let key = node.names.account(&Arc::from("t-1"));
    let mut wallet = node.quota.wallet.lock().expect("not poisoned");
    wallet.spend(key, node.clock.now())
}

#[test]
fn paused_lender_refuses() {
    let fleet = Deployment::configured();
    fleet.await_lender();
    let holds = |node: &Node| lender_slots(node) > 0;
    let nodes = [&fleet.first.node, &fleet.second.node];
    let lender = nodes
        .into_iter()
        .find(|node| holds(node))
        .expect("a lender");
    let grant = || Grant {
        account: "t-1".into(),
        requested: 1,
        tokens: 0,
        requested_us: lender.clock.now().as_micros(),
        validity_us: 100_000,
        lenders_tried: 1,
        is_lender: false,
    };
    eventually_holds("tokens to lend", || quota::lend(lender, grant()).tokens > 0);
    let up = Moment::ZERO + Duration::from_secs(2);
    eventually_holds("two seconds since the start", || lender.clock.now() > up);
    // State right after a pause of the process that was longer than the others'
    // suspicion timeout, before the timers of the process have run.
    *lender.quota.last_poll.lock().expect("not poisoned") = Moment::ZERO;
    let granted = quota::lend(lender, grant());
    assert_eq!((granted.tokens, granted.is_lender), (0, false));
    assert!(!holds(lender));
    // Tokens that were requested before the pause are discarded as well.
    let late = Grant {
        tokens: 5,
        requested_us: 1,
        validity_us: 3_600_000_000,
        is_lender: true,
        ..grant()
    };
    quota::receive(lender, &late);
    assert_eq!(spend(lender), Spend::Wait);
    eventually_holds("a lender again", || nodes.iter().any(|node| holds(node)));
}

#[test]
fn second_lender_exhausted() {
    let fleet = Deployment::configured();
    fleet.await_lender();
    let node = &fleet.first.node;
    let answer = |turn, holds_slot| Grant {
        account: "t-1".into(),
        requested: 1,
        tokens: 0,
        requested_us: 0,
        validity_us: 0,
        lenders_tried: turn,
        is_lender: holds_slot,
    };
    // The second lender on the list holds only one member's share of the account,
    // and the first may be slow to answer. A refusal by the second alone
    // does not mean that the quota is exhausted.
    quota::receive(node, &answer(2, true));
    assert_eq!(spend(node), Spend::Wait);
    quota::receive(node, &answer(1, true));
    assert_eq!(spend(node), Spend::Exhausted);
}
