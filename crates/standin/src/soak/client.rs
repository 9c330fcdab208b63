//! Clients of one VM: an open loop of requests over kept and new connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use cardamomshed_platform::header;
use rand::Rng as _;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep, timeout};

use super::http::{self, Connection, Message};
use super::ledger::{Ledger, Origin};
use super::process::Vm;
use super::target;

/// Interval of the readiness probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Failed probes after which a daemon gets no new requests.
const MAX_MISSES: u32 = 2;
/// Time for which a client waits beyond its deadline.
const PATIENCE: Duration = Duration::from_millis(500);
/// Fraction of its remaining time that a client waits for a retry at most.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;
/// Kept connections of the clients of one VM.
const MAX_KEPT: usize = 64;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Method.
    pub method: &'static str,
    /// Path prefix of the route.
    pub prefix: &'static str,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Time until the client gives up.
    pub deadline: Duration,
    /// Share of the requests, relative to those of the other kinds.
    pub weight: f64,
    /// Whether each request opens a connection.
    pub fresh: bool,
}

/// Clients of one VM.
#[derive(Debug)]
pub struct Clients {
    vm: Vm,
    /// Number of the VM, which makes the ids of its attempts unique.
    number: u32,
    kinds: &'static [Kind],
    key: Rc<str>,
    ledger: Ledger,
    random: RefCell<StdRng>,
    kept: RefCell<Vec<Connection>>,
    misses: Cell<u32>,
    sent: Cell<u64>,
    open: Cell<usize>,
}

impl Clients {
    /// Creates the clients of a VM, which present this key.
    pub fn new(
        (number, vm): (u32, Vm),
        kinds: &'static [Kind],
        key: Rc<str>,
        ledger: Ledger,
        random: StdRng,
    ) -> Rc<Self> {
        Rc::new(Self {
            vm,
            number,
            kinds,
            key,
            ledger,
            random: RefCell::new(random),
            kept: RefCell::default(),
            misses: Cell::new(MAX_MISSES),
            sent: Cell::new(0),
            open: Cell::new(0),
        })
    }

    /// Whether the daemon answers the readiness probe.
    pub fn is_ready(&self) -> bool {
        self.misses.get() < MAX_MISSES
    }

    /// Requests without a response so far.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Probes the daemon until the task is dropped.
    pub async fn probe(self: Rc<Self>) {
        loop {
            let misses = if self.probe_once().await {
                0
            } else {
                self.misses.get().saturating_add(1)
            };
            self.misses.set(misses);
            sleep(PROBE_INTERVAL).await;
        }
    }

    async fn probe_once(&self) -> bool {
        let exchange = async {
            let mut connection = Connection::open(self.vm.ready).await?;
            let request = http::request("GET", "/ready", &[("host", "ready")], b"");
            connection.write(&request).await?;
            connection.read().await
        };
        let response = timeout(PROBE_INTERVAL, exchange).await;
        response.is_ok_and(|response| response.is_ok_and(|response| response.status == 200))
    }

    /// Number of members that the daemon's status lists; zero if it cannot be read.
    pub async fn members(&self) -> usize {
        let exchange = async {
            let mut connection = Connection::open(self.vm.admin).await?;
            let request = http::request("GET", "/status", &[("host", "status")], b"");
            connection.write(&request).await?;
            connection.read().await
        };
        let Ok(Ok(response)) = timeout(PROBE_INTERVAL, exchange).await else {
            return 0;
        };
        let status = serde_json::from_slice::<serde_json::Value>(&response.body);
        let status = status.unwrap_or_default();
        status["members"].as_array().map_or(0, Vec::len)
    }

    /// Sends `rate` requests a second until `end`, while the daemon is ready.
    pub async fn run(self: Rc<Self>, rate: f64, end: Instant) {
        while Instant::now() < end {
            let draw: f64 = self.random.borrow_mut().random();
            // Intervals of a Poisson process.
            let interval = -(1.0 - draw).ln() / rate;
            sleep(Duration::from_secs_f64(interval)).await;
            if self.is_ready() {
                let clients = Rc::clone(&self);
                actix_rt::spawn(async move { clients.send(clients.choose()).await });
            }
        }
    }

    fn choose(&self) -> Kind {
        let total = self.kinds.iter().map(|kind| kind.weight).sum::<f64>();
        let mut rest = self.random.borrow_mut().random_range(0.0..total);
        for kind in self.kinds {
            rest -= kind.weight;
            if rest < 0.0 {
                return *kind;
            }
        }
        self.kinds[0]
    }

    /// Sends a request, and once more after a refusal that names a time to return.
    async fn send(&self, kind: Kind) {
        self.open.set(self.open.get() + 1);
        let deadline = Instant::now() + kind.deadline;
        if let Some(wait) = self.attempt(kind, deadline).await {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if wait <= remaining.mul_f64(MAX_WAIT_FRACTION) {
                sleep(wait).await;
                self.attempt(kind, deadline).await;
            }
        }
        self.open.set(self.open.get() - 1);
    }

    /// Sends one attempt. Returns the time after which the client may try again.
    async fn attempt(&self, kind: Kind, deadline: Instant) -> Option<Duration> {
        let sent = self.sent.get();
        self.sent.set(sent + 1);
        let id = Rc::<str>::from(format!("{:08x}{sent:08x}", self.number + 1));
        let remaining = deadline.saturating_duration_since(Instant::now());
        let origin = Origin {
            prefix: kind.prefix,
            repeatable: kind.repeatable,
            domain: self.vm.domain,
        };
        self.ledger.send(&id, origin);
        let limit = remaining + PATIENCE;
        let response = timeout(limit, self.exchange(kind, &id, remaining)).await;
        let response = response.ok()?.ok()?;
        self.ledger.answer(&id, response.status);
        self.check(&id, &response);
        if !matches!(response.status, 429 | 503) {
            return None;
        }
        let seconds = response.field("retry-after")?.parse::<f64>().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    async fn exchange(
        &self,
        kind: Kind,
        id: &str,
        remaining: Duration,
    ) -> std::io::Result<Message> {
        let millis = remaining.as_millis().to_string();
        let authorization = format!("Bearer {}", self.key);
        let fields = [
            ("host", super::HOST),
            (header::ATTEMPT, id),
            (header::DEADLINE, &*millis),
            ("authorization", &*authorization),
        ];
        let path = format!("{}x", kind.prefix);
        let body: &[u8] = if kind.method == "GET" { b"" } else { b"sheet" };
        let request = http::request(kind.method, &path, &fields, body);
        let kept = if kind.fresh {
            None
        } else {
            self.kept.borrow_mut().pop()
        };
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(self.vm.outbound).await?,
        };
        connection.write(&request).await?;
        let response = connection.read().await?;
        let closes = response
            .field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let mut kept = self.kept.borrow_mut();
        if !closes && !kind.fresh && kept.len() < MAX_KEPT {
            kept.push(connection);
        }
        drop(kept);
        Ok(response)
    }

    /// Records a response that is not the one to this request.
    fn check(&self, id: &str, response: &Message) {
        let status = response.status;
        let echoed = response.field(header::ATTEMPT);
        if echoed != Some(id) {
            let detail = format!("{id} got the response to {echoed:?}, status {status}");
            self.ledger.mix(detail);
            return;
        }
        if !(200..300).contains(&status) {
            return;
        }
        let is_signed = response.field(header::SIGNATURE) == Some(&*target::seal(id));
        if !is_signed || *response.body != *target::body(id) {
            let length = response.body.len();
            let detail = format!("{id} got {length} bytes that are not its body");
            self.ledger.mix(detail);
        }
    }
}
