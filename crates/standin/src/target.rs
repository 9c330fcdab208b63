//! Simulated targets: HTTP servers with limited concurrency, connection cost,
//! cold start, injected failures, and calls to other services through the
//! daemon beside them.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::http::Method;
use actix_web::web::Bytes;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use cardamomshed_http as http;
use rand::Rng;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

use crate::thread::Thread;

/// Interval within which a target sends four announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Header with the call context, copied to every further call.
const CONTEXT_HEADER: &str = "x-shed-context";
/// Header with the identifier of the root request, copied to every further
/// call.
const REQUEST_HEADER: &str = "x-shed-request";
/// Largest request or response body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Prefix of every account key. Finds keys that a daemon failed to strip.
const KEY_PREFIX: &str = "csk_";

/// Run-time behaviour of a target; may be changed while it runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Mean service time of a call, without its further calls. Each call draws
    /// its time within 20 % of it.
    pub service_time: Duration,
    /// Factor on the service time.
    pub slowdown: f64,
    /// Calls are accepted and not answered within an hour.
    pub hung: bool,
    /// Calls fail immediately with status 500.
    pub failing: bool,
    /// Paths that each call requests through the daemon, one after another.
    pub calls: Vec<String>,
    /// Length of the response body in bytes.
    pub body_len: usize,
    /// Added latency of the first call on a connection.
    pub connection_cost: Duration,
    /// Factor on the service time at the start of the target; falls linearly
    /// to 1 over the cold start.
    pub cold_factor: f64,
    /// Duration of the cold start; also announced to the daemon.
    pub cold_start: Duration,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(10),
            slowdown: 1.0,
            hung: false,
            failing: false,
            calls: Vec::new(),
            body_len: 256,
            connection_cost: Duration::from_millis(1),
            cold_factor: 1.0,
            cold_start: Duration::ZERO,
        }
    }
}

/// Fixed configuration of a target.
#[derive(Clone, Debug)]
pub struct Config {
    /// Service that the target belongs to.
    pub service: String,
    /// Calls that run concurrently; further ones wait in the target.
    pub slots: u32,
    /// Connection limit that is announced; not enforced.
    pub connections: u32,
    /// Target listener of the daemon beside the target.
    pub daemon: SocketAddr,
    /// Initial behaviour.
    pub behaviour: Behaviour,
    /// Whether the target announces itself to its daemon.
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
    announcing_stopped: AtomicBool,
    started: Instant,
}

/// Handle of a target server; dropping it stops the server.
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
    /// Starts a target on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
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
                    announcing_stopped: AtomicBool::new(false),
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

    /// Address of its HTTP listener.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Service that the target belongs to.
    pub fn service(&self) -> &str {
        &self.state.config.service
    }

    /// Changes the behaviour for calls that arrive from now on.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.state.behaviour));
    }

    /// Sets `leaving` in every further announcement.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Stops the announcements; calls are still answered.
    pub fn stop_announcing(&self) {
        self.state.announcing_stopped.store(true, Ordering::Relaxed);
    }

    /// Number of calls received so far, by identifier of the root request.
    pub fn executions(&self) -> HashMap<String, u32> {
        lock(&self.state.executions).clone()
    }

    /// Number of calls received so far.
    pub fn total(&self) -> u64 {
        let executions = lock(&self.state.executions);
        executions.values().map(|count| u64::from(*count)).sum()
    }

    /// Number of calls whose connection closed before their response.
    pub fn cancelled(&self) -> u64 {
        self.state.cancelled.load(Ordering::Relaxed)
    }

    /// Number of calls with an account key in their headers or URL.
    pub fn keys_seen(&self) -> u64 {
        self.state.keys_seen.load(Ordering::Relaxed)
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Number of calls that are not yet answered.
    pub fn running(&self) -> u64 {
        self.state.running.load(Ordering::Relaxed)
    }
}

/// Per connection: true until its first call.
#[derive(Debug)]
struct FirstCall(AtomicBool);

fn serve(state: &Arc<State>, listener: TcpListener) -> actix_web::dev::Server {
    let app_state = Arc::clone(state);
    let connect_state = Arc::clone(state);
    HttpServer::new(move || {
        let client = http::Client::new(http::Config::default());
        App::new()
            .app_data(web::Data::from(Arc::clone(&app_state)))
            .app_data(web::Data::new(client))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .default_service(web::to(call))
    })
    .workers(1)
    .h1_allow_half_closed(false)
    .keep_alive(Duration::from_mins(1))
    .on_connect(move |_, data| {
        connect_state.connections.fetch_add(1, Ordering::Relaxed);
        data.insert(FirstCall(AtomicBool::new(true)));
    })
    .disable_signals()
    .listen(listener)
    .expect("a bound listener")
    .run()
}

/// Counts a call as no longer running when dropped, and as cancelled if
/// dropped before it ended.
struct RunningCall<'a> {
    state: &'a State,
    ended: bool,
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        if !self.ended {
            self.state.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn call(
    state: web::Data<State>,
    client: web::Data<http::Client>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let behaviour = lock(&state.behaviour).clone();
    record_execution(&state, &request);
    state.running.fetch_add(1, Ordering::Relaxed);
    let mut running = RunningCall {
        state: &state,
        ended: false,
    };
    let response = run(&state, &client, &request, &body, &behaviour).await;
    running.ended = true;
    response
}

fn record_execution(state: &State, request: &HttpRequest) {
    let id = request.headers().get(REQUEST_HEADER);
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
    client: &http::Client,
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
    let first_call = request
        .conn_data::<FirstCall>()
        .is_some_and(|first_call| first_call.0.swap(false, Ordering::Relaxed));
    if first_call {
        sleep(behaviour.connection_cost).await;
    }
    let Ok(_slot) = state.slots.acquire().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let factor = behaviour.slowdown * cold_factor(state, behaviour);
    let jitter = rand::rng().random_range(0.8..1.2);
    sleep(behaviour.service_time.mul_f64(factor * jitter)).await;
    for path in &behaviour.calls {
        let url = format!("http://{}{path}", state.config.daemon);
        let mut child = client.request(Method::GET, url);
        for name in [CONTEXT_HEADER, REQUEST_HEADER] {
            if let Some(value) = request.headers().get(name) {
                child = child.insert_header((name, value.clone()));
            }
        }
        let sent = client.send(child, Bytes::new(), MAX_BODY_BYTES);
        match sent.await {
            Ok(answer) if answer.status.is_success() => {}
            Err(http::Error::Broken(_)) => {
                return HttpResponse::BadGateway().body("truncated response");
            }
            Ok(_) => return HttpResponse::ServiceUnavailable().body("a call failed"),
            Err(_) => return HttpResponse::BadGateway().body("the daemon failed"),
        }
    }
    let mut answer = vec![b'.'; behaviour.body_len];
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
    let remaining = 1.0 - age.as_secs_f64() / behaviour.cold_start.as_secs_f64();
    1.0 + (behaviour.cold_factor - 1.0) * remaining
}

async fn announce(state: Arc<State>, address: SocketAddr) {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(2))
        .finish();
    let url = format!("http://{}/-/target", state.config.daemon);
    loop {
        if !state.announcing_stopped.load(Ordering::Relaxed) {
            let cold_start = lock(&state.behaviour).cold_start;
            let announcement = serde_json::json!({
                "service": state.config.service,
                "address": address,
                "slots": state.config.slots,
                "connections": state.config.connections,
                "cold_start_ms": cold_start.as_millis() as u64,
                "leaving": state.leaving.load(Ordering::Relaxed),
            });
            // The daemon may not accept connections yet; the announcement is
            // repeated anyway.
            let _ = client.put(&url).send_json(&announcement).await;
        }
        sleep(ANNOUNCE_INTERVAL / 4).await;
    }
}
