//! Daemons as separate processes: stopped, killed and frozen.

use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::fleet::Fleet;
use cardamomshed_standin::target::{Behaviour, Config, Target};

use crate::chain;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A daemon in a process of its own, beside a target of the fleet's service.
struct Process {
    child: Child,
    callers: SocketAddr,
    admin: SocketAddr,
    target: Target,
}

fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound port").port()
}

impl Process {
    fn start(fleet: &Fleet, behaviour: Behaviour) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let ports = [free_port(), free_port(), free_port(), free_port()];
        let settings = format!(
            "node: process-{}-{number}\ndomain: here\nregion: region\n\
             fleet_secret: a secret for loopback only\n\
             callers: 127.0.0.1:{}\ntarget: 127.0.0.1:{}\npeers: 127.0.0.1:{}\n\
             admin: 127.0.0.1:{}\nplatform: {}\ndomains: [here]\nlog: off\n\
             timing: {{poll: 200ms, drain: 5s}}\n",
            std::process::id(),
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            fleet.platform.base()
        );
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let file = folder.join(format!("process-{}-{number}.yaml", std::process::id()));
        fs::write(&file, settings).expect("a file of settings");
        let child = Command::new(env!("CARGO_BIN_EXE_cardamomshed"))
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let target = Target::start(Config {
            service: "hop-0".to_owned(),
            slots: 8,
            connections: 64,
            daemon: SocketAddr::from(([127, 0, 0, 1], ports[1])),
            behaviour,
            announces: true,
        });
        Self {
            child,
            callers: SocketAddr::from(([127, 0, 0, 1], ports[0])),
            admin: SocketAddr::from(([127, 0, 0, 1], ports[3])),
            target,
        }
    }

    /// Root requests that are open, by the daemon's own status.
    fn open_requests(&self) -> i64 {
        let status = Request::get(self.admin, "/status").send();
        let status = serde_json::from_slice::<serde_json::Value>(&status.body);
        let open = status
            .ok()
            .and_then(|status| status["open_requests"].as_i64());
        open.unwrap_or(-1)
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.expect("kill runs").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Whether a fleet's daemon routes to the process's target.
fn routed(fleet: &Fleet, process: &Process) -> bool {
    for _ in 0..20 {
        let request = Request::get(fleet.callers()[0], "/hop-0").key(&fleet.keys[0]);
        request.send();
    }
    process.target.total() > 0
}

fn ask(fleet: &Fleet, to: SocketAddr) -> u16 {
    Request::get(to, "/hop-0").key(&fleet.keys[0]).send().status
}

#[test]
fn stop_cuts_nothing() {
    let fleet = chain(1);
    let slow = Behaviour {
        service_time: Duration::from_millis(900),
        ..Behaviour::default()
    };
    let mut process = Process::start(&fleet, slow);
    eventually("the process serves", || ask(&fleet, process.callers) == 200);
    for target in &fleet.targets {
        target.change(|behaviour| behaviour.service_time = Duration::from_millis(700));
    }
    let (to, key) = (process.callers, fleet.keys[0].clone());
    let callers = (0..12).map(|_| {
        let request = Request::get(to, "/hop-0").key(&key);
        std::thread::spawn(move || request.send())
    });
    let callers = callers.collect::<Vec<_>>();
    eventually("every request is open", || process.open_requests() == 12);
    process.signal("TERM");
    for caller in callers {
        let reply = caller.join().expect("the caller ends");
        assert_eq!(reply.status, 200, "a request was cut: {reply:?}");
    }
    let status = process.child.wait().expect("the daemon ends");
    assert!(status.success());
    let before = process.target.total();
    for _ in 0..10 {
        assert_eq!(ask(&fleet, fleet.callers()[0]), 200);
    }
    assert_eq!(
        process.target.total(),
        before,
        "a target that left got new work"
    );
}

#[test]
fn killed_is_left_out() {
    let fleet = chain(1);
    let process = Process::start(&fleet, Behaviour::default());
    eventually("calls reach the process", || routed(&fleet, &process));
    process.signal("KILL");
    eventually("no call fails any more", || {
        (0..20).all(|_| ask(&fleet, fleet.callers()[0]) == 200)
    });
}

#[test]
fn killed_claim_stays() {
    let fleet = chain(1);
    let process = Process::start(&fleet, Behaviour::default());
    eventually("the process serves", || ask(&fleet, process.callers) == 200);
    let targets = fleet.targets.iter().chain([&process.target]);
    for target in targets.clone() {
        target.change(|behaviour| behaviour.service_time = Duration::from_millis(1_500));
    }
    let total = || targets.clone().map(Target::total).sum::<u64>();
    let before = total();
    let booking = |to| {
        Request::post(to, "/hop-0/once", b"one booking")
            .key(&fleet.keys[0])
            .header("idempotency-key", "killed")
    };
    let first = booking(process.callers);
    let caller = std::thread::spawn(move || first.send());
    eventually("the booking runs", || total() == before + 1);
    process.signal("KILL");
    assert_eq!(caller.join().expect("the caller ends").status, 0);
    // Whoever asks again is told the truth: it may have run.
    let again = booking(fleet.callers()[0]).send();
    assert_eq!((again.code(), again.ran().as_str()), (1501, "unknown"));
    assert_eq!(total(), before + 1, "the booking ran twice");
}

#[test]
fn frozen_is_left_out() {
    let fleet = chain(1);
    let process = Process::start(&fleet, Behaviour::default());
    eventually("calls reach the process", || routed(&fleet, &process));
    process.signal("STOP");
    eventually("no call fails any more", || {
        (0..20).all(|_| ask(&fleet, fleet.callers()[0]) == 200)
    });
    process.signal("CONT");
    let before = process.target.total();
    eventually("calls reach the process again", || {
        routed(&fleet, &process) && process.target.total() > before
    });
}

#[test]
fn command_line() {
    let run = |arguments: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_cardamomshed"))
            .args(arguments)
            .output()
            .expect("the daemon runs")
    };
    assert!(run(&["--help"]).status.success());
    assert!(run(&["--version"]).status.success());
    let missing = run(&[]);
    assert!(!missing.status.success());
    assert!(String::from_utf8_lossy(&missing.stderr).contains("CS3001"));
    let unreadable = run(&["--settings", "/nonexistent", "--check"]);
    assert!(!unreadable.status.success());
    assert!(String::from_utf8_lossy(&unreadable.stderr).contains("CS2001"));
}
