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

/// Verdict on the heartbeat of a new incarnation that accepts calls.
const NEW: Verdict = Verdict::New { leaving: false };
/// Verdict on a heartbeat of the registered incarnation once it leaves.
const LEAVING: Verdict = Verdict::Current { leaving: true };

/// Sends the heartbeat of an incarnation of `i-1`.
fn beat(registration: &mut Registration, born_ms: u64, sequence: u64, leaving: bool) -> Verdict {
    let incarnation = incarnation("i-1", born_ms);
    registration.heartbeat(&incarnation, sequence, leaving, Moment::ZERO)
}

#[test]
fn leaving_is_permanent() {
    let mut registration = Registration::default();
    assert_eq!(beat(&mut registration, 10, 1, false), NEW);
    assert_eq!(beat(&mut registration, 10, 2, true), LEAVING);
    assert_eq!(beat(&mut registration, 10, 1, false), Verdict::Stale);
    assert_eq!(beat(&mut registration, 10, 3, false), LEAVING);
}

#[test]
fn restart_keeps_instance() {
    let mut registration = Registration::default();
    beat(&mut registration, 10, 90, true);
    // The new incarnation restarts its sequence and accepts calls.
    assert_eq!(beat(&mut registration, 20, 1, false), NEW);
    assert_eq!(beat(&mut registration, 10, 91, false), Verdict::Stale);
}

#[test]
fn deregister_before_draining() {
    let mut registration = Registration::default();
    beat(&mut registration, 10, 1, false);
    let name: Arc<str> = "i-1".into();
    assert!(!registration.deregister(&"i-2".into(), None));
    assert!(!registration.deregister(&name, Some(9)));
    assert!(registration.deregister(&name, Some(10)));
    assert_eq!(beat(&mut registration, 10, 2, false), LEAVING);
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
    assert_eq!(
        beat(&mut registration, 10, 7, false),
        Verdict::Current { leaving: false }
    );
    assert_eq!(beat(&mut registration, 10, 7, false), Verdict::Stale);
    assert_eq!(beat(&mut registration, 20, 1, false), NEW);
}

#[test]
fn adopted_instance_deregistered() {
    let mut registration = Registration::default();
    registration.adopt(&"i-1".into());
    assert!(registration.deregister(&"i-1".into(), Some(10)));
    assert_eq!(beat(&mut registration, 10, 8, false), LEAVING);
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
    assert_eq!(beat(&mut after, 10, 5, false), LEAVING);
    let verdict = beat(&mut after, 30, 1, false);
    assert_eq!(verdict, NEW, "a new incarnation");
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
    let verdict = registration.heartbeat(&target, 4, false, until);
    assert_eq!(verdict, NEW);
    let mut registration = Registration::default();
    registration.defer_until(until);
    registration.end_deferral();
    let verdict = registration.heartbeat(&target, 4, false, early);
    assert_eq!(verdict, NEW);
}

/// Guards against a departure of an earlier run that a peer returns, and that keeps a
/// later run of the same instance out for good once a health check has found it.
#[test]
fn earlier_departure_returned() {
    let mut registration = Registration::default();
    assert!(registration.adopt(&"i-1".into()));
    assert!(registration.deregister(&"i-1".into(), Some(10)));
    assert_eq!(beat(&mut registration, 20, 1, false), NEW);
    assert_eq!(beat(&mut registration, 10, 9, false), Verdict::Stale);
}

/// Guards against the departure of a former instance that a peer returns, and that keeps
/// out the next instance, found by a health check, until its heartbeat.
#[test]
fn next_instance_adopted() {
    let mut registration = Registration::default();
    assert!(registration.deregister(&"i-1".into(), Some(10)));
    assert!(!registration.adopt(&"i-1".into()));
    assert!(registration.adopt(&"i-2".into()));
    assert_eq!(beat(&mut registration, 10, 9, false), Verdict::Stale);
}
