//! Life cycle of a daemon: bound, running, leaving, stopped.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr};
use anyhow::{Context as _, Result};
use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_note::Settings;
use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::actor::Stop;
use crate::actor::quota::leased;
use crate::actor::root::{Resources, Root};
use crate::http::server::{self, Listeners, Server as HttpServer};
use crate::link::table::Links;
use crate::members::{apply_output, publish};
use crate::node::{Channels, Node, Options};
use crate::sync::lock;

/// Interval between checks for open requests.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without an open request after which no more are expected.
const QUIET_TIME: Duration = Duration::from_millis(150);
/// Time allowed for gossip about the departure to reach other daemons.
const GOSSIP_DELAY: Duration = Duration::from_millis(100);

/// Time after which local clients send no new requests to a daemon that is not
/// ready: two readiness probes at an interval of one second, and transit time.
const UNREADY_DELAY: Duration = Duration::from_millis(2_400);

/// Time after SIGTERM for which the local target still accepts calls. Most calls
/// end within one second.
const WITHDRAW_DELAY: Duration = Duration::from_millis(1_400);

/// Fraction of the time from SIGTERM to SIGKILL within which open requests may
/// finish.
const GRACE_FRACTION: f64 = 0.85;

/// State of a daemon that accepts requests.
#[derive(Debug)]
pub struct Running;

/// State of a daemon that is shutting down.
#[derive(Debug)]
pub struct Leaving;

/// A daemon in one state of its life cycle.
#[derive(Debug)]
pub struct Daemon<S> {
    node: Arc<Node>,
    servers: Vec<HttpServer>,
    root: Addr<Root>,
    /// Time of the shutdown request, in the state [`Leaving`].
    requested_at: Option<Instant>,
    state: PhantomData<S>,
}

/// Sockets of a daemon that has not started.
#[derive(Debug)]
pub struct Bound {
    settings: Settings,
    listeners: Listeners,
    peers: std::net::TcpListener,
    gossip: std::net::UdpSocket,
}

impl Bound {
    /// Binds all addresses of the settings. Port 0 is replaced by a free port.
    ///
    /// # Errors
    ///
    /// [`Code::ListenFailed`].
    pub fn new(mut settings: Settings) -> Result<Self, Failure> {
        let listeners = Listeners {
            callers: server::bind(settings.callers)?,
            target: server::bind(settings.target)?,
            admin: server::bind(settings.admin)?,
            ready: match &settings.sidecar {
                Some(sidecar) => Some(server::bind(sidecar.ready)?),
                None => None,
            },
        };
        let peers = server::bind(settings.peers)?;
        let failed = |error: std::io::Error| Failure::new(Code::ListenFailed, error.to_string());
        settings.callers = listeners.callers.local_addr().map_err(failed)?;
        settings.target = listeners.target.local_addr().map_err(failed)?;
        settings.admin = listeners.admin.local_addr().map_err(failed)?;
        settings.peers = peers.local_addr().map_err(failed)?;
        let gossip = std::net::UdpSocket::bind(settings.peers).map_err(failed)?;
        gossip.set_nonblocking(true).map_err(failed)?;
        Ok(Self {
            settings,
            listeners,
            peers,
            gossip,
        })
    }

    /// Settings with the ports that were bound.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Starts the daemon on the current actor system.
    ///
    /// # Errors
    ///
    /// If a listener, the TLS certificate or the fleet secret is unusable.
    pub fn start(self, options: Options, log: Logger) -> Result<Daemon<Running>> {
        let (jobs, job_queue) = mpsc::unbounded_channel();
        let (claims, claim_queue) = mpsc::unbounded_channel();
        let (departures, departure_queue) = mpsc::unbounded_channel();
        let (gossip, gossip_queue) = mpsc::unbounded_channel();
        let (links, link_queue) = Links::new(log.clone());
        let channels = Channels {
            jobs,
            claims,
            departures,
            gossip,
        };
        let node = Arc::new(Node::new(self.settings, options, log, channels, links)?);
        let resources = Resources {
            jobs: job_queue,
            claims: claim_queue,
            departures: departure_queue,
            link_tasks: link_queue,
            gossip: gossip_queue,
            peers: TcpListener::from_std(self.peers)
                .context("cannot register the peers' listener with the runtime")?,
            socket: UdpSocket::from_std(self.gossip)
                .context("cannot register the gossip socket with the runtime")?,
        };
        let servers = server::start(&node, self.listeners)?;
        let root = Root::new(Arc::clone(&node), resources).start();
        node.log_event(
            Event::DaemonStarted,
            format_args!(
                "callers={} target={} peers={} admin={}",
                node.settings.callers,
                node.settings.target,
                node.settings.peers,
                node.settings.admin
            ),
        );
        Ok(Daemon {
            node,
            servers,
            root,
            requested_at: None,
            state: PhantomData,
        })
    }
}

impl<S> Daemon<S> {
    /// Shared state of the daemon.
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }
}

impl Daemon<Running> {
    /// Starts the shutdown: withdraws the local target, publishes the departure to
    /// the fleet, and releases leased lender slots. In sidecar mode, requests are
    /// accepted until [`Daemon::stop`], and no slots are leased.
    pub async fn leave(self) -> Daemon<Leaving> {
        let requested_at = Instant::now();
        let node = &self.node;
        node.log_event(Event::DaemonLeaving, format_args!(""));
        node.lifecycle.set_leaving();
        if node.settings.sidecar.is_some() {
            // The target accepts calls for as long as these can end before the
            // local clients have stopped sending requests.
            tokio::time::sleep(WITHDRAW_DELAY).await;
            node.local_target.withdraw();
            // Other daemons must stop routing calls here before these are refused.
            publish(node);
            tokio::time::sleep(GOSSIP_DELAY).await;
            node.local_target.close();
        } else {
            node.local_target.withdraw();
            node.local_target.close();
            publish(node);
            leased::release_all(node).await;
        }
        Daemon {
            node: self.node,
            servers: self.servers,
            root: self.root,
            requested_at: Some(requested_at),
            state: PhantomData,
        }
    }
}

impl Daemon<Leaving> {
    /// Whether no request is open.
    fn is_idle(&self) -> bool {
        let node = &self.node;
        node.metrics.open.get() == 0 && node.local_target.is_idle() && node.links.sessions.is_idle()
    }

    /// Waits until no request is open, at most until `deadline`. Returns whether
    /// none is open.
    async fn wait_idle(&self, deadline: Instant) -> bool {
        loop {
            let idle = self.is_idle();
            if idle || Instant::now() >= deadline {
                return idle;
            }
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Waits until no request has been open for [`QUIET_TIME`], in which requests
    /// that were sent before the listeners closed are read and answered. Does not
    /// wait for open ones after `deadline`.
    async fn wait_quiet(&self, deadline: Instant) -> bool {
        loop {
            if !self.wait_idle(deadline).await {
                return false;
            }
            let quiet_until = Instant::now() + QUIET_TIME;
            while self.is_idle() {
                if Instant::now() >= quiet_until {
                    return true;
                }
                tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            }
        }
    }

    /// Waits for open requests, at most for the time in the settings, then stops
    /// the daemon. Returns whether all of them ended.
    pub async fn stop(mut self) -> bool {
        let node = Arc::clone(&self.node);
        let drain = match &node.current_settings().sidecar {
            Some(sidecar) => sidecar.grace.get().mul_f64(GRACE_FRACTION),
            None => node.current_settings().timing.drain.get(),
        };
        let requested_at = self.requested_at.unwrap_or_else(Instant::now);
        let deadline = requested_at + drain;
        if node.settings.sidecar.is_some() {
            // Local clients send requests until two readiness probes have failed.
            tokio::time::sleep_until(requested_at + UNREADY_DELAY).await;
        }
        node.lifecycle.set_closing();
        let mut idle = self.wait_idle(deadline).await;
        let output = lock(&node.members.fleet).leave(&mut rand::rng());
        apply_output(&node, output);
        tokio::time::sleep(GOSSIP_DELAY).await;
        for server in &mut self.servers {
            server.stop().await;
        }
        // Requests may have arrived over kept or new connections in the meantime.
        idle &= self.wait_quiet(deadline).await;
        node.log_event(Event::DaemonStopped, format_args!("all_ended={idle}"));
        self.root.do_send(Stop);
        idle
    }
}
