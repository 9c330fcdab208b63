//! Daemons as processes of their own, with the command and the settings template
//! of the deploy file.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::{self, Connection};
use crate::json::Json;
use crate::record::Record;

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Ports for daemons and upstreams, below those that the kernel gives to
/// connections.
const PORTS: std::ops::Range<u32> = 12_000..32_000;

/// A free loopback address, for TCP and UDP. No address is returned twice.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Cases that run at the same time start at different ports.
    let start = std::process::id() * 97;
    loop {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// A daemon of the deployment and the addresses of its machine.
pub struct Daemon {
    pub name: String,
    pub service: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub app: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
    zone: String,
    /// All zones of the deployment.
    pub zones: Vec<String>,
    store: SocketAddr,
    folder: PathBuf,
    first_start: bool,
    child: Option<Child>,
    record: Record,
}

impl Daemon {
    pub fn new(
        name: &str,
        zone: &str,
        service: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            outbound: free_address(),
            control: free_address(),
            ready: free_address(),
            app: free_address(),
            peers: free_address(),
            admin: free_address(),
            zone: zone.to_owned(),
            zones: vec![zone.to_owned()],
            store,
            folder: folder.to_owned(),
            first_start: true,
            child: None,
            record: record.clone(),
        }
    }

    /// Fills the template of the deploy file in, as the platform does.
    fn settings(&self) -> String {
        let template = std::fs::read_to_string("deploy/settings.yaml").expect("the template");
        let zones = self.zones.iter().map(|zone| format!("\"{zone}\""));
        let zones = zones.collect::<Vec<_>>();
        let values = [
            ("{{node}}", self.name.clone()),
            ("{{zone}}", self.zone.clone()),
            ("{{region}}", "r".to_owned()),
            ("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", zones.join(",")),
            ("{{listen.outbound}}", self.outbound.to_string()),
            ("{{listen.control}}", self.control.to_string()),
            ("{{listen.ready}}", self.ready.to_string()),
            ("{{ip}}:{{port-range.0}}", self.peers.to_string()),
            ("{{ip}}:{{port-range.1}}", self.admin.to_string()),
            ("{{platform.address}}", self.store.to_string()),
            ("{{platform.reads-per-s}}", "2000".to_owned()),
            ("{{platform.writes-per-s}}", "400".to_owned()),
            ("{{service}}", self.service.clone()),
            ("{{app-addr}}", self.app.to_string()),
            ("{{bounds.strict-revoke}}", "true".to_owned()),
            ("{{bounds.revoke}}", "5000ms".to_owned()),
            ("{{bounds.grace}}", "6s".to_owned()),
            ("{{bounds.retry-budget-ratio}}", "0.2".to_owned()),
            ("{{bounds.budget-slack}}", "48".to_owned()),
            ("{{bounds.cold-slack}}", String::new()),
            ("{{first-start}}", self.first_start.to_string()),
        ];
        let mut text = template;
        for (name, value) in values {
            text = text.replace(name, &value);
        }
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        text
    }

    pub fn start(&mut self) {
        let path = self.folder.join(format!("{}.yaml", self.name));
        std::fs::write(&path, self.settings()).expect("the settings can be written");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("the log can be written");
        let errors = log.try_clone().expect("a second handle");
        let child = Command::new("target/release/cardamomshed")
            .arg("--settings")
            .arg(&path)
            .env("CARDAMOMSHED_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon can be started");
        self.record.line(&format!("daemon {} starts", self.name));
        self.child = Some(child);
        self.first_start = false;
    }

    fn signal(&self, signal: i32, name: &str) {
        if let Some(child) = &self.child {
            self.record
                .line(&format!("daemon {} gets {name}", self.name));
            // The process is a child that has not been waited for, so its id is valid.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn terminate(&self) {
        self.signal(SIGTERM, "SIGTERM");
    }

    pub fn pause(&self) {
        self.signal(SIGSTOP, "SIGSTOP");
    }

    pub fn resume(&self) {
        self.signal(SIGCONT, "SIGCONT");
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL, "SIGKILL");
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by now.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Number of members that the daemon's status lists, itself included.
    pub fn members(&self) -> Option<usize> {
        let mut connection = Connection::connect(self.admin).ok()?;
        let request = http::request("GET", "/status", &[("host", "status")], b"");
        let answer = connection.exchange(&request, Duration::from_secs(1)).ok()?;
        Some(Json::parse(&answer.body)?.list("members").len())
    }

    /// Whether the daemon answers the question of the platform with 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::connect(self.ready) else {
            return false;
        };
        let request = http::request("GET", "/ready", &[("host", "ready")], b"");
        let answer = connection.exchange(&request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until all daemons are ready, for 10 s at most.
pub fn await_ready(daemons: &[Daemon]) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
