//! Daemons in processes of their own that are terminated, killed or suspended by
//! a signal.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::fleet::{Fleet, secret};
use cardamomshed_standin::platform::Platform;
use cardamomshed_standin::soak::process::free_address;
use cardamomshed_standin::target::{Behaviour, Config, Target};
use socket2::SockRef;

use crate::{allow_bodies, chain, request_text};

static NEXT_PROCESS: AtomicU32 = AtomicU32::new(0);

/// A daemon in a process of its own. Dropping it kills the process.
pub(crate) struct Daemon {
    child: Child,
    pub(crate) callers: SocketAddr,
    control: SocketAddr,
    admin: SocketAddr,
}

impl Daemon {
    /// Starts a daemon of a fleet with one failure domain, given with its region, and
    /// with further lines of settings.
    pub(crate) fn start(
        name: &str,
        [domain, region]: [&str; 2],
        platform: &Platform,
        further: &str,
    ) -> Self {
        // A port of those that the kernel gives out may be taken by another test before
        // the process binds it.
        let [callers, control, peers, admin] = [(); 4].map(|()| free_address());
        let settings = format!(
            "node: {name}\ndomain: {domain}\nregion: {region}\ndomains: [{domain}]\n\
             fleet_secret: {}\n\
             callers: {callers}\ntarget: {control}\npeers: {peers}\n\
             admin: {admin}\nplatform: {}\nlog: off\n{further}",
            secret(&platform.base()),
            platform.base()
        );
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let file = folder.join(format!("{}-{name}.yaml", std::process::id()));
        fs::write(&file, settings).expect("the settings file is written");
        let child = Command::new(env!("CARGO_BIN_EXE_cardamomshed"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon can be started");
        Self {
            child,
            callers,
            control,
            admin,
        }
    }

    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits until the process has ended, and asserts that it did so without an error.
    pub(crate) fn await_success(&mut self) {
        assert!(self.child.wait().expect("the daemon exits").success());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A daemon in a process of its own, with a target of service `hop-0` of the fleet.
pub(crate) struct Process {
    pub(crate) daemon: Daemon,
    pub(crate) target: Target,
}

impl Process {
    /// Starts both and waits until requests are served.
    fn serving(fleet: &Fleet, behaviour: Behaviour) -> Self {
        let process = Self::start(fleet, behaviour, "");
        eventually("the process serves", || {
            get(fleet, process.daemon.callers) == 200
        });
        process
    }

    /// Starts both and waits until calls reach the target.
    fn reached(fleet: &Fleet) -> Self {
        let process = Self::start(fleet, Behaviour::default(), "");
        eventually("calls reach the process", || reached(fleet, &process));
        process
    }

    /// Starts both, the daemon with further lines of settings.
    pub(crate) fn start(fleet: &Fleet, behaviour: Behaviour, settings: &str) -> Self {
        let number = NEXT_PROCESS.fetch_add(1, Ordering::Relaxed);
        let name = format!("process-{}-{number}", std::process::id());
        let settings = format!("timing: {{poll: 200ms, drain: 5s}}\n{settings}");
        let daemon = Daemon::start(&name, ["here", "region"], &fleet.platform, &settings);
        let target = Target::start(Config {
            service: "hop-0".to_owned(),
            slots: 8,
            connections: 64,
            daemon: daemon.control,
            behaviour,
            announces: true,
        });
        Self { daemon, target }
    }

    /// Number of open root requests that the daemon's status reports, -1 if the
    /// status cannot be read.
    pub(crate) fn open_requests(&self) -> i64 {
        let status = Request::get(self.daemon.admin, "/status").send();
        let status = serde_json::from_slice::<serde_json::Value>(&status.body);
        let open = status
            .ok()
            .and_then(|status| status["open_requests"].as_i64());
        open.unwrap_or(-1)
    }
}

/// Sends 20 requests to the fleet's first daemon and returns whether the target
/// of the process has received any request.
fn reached(fleet: &Fleet, process: &Process) -> bool {
    for _ in 0..20 {
        let request = Request::get(fleet.callers()[0], "/hop-0").key(&fleet.keys[0]);
        request.send();
    }
    process.target.total() > 0
}

/// Sends a request to an address and returns the HTTP status, zero if there is
/// no response.
fn get(fleet: &Fleet, to: SocketAddr) -> u16 {
    Request::get(to, "/hop-0").key(&fleet.keys[0]).send().status
}

/// Waits until 20 requests in a row to the fleet's first daemon succeed.
fn await_no_failure(fleet: &Fleet) {
    eventually("no call fails", || {
        (0..20).all(|_| get(fleet, fleet.callers()[0]) == 200)
    });
}

#[test]
fn stop_drains_requests() {
    let fleet = chain(1);
    let slow = Behaviour {
        service_time: Duration::from_millis(900),
        ..Behaviour::default()
    };
    let mut process = Process::serving(&fleet, slow);
    fleet.change_targets(|behaviour| behaviour.service_time = Duration::from_millis(700));
    let (to, key) = (process.daemon.callers, fleet.keys[0].clone());
    let callers = (0..12).map(|_| {
        let request = Request::get(to, "/hop-0").key(&key);
        std::thread::spawn(move || request.send())
    });
    let callers = callers.collect::<Vec<_>>();
    eventually("every request is open", || process.open_requests() == 12);
    process.daemon.signal("TERM");
    for caller in callers {
        let reply = caller.join().expect("the caller's thread completes");
        assert_eq!(reply.status, 200, "a request was interrupted: {reply:?}");
    }
    process.daemon.await_success();
    let before = process.target.total();
    for _ in 0..10 {
        assert_eq!(get(&fleet, fleet.callers()[0]), 200);
    }
    assert_eq!(
        process.target.total(),
        before,
        "a target that left received new requests"
    );
}

/// Guards against a response that is cut: a daemon ended as soon as it had begun to
/// send the last one.
#[test]
fn stop_awaits_readers() {
    /// Length of the response body. It exceeds what the kernel buffers.
    const LENGTH: usize = 12 << 20;
    /// Part of the response that is read at once; with the pause, 4 MiB a second.
    const PART: usize = 64 << 10;
    const PAUSE: Duration = Duration::from_millis(16);
    let fleet = chain(1);
    allow_bodies(&fleet, 2 * LENGTH);
    let long = Behaviour {
        body_len: LENGTH,
        ..Behaviour::default()
    };
    fleet.change_targets(|behaviour| behaviour.body_len = LENGTH);
    let mut process = Process::serving(&fleet, long);
    let mut caller = TcpStream::connect(process.daemon.callers).expect("a connection");
    SockRef::from(&caller)
        .set_recv_buffer_size(64 << 10)
        .expect("a socket");
    let request = request_text("/hop-0", &fleet.keys[0]);
    caller
        .write_all(request.as_bytes())
        .expect("the request is sent");
    let mut received = 0;
    let mut part = vec![0; PART];
    let mut is_stopped = false;
    while received < LENGTH {
        let length = caller.read(&mut part).expect("the connection is not reset");
        let text = String::from_utf8_lossy(&part[..received.min(512)]);
        assert!(
            length > 0,
            "ended after {received} bytes, the last of them {text}"
        );
        received += length;
        if !is_stopped {
            process.daemon.signal("TERM");
            is_stopped = true;
        }
        std::thread::sleep(PAUSE);
    }
    drop(caller);
    process.daemon.await_success();
}

/// Sends requests one after the other over kept connections until no new
/// connection is accepted. Returns the requests that were answered, and those
/// whose connection ended without a complete response.
fn request_until_closed(to: SocketAddr, key: &str) -> (u32, u32) {
    let request = request_text("/hop-0", key);
    let (mut answered, mut cut) = (0, 0);
    while let Ok(mut stream) = TcpStream::connect(to) {
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .expect("a socket");
        loop {
            // Nothing of a request that could not be written was accepted.
            if stream.write_all(request.as_bytes()).is_err() {
                break;
            }
            let Some(closes) = read_response(&mut stream) else {
                cut += 1;
                break;
            };
            answered += 1;
            if closes {
                break;
            }
        }
    }
    (answered, cut)
}

/// Reads a response with a length. Returns whether the connection closes after it,
/// or `None` if the response is not complete.
fn read_response(stream: &mut TcpStream) -> Option<bool> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let field = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find_map(|(found, value)| (found == name).then(|| value.to_owned()))
    };
    let length = field("content-length")?.parse().ok()?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(field("connection").as_deref() == Some("close"))
}

#[test]
fn stop_answers_kept_connections() {
    let fleet = chain(1);
    let behaviour = Behaviour {
        service_time: Duration::from_millis(20),
        ..Behaviour::default()
    };
    let mut process = Process::serving(&fleet, behaviour);
    let callers = (0..12).map(|_| {
        let (to, key) = (process.daemon.callers, fleet.keys[0].clone());
        std::thread::spawn(move || request_until_closed(to, &key))
    });
    let callers = callers.collect::<Vec<_>>();
    std::thread::sleep(Duration::from_millis(400));
    process.daemon.signal("TERM");
    let counts = callers
        .into_iter()
        .map(|caller| caller.join().expect("the caller's thread completes"));
    let (answered, cut) = counts.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    process.daemon.await_success();
    assert!(answered > 100, "only {answered} requests were answered");
    assert_eq!(cut, 0, "of {answered} answered requests");
}

#[test]
fn killed_daemon_excluded() {
    let fleet = chain(1);
    let process = Process::reached(&fleet);
    process.daemon.signal("KILL");
    await_no_failure(&fleet);
}

#[test]
fn killed_claim_kept() {
    let fleet = chain(1);
    let process = Process::serving(&fleet, Behaviour::default());
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
    let first = booking(process.daemon.callers);
    let caller = std::thread::spawn(move || first.send());
    eventually("the booking is running", || total() == before + 1);
    process.daemon.signal("KILL");
    assert_eq!(
        caller.join().expect("the caller's thread completes").status,
        0
    );
    // A repeated request is refused, and the outcome of the first is unknown.
    let repeated = booking(fleet.callers()[0]).send();
    assert_eq!(
        (repeated.code(), repeated.ran().as_str()),
        (1501, "unknown")
    );
    assert_eq!(total(), before + 1, "the booking ran twice");
}

#[test]
fn suspended_daemon_excluded() {
    let fleet = chain(1);
    let process = Process::reached(&fleet);
    process.daemon.signal("STOP");
    await_no_failure(&fleet);
    process.daemon.signal("CONT");
    let before = process.target.total();
    eventually("calls reach the process again", || {
        reached(&fleet, &process) && process.target.total() > before
    });
}

#[test]
fn command_line() {
    let run = |arguments: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_cardamomshed"))
            .args(arguments)
            .output()
            .expect("the daemon can be run")
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
