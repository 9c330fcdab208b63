//! Attempts of a call that a target rejected, or whose outcome is unknown.

use std::sync::atomic::Ordering;

use crate::platform_sidecar::{Deployment, eventually_status};

#[test]
fn rejected_call_repeated() {
    let fleet = Deployment::serving();
    // The route allows two targets a request, but a rejection is no execution.
    fleet.observed.rejections.store(3, Ordering::Relaxed);
    let runs = fleet.observed.runs.load(Ordering::Relaxed);
    assert_eq!(fleet.get("/open/").send().status, 200);
    assert_eq!(fleet.observed.runs.load(Ordering::Relaxed), runs + 1);
}

#[test]
fn rejected_call_not_run() {
    let fleet = Deployment::serving();
    fleet.observed.rejections.store(1_000, Ordering::Relaxed);
    let reply = fleet.get("/open/").send();
    assert_eq!(reply.status, 503, "a request that did not run is refused");
    assert!(reply.header("retry-after").is_some());
}

#[test]
fn unknown_outcome_kept() {
    let fleet = Deployment::serving();
    // This route allows a second target.
    let request = || fleet.get("/a/").key("key-one");
    eventually_status(200, || request().send());
    fleet.observed.breaks_off.store(true, Ordering::Relaxed);
    let runs = fleet.observed.runs.load(Ordering::Relaxed);
    let reply = request().send();
    assert!(fleet.observed.runs.load(Ordering::Relaxed) > runs);
    // There is no second target, which does not undo the first attempt.
    assert_eq!(
        reply.status, 502,
        "a request that ran was said not to have run"
    );
}

/// Guards against a promise that a request has not run, passed on from a target that
/// ran it and did not mark its response as a rejection.
#[test]
fn unmarked_status_unknown() {
    let fleet = Deployment::serving();
    for status in [408, 429, 503] {
        fleet.observed.unmarked.store(status, Ordering::Relaxed);
        for path in ["/once/", "/open/"] {
            let runs = fleet.observed.runs.load(Ordering::Relaxed);
            let reply = fleet.get(path).send();
            assert!(fleet.observed.runs.load(Ordering::Relaxed) > runs);
            assert_eq!(reply.status, 502, "{status} at {path}");
        }
    }
}
