//! Targets in the platform's form, which register by heartbeats and misbehave on
//! demand.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use cardamomshed_platform::registration::{Heartbeat, State};
use cardamomshed_platform::{header, registration};
use rand::Rng as _;
use rand::rngs::StdRng;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::http::{self, Connection, Message};
use super::ledger::Ledger;

/// Interval of heartbeats, and of their repetition after a failure.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HEARTBEAT_RETRY: Duration = Duration::from_millis(300);
/// Time within which a heartbeat must be acknowledged.
const ACKNOWLEDGEMENT: Duration = Duration::from_secs(1);
/// Requests that wait for a slot, per slot.
const QUEUE_PER_SLOT: usize = 2;
/// Idle time after which a target closes a connection.
const IDLE: Duration = Duration::from_secs(10);

/// Probabilities of misbehaviour of one target, for each request or response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// The request is rejected with the mark of one that did not run.
    pub reject: f64,
    /// The response is sent a second time, before the next one on its connection.
    pub copy: f64,
    /// The response of a request that ran is not sent and the connection is closed.
    pub lose: f64,
    /// The same, with a reset.
    pub reset: f64,
    /// The response breaks off in its body.
    pub truncate: f64,
    /// A request that ran is answered with status 503 that lacks the mark and the
    /// signature.
    pub unmarked: f64,
    /// A request that ran is answered with status 500.
    pub fail: f64,
    /// The request runs without end.
    pub hang: f64,
    /// Factor on the time of execution; zero counts as one.
    pub slow: f64,
    /// Idle time after which connections are closed without notice; zero for the
    /// usual time.
    pub forget: Duration,
}

/// A downstream call that each execution of a route makes.
#[derive(Clone, Copy, Debug)]
pub struct Downstream {
    /// Path of the call.
    pub path: &'static str,
    /// Calls made, one after the other.
    pub count: u32,
    /// Deadline of one call.
    pub deadline: Duration,
}

/// What a route costs on a target.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// First part of the path, with its slashes.
    pub prefix: &'static str,
    /// Mean time of execution.
    pub time: Duration,
    /// Calls that the execution makes.
    pub downstream: Option<Downstream>,
}

/// Addresses and identity of a target.
#[derive(Clone, Debug)]
pub struct Place {
    /// Service that the target implements.
    pub service: &'static str,
    /// Name of its VM.
    pub vm: Rc<str>,
    /// Failure domain of its VM.
    pub domain: &'static str,
    /// Address of the target.
    pub address: SocketAddr,
    /// Address of the daemon for heartbeats.
    pub control: SocketAddr,
    /// Address of the daemon for requests.
    pub outbound: SocketAddr,
    /// Requests run concurrently.
    pub slots: u32,
}

/// A target on the soak's thread.
#[derive(Debug)]
pub struct Target {
    place: Place,
    work: &'static [Work],
    ledger: Ledger,
    random: RefCell<StdRng>,
    faults: Cell<Faults>,
    instance: RefCell<Rc<str>>,
    incarnation: Cell<u32>,
    started_ms: Cell<u64>,
    sequence: Cell<u64>,
    slots: Semaphore,
    waiting: Cell<usize>,
    /// Wakes the tasks of connections when the target crashes.
    crash: Notify,
    listener: RefCell<Option<JoinHandle<()>>>,
    /// Whether its VM is gone, so that it never starts again.
    retired: Cell<bool>,
}

impl Target {
    /// Creates a target that has not started.
    pub fn new(place: Place, work: &'static [Work], ledger: Ledger, random: StdRng) -> Rc<Self> {
        Rc::new(Self {
            slots: Semaphore::new(place.slots as usize),
            place,
            work,
            ledger,
            random: RefCell::new(random),
            faults: Cell::default(),
            instance: RefCell::new(Rc::from("")),
            incarnation: Cell::new(0),
            started_ms: Cell::new(0),
            sequence: Cell::new(0),
            waiting: Cell::new(0),
            crash: Notify::new(),
            listener: RefCell::default(),
            retired: Cell::new(false),
        })
    }

    /// Service of the target.
    pub const fn service(&self) -> &'static str {
        self.place.service
    }

    /// Name of the target's VM.
    pub fn vm(&self) -> &str {
        &self.place.vm
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Faults in force.
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    /// Failure domain of the target's VM.
    pub const fn domain(&self) -> &'static str {
        self.place.domain
    }

    /// Ends the target for good.
    pub fn retire(&self) {
        self.retired.set(true);
        self.crash();
    }

    /// Starts a new incarnation: it listens and sends heartbeats. Does nothing if its
    /// VM is gone.
    ///
    /// # Panics
    ///
    /// Panics if the address is taken.
    pub fn start(self: &Rc<Self>) {
        if self.retired.get() {
            return;
        }
        let incarnation = self.incarnation.get() + 1;
        self.incarnation.set(incarnation);
        let instance = Rc::from(format!("i-{}-{incarnation}", self.place.vm));
        *self.instance.borrow_mut() = instance;
        let since = std::time::SystemTime::UNIX_EPOCH.elapsed();
        let since = since.unwrap_or_default().as_millis();
        self.started_ms.set(u64::try_from(since).unwrap_or(0));
        self.sequence.set(0);
        let listener = TcpListener::bind(self.place.address).expect("a free port");
        listener
            .set_nonblocking(true)
            .expect("a non-blocking listener");
        let listener = tokio::net::TcpListener::from_std(listener).expect("a runtime");
        let target = Rc::clone(self);
        let task = actix_rt::spawn(async move {
            let heartbeats = actix_rt::spawn(heartbeats(Rc::clone(&target)));
            let _stop = AbortOnDrop(heartbeats);
            while let Ok((stream, _)) = listener.accept().await {
                let target = Rc::clone(&target);
                actix_rt::spawn(async move {
                    let crashed = target.crash.notified();
                    tokio::select! {
                        () = target.serve(Connection::new(stream)) => {}
                        () = crashed => {}
                    }
                });
            }
        });
        *self.listener.borrow_mut() = Some(task);
    }

    /// Ends the incarnation: its connections close and nobody listens.
    pub fn crash(&self) {
        if let Some(task) = self.listener.borrow_mut().take() {
            task.abort();
        }
        self.crash.notify_waiters();
    }

    /// Whether an incarnation runs.
    pub fn is_up(&self) -> bool {
        self.listener.borrow().is_some()
    }

    fn draw(&self, probability: f64) -> bool {
        probability > 0.0 && self.random.borrow_mut().random_bool(probability.min(1.0))
    }

    async fn serve(&self, mut connection: Connection) {
        let mut late = Vec::new();
        loop {
            let forget = self.faults.get().forget;
            let idle = if forget.is_zero() { IDLE } else { forget };
            let Ok(Ok(request)) = timeout(idle, connection.read()).await else {
                return;
            };
            let response = {
                let execution = self.respond(&request, &mut late);
                tokio::pin!(execution);
                tokio::select! {
                    response = &mut execution => response,
                    // The request is dropped when its connection closes.
                    () = connection.ended() => return,
                }
            };
            match response {
                Response::Whole(bytes) => {
                    if connection.write(&bytes).await.is_err() {
                        return;
                    }
                }
                Response::Part(bytes) => {
                    // The connection is closed either way.
                    let _ = connection.write(&bytes).await;
                    return;
                }
                Response::Reset => return connection.reset(),
            }
        }
    }

    fn load(&self) -> String {
        let running = self.place.slots as usize - self.slots.available_permits();
        format!("{running},{},{}", self.waiting.get(), self.place.slots)
    }

    async fn respond(&self, request: &Message, late: &mut Vec<u8>) -> Response {
        let instance = Rc::clone(&self.instance.borrow());
        if request.path == "/health" {
            let load = self.load();
            let fields = [(header::INSTANCE, &*instance), (header::LOAD, &*load)];
            return Response::Whole(http::response(200, &fields, b""));
        }
        let Some(id) = request.field(header::ATTEMPT).map(str::to_owned) else {
            let fields = [(header::NOT_EXECUTED, "1")];
            return Response::Whole(http::response(400, &fields, b""));
        };
        let mut bytes = std::mem::take(late);
        let expected = request.field(header::EXPECTED_INSTANCE);
        if expected.is_some_and(|expected| expected != &*instance) {
            let fields = [(header::ATTEMPT, &*id)];
            bytes.extend_from_slice(&http::response(421, &fields, b""));
            return Response::Whole(bytes);
        }
        let faults = self.faults.get();
        let deadline = Instant::now() + remaining(request);
        let permit = if self.draw(faults.reject) {
            None
        } else {
            self.acquire(deadline).await
        };
        let Some(_permit) = permit else {
            let load = self.load();
            let fields = [
                (header::ATTEMPT, &*id),
                (header::NOT_EXECUTED, "1"),
                (header::LOAD, &*load),
            ];
            let rejection = http::response(503, &fields, b"");
            if self.draw(faults.copy) {
                late.clone_from(&rejection);
            }
            bytes.extend_from_slice(&rejection);
            return Response::Whole(bytes);
        };
        self.ledger.run(&id, &instance);
        let status = self.execute(request, &id, faults, deadline).await;
        if self.draw(faults.lose) {
            return Response::Part(Vec::new());
        }
        if self.draw(faults.reset) {
            return Response::Reset;
        }
        let load = self.load();
        if self.draw(faults.unmarked) {
            let fields = [(header::ATTEMPT, &*id), (header::LOAD, &*load)];
            bytes.extend_from_slice(&http::response(503, &fields, b"unavailable"));
            return Response::Whole(bytes);
        }
        let body = body(&id);
        let seal = seal(&id);
        let fields = [
            (header::ATTEMPT, &*id),
            (header::SIGNATURE, &*seal),
            (header::LOAD, &*load),
        ];
        let response = http::response(status, &fields, &body);
        if self.draw(faults.truncate) {
            bytes.extend_from_slice(&response[..response.len() - body.len() / 2 - 1]);
            return Response::Part(bytes);
        }
        if self.draw(faults.copy) {
            late.clone_from(&response);
        }
        bytes.extend_from_slice(&response);
        Response::Whole(bytes)
    }

    async fn acquire(&self, deadline: Instant) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        if self.waiting.get() >= self.place.slots as usize * QUEUE_PER_SLOT {
            return None;
        }
        let _waiting = Waiting::new(&self.waiting);
        let permit = tokio::time::timeout_at(deadline, self.slots.acquire()).await;
        permit.ok()?.ok()
    }

    /// Runs a request. Returns the status of its response.
    async fn execute(&self, request: &Message, id: &str, faults: Faults, deadline: Instant) -> u16 {
        if self.draw(faults.hang) {
            std::future::pending::<()>().await;
        }
        let mut work = self.work.iter();
        let Some(work) = work.find(|work| request.path.starts_with(work.prefix)) else {
            return 404;
        };
        let factor = if faults.slow > 0.0 { faults.slow } else { 1.0 };
        let spread = self.random.borrow_mut().random_range(0.5..1.5);
        let time = work.time.mul_f64(factor * spread);
        if tokio::time::timeout_at(deadline, sleep(time))
            .await
            .is_err()
        {
            return 504;
        }
        if let Some(downstream) = work.downstream {
            for number in 0..downstream.count {
                let id = format!("{id}-{number}");
                if !self.call(&id, downstream, deadline).await {
                    return if Instant::now() < deadline { 500 } else { 504 };
                }
            }
        }
        if self.draw(faults.fail) { 500 } else { 200 }
    }

    /// Makes a downstream call through the daemon. Returns whether it succeeded.
    async fn call(&self, id: &str, downstream: Downstream, deadline: Instant) -> bool {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let limit = remaining.min(downstream.deadline);
        let millis = limit.as_millis().to_string();
        let fields = [
            ("host", super::HOST),
            (header::ATTEMPT, id),
            (header::DEADLINE, &*millis),
        ];
        let path = format!("{}x", downstream.path);
        let request = http::request("GET", &path, &fields, b"");
        let exchange = async {
            let mut connection = Connection::open(self.place.outbound).await?;
            connection.write(&request).await?;
            connection.read().await
        };
        let response = timeout(limit, exchange).await;
        response.is_ok_and(|response| response.is_ok_and(|response| response.status == 200))
    }

    async fn beat(&self) -> bool {
        self.sequence.set(self.sequence.get() + 1);
        let place = &self.place;
        let heartbeat = Heartbeat {
            service: place.service.into(),
            address: place.address,
            slots: place.slots,
            state: State::Ready,
            warmup_left: Duration::ZERO,
            sequence: self.sequence.get(),
            started_ms: self.started_ms.get(),
        };
        let body = registration::encode(&heartbeat);
        let path = registration::HEARTBEAT_PATH.replace("{instance}", &self.instance.borrow());
        let host = place.control.to_string();
        let fields = [("host", &*host), ("content-type", "application/json")];
        let request = http::request("POST", &path, &fields, &body);
        let exchange = async {
            let mut connection = Connection::open(place.control).await?;
            connection.write(&request).await?;
            connection.read().await
        };
        let response = timeout(ACKNOWLEDGEMENT, exchange).await;
        response.is_ok_and(|response| response.is_ok_and(|response| response.status == 200))
    }
}

/// What a target sends for a request.
enum Response {
    /// These bytes, after which the connection is kept.
    Whole(Vec<u8>),
    /// These bytes, after which the connection is closed.
    Part(Vec<u8>),
    /// Nothing; the connection is reset.
    Reset,
}

/// Counts a request that waits for a slot, until it is dropped.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Aborts a task when it is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn heartbeats(target: Rc<Target>) {
    loop {
        let pause = if target.beat().await {
            HEARTBEAT
        } else {
            HEARTBEAT_RETRY
        };
        sleep(pause).await;
    }
}

/// Time that the sender of a request will wait.
fn remaining(request: &Message) -> Duration {
    let millis = request.field(header::DEADLINE);
    let millis = millis.and_then(|millis| millis.parse().ok());
    Duration::from_millis(millis.unwrap_or(1_000))
}

/// Body of the response to the request with this id. Its length differs by id.
pub fn body(id: &str) -> Vec<u8> {
    let sum = id.bytes().fold(7_usize, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(usize::from(byte))
    });
    let length = 200 + sum % 4_000;
    id.bytes().cycle().take(length).collect()
}

/// Signature of that response.
pub fn seal(id: &str) -> String {
    format!("{id}.{:x}", body(id).len())
}
