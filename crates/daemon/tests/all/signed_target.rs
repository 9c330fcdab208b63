//! A target in the platform's form: it sets the signature header on its
//! responses and records the requests that it receives.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::time::Instant;

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use cardamomshed_platform::header;
use cardamomshed_standin::thread::Thread;

/// Interval at which a withheld response checks whether it is released.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Headers of the last request, the number of requests and the state of the
/// health check.
#[derive(Debug, Default)]
pub(crate) struct Observation {
    /// Number of requests received, health checks not counted.
    pub(crate) runs: AtomicUsize,
    /// Whether the health check answers 200 rather than 503.
    pub(crate) health: AtomicBool,
    /// Number of further requests that are rejected without running them.
    pub(crate) rejections: AtomicUsize,
    /// Whether responses break off in their body.
    pub(crate) breaks_off: AtomicBool,
    /// Status of further responses to requests that ran, which carry neither the
    /// signature nor the mark of a rejection; zero for proper responses.
    pub(crate) unmarked: AtomicU16,
    /// Whether responses are withheld.
    pub(crate) holds: AtomicBool,
    /// Number of health checks received.
    pub(crate) checks: AtomicUsize,
    /// Arrival times of the requests that were not rejected.
    pub(crate) arrivals: Mutex<Vec<Instant>>,
    /// Identity of the target, and when it ceases to be cold; `i-1` and warm by default.
    pub(crate) identity: Mutex<Option<(String, Instant)>>,
    /// Fourth figure of the load that proper responses report; zero for none.
    pub(crate) slowdown_percent: AtomicU16,
    headers: Mutex<Vec<(String, String)>>,
}

impl Observation {
    /// Value of a header of the last request.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let headers = self.headers.lock().expect("not poisoned");
        let found = headers.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.clone())
    }
}

/// Starts a target on a free port of the loopback interface.
pub(crate) fn target() -> (Thread, SocketAddr, Arc<Observation>) {
    let observed = Arc::new(Observation::default());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (thread, address) = serve(any, &observed);
    (thread, address, observed)
}

/// Starts a target at an address.
pub(crate) fn serve(at: SocketAddr, observed: &Arc<Observation>) -> (Thread, SocketAddr) {
    let observed = Arc::clone(observed);
    let data = web::Data::from(Arc::clone(&observed));
    Thread::start(
        "target",
        async move || {
            let listener = TcpListener::bind(at).expect("a free port");
            let address = listener.local_addr().expect("a bound port");
            let server = HttpServer::new(move || {
                App::new()
                    .app_data(data.clone())
                    .default_service(web::to(respond))
            });
            let server = server
                .workers(1)
                .disable_signals()
                .listen(listener)
                .expect("a listener");
            let server = server.run();
            let handle = server.handle();
            actix_rt::spawn(server);
            (address, handle)
        },
        async |handle: actix_web::dev::ServerHandle| handle.stop(false).await,
    )
}

async fn respond(
    observed: web::Data<Observation>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let identity = observed.identity.lock().expect("not poisoned").clone();
    let (instance, cold_until) = identity.unwrap_or_else(|| ("i-1".to_owned(), Instant::now()));
    if request.path() == "/health" {
        observed.checks.fetch_add(1, Ordering::Relaxed);
        if !observed.health.load(Ordering::Relaxed) {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let left = cold_until.saturating_duration_since(Instant::now());
        return HttpResponse::Ok()
            .insert_header((header::INSTANCE, instance))
            .insert_header((header::WARMUP, left.as_millis().to_string()))
            .insert_header((header::LOAD, "0,0,8"))
            .finish();
    }
    let mut response = HttpResponse::Ok();
    if let Some(id) = request.headers().get(header::ATTEMPT).cloned() {
        response.insert_header((header::ATTEMPT, id));
    }
    let expected = request.headers().get(header::EXPECTED_INSTANCE);
    if expected.is_some_and(|expected| *expected != *instance) {
        response.status(actix_web::http::StatusCode::MISDIRECTED_REQUEST);
        response.insert_header((header::NOT_EXECUTED, "1"));
        return response.finish();
    }
    let rejections = &observed.rejections;
    let reject = |left: usize| left.checked_sub(1);
    if rejections
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, reject)
        .is_ok()
    {
        response.status(actix_web::http::StatusCode::SERVICE_UNAVAILABLE);
        response.insert_header((header::NOT_EXECUTED, "1"));
        return response.finish();
    }
    observed.runs.fetch_add(1, Ordering::Relaxed);
    while observed.holds.load(Ordering::Relaxed) {
        actix_rt::time::sleep(HOLD_POLL_INTERVAL).await;
    }
    let arrived_at = Instant::now();
    observed
        .arrivals
        .lock()
        .expect("not poisoned")
        .push(arrived_at);
    let unmarked = observed.unmarked.load(Ordering::Relaxed);
    if unmarked > 0 {
        let status = actix_web::http::StatusCode::from_u16(unmarked).expect("a status");
        return response.status(status).finish();
    }
    if observed.breaks_off.load(Ordering::Relaxed) {
        let part = Ok::<_, std::io::Error>(web::Bytes::from_static(b"part"));
        let end = Err(std::io::Error::other("broken off"));
        response.insert_header((header::SIGNATURE, "3e1b.07"));
        return response.streaming(futures_util::stream::iter([part, end]));
    }
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_owned(), value)
    });
    let percent = observed.slowdown_percent.load(Ordering::Relaxed);
    if percent > 0 {
        response.insert_header((header::LOAD, format!("1,0,8,{percent}")));
    }
    *observed.headers.lock().expect("not poisoned") = fields.collect();
    response
        .insert_header((header::SIGNATURE, "3e1b.07"))
        .body(format!(
            "{} {} {}",
            request.method(),
            request.uri(),
            body.len()
        ))
}
