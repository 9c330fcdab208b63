//! Late, repeated and outdated heartbeats do not change the registered
//! incarnation.

use std::sync::Arc;

use cardamomshed_policy::Moment;
use cardamomshed_policy::registration::{Incarnation, Registration, Verdict};

use crate::check;

fn incarnation(instance: &str, born_ms: u64) -> Incarnation {
    Incarnation {
        instance: instance.into(),
        born_ms,
    }
}

#[test]
fn leaving_is_permanent() {
    let mut registration = Registration::default();
    let first = incarnation("i-1", 10);
    let verdict = registration.heartbeat(&first, 1, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::New { leaving: false });
    let verdict = registration.heartbeat(&first, 2, true, Moment::ZERO);
    assert_eq!(verdict, Verdict::Current { leaving: true });
    assert_eq!(
        registration.heartbeat(&first, 1, false, Moment::ZERO),
        Verdict::Stale
    );
    let verdict = registration.heartbeat(&first, 3, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::Current { leaving: true });
}

#[test]
fn restart_keeps_instance() {
    let mut registration = Registration::default();
    registration.heartbeat(&incarnation("i-1", 10), 90, true, Moment::ZERO);
    // The new incarnation restarts its sequence and accepts calls.
    let verdict = registration.heartbeat(&incarnation("i-1", 20), 1, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::New { leaving: false });
    assert_eq!(
        registration.heartbeat(&incarnation("i-1", 10), 91, false, Moment::ZERO),
        Verdict::Stale
    );
}

#[test]
fn deregister_before_draining() {
    let mut registration = Registration::default();
    let first = incarnation("i-1", 10);
    registration.heartbeat(&first, 1, false, Moment::ZERO);
    let name: Arc<str> = "i-1".into();
    assert!(!registration.deregister(&"i-2".into(), None));
    assert!(!registration.deregister(&name, Some(9)));
    assert!(registration.deregister(&name, Some(10)));
    let verdict = registration.heartbeat(&first, 2, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::Current { leaving: true });
}

#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn rejects_older(heartbeats: Vec<(u8, u8, bool)>) -> bool {
    let mut registration = Registration::default();
    let mut newest = 0;
    heartbeats.iter().all(|(born, sequence, draining)| {
        let born = u64::from(born % 5);
        let verdict = registration.heartbeat(
            &incarnation(&format!("i-{born}"), born),
            u64::from(*sequence),
            *draining,
            Moment::ZERO,
        );
        let before = newest;
        newest = newest.max(born);
        born >= before || verdict == Verdict::Stale
    })
}

#[test]
fn older_incarnation_stale() {
    check(rejects_older as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn healthy_instance_adopted() {
    let mut registration = Registration::default();
    assert!(registration.adopt(&"i-1".into()));
    assert!(
        !registration.adopt(&"i-2".into()),
        "another instance is registered already"
    );
    // The first heartbeat supplies the start; the incarnation stays the same.
    let verdict = registration.heartbeat(&incarnation("i-1", 10), 7, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::Current { leaving: false });
    assert_eq!(
        registration.heartbeat(&incarnation("i-1", 10), 7, false, Moment::ZERO),
        Verdict::Stale
    );
    let verdict = registration.heartbeat(&incarnation("i-1", 20), 1, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::New { leaving: false });
}

#[test]
fn adopted_instance_deregistered() {
    let mut registration = Registration::default();
    registration.adopt(&"i-1".into());
    assert!(registration.deregister(&"i-1".into(), Some(10)));
    let verdict = registration.heartbeat(&incarnation("i-1", 10), 8, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::Current { leaving: true });
}

#[test]
fn departure_survives_restart() {
    let mut before = Registration::default();
    before.heartbeat(&incarnation("i-1", 10), 4, true, Moment::ZERO);
    let leaving = before.leaving().expect("a leaving incarnation").clone();
    // The daemon restarts and loads the stored departure.
    let mut after = Registration::default();
    assert!(after.deregister(&leaving.instance, Some(leaving.born_ms)));
    assert!(!after.adopt(&"i-1".into()));
    let verdict = after.heartbeat(&incarnation("i-1", 10), 5, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::Current { leaving: true });
    let verdict = after.heartbeat(&incarnation("i-1", 30), 1, false, Moment::ZERO);
    assert_eq!(
        verdict,
        Verdict::New { leaving: false },
        "a new incarnation"
    );
}

#[test]
fn unread_departure_deferred() {
    let mut registration = Registration::default();
    let until = Moment::from_millis(2_500);
    registration.defer_until(until);
    let target = incarnation("i-1", 10);
    let early = Moment::from_millis(400);
    let verdict = registration.heartbeat(&target, 4, false, early);
    assert_eq!(verdict, Verdict::Deferred);
    // A departure needs no confirmation by the store.
    let verdict = registration.heartbeat(&target, 5, true, early);
    assert_eq!(verdict, Verdict::New { leaving: true });
    let mut registration = Registration::default();
    registration.defer_until(until);
    assert_eq!(
        registration.heartbeat(&target, 4, false, until),
        Verdict::New { leaving: false }
    );
    let mut registration = Registration::default();
    registration.defer_until(until);
    registration.end_deferral();
    assert_eq!(
        registration.heartbeat(&target, 4, false, early),
        Verdict::New { leaving: false }
    );
}

/// Guards against a departure of an earlier run that a peer returns, and that keeps a
/// later run of the same instance out for good once a health check has found it.
#[test]
fn earlier_departure_returned() {
    let mut registration = Registration::default();
    assert!(registration.adopt(&"i-1".into()));
    assert!(registration.deregister(&"i-1".into(), Some(10)));
    let verdict = registration.heartbeat(&incarnation("i-1", 20), 1, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::New { leaving: false });
    let verdict = registration.heartbeat(&incarnation("i-1", 10), 9, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::Stale);
}

/// Guards against the departure of a former instance that a peer returns, and that keeps
/// out the next instance, found by a health check, until its heartbeat.
#[test]
fn next_instance_adopted() {
    let mut registration = Registration::default();
    assert!(registration.deregister(&"i-1".into(), Some(10)));
    assert!(!registration.adopt(&"i-1".into()));
    assert!(registration.adopt(&"i-2".into()));
    let verdict = registration.heartbeat(&incarnation("i-1", 10), 9, false, Moment::ZERO);
    assert_eq!(verdict, Verdict::Stale);
}
