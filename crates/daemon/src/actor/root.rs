//! Supervisor that starts all other actors and restarts those that end.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, ActorContext, Addr, AsyncContext, Context, Handler};
use cardamomshed_code::Event;
use cardamomshed_platform::Consumers;
use cardamomshed_policy::registration::Incarnation;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Mutex, mpsc};

use super::worker::{LocalFuture, Stop, Worker};
use super::{follower, gossip, leaving, quota, rewrite, warmth};
use crate::claim::command::Command;
use crate::claim::store;
use crate::http::closing;
use crate::job::Job;
use crate::link;
use crate::link::table::Task;
use crate::members::{is_poller, poller_count};
use crate::node::{Node, store_rates};
use crate::runner;
use crate::sync::lock;

/// Interval between two checks for ended children.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Receivers and sockets owned by the actors. They outlive a restart of the actor
/// that uses them, so queued messages are not lost.
pub struct Resources {
    /// Calls queued for the local target.
    pub jobs: mpsc::UnboundedReceiver<Job>,
    /// Commands to claim or settle idempotency keys.
    pub claims: mpsc::UnboundedReceiver<Command>,
    /// Departures of the target to be stored.
    pub departures: mpsc::UnboundedReceiver<Incarnation>,
    /// Links whose tasks are to be spawned.
    pub link_tasks: mpsc::UnboundedReceiver<Task>,
    /// Gossip packets to be sent.
    pub gossip: mpsc::UnboundedReceiver<cardamomshed_policy::member::Send>,
    /// Listener for links from other daemons.
    pub peers: TcpListener,
    /// Socket that receives and sends gossip.
    pub socket: UdpSocket,
}

struct Child {
    name: &'static str,
    factory: Box<dyn Fn() -> LocalFuture>,
    address: Addr<Worker>,
}

/// The supervisor of one daemon.
pub struct Root {
    node: Arc<Node>,
    resources: Option<Resources>,
    children: Vec<Child>,
}

impl Root {
    /// Creates a supervisor; its children start with the actor.
    pub const fn new(node: Arc<Node>, resources: Resources) -> Self {
        Self {
            node,
            resources: Some(resources),
            children: Vec::new(),
        }
    }

    fn supervise(&mut self, name: &'static str, factory: impl Fn() -> LocalFuture + 'static) {
        let address = Worker::new(factory()).start();
        let factory = Box::new(factory);
        self.children.push(Child {
            name,
            factory,
            address,
        });
    }

    fn start_children(&mut self, resources: Resources) {
        let node = Arc::clone(&self.node);
        let jobs = Rc::new(Mutex::new(resources.jobs));
        self.supervise("runner", move || {
            let (node, jobs) = (Arc::clone(&node), Rc::clone(&jobs));
            Box::pin(async move { runner::run(node, &mut *jobs.lock().await).await })
        });
        let node = Arc::clone(&self.node);
        let claims = Rc::new(Mutex::new(resources.claims));
        self.supervise("claims", move || {
            let (node, claims) = (Arc::clone(&node), Rc::clone(&claims));
            Box::pin(async move { store::run(node, &mut *claims.lock().await).await })
        });
        let node = Arc::clone(&self.node);
        let departures = Rc::new(Mutex::new(resources.departures));
        self.supervise("keeper", move || {
            let (node, departures) = (Arc::clone(&node), Rc::clone(&departures));
            Box::pin(async move { leaving::run(node, &mut *departures.lock().await).await })
        });
        let node = Arc::clone(&self.node);
        let link_tasks = Rc::new(Mutex::new(resources.link_tasks));
        self.supervise("links", move || {
            let (node, link_tasks) = (Arc::clone(&node), Rc::clone(&link_tasks));
            Box::pin(async move { link::run(node, &mut *link_tasks.lock().await).await })
        });
        let node = Arc::clone(&self.node);
        let peers = Rc::new(resources.peers);
        self.supervise("acceptor", move || {
            Box::pin(link::accept(Arc::clone(&node), Rc::clone(&peers)))
        });
        let node = Arc::clone(&self.node);
        let socket = Rc::new(resources.socket);
        let outgoing = Rc::new(Mutex::new(resources.gossip));
        self.supervise("gossip", move || {
            let (node, socket) = (Arc::clone(&node), Rc::clone(&socket));
            let outgoing = Rc::clone(&outgoing);
            Box::pin(async move { gossip::run(node, &socket, &mut *outgoing.lock().await).await })
        });
        let node = Arc::clone(&self.node);
        self.supervise("follower", move || {
            Box::pin(follower::run(Arc::clone(&node)))
        });
        let node = Arc::clone(&self.node);
        self.supervise("rewrite", move || Box::pin(rewrite::run(Arc::clone(&node))));
        let node = Arc::clone(&self.node);
        self.supervise("warmth", move || Box::pin(warmth::run(Arc::clone(&node))));
        let node = Arc::clone(&self.node);
        self.supervise("quota", move || Box::pin(quota::run(Arc::clone(&node))));
        let node = Arc::clone(&self.node);
        self.supervise("sweeper", move || Box::pin(sweep(Arc::clone(&node))));
    }

    fn restart_ended(&mut self) {
        for child in &mut self.children {
            if child.address.connected() {
                continue;
            }
            self.node
                .log_event(Event::ActorRestarted, format_args!("name={}", child.name));
            child.address = Worker::new((child.factory)()).start();
        }
    }
}

impl Actor for Root {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if let Some(resources) = self.resources.take() {
            self.start_children(resources);
        }
        context.run_interval(CHECK_INTERVAL, |root, _| root.restart_ended());
    }
}

impl Handler<Stop> for Root {
    type Result = ();

    fn handle(&mut self, _: Stop, context: &mut Self::Context) {
        for child in &self.children {
            child.address.do_send(Stop);
        }
        context.stop();
    }
}

/// Periodically advances state that expires by time alone, until the task is
/// dropped.
async fn sweep(node: Arc<Node>) {
    const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = node.clock.now();
        node.links.sessions.remove_expired(now);
        crate::warmth::configure(&node, false);
        closing::sweep(&node);
        node.local_target.tick();
        crate::warmth::update(&node);
        node.routing.windows.tick();
        lock(&node.routing.prices).fanout.tick(now);
        divide_retries(&node);
        divide_store_budget(&node);
        if let Some(service) = node
            .local_target
            .expire(node.current_settings().timing.announce.get())
        {
            node.log_event(Event::TargetExpired, format_args!("service={service}"));
            crate::members::publish(&node);
        }
    }
}

/// Divides the rate limits of the platform's store among the live members.
fn divide_store_budget(node: &Node) {
    let daemons = lock(&node.members.fleet).live();
    let consumers = Consumers {
        daemons,
        readers: (poller_count(node) * node.settings.domains.len()).min(daemons),
        is_reader: is_poller(node),
    };
    node.store_budget
        .allocate(store_rates(&node.current_settings()), consumers);
}

/// Fraction of the fleet's retry budget that daemons allow. The rest is for bursts
/// of requests at the edge of a window and for repeated calls that are charged late.
const RETRY_SHARE: f64 = 0.7;

/// Divides the fleet's retry budget among the live members.
fn divide_retries(node: &Node) {
    if let Some(sidecar) = &node.current_settings().sidecar {
        let members = lock(&node.members.fleet).live() as f64;
        let slack = sidecar.retry_slack * RETRY_SHARE / members;
        let ratio = sidecar.retry_ratio * RETRY_SHARE;
        node.routing.services.set_retry_bounds(ratio, slack);
    }
}
