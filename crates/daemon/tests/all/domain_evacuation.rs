//! Operators evacuate failure domains by rows in the store.

use std::time::Duration;

use cardamomshed_standin::client::eventually;
use cardamomshed_standin::platform::Faults;
use serde_json::json;

use crate::placed_fleet::Fleet;
use crate::platform_sidecar::eventually_status;

/// Names of the evacuated failure domains as the daemon of a site knows them.
fn evacuated(fleet: &Fleet, site: usize) -> Vec<String> {
    let node = &fleet.sites[site].member.node;
    let domains = node.evacuation.domains.lock().expect("not poisoned");
    domains.iter().map(ToString::to_string).collect()
}

/// Waits until every daemon knows exactly these domains as evacuated.
fn await_evacuated(fleet: &Fleet, domains: &[&str]) {
    eventually("the evacuations are known", || {
        (0..fleet.sites.len()).all(|site| evacuated(fleet, site) == domains)
    });
}

fn evacuate(fleet: &Fleet, domain: &str) {
    fleet
        .platform
        .write("op", &format!("evacuate/{domain}"), &json!({}));
}

/// Guards against a request that reaches a target of an evacuated domain from a daemon
/// there or elsewhere, against an evacuation that does not end, and against a row for
/// an unknown domain that changes anything.
#[test]
fn rows_followed() {
    let fleet = Fleet::start();
    fleet.configure(3, |_| {});
    assert_eq!(fleet.runs_of(0, 10), [10, 0, 0]);
    evacuate(&fleet, "nowhere");
    evacuate(&fleet, &"x".repeat(10_000));
    evacuate(&fleet, "a");
    await_evacuated(&fleet, &["a"]);
    for site in 0..3 {
        assert_eq!(fleet.runs_of(site, 20)[0], 0);
    }
    // The whole region is evacuated, so that the other one serves.
    evacuate(&fleet, "b");
    await_evacuated(&fleet, &["a", "b"]);
    assert_eq!(fleet.runs_of(0, 10), [0, 0, 10]);
    evacuate(&fleet, "c");
    await_evacuated(&fleet, &["a", "b", "c"]);
    assert_eq!(fleet.get(2, "/open/").send().status, 503);
    for domain in ["a", "b", "c"] {
        fleet.platform.remove("op", &format!("evacuate/{domain}"));
    }
    await_evacuated(&fleet, &[]);
    assert_eq!(fleet.runs_of(0, 10), [10, 0, 0]);
}

/// Guards against the calls of a daemon that cannot reach the store: it follows its
/// peers, and keeps what it knows when the store is away.
#[test]
fn peers_inform() {
    let fleet = Fleet::start_with(8, Some(1));
    fleet.configure(3, |_| {});
    assert_eq!(fleet.runs_of(1, 10), [10, 0, 0]);
    evacuate(&fleet, "a");
    await_evacuated(&fleet, &["a"]);
    assert_eq!(fleet.runs_of(1, 20), [0, 0, 20]);
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(fleet.runs_of(1, 20), [0, 0, 20]);
    fleet.platform.set_faults(Faults::default());
    fleet.platform.remove("op", "evacuate/a");
    await_evacuated(&fleet, &[]);
    assert_eq!(fleet.runs_of(1, 10), [10, 0, 0]);
}

/// Guards against a daemon that forgets the evacuation when it starts anew and then
/// admits calls to its own target, or chooses that of another.
#[test]
fn restart_keeps_evacuation() {
    let mut fleet = Fleet::start();
    fleet.configure(3, |_| {});
    evacuate(&fleet, "a");
    await_evacuated(&fleet, &["a"]);
    let runs = fleet.sites[0].runs();
    for site in [0, 1] {
        fleet.restart(site);
        eventually_status(200, || fleet.get(site, "/open/").send());
        assert_eq!(fleet.runs_of(site, 10)[0], 0);
    }
    assert_eq!(fleet.sites[0].runs(), runs);
}

/// Guards against an evacuation that a restored store ends although its row is only
/// missing until the operator writes it again.
#[test]
fn restored_store_held() {
    let fleet = Fleet::start();
    fleet.configure(3, |_| {});
    evacuate(&fleet, "a");
    await_evacuated(&fleet, &["a"]);
    fleet.platform.set_era(1);
    fleet.platform.remove("op", "evacuate/a");
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(evacuated(&fleet, 0), ["a"]);
    assert_eq!(fleet.runs_of(0, 10)[0], 0);
    evacuate(&fleet, "a");
    await_evacuated(&fleet, &["a"]);
}

/// Guards against a call that waits beside an evacuated target and then runs there, or
/// that is lost: it is refused as not run and served elsewhere, without a retry. The
/// call that runs when the evacuation begins ends there.
#[test]
fn waiting_calls_rerouted() {
    let fleet = Fleet::start_with(1, None);
    fleet.configure(3, |value| {
        value["routes"]["r-open"]["max-attempts"] = json!(1);
    });
    fleet.hold(true);
    let before = fleet.sites[0].runs();
    let pending = (0..6).map(|_| {
        let request = fleet.get(0, "/open/");
        std::thread::spawn(move || request.send().status)
    });
    let pending = pending.collect::<Vec<_>>();
    eventually("a call waits", || {
        fleet.sites[0].member.node.local_target.load().waiting > 0
    });
    evacuate(&fleet, "a");
    await_evacuated(&fleet, &["a"]);
    fleet.hold(false);
    for request in pending {
        assert_eq!(request.join().expect("a response"), 200);
    }
    assert_eq!(fleet.sites[0].runs(), before + 1);
}

/// Guards against a call that reaches an evacuated target from a daemon that does not
/// know of the evacuation yet, or that is refused there and nowhere else tried.
#[test]
fn unaware_caller_refused() {
    let fleet = Fleet::start();
    fleet.configure(3, |value| {
        value["routes"]["r-open"]["max-attempts"] = json!(1);
    });
    // Only the guard beside the target learns of it.
    let node = &fleet.sites[0].member.node;
    node.evacuation.apply(&["a".into()].into());
    assert_eq!(fleet.runs_of(0, 10), [0, 10, 0]);
    node.evacuation.apply(&[].into());
    assert_eq!(fleet.runs_of(0, 10), [10, 0, 0]);
}
