//! The HTTP listeners.
//!
//! Plain connections are served on the daemon's own thread, so that a
//! request changes threads nowhere on its way.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::HttpService;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::body::BoxBody;
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::{App, HttpServer, web};
use anyhow::{Context as _, Result};
use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_platform::registration;
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinHandle};

use super::{admin, announce, control, ingress, outbound};
use crate::node::Node;
use crate::tls;

/// Time for which a caller's unused connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time that a caller has to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Seconds that open connections have to end once a TLS listener stops.
const SHUTDOWN_SECONDS: u64 = 2;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listening sockets, bound before the daemon takes its name.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the target beside the daemon.
    pub target: TcpListener,
    /// For operators.
    pub admin: TcpListener,
    /// For the platform's question whether this daemon takes requests.
    pub ready: Option<TcpListener>,
}

/// A listener that serves.
#[derive(Debug)]
pub enum Running {
    /// On the daemon's thread.
    Local(AbortHandle),
    /// TLS, on a thread of its own.
    Threaded(actix_web::dev::ServerHandle),
}

impl Running {
    /// Accepts no more connections and lets open ones end.
    pub async fn stop(&self) {
        match self {
            Self::Local(task) => task.abort(),
            Self::Threaded(server) => server.stop(true).await,
        }
    }
}

/// Binds an address.
///
/// # Errors
///
/// [`Code::ListenFailed`].
pub fn bind(address: SocketAddr) -> Result<TcpListener, Failure> {
    let listener = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    listener.map_err(|error| Failure::new(Code::ListenFailed, format!("{address}: {error}")))
}

/// Starts the listeners for callers, the target and operators.
///
/// # Errors
///
/// [`Code::TlsInvalid`] for an unusable certificate, or the system's error.
pub fn start(node: &Arc<Node>, listeners: Listeners) -> Result<Vec<Running>> {
    let data = web::Data::from(Arc::clone(node));
    let mut running = Vec::new();
    let callers = App::new().app_data(data.clone());
    running.push(match (&node.settings.tls, &node.settings.sidecar) {
        (Some(files), _) => serve_tls(node, files, listeners.callers)?,
        (None, Some(_)) => {
            let app = callers.default_service(web::to(outbound::serve));
            local(node, listeners.callers, connection(app))?
        }
        (None, None) => {
            let app = callers.default_service(web::to(ingress::from_caller));
            local(node, listeners.callers, connection(app))?
        }
    });
    let target = App::new().app_data(data.clone());
    running.push(if node.settings.sidecar.is_some() {
        let app = target
            .route(
                registration::HEARTBEAT_PATH,
                web::post().to(control::heartbeat),
            )
            .route(
                registration::DEREGISTER_PATH,
                web::post().to(control::deregister),
            );
        local(node, listeners.target, connection(app))?
    } else {
        let app = target
            .route(announce::PATH, web::put().to(announce::put))
            .default_service(web::to(ingress::from_target));
        local(node, listeners.target, connection(app))?
    });
    if let Some(listener) = listeners.ready {
        let app = App::new()
            .app_data(data.clone())
            .route(registration::READY_PATH, web::get().to(control::ready));
        running.push(local(node, listener, connection(app))?);
    }
    let app = App::new()
        .app_data(data)
        .route("/metrics", web::get().to(admin::metrics))
        .route("/status", web::get().to(admin::status))
        .route("/explain/{request}", web::get().to(admin::explain))
        .default_service(web::to(admin::unknown));
    running.push(local(node, listeners.admin, connection(app))?);
    Ok(running)
}

fn serve_tls(
    node: &Arc<Node>,
    files: &cardamomshed_note::Tls,
    listener: TcpListener,
) -> Result<Running> {
    let data = web::Data::from(Arc::clone(node));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .default_service(web::to(ingress::from_caller))
    });
    let server = server
        .workers(1)
        // A caller that closes its end is gone; its request is cancelled.
        .h1_allow_half_closed(false)
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .disable_signals()
        .listen_rustls_0_23(listener, tls::config(node, files)?)
        .context("callers' listener")?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(Running::Threaded(handle))
}

/// Serves one connection until it ends.
type Serve = Rc<dyn Fn(TcpStream, SocketAddr) -> LocalBoxFuture<'static, ()>>;

/// Makes the service of one connection.
type Making = LocalBoxFuture<'static, Result<Serve>>;

/// Makes the service of one connection out of an application.
fn connection<T>(app: App<T>) -> Making
where
    T: ServiceFactory<
            ServiceRequest,
            Config = (),
            Response = ServiceResponse<BoxBody>,
            Error = actix_web::Error,
            InitError = (),
        > + 'static,
{
    Box::pin(async move {
        let service = HttpService::build()
            .keep_alive(KEEP_ALIVE)
            .client_request_timeout(HEAD_TIMEOUT)
            // A caller that closes its end is gone; its request is cancelled.
            .h1_allow_half_closed(false)
            .h1(map_config(app.into_factory(), |()| AppConfig::default()));
        let service = service
            .new_service(())
            .await
            .map_err(|()| anyhow::anyhow!("the application does not start"))?;
        let service = Rc::new(service);
        let serve: Serve = Rc::new(move |stream: TcpStream, from| {
            let service = Rc::clone(&service);
            Box::pin(async move {
                // Answers are small and must not wait for more of them.
                let _ = stream.set_nodelay(true);
                // An error ends the connection, which its caller sees too.
                let _ = service.call((stream, Some(from))).await;
            })
        });
        Ok(serve)
    })
}

fn local(node: &Arc<Node>, listener: TcpListener, making: Making) -> Result<Running> {
    let listener = tokio::net::TcpListener::from_std(listener).context("a listener")?;
    let node = Arc::clone(node);
    let task: JoinHandle<()> = actix_rt::spawn(async move {
        let serve = match making.await {
            Ok(serve) => serve,
            Err(error) => {
                node.note_event(Event::ListenerFailed, format_args!("{error:#}"));
                return;
            }
        };
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    actix_rt::spawn(serve(stream, from));
                }
                Err(error) => {
                    node.note_event(Event::ListenerFailed, format_args!("{error}"));
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(Running::Local(task.abort_handle()))
}
