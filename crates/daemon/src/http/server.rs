//! The HTTP listeners.
//!
//! Connections without TLS are served on the daemon's own thread, so that a
//! request is processed without a thread switch. TLS has a thread of its own, so that
//! many handshakes do not delay what the daemon does for its peers.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{HttpService, Response};
use actix_rt::Arbiter;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::body::BoxBody;
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::{App, web};
use anyhow::{Context as _, Result};
use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_platform::registration;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use rustls::ServerConfig;
use socket2::{SockFilter, SockRef};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};

use super::connection::{self, Application, Host, Monitor, Tcp, Timeouts, Tls};
use super::connection_table::Counted;
use super::{admin, announce, closing, control, ingress, outbound};
use crate::node::Node;
use crate::tls;

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time limit for the receipt of a request head, and for a TLS handshake.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, which avoids a busy loop while the cause persists.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Time within which connections that are being established are complete.
const HANDSHAKE_TIME: Duration = Duration::from_millis(20);
/// Packet filter of a listening socket that drops the first packet of each new
/// connection: the one with the flag SYN and without ACK.
const IGNORE_NEW_CONNECTIONS: [SockFilter; 5] = [
    // Load the flags, in byte 13 of the TCP header.
    SockFilter::new(0x30, 0, 0, 13),
    // Keep SYN and ACK.
    SockFilter::new(0x54, 0, 0, 0x12),
    // Continue if only SYN is set, or skip one instruction.
    SockFilter::new(0x15, 0, 1, 0x02),
    // Drop the packet.
    SockFilter::new(0x06, 0, 0, 0),
    // Pass the whole packet.
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

/// Listening sockets, which are bound before the daemon joins the fleet under its
/// name.
#[derive(Debug)]
pub struct Listeners {
    /// Requests of external callers, or of local clients in sidecar mode.
    pub callers: TcpListener,
    /// Calls, announcements and heartbeats of the local target.
    pub target: TcpListener,
    /// Metrics, status and request traces for operators.
    pub admin: TcpListener,
    /// Readiness probe of the platform, in sidecar mode only.
    pub ready: Option<TcpListener>,
}

/// A running listener. Its connections are served until it is dropped if it has a thread
/// of its own, and otherwise for as long as the daemon's thread runs.
#[derive(Debug)]
pub struct Server {
    stop: Arc<Notify>,
    /// Completes when no more connections are accepted.
    ended: oneshot::Receiver<()>,
    /// Thread of its own.
    thread: Option<Arbiter>,
}

impl Server {
    /// Stops accepting connections, after those that the kernel has established.
    /// Open connections are served on.
    pub async fn stop(&mut self) {
        self.stop.notify_one();
        // A task that failed accepts no connections either.
        let _ = (&mut self.ended).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(thread) = &self.thread {
            thread.stop();
        }
    }
}

/// Binds a non-blocking listening socket.
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

/// Starts all listeners.
///
/// # Errors
///
/// [`Code::TlsInvalid`] for an unusable certificate, or an I/O error.
pub fn start(node: &Arc<Node>, listeners: Listeners) -> Result<Vec<Server>> {
    let data = web::Data::from(Arc::clone(node));
    let mut servers = Vec::new();
    let config = node.settings.tls.as_ref();
    let config = config.map(|files| tls::config(node, files)).transpose()?;
    servers.push(serve_callers(
        node,
        listeners.callers,
        config.map(Arc::new),
    )?);
    let target = App::new().app_data(data.clone());
    servers.push(if node.settings.sidecar.is_some() {
        let app = target
            .route(
                registration::HEARTBEAT_PATH,
                web::post().to(control::heartbeat),
            )
            .route(
                registration::DEREGISTER_PATH,
                web::post().to(control::deregister),
            );
        serve_local(node, listeners.target, handler(app))?
    } else {
        let app = target
            .route(announce::PATH, web::put().to(announce::put))
            .default_service(web::to(ingress::from_target));
        serve_local(node, listeners.target, handler(app))?
    });
    if let Some(listener) = listeners.ready {
        let app = App::new()
            .app_data(data.clone())
            .route(registration::READY_PATH, web::get().to(control::ready));
        servers.push(serve_local(node, listener, handler(app))?);
    }
    let app = App::new()
        .app_data(data)
        .route("/metrics", web::get().to(admin::metrics))
        .route("/status", web::get().to(admin::status))
        .route("/explain/{request}", web::get().to(admin::explain))
        .route("/preview", web::get().to(admin::preview))
        .default_service(web::to(admin::not_found));
    servers.push(serve_local(node, listeners.admin, handler(app))?);
    Ok(servers)
}

/// Serves the listener for callers, on a thread of its own if it has TLS.
fn serve_callers(
    node: &Arc<Node>,
    listener: TcpListener,
    config: Option<Arc<ServerConfig>>,
) -> Result<Server> {
    let thread = config.is_some().then(Arbiter::new);
    let stop = Arc::new(Notify::new());
    let (end, ended) = oneshot::channel();
    let (log_node, node, stopped) = (Arc::clone(node), Arc::clone(node), Arc::clone(&stop));
    let admission = match &config {
        Some(_) => Admission::Encrypted,
        None => Admission::Plain,
    };
    let start = move || {
        let listener = register(listener)?;
        let app = App::new().app_data(web::Data::from(Arc::clone(&node)));
        let app = if node.settings.sidecar.is_some() {
            app.default_service(web::to(outbound::serve))
        } else {
            app.default_service(web::to(ingress::from_caller))
        };
        let building = pipelined(&node, app, config);
        actix_rt::spawn(accept(node, admission, listener, building, stopped, end));
        Ok(())
    };
    let Some(thread) = thread else {
        start()?;
        return Ok(Server {
            stop,
            ended,
            thread: None,
        });
    };
    // The thread exists until the server is dropped.
    thread.spawn_fn(move || {
        if let Err(error) = start() {
            log_failure(&log_node, &error);
        }
    });
    Ok(Server {
        stop,
        ended,
        thread: Some(thread),
    })
}

/// Registers a listener with the runtime of the thread.
fn register(listener: TcpListener) -> Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::from_std(listener)
        .context("cannot register a listener with the runtime")
}

fn log_failure(node: &Node, error: &anyhow::Error) {
    node.log_event(Event::ListenerFailed, format_args!("{error:#}"));
}

/// Handler that serves one connection until it ends, with its place in the table of
/// callers' connections, if it has one.
type Handler = Rc<dyn Fn(TcpStream, SocketAddr, Option<Counted>) -> LocalBoxFuture<'static, ()>>;

/// How the connections of a listener are counted and limited.
#[derive(Clone, Copy, Debug)]
enum Admission {
    /// They are those of callers, without TLS.
    Plain,
    /// They are those of callers, with TLS.
    Encrypted,
    /// They are not limited.
    Uncounted,
}

/// Future that builds a connection handler.
type Building = LocalBoxFuture<'static, Result<Handler>>;

/// Builds the connection handler of an application.
fn handler<T>(app: App<T>) -> Building
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
            // The request of a caller that closes its side is cancelled.
            .h1_allow_half_closed(false)
            .h1(map_config(app.into_factory(), |()| AppConfig::default()));
        let service = service
            .new_service(())
            .await
            .map_err(|()| anyhow::anyhow!("the HTTP application failed to start"))?;
        let service = Rc::new(service);
        let handler: Handler = Rc::new(move |stream: TcpStream, peer, _| {
            let service = Rc::clone(&service);
            Box::pin(async move {
                // Responses are small; Nagle's algorithm would only delay them.
                let _ = stream.set_nodelay(true);
                // An error closes the connection, which the caller observes.
                let _ = service.call((stream, Some(peer))).await;
            })
        });
        Ok(handler)
    })
}

/// Builds the connection handler of an application whose clients may send requests
/// before earlier ones are answered. With a configuration, they use TLS.
fn pipelined<T>(node: &Arc<Node>, app: App<T>, config: Option<Arc<ServerConfig>>) -> Building
where
    T: ServiceFactory<
            ServiceRequest,
            Config = (),
            Response = ServiceResponse<BoxBody>,
            Error = actix_web::Error,
            InitError = (),
        > + 'static,
{
    let node = Arc::clone(node);
    Box::pin(async move {
        let service = map_config(app.into_factory(), |()| AppConfig::default());
        let service = service
            .new_service(())
            .await
            .map_err(|()| anyhow::anyhow!("the HTTP application failed to start"))?;
        let application: Application = Box::new(move |request| {
            let response = service.call(request);
            Box::pin(async move { response.await.map_or_else(Response::from, Response::from) })
        });
        let timeouts = Timeouts {
            head: HEAD_TIMEOUT,
            idle: KEEP_ALIVE,
        };
        let (clock, memory) = (node.clock, node.memory.clone());
        let limits = Arc::clone(&node);
        let head_limit = Box::new(move || limits.lookup().config.limits.head.get());
        let open = &node.metrics.connections;
        let host = Host::new(application, timeouts, clock, open, memory, head_limit);
        let handler: Handler = Rc::new(move |tcp, peer, counted: Option<Counted>| {
            let entry = counted.as_ref().map(Counted::connection);
            let monitor = Monitor::new(node.clock.now(), entry);
            let (host, config) = (Rc::clone(&host), config.clone());
            Box::pin(async move {
                let _counted = counted;
                let Some(config) = config else {
                    return connection::serve(host, Tcp::new(tcp), peer, monitor).await;
                };
                // The configuration was accepted for all connections or for none.
                if let Ok(stream) = Tls::new(config, tcp) {
                    connection::serve(host, stream, peer, monitor).await;
                }
            })
        });
        Ok(handler)
    })
}

/// Serves a listener, whose connections are not limited, on the daemon's thread.
fn serve_local(node: &Arc<Node>, listener: TcpListener, building: Building) -> Result<Server> {
    let listener = register(listener)?;
    let stop = Arc::new(Notify::new());
    let (end, ended) = oneshot::channel();
    let (node, stopped) = (Arc::clone(node), Arc::clone(&stop));
    let admission = Admission::Uncounted;
    actix_rt::spawn(accept(node, admission, listener, building, stopped, end));
    Ok(Server {
        stop,
        ended,
        thread: None,
    })
}

/// Accepts connections until `stopped`. Drops `end` after that.
async fn accept(
    node: Arc<Node>,
    admission: Admission,
    listener: tokio::net::TcpListener,
    building: Building,
    stopped: Arc<Notify>,
    end: oneshot::Sender<()>,
) {
    let handler = match building.await {
        Ok(handler) => handler,
        Err(error) => return log_failure(&node, &error),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped.notified() => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                serve_stream(&node, admission, &handler, stream, peer);
            }
            Err(error) => {
                node.log_event(Event::ListenerFailed, format_args!("{error}"));
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    accept_established(&node, admission, &listener, &handler).await;
    drop(listener);
    drop(end);
}

/// Accepts the connections that the kernel has established or is establishing. Their
/// requests may have been sent, and would be lost when the listener is closed.
async fn accept_established(
    node: &Node,
    admission: Admission,
    listener: &tokio::net::TcpListener,
    handler: &Handler,
) {
    // Without the filter, a connection may be established just before the close.
    let _ = SockRef::from(listener).attach_filter(&IGNORE_NEW_CONNECTIONS);
    tokio::time::sleep(HANDSHAKE_TIME).await;
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        serve_stream(node, admission, handler, stream, peer);
    }
}

/// Serves a connection, unless it is one too many of callers.
fn serve_stream(
    node: &Node,
    admission: Admission,
    handler: &Handler,
    tcp: TcpStream,
    peer: SocketAddr,
) {
    let bytes = match admission {
        Admission::Plain => closing::CONNECTION_BYTES,
        Admission::Encrypted => closing::TLS_CONNECTION_BYTES,
        Admission::Uncounted => {
            actix_rt::spawn(handler(tcp, peer, None));
            return;
        }
    };
    if let Some(counted) = closing::admit(node, &tcp, peer, bytes) {
        actix_rt::spawn(handler(tcp, peer, Some(counted)));
    }
}
