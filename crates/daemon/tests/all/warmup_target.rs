//! A target that is cold gets no more requests than it sustains, however its daemon
//! learns of it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cardamomshed_platform::header;
use cardamomshed_standin::client::{Request, eventually};
use serde_json::json;

use crate::platform_sidecar::{Deployment, config, eventually_status};
use crate::signed_target::serve;

/// Requests in a second that a cold target of the deployment may receive: 1.5 times its
/// rate of 14, and 8 more.
const BOUND: usize = 29;
const SECOND: Duration = Duration::from_secs(1);
/// Callers that send one request after another. Together they exceed the bound.
const CALLERS: usize = 8;

/// A deployment that serves requests, with the rate of a cold target where given.
fn serving(rate: Option<f64>) -> Deployment {
    let mut fleet = Deployment::start();
    let mut config = config(3, "key-one");
    if let Some(rate) = rate {
        config["services"]["s-two"]["warmup"] = json!("3s");
        config["services"]["s-two"]["warmup-per-s"] = json!(rate);
    }
    fleet.platform.write("op", "config", &config);
    fleet.heartbeat("ready");
    eventually_status(200, || fleet.get("/open/").send());
    fleet
}

/// Sends requests for `length`, and returns the largest number that the target received
/// in a second meanwhile. None may arrive later.
fn peak(fleet: &Deployment, length: Duration) -> usize {
    let callers = fleet.first.node.settings.callers;
    let started = Instant::now();
    let send = move |caller: usize| {
        let mut number = 0;
        while started.elapsed() < length {
            number += 1;
            Request::get(callers, "/open/")
                .header("host", "h.example")
                .header(header::ATTEMPT, &format!("{caller:08x}{number:08x}"))
                .header(header::DEADLINE, "1500")
                .send();
        }
    };
    let threads = (0..CALLERS).map(|caller| std::thread::spawn(move || send(caller)));
    for thread in threads.collect::<Vec<_>>() {
        thread.join().expect("the caller completes");
    }
    let arrivals = fleet.observed.arrivals.lock().expect("not poisoned");
    let arrivals = arrivals.iter().filter(|arrival| **arrival >= started);
    let arrivals = arrivals.collect::<Vec<_>>();
    let until = |end: &Instant| {
        let recent = arrivals
            .iter()
            .filter(|arrival| ***arrival <= *end && end.duration_since(***arrival) < SECOND);
        recent.count()
    };
    arrivals.iter().map(|end| until(end)).max().unwrap_or(0)
}

/// Sets what the target reports in health checks.
fn set_cold(fleet: &Deployment, instance: &str, left: Duration) {
    let identity = Some((instance.to_owned(), Instant::now() + left));
    *fleet.observed.identity.lock().expect("not poisoned") = identity;
}

/// Slots of the target that its daemon advertises to the other one.
fn advertised_slots(fleet: &Deployment) -> u32 {
    let members = fleet.first.node.members.fleet.lock().expect("not poisoned");
    members.get("n-2").map_or(0, |record| record.profile.slots)
}

/// Guards against a restart under the same identity that goes unnoticed, and against a
/// limit that outlasts the cold time.
#[test]
fn same_identity_limited() {
    let mut fleet = serving(Some(14.0));
    assert!(peak(&fleet, SECOND) > BOUND, "warm");
    fleet.sequence = 0;
    fleet.heartbeat_of("i-1", 20, "ready", 2_500);
    let cold_calls = || fleet.second.node.metrics.cold_calls.get();
    let before = cold_calls();
    // The last calls may end after the cold time, so the slots are read meanwhile.
    let (peak_cold, fewest_slots) = std::thread::scope(|scope| {
        let load = scope.spawn(|| peak(&fleet, Duration::from_secs(2)));
        let mut fewest_slots = u32::MAX;
        while !load.is_finished() {
            fewest_slots = fewest_slots.min(advertised_slots(&fleet));
            std::thread::sleep(Duration::from_millis(20));
        }
        (load.join().expect("the load completes"), fewest_slots)
    });
    assert!((5..=BOUND).contains(&peak_cold), "{peak_cold} in a second");
    assert!(cold_calls() > before);
    assert!(
        (1..8).contains(&fewest_slots),
        "{fewest_slots} slots when cold"
    );
    eventually("the target is warm", || advertised_slots(&fleet) == 8);
    assert!(peak(&fleet, SECOND) > BOUND, "warm again");
}

/// Guards against a new instance at the same address that gets what the former one
/// sustained.
#[test]
fn other_identity_limited() {
    let mut fleet = serving(Some(14.0));
    set_cold(&fleet, "i-2", Duration::from_secs(5));
    fleet.heartbeat_of("i-2", 20, "ready", 5_000);
    let peak_cold = peak(&fleet, Duration::from_secs(2));
    assert!((5..=BOUND).contains(&peak_cold), "{peak_cold} in a second");
    assert_eq!(
        fleet.observed.header(header::EXPECTED_INSTANCE).as_deref(),
        Some("i-2")
    );
}

/// Guards against a target that crashed and comes back cold getting what it sustains
/// when warm until its heartbeat, and against a late heartbeat that hides the crash.
#[test]
fn crash_limited() {
    let mut fleet = serving(Some(14.0));
    fleet.observed.health.store(true, Ordering::Relaxed);
    drop(fleet.thread.take());
    eventually("a connection has failed", || {
        fleet.get("/open/").send();
        fleet.second.node.local_target.needs_check()
    });
    set_cold(&fleet, "i-1", Duration::from_secs(5));
    let observed = Arc::clone(&fleet.observed);
    fleet.thread = Some(serve(fleet.target, &observed).0);
    fleet.heartbeat("ready");
    let peak_cold = peak(&fleet, Duration::from_secs(2));
    assert!((1..=BOUND).contains(&peak_cold), "{peak_cold} in a second");
    let checks = observed.checks.load(Ordering::Relaxed);
    assert!((1..=5).contains(&checks), "{checks} health checks");
    fleet.heartbeat("ready");
    assert!(
        fleet.second.node.local_target.is_cold(),
        "a late heartbeat does not end the cold time"
    );
}

/// Guards against a daemon that restarts and treats a target as warm before anything
/// shows that it is.
#[test]
fn restarted_daemon_limits() {
    let mut fleet = serving(Some(14.0));
    fleet.observed.health.store(true, Ordering::Relaxed);
    set_cold(&fleet, "i-1", Duration::from_secs(9));
    fleet.restart_second();
    eventually_status(200, || fleet.get("/open/").send());
    let peak_cold = peak(&fleet, Duration::from_secs(2));
    assert!((1..=BOUND).contains(&peak_cold), "{peak_cold} in a second");
}

/// Guards against health checks and limits where the configuration sets no rate.
#[test]
fn without_rate_unchanged() {
    let mut fleet = serving(None);
    fleet.observed.health.store(true, Ordering::Relaxed);
    let checks = fleet.observed.checks.load(Ordering::Relaxed);
    drop(fleet.thread.take());
    for _ in 0..5 {
        fleet.get("/open/").send();
    }
    let observed = Arc::clone(&fleet.observed);
    fleet.thread = Some(serve(fleet.target, &observed).0);
    fleet.heartbeat_of("i-1", 20, "ready", 5_000);
    assert!(peak(&fleet, Duration::from_secs(2)) > BOUND);
    assert_eq!(observed.checks.load(Ordering::Relaxed), checks);
    assert_eq!(fleet.second.node.metrics.cold_calls.get(), 0);
    assert_eq!(advertised_slots(&fleet), 8);
}
