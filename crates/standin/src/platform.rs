//! In-memory table service and object store of the platform, with fault
//! injection and limited throughput.

mod table;

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::dev::Service as _;
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{App, HttpResponse, HttpServer, web};
use cardamomshed_platform::store::{self, FeedQuery, RangeQuery, RowsResponse, Transaction};
use cardamomshed_platform::{Condition, Operation};
use serde_json::Value;
use tokio::time::sleep;

use crate::thread::Thread;
use table::Tables;

/// Largest request body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Injected faults. The default injects none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Every request is answered with status 503 and has no effect.
    pub down: bool,
    /// Added latency of every request.
    pub delay: Duration,
    /// Probability, 0 to 1, that a write takes effect but is answered with
    /// status 503.
    pub lose_answers: f64,
}

impl Faults {
    /// The store is down.
    pub const DOWN: Self = Self {
        down: true,
        delay: Duration::ZERO,
        lose_answers: 0.0,
    };
}

/// Requests received since the start, those during an outage included.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Reads of ranges, feeds and objects.
    pub reads: u64,
    /// Transactions and writes of objects.
    pub writes: u64,
}

/// Throughput limits. Requests above them are delayed, not refused.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Reads per second.
    pub reads: f64,
    /// Writes per second.
    pub writes: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            reads: 2_000.0,
            writes: 400.0,
        }
    }
}

#[derive(Debug)]
struct State {
    tables: Tables,
    faults: Faults,
    counts: Counts,
    capacity: Capacity,
    /// Number of returns from a copy.
    era: u64,
    /// Earliest time at which the next read and the next write are served.
    next: [Instant; 2],
}

/// Handle of a platform server; dropping it stops the server.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Shared,
    _thread: Thread,
}

/// Contents of the platform at one moment.
#[derive(Clone, Debug, Default)]
pub struct Copy(Tables);

/// State shared between the server and its [`Platform`] handle.
#[derive(Clone, Debug)]
struct Shared(Arc<Mutex<State>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request and waits for its turn and the injected delay.
    /// `Err` is the response while the platform is down.
    async fn admit(&self, write: bool) -> Result<(), HttpResponse> {
        let (down, delay) = {
            let mut state = self.lock();
            let rate = if write {
                state.counts.writes += 1;
                state.capacity.writes
            } else {
                state.counts.reads += 1;
                state.capacity.reads
            };
            let now = Instant::now();
            let next = &mut state.next[usize::from(write)];
            let start = (*next).max(now);
            *next = start + Duration::from_secs_f64(1.0 / rate);
            (state.faults.down, start - now + state.faults.delay)
        };
        sleep(delay).await;
        if down {
            return Err(HttpResponse::ServiceUnavailable().finish());
        }
        Ok(())
    }

    /// Draws whether the response to a write is lost.
    fn loses_answer(&self) -> bool {
        rand::random::<f64>() < self.lock().faults.lose_answers
    }

    fn answer_write(&self, response: HttpResponse) -> HttpResponse {
        if self.loses_answer() {
            return HttpResponse::ServiceUnavailable().finish();
        }
        response
    }
}

impl Platform {
    /// Starts a platform on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start(capacity: Capacity) -> Self {
        let now = Instant::now();
        let state = Shared(Arc::new(Mutex::new(State {
            tables: Tables::default(),
            faults: Faults::default(),
            counts: Counts::default(),
            capacity,
            era: 0,
            next: [now, now],
        })));
        let shared = state.clone();
        let (thread, address) = Thread::start(
            "platform",
            async move || {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let address = listener.local_addr().expect("a bound port");
                let server = serve(shared, listener);
                let handle = server.handle();
                actix_rt::spawn(server);
                (address, handle)
            },
            async |handle: actix_web::dev::ServerHandle| handle.stop(false).await,
        );
        Self {
            address,
            state,
            _thread: thread,
        }
    }

    /// Base URL for settings and clients.
    pub fn base(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Address that the platform listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Requests received since the start.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }

    /// Value of a row, read without counting a request; `None` if the row does
    /// not exist.
    pub fn peek(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.state.lock();
        state.tables.get(table, key)
    }

    /// Writes a row unconditionally, without counting a request. Simulates a
    /// write by another system.
    pub fn write(&self, table: &str, key: &str, value: &Value) {
        let operation = Operation::write(table, key, Condition::Any, value.clone());
        let written = self
            .state
            .lock()
            .tables
            .transact(&Transaction::new(&[operation]));
        debug_assert!(written.is_ok(), "an unconditional write succeeds");
    }

    /// Removes a row unconditionally, without counting a request. Simulates a
    /// removal by another system.
    pub fn remove(&self, table: &str, key: &str) {
        let operation = Operation {
            value: None,
            ..Operation::write(table, key, Condition::Any, Value::Null)
        };
        let removed = self
            .state
            .lock()
            .tables
            .transact(&Transaction::new(&[operation]));
        debug_assert!(removed.is_ok(), "an unconditional removal succeeds");
    }

    /// Sets the era that responses to reads report.
    pub fn set_era(&self, era: u64) {
        self.state.lock().era = era;
    }

    /// Clears the change history. A feed from an older version than the current
    /// one is then answered with status 410, and its reader has to read the
    /// table again.
    pub fn clear_history(&self) {
        self.state.lock().tables.clear_history();
    }

    /// Copies the contents as they are now.
    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().tables.clone())
    }

    /// Replaces the contents by a copy, as after a loss of the newest ones. Versions
    /// continue from those of the copy, and the era rises.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock();
        state.tables = copy.0;
        state.era += 1;
    }

    /// Number of rows of a table; zero if the table does not exist.
    pub fn rows(&self, table: &str) -> usize {
        self.state.lock().tables.rows(table)
    }
}

fn serve(state: Shared, listener: TcpListener) -> actix_web::dev::Server {
    HttpServer::new(move || {
        let reported = state.clone();
        App::new()
            .wrap_fn(move |request, service| {
                let state = reported.clone();
                let response = service.call(request);
                async move {
                    let mut response = response.await?;
                    let era = HeaderValue::from(state.lock().era);
                    let name = HeaderName::from_static(store::ERA_HEADER);
                    response.headers_mut().insert(name, era);
                    Ok(response)
                }
            })
            .app_data(web::Data::new(state.clone()))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .route(store::RANGE_PATH, web::get().to(range))
            .route(store::FEED_PATH, web::get().to(feed))
            .route(store::TRANSACT_PATH, web::post().to(transact))
            .route(&object_path(store::GET_OBJECT_PATH), web::get().to(object))
            .route(
                &object_path(store::PUT_OBJECT_PATH),
                web::put().to(put_object),
            )
    })
    .workers(1)
    .disable_signals()
    .listen(listener)
    .expect("a bound listener")
    .run()
}

fn object_path(base: &str) -> String {
    format!("{base}/{{name}}")
}

type Handle = web::Data<Shared>;

async fn range(state: Handle, range: web::Query<RangeQuery>) -> HttpResponse {
    if let Err(unavailable) = state.admit(false).await {
        return unavailable;
    }
    let rows = state.lock().tables.range(
        &range.table,
        &range.from,
        range.end.as_deref(),
        range.limit.min(store::MAX_PAGE_ROWS),
    );
    HttpResponse::Ok().json(rows)
}

async fn feed(state: Handle, wait: web::Query<FeedQuery>) -> HttpResponse {
    /// Interval at which a long poll checks the table for changes.
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    if let Err(unavailable) = state.admit(false).await {
        return unavailable;
    }
    let until = Instant::now() + Duration::from_millis(wait.wait_ms);
    loop {
        let changed = state.lock().tables.since(&wait.table, wait.after);
        match changed {
            None => return HttpResponse::Gone().finish(),
            Some(answer) if !answer.rows.is_empty() || Instant::now() >= until => {
                return HttpResponse::Ok().json(answer);
            }
            Some(_) => sleep(POLL_INTERVAL).await,
        }
    }
}

async fn transact(state: Handle, transaction: web::Json<Transaction>) -> HttpResponse {
    if let Err(unavailable) = state.admit(true).await {
        return unavailable;
    }
    let written = state.lock().tables.transact(&transaction);
    state.answer_write(match written {
        Ok(version) => HttpResponse::Ok().json(RowsResponse {
            version,
            ..RowsResponse::default()
        }),
        Err(current) => HttpResponse::PreconditionFailed().json(current),
    })
}

async fn object(state: Handle, name: web::Path<String>) -> HttpResponse {
    if let Err(unavailable) = state.admit(false).await {
        return unavailable;
    }
    match state.lock().tables.object(&name) {
        Some(contents) => HttpResponse::Ok().body(contents),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put_object(state: Handle, name: web::Path<String>, body: web::Bytes) -> HttpResponse {
    if let Err(unavailable) = state.admit(true).await {
        return unavailable;
    }
    state.lock().tables.put_object(&name, &body);
    state.answer_write(HttpResponse::Ok().finish())
}
