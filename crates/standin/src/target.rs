//! Targets: HTTP servers with slots, connection cost, cold start, failures
//! of several kinds, and calls to other services through their daemon.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use rand::Rng;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

use crate::thread::Thread;

/// Time between two announcements.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);
/// Header that carries the call context.
const CONTEXT: &str = "x-shed-context";
/// Header that carries the root request's identity.
const REQUEST: &str = "x-shed-request";
/// Start of every key, to find one that was let through.
const KEY_PREFIX: &str = "csk_";

/// How a target behaves; may be changed while it runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Own time of one call.
    pub service_time: Duration,
    /// Factor on the own time.
    pub slowness: f64,
    /// Calls are taken and never answered.
    pub hung: bool,
    /// Calls fail at once.
    pub failing: bool,
    /// Paths called in turn through the daemon.
    pub calls: Vec<String>,
    /// Length of the answer's body in bytes.
    pub answer: usize,
    /// Cost of the first call on a connection.
    pub connection_cost: Duration,
    /// Own time is this many times longer at the start and falls to normal
    /// over the cold start.
    pub cold_factor: f64,
    /// Length of the cold start.
    pub cold_start: Duration,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(10),
            slowness: 1.0,
            hung: false,
            failing: false,
            calls: Vec::new(),
            answer: 256,
            connection_cost: Duration::from_millis(1),
            cold_factor: 1.0,
            cold_start: Duration::ZERO,
        }
    }
}

/// What a target is.
#[derive(Clone, Debug)]
pub struct Config {
    /// Service that it serves.
    pub service: String,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Listener of the daemon beside it.
    pub daemon: SocketAddr,
    /// Behaviour at the start.
    pub behaviour: Behaviour,
    /// Whether it announces itself to its daemon.
    pub announces: bool,
}

#[derive(Debug)]
struct State {
    config: Config,
    behaviour: Mutex<Behaviour>,
    executions: Mutex<HashMap<String, u32>>,
    slots: Semaphore,
    running: AtomicU64,
    cancelled: AtomicU64,
    keys_seen: AtomicU64,
    connections: AtomicU64,
    leaving: AtomicBool,
    silent: AtomicBool,
    started: Instant,
}

/// A target on a thread of its own.
#[derive(Debug)]
pub struct Target {
    address: SocketAddr,
    state: Arc<State>,
    _thread: Thread,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Target {
    /// Starts a target on a free port.
    ///
    /// # Panics
    ///
    /// When the loopback has no free port.
    pub fn start(config: Config) -> Self {
        let (thread, (address, state)) = Thread::start(
            "target",
            async move || {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let address = listener.local_addr().expect("a bound port");
                let state = Arc::new(State {
                    behaviour: Mutex::new(config.behaviour.clone()),
                    slots: Semaphore::new(config.slots as usize),
                    config,
                    executions: Mutex::default(),
                    running: AtomicU64::new(0),
                    cancelled: AtomicU64::new(0),
                    keys_seen: AtomicU64::new(0),
                    connections: AtomicU64::new(0),
                    leaving: AtomicBool::new(false),
                    silent: AtomicBool::new(false),
                    started: Instant::now(),
                });
                let server = serve(&state, listener);
                let handle = server.handle();
                actix_rt::spawn(server);
                if state.config.announces {
                    actix_rt::spawn(announce(Arc::clone(&state), address));
                }
                ((address, state), handle)
            },
            async |handle: actix_web::dev::ServerHandle| handle.stop(false).await,
        );
        Self {
            address,
            state,
            _thread: thread,
        }
    }

    /// Where it accepts HTTP.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Service that it serves.
    pub fn service(&self) -> &str {
        &self.state.config.service
    }

    /// Changes its behaviour.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.state.behaviour));
    }

    /// Starts to leave: says so in its next announcement.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Stops announcing itself.
    pub fn fall_silent(&self) {
        self.state.silent.store(true, Ordering::Relaxed);
    }

    /// Executions so far, by root request.
    pub fn executions(&self) -> HashMap<String, u32> {
        lock(&self.state.executions).clone()
    }

    /// Executions so far.
    pub fn total(&self) -> u64 {
        let executions = lock(&self.state.executions);
        executions.values().map(|count| u64::from(*count)).sum()
    }

    /// Calls whose connection was closed before they were answered.
    pub fn cancelled(&self) -> u64 {
        self.state.cancelled.load(Ordering::Relaxed)
    }

    /// Calls that carried something that looks like a key.
    pub fn keys_seen(&self) -> u64 {
        self.state.keys_seen.load(Ordering::Relaxed)
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Calls that run now.
    pub fn running(&self) -> u64 {
        self.state.running.load(Ordering::Relaxed)
    }
}

/// Marks the first call on a connection.
#[derive(Debug)]
struct Fresh(AtomicBool);

fn serve(state: &Arc<State>, listener: TcpListener) -> actix_web::dev::Server {
    let for_app = Arc::clone(state);
    let for_connect = Arc::clone(state);
    HttpServer::new(move || {
        let client = awc::Client::builder().disable_timeout().finish();
        App::new()
            .app_data(web::Data::from(Arc::clone(&for_app)))
            .app_data(web::Data::new(Rc::new(client)))
            .app_data(web::PayloadConfig::new(64 * 1024 * 1024))
            .default_service(web::to(call))
    })
    .workers(1)
    .h1_allow_half_closed(false)
    .keep_alive(Duration::from_mins(1))
    .on_connect(move |_, data| {
        for_connect.connections.fetch_add(1, Ordering::Relaxed);
        data.insert(Fresh(AtomicBool::new(true)));
    })
    .disable_signals()
    .listen(listener)
    .expect("a bound listener")
    .run()
}

/// Counts a running call, and a cancelled one when it is dropped early.
struct Running<'a> {
    state: &'a State,
    ended: bool,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        if !self.ended {
            self.state.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn call(
    state: web::Data<State>,
    client: web::Data<Rc<awc::Client>>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let behaviour = lock(&state.behaviour).clone();
    observe(&state, &request);
    state.running.fetch_add(1, Ordering::Relaxed);
    let mut running = Running {
        state: &state,
        ended: false,
    };
    let response = run(&state, &client, &request, &body, &behaviour).await;
    running.ended = true;
    response
}

fn observe(state: &State, request: &HttpRequest) {
    let id = request.headers().get(REQUEST);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    *lock(&state.executions).entry(id.to_owned()).or_insert(0) += 1;
    let has_key = |value: &actix_web::http::header::HeaderValue| {
        String::from_utf8_lossy(value.as_bytes()).contains(KEY_PREFIX)
    };
    let seen = request.headers().iter().any(|(_, value)| has_key(value))
        || request.uri().to_string().contains(KEY_PREFIX);
    if seen {
        state.keys_seen.fetch_add(1, Ordering::Relaxed);
    }
}

async fn run(
    state: &State,
    client: &awc::Client,
    request: &HttpRequest,
    body: &[u8],
    behaviour: &Behaviour,
) -> HttpResponse {
    if behaviour.failing {
        return HttpResponse::InternalServerError().body("failing");
    }
    if behaviour.hung {
        sleep(Duration::from_hours(1)).await;
    }
    let fresh = request
        .conn_data::<Fresh>()
        .is_some_and(|fresh| fresh.0.swap(false, Ordering::Relaxed));
    if fresh {
        sleep(behaviour.connection_cost).await;
    }
    let Ok(_slot) = state.slots.acquire().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let factor = behaviour.slowness * cold_factor(state, behaviour);
    let spread = rand::rng().random_range(0.8..1.2);
    sleep(behaviour.service_time.mul_f64(factor * spread)).await;
    for path in &behaviour.calls {
        let url = format!("http://{}{path}", state.config.daemon);
        let mut child = client.get(url);
        for name in [CONTEXT, REQUEST] {
            if let Some(value) = request.headers().get(name) {
                child = child.insert_header((name, value.clone()));
            }
        }
        match child.send().await {
            Ok(mut answer) if answer.status().is_success() => {
                if answer.body().limit(64 * 1024 * 1024).await.is_err() {
                    return HttpResponse::BadGateway().body("cut answer");
                }
            }
            Ok(_) => return HttpResponse::ServiceUnavailable().body("a call failed"),
            Err(_) => return HttpResponse::BadGateway().body("the daemon failed"),
        }
    }
    let mut answer = vec![b'.'; behaviour.answer];
    let echoed = body.len().min(answer.len());
    answer[..echoed].copy_from_slice(&body[..echoed]);
    HttpResponse::Ok()
        .insert_header(("x-echo-path", request.uri().to_string()))
        .body(answer)
}

fn cold_factor(state: &State, behaviour: &Behaviour) -> f64 {
    let age = state.started.elapsed();
    if age >= behaviour.cold_start {
        return 1.0;
    }
    let cold = 1.0 - age.as_secs_f64() / behaviour.cold_start.as_secs_f64();
    1.0 + (behaviour.cold_factor - 1.0) * cold
}

async fn announce(state: Arc<State>, address: SocketAddr) {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(2))
        .finish();
    let url = format!("http://{}/-/target", state.config.daemon);
    loop {
        if !state.silent.load(Ordering::Relaxed) {
            let cold_start = lock(&state.behaviour).cold_start;
            let announcement = serde_json::json!({
                "service": state.config.service,
                "address": address,
                "slots": state.config.slots,
                "connections": state.config.connections,
                "cold_start_ms": cold_start.as_millis() as u64,
                "leaving": state.leaving.load(Ordering::Relaxed),
            });
            // The daemon may not be up yet; the next announcement finds it.
            let _ = client.put(&url).send_json(&announcement).await;
        }
        sleep(ANNOUNCE_EVERY / 4).await;
    }
}
