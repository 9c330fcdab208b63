//! The supervisor: it starts every other actor and restarts those that end.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, ActorContext, Addr, AsyncContext, Context, Handler};
use cardamomshed_code::Event;
use cardamomshed_platform::Consumers;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Mutex, mpsc};

use super::worker::{LocalFuture, Stop, Worker};
use super::{follower, gossip, keeper, quota};
use crate::claim::command::Command;
use crate::claim::store;
use crate::departure::Departure;
use crate::job::Job;
use crate::link;
use crate::link::table::Task;
use crate::members::{is_poller, readers};
use crate::node::{Node, store_rates};
use crate::runner;
use crate::sync::lock;

/// Time between two looks at the children.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// What the actors own besides the node. Receivers outlive a restart of the
/// actor that reads them, so nothing that was sent is lost with it.
pub struct Parts {
    /// Calls for the target.
    pub jobs: mpsc::UnboundedReceiver<Job>,
    /// Idempotency keys to be claimed or settled.
    pub claims: mpsc::UnboundedReceiver<Command>,
    /// Departures of the target to be kept.
    pub departures: mpsc::UnboundedReceiver<Departure>,
    /// Links to be run.
    pub starts: mpsc::UnboundedReceiver<Task>,
    /// Gossip to be sent.
    pub gossip: mpsc::UnboundedReceiver<cardamomshed_policy::member::Send>,
    /// Where other daemons connect.
    pub peers: TcpListener,
    /// Where gossip arrives and leaves.
    pub socket: UdpSocket,
}

struct Child {
    name: &'static str,
    make: Box<dyn Fn() -> LocalFuture>,
    address: Addr<Worker>,
}

/// The supervisor of one daemon.
pub struct Root {
    node: Arc<Node>,
    parts: Option<Parts>,
    children: Vec<Child>,
}

impl Root {
    /// A supervisor that is not started.
    pub const fn new(node: Arc<Node>, parts: Parts) -> Self {
        Self {
            node,
            parts: Some(parts),
            children: Vec::new(),
        }
    }

    fn supervise(&mut self, name: &'static str, make: impl Fn() -> LocalFuture + 'static) {
        let address = Worker::new(make()).start();
        let make = Box::new(make);
        self.children.push(Child {
            name,
            make,
            address,
        });
    }

    fn start_children(&mut self, parts: Parts) {
        let node = Arc::clone(&self.node);
        let jobs = Rc::new(Mutex::new(parts.jobs));
        self.supervise("runner", move || {
            let (node, jobs) = (Arc::clone(&node), Rc::clone(&jobs));
            Box::pin(async move { runner::run(node, &mut *jobs.lock().await).await })
        });
        let node = Arc::clone(&self.node);
        let claims = Rc::new(Mutex::new(parts.claims));
        self.supervise("claims", move || {
            let (node, claims) = (Arc::clone(&node), Rc::clone(&claims));
            Box::pin(async move { store::run(node, &mut *claims.lock().await).await })
        });
        let node = Arc::clone(&self.node);
        let departures = Rc::new(Mutex::new(parts.departures));
        self.supervise("keeper", move || {
            let (node, departures) = (Arc::clone(&node), Rc::clone(&departures));
            Box::pin(async move { keeper::run(node, &mut *departures.lock().await).await })
        });
        let node = Arc::clone(&self.node);
        let starts = Rc::new(Mutex::new(parts.starts));
        self.supervise("links", move || {
            let (node, starts) = (Arc::clone(&node), Rc::clone(&starts));
            Box::pin(async move { link::run(node, &mut *starts.lock().await).await })
        });
        let node = Arc::clone(&self.node);
        let peers = Rc::new(parts.peers);
        self.supervise("acceptor", move || {
            Box::pin(link::accept(Arc::clone(&node), Rc::clone(&peers)))
        });
        let node = Arc::clone(&self.node);
        let socket = Rc::new(parts.socket);
        let sends = Rc::new(Mutex::new(parts.gossip));
        self.supervise("gossip", move || {
            let (node, socket) = (Arc::clone(&node), Rc::clone(&socket));
            let sends = Rc::clone(&sends);
            Box::pin(async move { gossip::run(node, &socket, &mut *sends.lock().await).await })
        });
        let node = Arc::clone(&self.node);
        self.supervise("follower", move || {
            Box::pin(follower::run(Arc::clone(&node)))
        });
        let node = Arc::clone(&self.node);
        self.supervise("quota", move || Box::pin(quota::run(Arc::clone(&node))));
        let node = Arc::clone(&self.node);
        self.supervise("sweeper", move || Box::pin(sweep(Arc::clone(&node))));
    }

    fn look(&mut self) {
        for child in &mut self.children {
            if child.address.connected() {
                continue;
            }
            self.node
                .note_event(Event::ActorRestarted, format_args!("name={}", child.name));
            child.address = Worker::new((child.make)()).start();
        }
    }
}

impl Actor for Root {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if let Some(parts) = self.parts.take() {
            self.start_children(parts);
        }
        context.run_interval(LOOK_EVERY, |root, _| root.look());
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

/// Lets time pass for what has no events of its own.
async fn sweep(node: Arc<Node>) {
    const SWEEP_EVERY: Duration = Duration::from_millis(200);
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        let now = node.clock.now();
        node.links.sessions.remove_expired(now);
        node.beside.tick();
        lock(&node.routing.prices).chain.tick(now);
        share_retries(&node);
        share_store_calls(&node);
        if let Some(service) = node.beside.lapse(node.current().timing.announce.get()) {
            node.note_event(Event::TargetExpired, format_args!("service={service}"));
            crate::members::publish(&node);
        }
    }
}

/// Divides the calls that the platform's store takes among the members.
fn share_store_calls(node: &Node) {
    let daemons = lock(&node.members.fleet).live();
    let consumers = Consumers {
        daemons,
        readers: (readers(node) * node.settings.domains.len()).min(daemons),
        is_reader: is_poller(node),
    };
    node.store_calls
        .allocate(store_rates(&node.current()), consumers);
}

/// Part of the fleet's retry budget that daemons spend; the rest is left for
/// the calls that a repeated call makes in turn, which count as repeats too.
const RETRY_SHARE: f64 = 0.5;

/// Divides the fleet's retry budget among the members that are known.
fn share_retries(node: &Node) {
    if let Some(sidecar) = &node.current().sidecar {
        let members = lock(&node.members.fleet).live() as f64;
        let capacity = sidecar.retry_slack * RETRY_SHARE / members;
        let ratio = sidecar.retry_ratio * RETRY_SHARE;
        node.routing.services.set_retry_bounds(ratio, capacity);
    }
}
