//! Machines with a daemon and an upstream each, on loopback addresses.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Connection};
use crate::ledger::Ledger;
use crate::store::Store;
use crate::upstream::Upstream;

pub const HOST: &str = "hulo84.example";

/// Place of a machine: its name, zone, region and the service beside it.
#[derive(Clone, Copy)]
pub struct Place {
    pub name: &'static str,
    pub zone: &'static str,
    pub region: &'static str,
    pub service: &'static str,
}

/// Ports of every machine.
const PEERS: u16 = 7000;
const ADMIN: u16 = 7015;
const CONTROL: u16 = 8540;
const OUTBOUND: u16 = 8548;
const READY: u16 = 8546;
const APP: u16 = 8547;
const STORE: u16 = 8545;

pub struct Machine {
    pub place: Place,
    pub ip: IpAddr,
    pub upstream: Arc<Upstream>,
    child: Option<Child>,
}

impl Machine {
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OUTBOUND)
    }

    pub fn ready(&self) -> bool {
        let start = "GET /ready HTTP/1.1";
        let address = SocketAddr::new(self.ip, READY);
        let answer = http::request(
            address,
            start,
            &[("Host", "x")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

pub struct Fleet {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub ledger: Ledger,
    folder: PathBuf,
    template: String,
    zones: Vec<&'static str>,
    next: Arc<AtomicU64>,
}

/// A loopback network whose addresses are free.
fn free_network() -> [u8; 3] {
    let seed = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    let mut number = seed.subsec_nanos() ^ std::process::id().wrapping_mul(7919);
    loop {
        number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let [a, b, ..] = number.to_be_bytes();
        let network = [127, 16 + a % 200, b];
        let first = IpAddr::from([network[0], network[1], network[2], 1]);
        let is_free = [PEERS, ADMIN, CONTROL, OUTBOUND, READY, APP, STORE]
            .iter()
            .all(|port| TcpListener::bind((first, *port)).is_ok());
        if is_free && UdpSocket::bind((first, PEERS)).is_ok() {
            return network;
        }
    }
}

impl Fleet {
    /// Starts the store with the desired state, the upstreams and the daemons.
    pub fn start(places: &[Place], desired: &str, ledger: &Ledger) -> Self {
        let template = std::fs::read_to_string("deploy/settings.yaml");
        let template = template.expect("the settings template of the deploy file");
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let [a, b, c] = free_network();
        let ip = |number: usize| IpAddr::from([a, b, c, number as u8 + 1]);
        let store = Store::start(SocketAddr::new(ip(200), STORE));
        store.write("op", "config", desired);
        let mut zones = places.iter().map(|place| place.zone).collect::<Vec<_>>();
        zones.sort_unstable();
        zones.dedup();
        let machines = places.iter().enumerate().map(|(number, place)| {
            let ip = ip(number);
            let addresses = (SocketAddr::new(ip, APP), SocketAddr::new(ip, CONTROL));
            let instance = format!("i-{}-1", place.name);
            let kind = (place.service, place.zone);
            Machine {
                place: *place,
                ip,
                upstream: Upstream::start(&instance, kind, addresses, ledger),
                child: None,
            }
        });
        let mut fleet = Self {
            store,
            machines: machines.collect(),
            ledger: ledger.clone(),
            folder,
            template,
            zones,
            next: Arc::new(AtomicU64::new(1)),
        };
        for index in 0..fleet.machines.len() {
            fleet.start_daemon(index, true);
        }
        fleet
    }

    fn settings(&self, machine: &Machine, is_first: bool) -> String {
        let ip = machine.ip;
        let zones = self.zones.iter().map(|zone| format!("\"{zone}\""));
        let zones = zones.collect::<Vec<_>>().join(",");
        let values = [
            ("{{node}}", machine.place.name.to_owned()),
            ("{{zone}}", machine.place.zone.to_owned()),
            ("{{region}}", machine.place.region.to_owned()),
            ("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", zones),
            ("{{listen.outbound}}", format!("{ip}:{OUTBOUND}")),
            ("{{listen.control}}", format!("{ip}:{CONTROL}")),
            ("{{listen.ready}}", format!("{ip}:{READY}")),
            ("{{ip}}:{{port-range.0}}", format!("{ip}:{PEERS}")),
            ("{{ip}}:{{port-range.1}}", format!("{ip}:{ADMIN}")),
            ("{{platform.address}}", self.store.address.to_string()),
            ("{{platform.reads-per-s}}", "2000".to_owned()),
            ("{{platform.writes-per-s}}", "400".to_owned()),
            ("{{service}}", machine.place.service.to_owned()),
            ("{{app-addr}}", format!("{ip}:{APP}")),
            ("{{bounds.strict-revoke}}", "true".to_owned()),
            ("{{bounds.revoke}}", "5000ms".to_owned()),
            ("{{bounds.grace}}", "6s".to_owned()),
            ("{{bounds.retry-budget-ratio}}", "0.2".to_owned()),
            ("{{bounds.budget-slack}}", "48".to_owned()),
            ("{{first-start}}", is_first.to_string()),
        ];
        let mut text = self.template.clone();
        for (name, value) in values {
            text = text.replace(name, &value);
        }
        assert!(!text.contains("{{"), "a placeholder is not known");
        text
    }

    /// Starts the daemon of a machine.
    pub fn start_daemon(&mut self, index: usize, is_first: bool) {
        let name = self.machines[index].place.name;
        let path = self.folder.join(format!("{name}.yaml"));
        let settings = self.settings(&self.machines[index], is_first);
        std::fs::write(&path, settings).expect("a settings file");
        let log = self.folder.join(format!("{name}.log"));
        let log = || {
            let file = File::options().create(true).append(true).open(&log);
            Stdio::from(file.expect("a log file"))
        };
        let machine = &mut self.machines[index];
        let child = Command::new("target/release/cardamomshed")
            .arg("--settings")
            .arg(&path)
            .env_clear()
            .env("CARDAMOMSHED_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log())
            .stderr(log())
            .spawn();
        machine.child = Some(child.expect("the daemon's program"));
        self.ledger.note(format!("daemon {name} starts"));
    }

    /// Kills a daemon and waits for its end.
    pub fn kill_daemon(&mut self, index: usize) {
        if let Some(mut child) = self.machines[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let name = self.machines[index].place.name;
            self.ledger.note(format!("daemon {name} is killed"));
        }
    }

    /// Kills all daemons at the same moment.
    pub fn kill_all(&mut self) {
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
            }
        }
        for index in 0..self.machines.len() {
            self.kill_daemon(index);
        }
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, index: usize, signal: &str) -> Result<(), String> {
        let machine = &self.machines[index];
        let child = machine.child.as_ref().ok_or("the daemon does not run")?;
        let pid = child.id().to_string();
        let sent = Command::new("sh")
            .args(["-c", "kill -s \"$0\" \"$1\"", signal, &pid])
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            return Err("the signal could not be sent".to_owned());
        }
        let name = machine.place.name;
        self.ledger.note(format!("daemon {name} gets SIG{signal}"));
        Ok(())
    }

    /// Whether a daemon's process has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.machines[index].child.as_mut();
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until all daemons say that they are ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while !self.machines.iter().all(Machine::ready) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.ledger.note("all daemons are ready");
        true
    }

    /// A client that sends requests of its own.
    pub fn client(&self, index: usize) -> Client {
        Client {
            machine: self.machines[index].place.name,
            address: self.machines[index].outbound(),
            ledger: self.ledger.clone(),
            next: Arc::clone(&self.next),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Clients of one machine.
#[derive(Clone)]
pub struct Client {
    machine: &'static str,
    address: SocketAddr,
    ledger: Ledger,
    next: Arc<AtomicU64>,
}

impl Client {
    /// Sends a request on a new connection and returns the status of its answer.
    pub fn send(&self, method: &str, path: &str, key: &str, deadline: Duration) -> u16 {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        self.ledger.send(&id, self.machine, key);
        let start = format!("{method} {path} HTTP/1.1");
        let authorization = format!("Bearer {key}");
        let milliseconds = deadline.as_millis().to_string();
        let mut headers = vec![
            ("Host", HOST),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", milliseconds.as_str()),
        ];
        if !key.is_empty() {
            headers.push(("Authorization", authorization.as_str()));
        }
        let answer = http::request(self.address, &start, &headers, b"", deadline);
        let status = answer.map_or(0, |answer| answer.status());
        self.ledger.answer(&id, status);
        status
    }

    /// Sends a request and reads its answer at a rate in bytes a second. Returns the status,
    /// and how many bytes of the body came and were announced.
    pub fn send_and_read_slowly(
        &self,
        (method, path, key): (&str, &str, &str),
        deadline: Duration,
        rate: f64,
    ) -> (u16, usize, usize) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        self.ledger.send(&id, self.machine, key);
        let Ok(connection) = Connection::open(self.address, Duration::from_secs(1)) else {
            return (0, 0, 0);
        };
        let mut stream = connection.stream;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {}\r\nAuthorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n",
            deadline.as_millis()
        );
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.set_read_timeout(Some(deadline));
        let mut received = Vec::new();
        let mut part = vec![0; 64 * 1024];
        let mut started = None;
        let (mut status, mut body, mut announced) = (0, 0, 0);
        while let Ok(length) = stream.read(&mut part) {
            if length == 0 {
                break;
            }
            received.extend_from_slice(&part[..length]);
            if announced == 0 {
                let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
                let Some(end) = end else { continue };
                let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
                let word = head.split(' ').nth(1);
                status = word.and_then(|word| word.parse().ok()).unwrap_or(0);
                let mut fields = head.lines();
                announced = fields
                    .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())
                    .unwrap_or(0);
                body = received.len() - end - 4;
            } else {
                body += length;
            }
            if body >= announced {
                break;
            }
            let started = *started.get_or_insert_with(Instant::now);
            let due = Duration::from_secs_f64(body as f64 / rate);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
        let is_whole = announced > 0 && body == announced;
        self.ledger.answer(&id, if is_whole { status } else { 0 });
        (status, body, announced)
    }

    /// Sends requests at an interval until `stop`, each in a thread of its own.
    pub fn run(
        &self,
        (method, path, key): (&'static str, &'static str, &'static str),
        interval: Duration,
        stop: &Arc<AtomicBool>,
    ) {
        let (client, stop) = (self.clone(), Arc::clone(stop));
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let one = client.clone();
                thread::spawn(move || one.send(method, path, key, Duration::from_secs(2)));
                thread::sleep(interval);
            }
        });
    }
}
