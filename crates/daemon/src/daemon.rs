//! Life cycle of a daemon: bound, running, left.

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
use crate::http::server::{self, Listeners, Running as Listening};
use crate::link::table::Links;
use crate::members::{apply_output, publish};
use crate::node::{Channels, Node, Options};
use crate::sync::lock;

/// Time between two looks at what is still open.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Time for which the announcement of leaving is given to arrive.
const ANNOUNCE: Duration = Duration::from_millis(100);

/// Time after which a daemon that says it is not ready gets no new requests:
/// two of the platform's questions, one a second, and the way to it.
const UNREADY: Duration = Duration::from_millis(2_400);

/// Time after SIGTERM for which the target beside goes on taking calls. Most of
/// them end within a second.
const SERVE_ON: Duration = Duration::from_millis(1_400);

/// Part of the time from SIGTERM to SIGKILL in which open requests may end.
const GRACE_SHARE: f64 = 0.85;

/// State of a daemon that accepts requests.
#[derive(Debug)]
pub struct Running;

/// State of a daemon that accepts no more requests.
#[derive(Debug)]
pub struct Leaving;

/// A daemon in one state of its life cycle.
#[derive(Debug)]
pub struct Daemon<S> {
    node: Arc<Node>,
    servers: Vec<Listening>,
    root: Addr<Root>,
    /// When it was asked to end, in the state [`Leaving`].
    asked: Option<Instant>,
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
    /// Binds every address of the settings. A port of zero is replaced by
    /// one that is free.
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

    /// The settings with the ports that are bound.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Starts the daemon on the current actor system.
    ///
    /// # Errors
    ///
    /// When a listener or the certificate cannot be used.
    pub fn start(self, options: Options, log: Logger) -> Result<Daemon<Running>> {
        let (jobs, job_queue) = mpsc::unbounded_channel();
        let (claims, claim_queue) = mpsc::unbounded_channel();
        let (departures, departure_queue) = mpsc::unbounded_channel();
        let (gossip, gossip_queue) = mpsc::unbounded_channel();
        let (links, starts) = Links::new(log.clone());
        let channels = Channels {
            jobs,
            claims,
            departures,
            gossip,
        };
        let node = Arc::new(Node::new(self.settings, options, log, channels, links)?);
        let parts = Resources {
            jobs: job_queue,
            claims: claim_queue,
            departures: departure_queue,
            link_tasks: starts,
            gossip: gossip_queue,
            peers: TcpListener::from_std(self.peers).context("peers' listener")?,
            socket: UdpSocket::from_std(self.gossip).context("gossip socket")?,
        };
        let servers = server::start(&node, self.listeners)?;
        let root = Root::new(Arc::clone(&node), parts).start();
        node.note_event(
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
            asked: None,
            state: PhantomData,
        })
    }
}

impl<S> Daemon<S> {
    /// What the parts of the daemon share.
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }
}

impl Daemon<Running> {
    /// Stops accepting requests, tells the fleet, and gives shares back.
    pub async fn leave(self) -> Daemon<Leaving> {
        let asked = Instant::now();
        let node = &self.node;
        node.note_event(Event::DaemonLeaving, format_args!(""));
        node.lifecycle.set_leaving();
        if node.settings.sidecar.is_some() {
            // The target goes on for as long as its last calls can end by the
            // time at which no client is left here.
            tokio::time::sleep(SERVE_ON).await;
            node.beside.withdraw();
            // Others hear of it before calls on the way are refused.
            publish(node);
            tokio::time::sleep(ANNOUNCE).await;
            node.beside.close();
        } else {
            node.beside.withdraw();
            node.beside.close();
            publish(node);
            leased::release_all(node).await;
        }
        Daemon {
            node: self.node,
            servers: self.servers,
            root: self.root,
            asked: Some(asked),
            state: PhantomData,
        }
    }
}

impl Daemon<Leaving> {
    /// Waits until no request is open; says whether that came in time.
    async fn wait_idle(&self, until: Instant) -> bool {
        let node = &self.node;
        loop {
            let idle = node.metrics.open.get() == 0
                && node.beside.is_idle()
                && node.links.sessions.is_idle();
            if idle || Instant::now() >= until {
                return idle;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Waits for open requests to end, up to the time in the settings, then
    /// stops. Says whether all of them ended.
    pub async fn stop(self) -> bool {
        let node = &self.node;
        let longest = match &node.current_settings().sidecar {
            Some(sidecar) => sidecar.grace.get().mul_f64(GRACE_SHARE),
            None => node.current_settings().timing.drain.get(),
        };
        let asked = self.asked.unwrap_or_else(Instant::now);
        let until = asked + longest;
        if node.settings.sidecar.is_some() {
            // Clients on this VM send on until the platform has asked twice.
            tokio::time::sleep_until(asked + UNREADY).await;
        }
        node.lifecycle.set_closing();
        let mut idle = self.wait_idle(until).await;
        let output = lock(&node.members.fleet).leave(&mut rand::rng());
        apply_output(node, output);
        tokio::time::sleep(ANNOUNCE).await;
        for server in &self.servers {
            server.stop().await;
        }
        // Requests may have come over kept connections meanwhile.
        idle &= self.wait_idle(until).await;
        node.note_event(Event::DaemonStopped, format_args!("all_ended={idle}"));
        self.root.do_send(Stop);
        idle
    }
}
