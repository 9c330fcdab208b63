//! The HTTP listeners.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpServer, web};
use anyhow::{Context as _, Result};
use cardamomshed_code::{Code, Failure};

use super::{admin, announce, ingress};
use crate::node::Node;
use crate::tls;

/// Time for which a caller's unused connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time that a caller has to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Seconds that open connections have to end once the server stops.
const SHUTDOWN_SECONDS: u64 = 2;

/// Listening sockets, bound before the daemon takes its name.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the target beside this daemon.
    pub target: TcpListener,
    /// For operators.
    pub admin: TcpListener,
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
pub fn start(node: &Arc<Node>, listeners: Listeners) -> Result<Vec<Server>> {
    let callers = {
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
            .disable_signals();
        match &node.settings.tls {
            Some(files) => {
                let config = tls::config(node, files)?;
                server.listen_rustls_0_23(listeners.callers, config)
            }
            None => server.listen(listeners.callers),
        }
        .context("callers' listener")?
        .run()
    };
    let target = {
        let data = web::Data::from(Arc::clone(node));
        HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .route(announce::PATH, web::put().to(announce::put))
                .default_service(web::to(ingress::from_target))
        })
        .workers(1)
        .h1_allow_half_closed(false)
        .keep_alive(KEEP_ALIVE)
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .disable_signals()
        .listen(listeners.target)
        .context("target's listener")?
        .run()
    };
    let admin = {
        let data = web::Data::from(Arc::clone(node));
        HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .route("/metrics", web::get().to(admin::metrics))
                .route("/status", web::get().to(admin::status))
                .route("/explain/{request}", web::get().to(admin::explain))
                .default_service(web::to(admin::unknown))
        })
        .workers(1)
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .disable_signals()
        .listen(listeners.admin)
        .context("admin listener")?
        .run()
    };
    Ok(vec![callers, target, admin])
}
