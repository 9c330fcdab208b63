//! A target in the platform's form: it sets the signature header on its
//! responses and records the requests that it receives.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use cardamomshed_platform::header;
use cardamomshed_standin::thread::Thread;

/// Headers of the last request, the number of requests and the state of the
/// health check.
#[derive(Debug, Default)]
pub(crate) struct Observation {
    /// Number of requests received, health checks not counted.
    pub(crate) runs: AtomicUsize,
    /// Whether the health check answers 200 rather than 503.
    pub(crate) health: AtomicBool,
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
    let data = web::Data::from(Arc::clone(&observed));
    let (thread, address) = Thread::start(
        "target",
        async move || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
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
    );
    (thread, address, observed)
}

async fn respond(
    observed: web::Data<Observation>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    if request.path() == "/health" {
        if !observed.health.load(Ordering::Relaxed) {
            return HttpResponse::ServiceUnavailable().finish();
        }
        return HttpResponse::Ok()
            .insert_header((header::INSTANCE, "i-1"))
            .insert_header((header::LOAD, "0,0,8"))
            .finish();
    }
    observed.runs.fetch_add(1, Ordering::Relaxed);
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_owned(), value)
    });
    *observed.headers.lock().expect("not poisoned") = fields.collect();
    let id = request.headers().get(header::ATTEMPT).cloned();
    let mut response = HttpResponse::Ok();
    if let Some(id) = id {
        response.insert_header((header::ATTEMPT, id));
    }
    response
        .insert_header((header::SIGNATURE, "3e1b.07"))
        .body(format!(
            "{} {} {}",
            request.method(),
            request.uri(),
            body.len()
        ))
}
