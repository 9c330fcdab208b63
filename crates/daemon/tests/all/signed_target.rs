//! A target of the platform for tests: it signs its answers and notes what it
//! saw.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use cardamomshed_platform::header;
use cardamomshed_standin::thread::Thread;

/// What the target saw of the last request, and how many ran.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Requests that ran.
    pub(crate) runs: AtomicUsize,
    /// Whether the health check finds the target healthy.
    pub(crate) health: AtomicBool,
    headers: Mutex<Vec<(String, String)>>,
}

impl Seen {
    /// A field of the last request.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let headers = self.headers.lock().expect("not poisoned");
        let found = headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.clone())
    }
}

/// A target that signs its answers.
pub(crate) fn target() -> (Thread, SocketAddr, Arc<Seen>) {
    let seen = Arc::new(Seen::default());
    let data = web::Data::from(Arc::clone(&seen));
    let (thread, address) = Thread::start(
        "target",
        async move || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("a bound port");
            let server = HttpServer::new(move || {
                App::new()
                    .app_data(data.clone())
                    .default_service(web::to(answer))
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
    (thread, address, seen)
}

async fn answer(seen: web::Data<Seen>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    if request.path() == "/health" {
        if !seen.health.load(Ordering::Relaxed) {
            return HttpResponse::ServiceUnavailable().finish();
        }
        return HttpResponse::Ok()
            .insert_header((header::INSTANCE, "i-1"))
            .insert_header((header::LOAD, "0,0,8"))
            .finish();
    }
    seen.runs.fetch_add(1, Ordering::Relaxed);
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_owned(), value)
    });
    *seen.headers.lock().expect("not poisoned") = fields.collect();
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
