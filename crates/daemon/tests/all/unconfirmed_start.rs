//! A daemon that starts while the platform's store is away gets a configuration from a
//! peer. It accepts keys by it only after a confirmation.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cardamomshed_daemon::Options;
use cardamomshed_daemon::actor::distribution::row_key;
use cardamomshed_daemon::node::Node;
use cardamomshed_note::{Limits, Settings, Timespan, Unconfirmed};
use cardamomshed_standin::client::{Reply, Request, eventually};
use cardamomshed_standin::fleet::{Fleet, Location, Member, settings};
use cardamomshed_standin::platform::Faults;

use crate::platform_sidecar::{Deployment, eventually_status, lone};
use crate::{await_revision, chain, learn, own_record};

/// Time for which the requests of a withdrawn key are observed. It exceeds the
/// time for which a confirmation is in force.
const OBSERVATION: Duration = Duration::from_secs(4);

/// Starts a sidecar that knows a member of the deployment and cannot reach the
/// store.
fn start_sidecar(fleet: &Deployment) -> Member {
    start_beside(lone("n-3", &fleet.platform), &fleet.second.node)
}

/// Starts a daemon that knows another one.
pub(crate) fn start_beside(settings: Settings, other: &Node) -> Member {
    let member = Member::start(settings, Options::default());
    learn(&member.node, vec![own_record(other)]);
    member
}

/// Applies a note by which keys are refused this many milliseconds after the last
/// confirmation.
pub(crate) fn refuse_unconfirmed(fleet: &Fleet, after: u64) {
    let mut note = fleet.blank_note("refuse-unconfirmed");
    note.limits = Some(Limits {
        unconfirmed_keys: Unconfirmed::Refuse,
        unconfirmed_after: Timespan::from_millis(after),
        ..Limits::default()
    });
    fleet.apply(&note);
    await_revision(fleet, 2);
}

/// Settings of a further daemon in the first failure domain.
pub(crate) fn late_settings(fleet: &Fleet) -> Settings {
    let (domain, region) = fleet.shape.domains[0].clone();
    let place = Location {
        node: "late".to_owned(),
        domain,
        region,
    };
    settings(&place, &fleet.shape.domains, &fleet.platform.base())
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
    let mut fleet = Deployment::accepting();
    fleet.platform.set_faults(Faults::DOWN);
    eventually_status(503, || fleet.get("/a/b").key("key-one").send());
    // By now no read that the store had accepted before is open.
    fleet.configure(4, "key-two");
    let late = start_sidecar(&fleet);
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

/// Guards against a withdrawn key that works again: on the project's own interface
/// a configuration from a peer counted as a confirmation.
#[test]
fn peer_notes_unconfirmed() {
    let fleet = chain(1);
    refuse_unconfirmed(&fleet, 700);
    let daemon = &fleet.daemons[0].node;
    fleet.platform.set_faults(Faults::DOWN);
    let send = |node: &Node| {
        let request = Request::get(node.settings.callers, &fleet.shape.path());
        request.key(&fleet.keys[0]).send()
    };
    eventually("the key is refused", || send(daemon).code() == 1104);
    let late = start_beside(late_settings(&fleet), daemon);
    let until = Instant::now() + OBSERVATION;
    while Instant::now() < until {
        for node in [daemon, &late.node] {
            let reply = send(node);
            assert_eq!((reply.status, reply.code()), (503, 1104));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(late.node.lookup().config.revision, 2);
    fleet.platform.set_faults(Faults::default());
    eventually("the key is accepted", || send(&late.node).status == 200);
}

/// Guards against a withdrawn key that works on: a read of the notes that stopped at one
/// that can't be decoded confirmed the configuration before it.
#[test]
fn undecodable_note_unconfirmed() {
    let fleet = chain(1);
    refuse_unconfirmed(&fleet, 700);
    let send = || crate::get(&fleet, &fleet.shape.path()).send();
    eventually("the key is accepted", || send().status == 200);
    let row = row_key(3);
    let contents = serde_json::json!({"keys": "not a list"});
    fleet.platform.write("notes", &row, &contents);
    eventually("the key is refused", || send().code() == 1104);
}

/// Guards against refusals for want of a confirmation that a peer has: one that is
/// still in force also counts for a daemon that starts without the store.
#[test]
fn confirmation_taken_over() {
    let fleet = Deployment::accepting();
    fleet.platform.set_faults(Faults::DOWN);
    let late = start_sidecar(&fleet);
    eventually_status(200, || send_with_key(&late.node, "key-one"));
}
