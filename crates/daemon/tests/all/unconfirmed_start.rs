//! A daemon that starts while the platform's store is away has a configuration
//! that nothing has confirmed yet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cardamomshed_daemon::Options;
use cardamomshed_daemon::members::apply_output;
use cardamomshed_daemon::node::Node;
use cardamomshed_standin::client::{Reply, Request, eventually};
use cardamomshed_standin::fleet::Member;
use cardamomshed_standin::platform::Faults;

use crate::platform_sidecar::{Deployment, eventually_status, sidecar};

/// Time for which the requests of a withdrawn key are observed. It exceeds the
/// time for which a confirmation is in force.
const OBSERVATION: Duration = Duration::from_secs(4);

/// Starts a daemon that knows a member of the deployment and cannot reach the
/// store.
fn start_known(fleet: &Deployment) -> Member {
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = sidecar("n-3", "s-one", unreachable, &fleet.platform);
    let member = Member::start(settings, Options::default());
    let known = own_record(&fleet.second.node);
    let output = {
        let mut members = member.node.members.fleet.lock().expect("not poisoned");
        members.merge_all(vec![known], member.node.clock.now())
    };
    apply_output(&member.node, output);
    member
}

fn own_record(node: &Node) -> cardamomshed_policy::member::Record {
    let members = node.members.fleet.lock().expect("not poisoned");
    members.own().clone()
}

fn get(node: &Arc<Node>, path: &str) -> Request {
    Request::get(node.settings.callers, path).header("host", "h.example")
}

fn send_with_key(node: &Arc<Node>, key: &str) -> Reply {
    get(node, "/a/b").key(key).send()
}

/// Guards against a withdrawn key that works again: a daemon started without the
/// store took a configuration from a peer as confirmed at its own start.
#[test]
fn withdrawn_key_refused() {
    let mut fleet = Deployment::start();
    fleet.configure(3, "key-one");
    fleet.heartbeat("ready");
    eventually_status(200, || fleet.get("/a/b").key("key-one").send());
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    eventually_status(503, || fleet.get("/a/b").key("key-one").send());
    // By now no read that the store had accepted before is open.
    fleet.configure(4, "key-two");
    let late = start_known(&fleet);
    eventually("a configuration from a peer", || {
        late.node.lookup().config.revision == 3
    });
    eventually_status(200, || get(&late.node, "/open/x").send());
    let until = Instant::now() + OBSERVATION;
    while Instant::now() < until {
        fleet.heartbeat("ready");
        assert_eq!(send_with_key(&late.node, "key-one").status, 503);
        assert_eq!(fleet.get("/a/b").key("key-one").send().status, 503);
        assert_eq!(get(&late.node, "/open/x").send().status, 200);
        std::thread::sleep(Duration::from_millis(50));
    }
    fleet.platform.set_faults(Faults::default());
    eventually_status(200, || send_with_key(&late.node, "key-two"));
    assert_eq!(send_with_key(&late.node, "key-one").status, 401);
}

/// Guards against refusals for want of a confirmation that a peer has: one that is
/// still in force also counts for a daemon that starts without the store.
#[test]
fn confirmation_taken_over() {
    let mut fleet = Deployment::start();
    fleet.configure(3, "key-one");
    fleet.heartbeat("ready");
    eventually_status(200, || fleet.get("/a/b").key("key-one").send());
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let late = start_known(&fleet);
    eventually_status(200, || send_with_key(&late.node, "key-one"));
}
