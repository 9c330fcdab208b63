//! Daemons that find one another by the rows of the platform, some of which name
//! daemons that have ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cardamomshed_daemon::Options;
use cardamomshed_daemon::node::Node;
use cardamomshed_policy::member::{Profile, Record, State, rank_key};
use cardamomshed_standin::client::eventually;
use cardamomshed_standin::fleet::{Member, name, secret};
use cardamomshed_standin::platform::{Capacity, Faults, Platform};
use serde_json::json;

use crate::platform_sidecar::{config, lone, start_lone};
use crate::unconfirmed_start::start_beside;
use crate::{lender_slots, live, own_record};

/// Time within which a lender is to be found after a start of the whole fleet. A
/// member that stops answering fails after more than four seconds.
const MAX_START: Duration = Duration::from_secs(3);

/// Record of a daemon of failure domain `a` that has ended.
fn ended(name: &str) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Record {
        name: name.into(),
        incarnation: 1,
        state: State::Alive,
        profile: Profile {
            domain: "a".into(),
            region: "r".into(),
            gossip: address,
            peer: address,
            admin: address,
            service: Some("s-three".into()),
            slots: 8,
            open: true,
            lender_slots: vec![0],
            departure: None,
        },
    }
}

/// Size of failure domain `a` by its row.
fn size(platform: &Platform) -> Option<u64> {
    platform.peek("seeds", "a-size")?["n"].as_u64()
}

#[test]
fn ended_daemons_ignored() {
    let platform = Platform::start(Capacity::default());
    // These precede both daemons in the order of the failure domain.
    let first = rank_key("n-1").min(rank_key("n-2"));
    let names = (0..).map(|number| format!("ended-{number}"));
    let names = names.filter(|name| rank_key(name) < first).take(3);
    for (number, name) in names.enumerate() {
        let row = serde_json::to_value(ended(&name)).expect("a record");
        platform.write("seeds", &format!("a-{number}"), &row);
    }
    let started = Instant::now();
    let members = ["n-1", "n-2"].map(|name| start_lone(name, &platform));
    let nodes = members.each_ref().map(|member| Arc::clone(&member.node));
    eventually("one lender", || {
        nodes.iter().map(|node| lender_slots(node)).sum::<usize>() == 1
            && nodes.iter().all(|node| live(node) == 2)
    });
    let took = started.elapsed();
    assert!(took < MAX_START, "a lender was found only after {took:?}");
}

/// Guards against lenders that together exceed a bound: one that started took the
/// members it had met for the whole fleet.
#[test]
fn unmet_members_counted() {
    let platform = Platform::start(Capacity::default());
    platform.write("op", "config", &config(3, "key-one"));
    // Earlier processes have counted eight members.
    for domain in ["a", "b"] {
        let row = json!({"d": domain, "n": 4});
        platform.write("seeds", &format!("{domain}-size"), &row);
    }
    let members = ["n-1", "n-2"].map(|name| start_lone(name, &platform));
    let nodes = members.each_ref().map(|member| Arc::clone(&member.node));
    let share = |node: &Node| node.quota.primary_share.load(Ordering::Relaxed);
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        for node in nodes.iter().filter(|node| lender_slots(node) > 0) {
            assert!(share(node) <= 250_000, "{} millionths", share(node));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(
        nodes.iter().map(|node| lender_slots(node)).sum::<usize>(),
        1
    );
    let lender = nodes.iter().find(|node| lender_slots(node) > 0);
    assert_eq!(share(lender.expect("a lender")), 250_000);
}

/// The poller of a failure domain records how many members it has.
#[test]
fn members_counted_in_store() {
    let platform = Platform::start(Capacity::default());
    let mut members = vec![start_lone("n-1", &platform), start_lone("n-2", &platform)];
    eventually("two members are counted", || size(&platform) == Some(2));
    members.push(start_lone("n-3", &platform));
    eventually("the third is counted", || size(&platform) == Some(3));
}

/// Guards against bounds that are cut after a start for members that were replaced
/// before it: those that have failed are not counted.
#[test]
fn failed_members_uncounted() {
    let platform = Platform::start(Capacity::default());
    let members = ["n-1", "n-2"].map(|name| start_lone(name, &platform));
    let failed = Record {
        state: State::Failed,
        ..ended("n-3")
    };
    for member in &members {
        let mut fleet = member.node.members.fleet.lock().expect("not poisoned");
        fleet.merge_all(vec![failed.clone()], member.node.clock.now());
    }
    eventually("two members are counted", || size(&platform) == Some(2));
}

/// A daemon that starts without the store learns the size of the fleet from a peer.
#[test]
fn count_taken_over() {
    let platform = Platform::start(Capacity::default());
    platform.write("seeds", "b-size", &json!({"d": "b", "n": 4}));
    let first = start_lone("n-1", &platform);
    let fleet_size = |node: &Node| {
        let fleet = node.members.fleet.lock().expect("not poisoned");
        fleet.is_counted().then(|| fleet.size())
    };
    eventually("sizes from the store", || {
        fleet_size(&first.node) == Some(5)
    });
    platform.set_faults(Faults::DOWN);
    let late = start_beside(lone("n-2", &platform), &first.node);
    eventually("sizes from the peer", || fleet_size(&late.node) == Some(6));
}

/// Starts the only daemon of failure domain `domain`.
fn start_in(domain: &str, platform: &Platform, secret: &Arc<str>) -> Member {
    let mut settings = lone(&format!("n-{domain}"), platform);
    settings.fleet_secret = Arc::clone(secret);
    settings.domain = name(domain);
    Member::start(settings, Options::default())
}

/// Guards against a fleet that stays in groups, with a lender each: failure domains
/// that had met one other turned to no further one.
#[test]
fn separate_groups_meet() {
    // Each pair meets by rows of its own.
    let platforms = [(); 2].map(|()| Platform::start(Capacity::default()));
    let secret = secret(&platforms[0].base());
    let start = |domain, platform| start_in(domain, platform, &secret);
    let pairs = [["a", "b"], ["c", "d"]];
    let members = [0, 1].map(|pair| pairs[pair].map(|domain| start(domain, &platforms[pair])));
    let nodes = members
        .iter()
        .flatten()
        .map(|member| Arc::clone(&member.node))
        .collect::<Vec<_>>();
    eventually("both pairs have met", || {
        nodes.iter().all(|node| {
            let has_exchanged = node.members.exchanged.load(Ordering::Relaxed);
            has_exchanged && live(node) == 2
        })
    });
    for node in &nodes[2..] {
        let own = own_record(node);
        let row = serde_json::to_value(&own).expect("a record");
        platforms[0].write("seeds", &format!("{}-0", own.profile.domain), &row);
    }
    eventually("all have met", || nodes.iter().all(|node| live(node) == 4));
}
