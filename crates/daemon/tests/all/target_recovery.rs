//! A daemon that restarts beside a living target, while the store or the target
//! does not answer at first.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cardamomshed_daemon::Options;
use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::fleet::Member;
use cardamomshed_standin::platform::Faults;

use crate::live;
use crate::platform_sidecar::{Deployment, eventually_status};

#[test]
fn store_outage_retried() {
    let mut fleet = Deployment::serving();
    fleet.observed.health.store(true, Ordering::Relaxed);
    fleet.platform.set_faults(Faults::DOWN);
    fleet.restart_second();
    std::thread::sleep(Duration::from_millis(700));
    fleet.platform.set_faults(Faults::default());
    eventually_status(200, || fleet.get("/open/").send());
}

#[test]
fn failed_check_retried() {
    let mut fleet = Deployment::serving();
    fleet.observed.health.store(false, Ordering::Relaxed);
    fleet.restart_second();
    let node = &fleet.second.node;
    eventually("a configuration", || node.lookup().config.revision > 0);
    std::thread::sleep(Duration::from_millis(300));
    fleet.observed.health.store(true, Ordering::Relaxed);
    eventually_status(200, || fleet.get("/open/").send());
}

#[test]
fn late_heartbeat_deferred() {
    let mut fleet = Deployment::serving();
    assert_eq!(fleet.heartbeat("draining").status, 200);
    fleet.platform.set_faults(Faults::DOWN);
    fleet.restart_second();
    let runs = fleet.observed.runs.load(Ordering::Relaxed);
    // A heartbeat from before the target drained arrives before the store does.
    assert_eq!(fleet.heartbeat("ready").status, 200);
    for _ in 0..10 {
        assert_eq!(fleet.get("/open/").send().status, 503);
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.platform.set_faults(Faults::default());
    std::thread::sleep(Duration::from_secs(1));
    fleet.heartbeat("ready");
    let target = &fleet.second.node.local_target;
    assert!(target.announcement().is_none() || target.is_leaving());
    assert_eq!(fleet.get("/open/").send().status, 503);
    assert_eq!(fleet.observed.runs.load(Ordering::Relaxed), runs);
}

#[test]
fn unread_departure_expires() {
    let mut fleet = Deployment::serving();
    fleet.platform.set_faults(Faults::DOWN);
    fleet.restart_second();
    // With the store away for long, heartbeats alone register the target.
    let node = std::sync::Arc::clone(&fleet.second.node);
    eventually("the target is registered", || {
        fleet.heartbeat("ready");
        std::thread::sleep(Duration::from_millis(100));
        node.local_target.announcement().is_some()
    });
}

#[test]
fn seed_row_replaced() {
    let mut fleet = Deployment::serving();
    let peer_of = |fleet: &Deployment| {
        let rows = (0..3).filter_map(|number| fleet.platform.peek("seeds", &format!("a-{number}")));
        let own = rows
            .into_iter()
            .find(|row| row["n"].as_str() == Some("n-2"));
        own.and_then(|row| row["p"]["p"].as_str().map(str::to_owned))
    };
    eventually("a seed row", || peer_of(&fleet).is_some());
    fleet.restart_second();
    let address = fleet.second.node.settings.peers.to_string();
    eventually("the row names the new address", || {
        peer_of(&fleet).as_deref() == Some(&address)
    });
}

/// Both daemons list each other as live.
fn await_members(fleet: &Deployment) {
    eventually("two members", || {
        live(&fleet.first.node) == 2 && live(&fleet.second.node) == 2
    });
}

/// Guards against a departure that was acknowledged while the store was away and is
/// forgotten by a restart of the daemon.
#[test]
fn departure_returned_by_peer() {
    let mut fleet = Deployment::serving();
    await_members(&fleet);
    fleet.observed.health.store(true, Ordering::Relaxed);
    fleet.platform.set_faults(Faults::DOWN);
    assert_eq!(fleet.heartbeat("draining").status, 200);
    fleet.restart_in_place();
    let runs = fleet.observed.runs.load(Ordering::Relaxed);
    // Late heartbeats, while they are deferred and afterwards.
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        assert_eq!(fleet.heartbeat("ready").status, 200);
        assert_eq!(fleet.get("/open/").send().status, 503);
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(fleet.observed.runs.load(Ordering::Relaxed), runs);
    // The restarted daemon confirms a repeated notice, and admits the next target.
    assert_eq!(fleet.heartbeat("draining").status, 200);
    fleet.platform.set_faults(Faults::default());
    fleet.heartbeat_of("i-1", 20, "ready", 0);
    eventually_status(200, || fleet.get("/open/").send());
}

/// Guards against the same where the store answers again before the restart, without the
/// row of the departure.
#[test]
fn departure_missing_in_store() {
    let mut fleet = Deployment::serving();
    await_members(&fleet);
    fleet.observed.health.store(true, Ordering::Relaxed);
    fleet.platform.set_faults(Faults::DOWN);
    assert_eq!(fleet.heartbeat("draining").status, 200);
    let settings = fleet.second.node.settings.clone();
    fleet.second.leave();
    fleet.platform.set_faults(Faults::default());
    let runs = fleet.observed.runs.load(Ordering::Relaxed);
    fleet.second = Member::start(settings, Options::default());
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        fleet.heartbeat("ready");
        assert_eq!(fleet.get("/open/").send().status, 503);
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(fleet.observed.runs.load(Ordering::Relaxed), runs);
    let row = || fleet.platform.peek("leaving", "n-2");
    eventually("the departure is stored", || row().is_some());
}

/// Guards against the acknowledgement of a departure that nothing but the daemon knows.
#[test]
fn unconfirmed_departure_unacknowledged() {
    let mut fleet = Deployment::serving();
    await_members(&fleet);
    fleet.first.leave();
    let node = Arc::clone(&fleet.second.node);
    eventually("no other member", || live(&node) == 1);
    fleet.platform.set_faults(Faults::DOWN);
    assert_eq!(fleet.heartbeat("draining").status, 503);
    assert!(node.local_target.is_leaving(), "no calls all the same");
    // The same notice again, with the sequence of the first, and a deregistration.
    fleet.sequence -= 1;
    assert_eq!(fleet.heartbeat("draining").status, 503);
    let deregister = || {
        let to = node.settings.target;
        Request::post(to, "/instances/i-1/deregister", br#"{"born":10}"#).send()
    };
    assert_eq!(deregister().status, 503);
    fleet.platform.set_faults(Faults::default());
    eventually_status(200, deregister);
    assert_eq!(fleet.heartbeat("draining").status, 200);
}
