//! Naive baseline of the experiments: a simple proxy without overload control.
//!
//! Round robin over a fixed list of targets, three attempts and a fixed
//! time-out at every hop, no queue, no shedding, no deadline propagation. Each
//! account's rate is split evenly between the processes.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use cardamomshed_http as http;

use crate::shape::Shape;
use crate::target::Target;
use crate::thread::Thread;

/// Attempts of a call at every hop.
const ATTEMPTS: usize = 3;
/// Largest request or response body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

#[derive(Debug)]
struct Account {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated: Instant,
}

#[derive(Debug)]
struct State {
    /// Targets by service, which is the first segment of the path.
    targets: Mutex<HashMap<String, Vec<SocketAddr>>>,
    accounts: Mutex<HashMap<String, Account>>,
    next: AtomicUsize,
    timeout: Duration,
}

/// Handle of one process of the baseline; dropping it stops its server.
#[derive(Debug)]
pub struct Naive {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the target beside it.
    pub target: SocketAddr,
    state: Arc<State>,
    _thread: Thread,
}

impl Naive {
    /// Starts a process on free loopback ports. `keys` are the keys of the
    /// shape's accounts, in their order.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start(shape: &Shape, keys: &[String]) -> Self {
        let processes = shape.services.iter().map(|service| service.targets);
        let share = 1.0 / processes.sum::<usize>() as f64;
        let accounts = shape.accounts.iter().zip(keys).map(|(account, key)| {
            let account = Account {
                rate: account.rate * share,
                burst: f64::from(account.burst) * share,
                tokens: f64::from(account.burst) * share,
                updated: Instant::now(),
            };
            (format!("Bearer {key}"), account)
        });
        let state = Arc::new(State {
            targets: Mutex::default(),
            accounts: Mutex::new(accounts.collect()),
            next: AtomicUsize::new(0),
            timeout: shape.timeout,
        });
        let shared = Arc::clone(&state);
        let (thread, (callers, target)) = Thread::start(
            "naive",
            async move || {
                let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
                let (callers, target) = (bind(), bind());
                let address = |listener: &TcpListener| listener.local_addr().expect("a port");
                let addresses = (address(&callers), address(&target));
                let server = serve(shared, callers, target);
                let handle = server.handle();
                actix_rt::spawn(server);
                (addresses, handle)
            },
            async |handle: actix_web::dev::ServerHandle| handle.stop(false).await,
        );
        Self {
            callers,
            target,
            state,
            _thread: thread,
        }
    }

    /// Adds targets to the fixed list.
    pub fn set_targets(&self, targets: &[Target]) {
        let mut known = self
            .state
            .targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for target in targets {
            let service = known.entry(target.service().to_owned()).or_default();
            service.push(target.address());
        }
    }
}

fn serve(state: Arc<State>, callers: TcpListener, target: TcpListener) -> actix_web::dev::Server {
    HttpServer::new(move || {
        let client = http::Client::new(http::Config {
            timeout: Some(state.timeout),
            connections: 0,
            ..http::Config::default()
        });
        App::new()
            .app_data(web::Data::from(Arc::clone(&state)))
            .app_data(web::Data::new(client))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .default_service(web::to(forward))
    })
    .workers(1)
    .disable_signals()
    .listen(callers)
    .expect("a bound listener")
    .listen(target)
    .expect("a bound listener")
    .run()
}

async fn forward(
    state: web::Data<State>,
    client: web::Data<http::Client>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    if let Some(key) = request.headers().get("authorization") {
        let key = key.to_str().unwrap_or_default();
        if !state.take_token(key) {
            return HttpResponse::TooManyRequests().json(serde_json::json!({
                "code": 1301, "ran": "no",
            }));
        }
    }
    let id = request.headers().get("x-shed-request").cloned();
    let id = id.unwrap_or_else(|| {
        let id = format!("{:032x}", rand::random::<u128>());
        id.parse().expect("hex digits are a valid header value")
    });
    for _ in 0..ATTEMPTS {
        let Some(address) = state.next_target(request.path()) else {
            return HttpResponse::BadGateway().finish();
        };
        let url = format!("http://{address}{}", request.uri());
        let sent = client
            .request(request.method().clone(), url)
            .insert_header(("x-shed-request", id.clone()));
        if let Ok(answer) = client.send(sent, body.clone(), MAX_BODY_BYTES).await
            && answer.status.is_success()
        {
            return HttpResponse::Ok().body(answer.body);
        }
    }
    HttpResponse::BadGateway().finish()
}

impl State {
    fn take_token(&self, key: &str) -> bool {
        let mut accounts = self.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(account) = accounts.get_mut(key) else {
            return false;
        };
        let now = Instant::now();
        let elapsed = now.duration_since(account.updated).as_secs_f64();
        account.tokens = (account.tokens + elapsed * account.rate).min(account.burst);
        account.updated = now;
        let available = account.tokens >= 1.0;
        if available {
            account.tokens -= 1.0;
        }
        available
    }

    fn next_target(&self, path: &str) -> Option<SocketAddr> {
        let service = path.trim_start_matches('/').split('/').next()?;
        let targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let targets = targets.get(service)?;
        let index = self.next.fetch_add(1, Ordering::Relaxed) % targets.len();
        targets.get(index).copied()
    }
}
