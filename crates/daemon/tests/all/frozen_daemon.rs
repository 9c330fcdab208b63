//! A sidecar process that is stopped and continued later: what reached its
//! sockets meanwhile extends no permission.

use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_platform::header;
use cardamomshed_policy::member::rank_key;
use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::fleet::{Member, secret};
use cardamomshed_standin::platform::{Capacity, Platform};
use cardamomshed_standin::soak::process::free_address;
use cardamomshed_standin::thread::Thread;
use serde_json::json;

use crate::platform_sidecar::{config, sidecar};
use crate::signed_target::{Observation, target};

/// Bound on withdrawn keys in the settings of these tests.
const WITHDRAW_WITHIN: Duration = Duration::from_secs(3);
/// Requests that wait in the sockets of the stopped process.
const REQUESTS: usize = 24;

/// A daemon in a process of its own, which the tests stop and continue. Dropping
/// it kills the process.
struct Ingress {
    child: Child,
    callers: SocketAddr,
}

impl Ingress {
    fn start(name: &str, platform: &Platform) -> Self {
        let [callers, control, peers, admin, ready] = [(); 5].map(|()| free_address());
        let settings = format!(
            "node: {name}\ndomain: a\nregion: r\ndomains: [a]\n\
             fleet_secret: {}\n\
             callers: {callers}\ntarget: {control}\npeers: {peers}\nadmin: {admin}\n\
             platform: {}\nlog: off\n\
             sidecar: {{service: s-one, address: 127.0.0.1:1, ready: {ready},\n\
             \x20 strict_keys: true, withdraw_within: {}ms, grace: 6s, retry_ratio: 0.2,\n\
             \x20 retry_slack: 48}}\n",
            secret(&platform.base()),
            platform.base(),
            WITHDRAW_WITHIN.as_millis(),
        );
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let file = folder.join(format!("frozen-{}-{name}.yaml", std::process::id()));
        fs::write(&file, settings).expect("the settings file is written");
        let child = Command::new(env!("CARGO_BIN_EXE_cardamomshed"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon can be started");
        Self { child, callers }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.expect("kill runs").success());
    }

    fn get(&self, key: &str) -> Request {
        Request::get(self.callers, "/a/b")
            .header("host", "h.example")
            .header(header::ATTEMPT, "9c41d07be2a35f68")
            .header(header::DEADLINE, "9000")
            .key(key)
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The process under test, and beside it a daemon with a target. That daemon reads
/// the store for the failure domain.
struct Deployment {
    platform: Platform,
    ingress: Ingress,
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
        let reader = Member::start(
            sidecar(reader, "s-two", target, &platform),
            Options::default(),
        );
        Self {
            ingress: Ingress::start(ingress, &platform),
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

    fn heartbeat(&self, sequence: u64) {
        let body = json!({
            "service": "s-two", "address": self.target, "zone": "a", "version": "v1",
            "slots": 50, "state": "ready", "warmup-left": "0ms",
            "sequence": sequence, "born": 10
        });
        let control = self.reader.node.settings.target;
        let path = "/instances/i-1/heartbeat";
        Request::post(control, path, body.to_string().as_bytes()).send();
    }
}

#[test]
fn withdrawn_key_refused() {
    let fleet = Deployment::start();
    fleet.configure(3, "key-one");
    fleet.heartbeat(1);
    eventually("the key is in use", || {
        fleet.ingress.get("key-one").send().status == 200
    });
    // Several confirmations of version 3 are sent to the stopped process.
    fleet.ingress.signal("STOP");
    std::thread::sleep(Duration::from_millis(2_500));
    fleet.configure(9, "key-two");
    std::thread::sleep(WITHDRAW_WITHIN + Duration::from_millis(500));
    fleet.heartbeat(2);
    let callers = (0..REQUESTS).map(|_| {
        let request = fleet.ingress.get("key-one");
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
        fleet.ingress.get("key-two").send().status == 200
    });
}
