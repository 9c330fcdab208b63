//! A sidecar process that is stopped and continued later: what reached its
//! sockets meanwhile extends no permission.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_policy::member::rank_key;
use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::fleet::Member;
use cardamomshed_standin::platform::{Capacity, Platform};
use cardamomshed_standin::soak::process::free_address;
use cardamomshed_standin::thread::Thread;
use serde_json::json;

use crate::platform_sidecar::{NOWHERE, config, request, send_heartbeat, sidecar};
use crate::process_signals::Daemon;
use crate::signed_target::{Observation, target};

/// Bound on withdrawn keys in the settings of these tests.
const WITHDRAW_WITHIN: Duration = Duration::from_secs(3);
/// Requests that wait in the sockets of the stopped process.
const REQUESTS: usize = 24;

/// The process under test, and beside it a daemon with a target. That daemon reads
/// the store for the failure domain.
struct Deployment {
    platform: Platform,
    ingress: Daemon,
    reader: Member,
    observed: Arc<Observation>,
    target: SocketAddr,
    _target: Thread,
}

impl Deployment {
    fn start() -> Self {
        let platform = Platform::start(Capacity::default());
        let (thread, target, observed) = target();
        let mut names = ["n-frozen-1", "n-frozen-2"];
        names.sort_by_key(|name| rank_key(name));
        let [reader, ingress] = names;
        let settings = format!(
            "sidecar: {{service: s-one, address: {NOWHERE}, ready: {},\n\
             \x20 strict_keys: true, withdraw_within: {}ms, grace: 6s, retry_ratio: 0.2,\n\
             \x20 retry_slack: 48}}\n",
            free_address(),
            WITHDRAW_WITHIN.as_millis(),
        );
        let reader = Member::start(
            sidecar(reader, "s-two", target, &platform),
            Options::default(),
        );
        Self {
            ingress: Daemon::start(ingress, ["a", "r"], &platform, &settings),
            platform,
            reader,
            observed,
            target,
            _target: thread,
        }
    }

    fn configure(&self, version: u64, key: &str) {
        self.platform.write("op", "config", &config(version, key));
    }

    fn get(&self, key: &str) -> Request {
        request(self.ingress.callers, "/a/b", "9000").key(key)
    }

    fn heartbeat(&self, sequence: u64) {
        let changed = json!({"slots": 50, "sequence": sequence});
        send_heartbeat(&self.reader, "i-1", self.target, &changed);
    }
}

#[test]
fn withdrawn_key_refused() {
    let fleet = Deployment::start();
    fleet.configure(3, "key-one");
    fleet.heartbeat(1);
    eventually("the key is in use", || {
        fleet.get("key-one").send().status == 200
    });
    // Several confirmations of version 3 are sent to the stopped process.
    fleet.ingress.signal("STOP");
    std::thread::sleep(Duration::from_millis(2_500));
    fleet.configure(9, "key-two");
    std::thread::sleep(WITHDRAW_WITHIN + Duration::from_millis(500));
    fleet.heartbeat(2);
    let callers = (0..REQUESTS).map(|_| {
        let request = fleet.get("key-one");
        std::thread::spawn(move || request.send())
    });
    let callers = callers.collect::<Vec<_>>();
    std::thread::sleep(Duration::from_millis(300));
    let runs = fleet.observed.runs.load(Ordering::Relaxed);
    fleet.ingress.signal("CONT");
    for caller in callers {
        let status = caller.join().expect("the caller's thread completes").status;
        assert!(matches!(status, 401 | 503), "status {status}");
    }
    assert_eq!(
        fleet.observed.runs.load(Ordering::Relaxed),
        runs,
        "a request with a withdrawn key ran"
    );
    eventually("the new key is in use", || {
        fleet.get("key-two").send().status == 200
    });
}
