//! An upstream: it runs requests and sends check-ins to the daemon beside it.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};

use crate::http::{self, Connection, Message};
use crate::json::quote;
use crate::ledger::Ledger;

/// Interval of check-ins.
const BEAT: Duration = Duration::from_millis(1500);
/// Time within which a check-in has to be confirmed.
const CONFIRMATION: Duration = Duration::from_secs(1);
/// Slots that are reported.
const SLOTS: u32 = 54;

/// One start of an upstream.
#[derive(Clone, Debug)]
pub struct Identity {
    pub instance: String,
    born: u64,
    sequence: u64,
    /// Whether it leaves: its status check fails.
    leaving: bool,
    /// Whether it sends check-ins.
    beats: bool,
    /// Whether it has ended: connections are closed.
    ended: bool,
}

impl Identity {
    fn new(instance: &str) -> Self {
        let born = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Self {
            instance: instance.to_owned(),
            born: born.as_millis() as u64,
            sequence: 0,
            leaving: false,
            beats: true,
            ended: false,
        }
    }
}

pub struct Upstream {
    pub service: String,
    address: SocketAddr,
    control: SocketAddr,
    zone: String,
    identity: Mutex<Identity>,
    /// Time that a request takes.
    pub work: Mutex<Duration>,
    /// Length of an answer's body in bytes.
    pub answer: Mutex<usize>,
    ledger: Ledger,
}

impl Upstream {
    pub fn start(
        instance: &str,
        (service, zone): (&str, &str),
        (address, control): (SocketAddr, SocketAddr),
        ledger: &Ledger,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a free address for an upstream");
        let upstream = Arc::new(Self {
            service: service.to_owned(),
            address,
            control,
            zone: zone.to_owned(),
            identity: Mutex::new(Identity::new(instance)),
            work: Mutex::new(Duration::from_millis(20)),
            answer: Mutex::new(5000),
            ledger: ledger.clone(),
        });
        let server = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        let beating = Arc::clone(&upstream);
        thread::spawn(move || {
            loop {
                let identity = beating.identity();
                if identity.beats && !identity.ended {
                    let (instance, body) = beating.beat();
                    beating.send_beat(&instance, &body);
                }
                thread::sleep(BEAT);
            }
        });
        upstream
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(message) = connection.read(Some(Duration::from_secs(10))) {
            if self.respond(&mut connection, &message).is_err() {
                return;
            }
        }
    }

    fn respond(&self, connection: &mut Connection, message: &Message) -> std::io::Result<()> {
        let load = format!("0,0,{SLOTS}");
        let identity = self.identity();
        if identity.ended {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let instance = identity.instance.as_str();
        if message.target().1 == "/health" {
            let status = if identity.leaving { 503 } else { 200 };
            let headers = [
                ("X-Upstream-Instance", instance),
                ("X-Upstream-Load", load.as_str()),
            ];
            return connection.write(&format!("HTTP/1.1 {status} x"), &headers, b"");
        }
        let expected = message.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != instance) {
            let headers = [("X-Upstream-Instance", instance)];
            return connection.write("HTTP/1.1 421 x", &headers, b"");
        }
        let id = message.header("x-attempt-id").unwrap_or("");
        self.ledger.run(id, instance);
        let work = *self.work.lock().unwrap();
        thread::sleep(work);
        if self.identity().ended {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let headers = [
            ("X-Attempt-Id", id),
            ("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("X-Upstream-Load", load.as_str()),
            ("Keep-Alive", "timeout=10"),
        ];
        let length = *self.answer.lock().unwrap();
        connection.write("HTTP/1.1 200 OK", &headers, &vec![b'u'; length])
    }

    /// The incarnation that runs.
    pub fn identity(&self) -> Identity {
        self.identity.lock().unwrap().clone()
    }

    /// Ends the incarnation.
    pub fn end(&self) {
        self.identity.lock().unwrap().ended = true;
    }

    /// Id and body of the next check-in, which may be sent later.
    pub fn beat(&self) -> (String, String) {
        let mut identity = self.identity.lock().unwrap();
        identity.sequence += 1;
        let text = |value: &str| quote(value);
        let body = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"warmup-left\":\"0ms\",\"sequence\":{},\
             \"born\":{}}}",
            text(&self.service),
            self.address,
            text(&self.zone),
            identity.sequence,
            identity.born
        );
        (identity.instance.clone(), body)
    }

    /// Sends a check-in and returns the status of its answer, zero for none.
    pub fn send_beat(&self, instance: &str, body: &str) -> u16 {
        self.call(instance, "heartbeat", body)
    }

    fn call(&self, instance: &str, name: &str, body: &str) -> u16 {
        let start = format!("POST /instances/{instance}/{name} HTTP/1.1");
        let headers = [("Host", "daemon"), ("Content-Type", "application/json")];
        let answer = http::request(
            self.control,
            &start,
            &headers,
            body.as_bytes(),
            CONFIRMATION,
        );
        answer.map_or(0, |answer| answer.status())
    }

    /// Deregisters and goes on serving, as an upstream that never reports `draining`
    /// does. Returns whether it was confirmed.
    pub fn deregister(&self) -> bool {
        let (instance, body) = {
            let mut identity = self.identity.lock().unwrap();
            identity.beats = false;
            identity.leaving = true;
            identity.sequence += 1;
            let body = format!(
                "{{\"sequence\":{},\"born\":{}}}",
                identity.sequence, identity.born
            );
            (identity.instance.clone(), body)
        };
        let status = self.call(&instance, "deregister", &body);
        (200..300).contains(&status)
    }
}
