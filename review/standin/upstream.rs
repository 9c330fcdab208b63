//! Stand-in of an application upstream: it sends heartbeats to the daemon on its
//! machine and runs requests, one at a time on a connection.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Message};
use crate::record::Record;

/// What an upstream does with a request.
pub enum Action {
    /// Works for this time, then answers 200 with the body.
    Run(Duration, Vec<u8>),
    /// Rejects the request with 503 and `X-Not-Executed`. With `repeat`, a second
    /// copy of the answer comes late: where the next answer is expected on the
    /// connection.
    Reject { repeat: bool },
}

/// A request that an upstream ran: when it began to, and its attempt id.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
}

type Behaviour = Arc<dyn Fn(&Message) -> Action + Send + Sync>;

pub struct Upstream {
    pub address: SocketAddr,
    pub service: String,
    instance: String,
    slots: u32,
    running: AtomicU32,
    behaviour: Behaviour,
    sequence: AtomicU64,
    born: u64,
    /// Whether it has begun to leave: it serves on, but its status check fails.
    pub leaving: AtomicBool,
    /// Requests that it ran, in order.
    runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Upstream {
    /// Starts an upstream; `address` must be free.
    pub fn start(
        service: &str,
        instance: &str,
        address: SocketAddr,
        slots: u32,
        record: &Record,
        behaviour: impl Fn(&Message) -> Action + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a free port");
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time after 1970");
        let upstream = Arc::new(Self {
            address,
            service: service.to_owned(),
            instance: instance.to_owned(),
            slots,
            running: AtomicU32::new(0),
            behaviour: Arc::new(behaviour),
            sequence: AtomicU64::new(1),
            born: now.as_millis() as u64,
            leaving: AtomicBool::new(false),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let served = Arc::clone(&upstream);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&served);
                std::thread::spawn(move || upstream.serve(Connection::new(stream)));
            }
        });
        upstream
    }

    /// Sends heartbeats to the control address of its machine, each 1.5 s, and
    /// sooner while they fail, until it leaves.
    pub fn register(self: &Arc<Self>, control: SocketAddr) {
        let upstream = Arc::clone(self);
        std::thread::spawn(move || {
            while !upstream.leaving.load(Ordering::Relaxed) {
                let heartbeat = upstream.heartbeat(control);
                let pause = if upstream.check_in(control, &heartbeat) {
                    1_500
                } else {
                    300
                };
                std::thread::sleep(Duration::from_millis(pause));
            }
        });
    }

    /// Bytes of a heartbeat that is sent now.
    pub fn heartbeat(&self, control: SocketAddr) -> Vec<u8> {
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"warmup-left\":\"0ms\",\"sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.slots,
            self.sequence.fetch_add(1, Ordering::Relaxed),
            self.born
        );
        self.call(control, "heartbeat", &body)
    }

    /// Bytes of a deregistration that is sent now.
    pub fn deregistration(&self, control: SocketAddr) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let body = format!("{{\"sequence\":{sequence},\"born\":{}}}", self.born);
        self.call(control, "deregister", &body)
    }

    fn call(&self, control: SocketAddr, name: &str, body: &str) -> Vec<u8> {
        let path = format!("/instances/{}/{name}", self.instance);
        let host = control.to_string();
        let fields = [("host", &*host), ("content-type", "application/json")];
        http::request("POST", &path, &fields, body.as_bytes())
    }

    /// Sends a heartbeat or deregistration. Returns whether it is confirmed.
    pub fn check_in(&self, control: SocketAddr, request: &[u8]) -> bool {
        let Ok(mut connection) = Connection::connect(control) else {
            return false;
        };
        let answer = connection.exchange(request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Requests that it ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn load(&self) -> String {
        format!("{},0,{}", self.running.load(Ordering::Relaxed), self.slots)
    }

    fn serve(&self, mut connection: Connection) {
        let mut late = Vec::new();
        while let Ok(request) = connection.read() {
            let answer = self.answer(&request, &mut late);
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    /// Bytes to send for a request. `late` holds a second answer to the request
    /// before, which goes first.
    fn answer(&self, request: &Message, late: &mut Vec<u8>) -> Vec<u8> {
        let load = self.load();
        if request.word(1) == "/health" {
            let ready = !self.leaving.load(Ordering::Relaxed);
            let fields = [
                ("x-upstream-instance", &*self.instance),
                ("x-upstream-load", &*load),
            ];
            return http::response(if ready { 200 } else { 503 }, &fields, b"");
        }
        let Some(id) = request.get("x-attempt-id").map(str::to_owned) else {
            return http::response(400, &[("x-not-executed", "1")], b"");
        };
        let expected = request.get("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.instance) {
            let fields = [
                ("x-attempt-id", &*id),
                ("x-upstream-instance", &*self.instance),
            ];
            return http::response(421, &fields, b"");
        }
        let mut bytes = std::mem::take(late);
        if !bytes.is_empty() {
            self.record.line(&format!(
                "upstream {} sends a second answer late, before that to {id}",
                self.instance
            ));
        }
        match (self.behaviour)(request) {
            Action::Reject { repeat } => {
                let fields = [
                    ("x-attempt-id", &*id),
                    ("x-not-executed", "1"),
                    ("x-upstream-load", &*load),
                ];
                let rejection = http::response(503, &fields, b"");
                self.record.line(&format!(
                    "upstream {} rejects {id} repeat={repeat}",
                    self.instance
                ));
                if repeat {
                    late.clone_from(&rejection);
                }
                bytes.extend_from_slice(&rejection);
            }
            Action::Run(work, body) => {
                let tenant = request.get("x-tenant").unwrap_or("");
                self.record.line(&format!(
                    "upstream {} runs {id} tenant={tenant}",
                    self.instance
                ));
                self.runs.lock().unwrap().push(Run {
                    at: Instant::now(),
                    id: id.clone(),
                });
                self.running.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(work);
                self.running.fetch_sub(1, Ordering::Relaxed);
                let load = self.load();
                let seal = format!("{id}.{}", body.len());
                let fields = [
                    ("x-attempt-id", &*id),
                    ("x-server-seal", &*seal),
                    ("x-upstream-load", &*load),
                ];
                bytes.extend_from_slice(&http::response(200, &fields, &body));
            }
        }
        bytes
    }
}
