//! The HTTP listeners.
//!
//! Connections without TLS are served on the daemon's own thread, so that a
//! request is processed without a thread switch. TLS has a thread of its own.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{HttpService, Response};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::body::BoxBody;
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::{App, HttpServer, web};
use anyhow::{Context as _, Result};
use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_platform::registration;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use socket2::{SockFilter, SockRef};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::connection::{self, Application, Host, Monitor, Timeouts};
use super::connection_table::{Counted, Stream};
use super::{admin, announce, closing, control, ingress, outbound};
use crate::node::Node;
use crate::tls;

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time limit for the receipt of a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for open connections once a TLS listener stops, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 2;
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

/// A running listener.
#[derive(Debug)]
pub enum Server {
    /// Task on the daemon's thread.
    Local(Local),
    /// TLS server on a thread of its own.
    Threaded(actix_web::dev::ServerHandle),
}

/// A task that accepts connections.
#[derive(Debug)]
pub struct Local {
    stop: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Server {
    /// Stops accepting connections, after those that the kernel has established.
    /// Open connections may finish, up to 2 s with TLS.
    pub async fn stop(self) {
        match self {
            Self::Local(local) => {
                local.stop.notify_one();
                // A task that failed accepts no connections either.
                let _ = local.task.await;
            }
            Self::Threaded(server) => server.stop(true).await,
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
    let callers = App::new().app_data(data.clone());
    servers.push(match (&node.settings.tls, &node.settings.sidecar) {
        (Some(files), _) => serve_tls(node, files, listeners.callers)?,
        (None, Some(_)) => {
            let app = callers.default_service(web::to(outbound::serve));
            let building = pipelined(node, app);
            serve_local(node, Admission::Counted, listeners.callers, building)?
        }
        (None, None) => {
            let app = callers.default_service(web::to(ingress::from_caller));
            let building = pipelined(node, app);
            serve_local(node, Admission::Counted, listeners.callers, building)?
        }
    });
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
        serve_local(node, Admission::Uncounted, listeners.target, handler(app))?
    } else {
        let app = target
            .route(announce::PATH, web::put().to(announce::put))
            .default_service(web::to(ingress::from_target));
        serve_local(node, Admission::Uncounted, listeners.target, handler(app))?
    });
    if let Some(listener) = listeners.ready {
        let app = App::new()
            .app_data(data.clone())
            .route(registration::READY_PATH, web::get().to(control::ready));
        servers.push(serve_local(
            node,
            Admission::Uncounted,
            listener,
            handler(app),
        )?);
    }
    let app = App::new()
        .app_data(data)
        .route("/metrics", web::get().to(admin::metrics))
        .route("/status", web::get().to(admin::status))
        .route("/explain/{request}", web::get().to(admin::explain))
        .route("/preview", web::get().to(admin::preview))
        .default_service(web::to(admin::not_found));
    servers.push(serve_local(
        node,
        Admission::Uncounted,
        listeners.admin,
        handler(app),
    )?);
    Ok(servers)
}

fn serve_tls(
    node: &Arc<Node>,
    files: &cardamomshed_note::Tls,
    listener: TcpListener,
) -> Result<Server> {
    let data = web::Data::from(Arc::clone(node));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .default_service(web::to(ingress::from_caller))
    });
    let server = server
        .workers(1)
        .max_connections(node.settings.max_connections() as usize)
        // The request of a caller that closes its side is cancelled.
        .h1_allow_half_closed(false)
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals()
        .listen_rustls_0_23(listener, tls::config(node, files)?)
        .context("cannot start the callers' listener")?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(Server::Threaded(handle))
}

/// Handler that serves one connection until it ends.
type Handler = Rc<dyn Fn(Stream, SocketAddr) -> LocalBoxFuture<'static, ()>>;

/// Whether the connections of a listener are counted and limited.
#[derive(Clone, Copy, Debug)]
enum Admission {
    /// They are those of callers.
    Counted,
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
        let handler: Handler = Rc::new(move |stream: Stream, peer| {
            let service = Rc::clone(&service);
            Box::pin(async move {
                stream.set_nodelay();
                // An error closes the connection, which the caller observes.
                let _ = service.call((stream, Some(peer))).await;
            })
        });
        Ok(handler)
    })
}

/// Builds the connection handler of an application whose clients may send requests
/// before earlier ones are answered.
fn pipelined<T>(node: &Arc<Node>, app: App<T>) -> Building
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
        let host = Host::new(application, timeouts, node.clock, &node.metrics.connections);
        let handler: Handler = Rc::new(move |stream: Stream, peer| {
            let (tcp, counted) = stream.into_parts();
            let entry = counted.as_ref().map(Counted::connection);
            let monitor = Monitor::new(node.clock.now(), entry);
            let served = connection::serve(Rc::clone(&host), tcp, peer, monitor);
            Box::pin(async move {
                let _counted = counted;
                served.await;
            })
        });
        Ok(handler)
    })
}

/// Serves a listener on the daemon's thread.
fn serve_local(
    node: &Arc<Node>,
    admission: Admission,
    listener: TcpListener,
    building: Building,
) -> Result<Server> {
    let listener = tokio::net::TcpListener::from_std(listener)
        .context("cannot register a listener with the runtime")?;
    let node = Arc::clone(node);
    let stop = Arc::new(Notify::new());
    let stopped = Arc::clone(&stop);
    let task = actix_rt::spawn(async move {
        let handler = match building.await {
            Ok(handler) => handler,
            Err(error) => {
                node.log_event(Event::ListenerFailed, format_args!("{error:#}"));
                return;
            }
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
    });
    Ok(Server::Local(Local { stop, task }))
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
    let stream = match admission {
        Admission::Counted => closing::admit(node, tcp, peer),
        Admission::Uncounted => Some(Stream::uncounted(tcp)),
    };
    if let Some(stream) = stream {
        actix_rt::spawn(handler(stream, peer));
    }
}
