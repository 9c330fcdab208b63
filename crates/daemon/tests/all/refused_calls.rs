//! Calls that a daemon reports as not run never run, and those that may have run are
//! not reported so.

use std::time::Duration;

use cardamomshed_code::{Code, Ran};
use cardamomshed_daemon::Options;
use cardamomshed_standin::client::eventually;
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::peer::Dialler;
use cardamomshed_standin::shape::Shape;
use cardamomshed_wire::Frame;

use crate::link_resume::{call_frame, dial, with_daemon};

/// Time in which a call that waited for a slot would start once there is one.
const START_TIME: Duration = Duration::from_millis(300);

/// A daemon whose target has one slot and does not answer.
fn hung_fleet() -> Fleet {
    let shape = Shape::chain(1, 1, 1, Duration::from_millis(2));
    let fleet = Fleet::start(shape, Kind::Daemon(Options::default()));
    fleet.targets[0].change(|behaviour| behaviour.hung = true);
    fleet
}

/// Sends a call without a body.
async fn send(fake: &mut Dialler, id: u64, timeout_ms: u32) {
    let mut call = call_frame(id, 0);
    call.timeout_ms = timeout_ms;
    fake.send(&Frame::Call(Box::new(call)), &[]).await;
}

/// Receives a refusal. Returns the call's id, the code and whether the call ran.
async fn refusal(fake: &mut Dialler) -> (u64, Code, Ran) {
    match fake.receive().await {
        Some((Frame::Refusal(refusal), _)) => (refusal.id, refusal.code, refusal.ran),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against a call that runs after its caller was told that it was cancelled.
#[test]
fn cancelled_in_queue() {
    let fleet = hung_fleet();
    let target = &fleet.targets[0];
    with_daemon(&fleet, |node| async move {
        let mut fake = dial(&node).await;
        send(&mut fake, 1, 5_000).await;
        send(&mut fake, 2, 5_000).await;
        tokio::time::sleep(START_TIME).await;
        fake.send(&Frame::Cancel { id: 2 }, &[]).await;
        fake.send(&Frame::Cancel { id: 1 }, &[]).await;
        tokio::time::sleep(START_TIME).await;
    });
    eventually("the first call has ended", || target.running() == 0);
    assert_eq!(target.total(), 1);
}

/// Guards against a call that runs after it was refused for its wait in the queue.
#[test]
fn refused_in_queue() {
    let fleet = hung_fleet();
    let refused = with_daemon(&fleet, |node| async move {
        let mut fake = dial(&node).await;
        send(&mut fake, 1, 5_000).await;
        send(&mut fake, 2, 400).await;
        let refused = refusal(&mut fake).await;
        fake.send(&Frame::Cancel { id: 1 }, &[]).await;
        tokio::time::sleep(START_TIME).await;
        refused
    });
    assert_eq!((refused.0, refused.2), (2, Ran::No));
    assert_eq!(fleet.targets[0].total(), 1);
}

/// Guards against a call that runs after it was refused because its target leaves.
#[test]
fn refused_when_leaving() {
    let fleet = hung_fleet();
    let refused = with_daemon(&fleet, |node| async move {
        node.local_target.set_leaving();
        let mut fake = dial(&node).await;
        send(&mut fake, 1, 5_000).await;
        let refused = refusal(&mut fake).await;
        tokio::time::sleep(START_TIME).await;
        refused
    });
    assert_eq!(refused, (1, Code::Leaving, Ran::No));
    assert_eq!(fleet.targets[0].total(), 0);
}

/// Guards against a call that ran out of time on its target and is reported as not run.
#[test]
fn unanswered_call_unknown() {
    let fleet = hung_fleet();
    let refused = with_daemon(&fleet, |node| async move {
        let mut fake = dial(&node).await;
        send(&mut fake, 1, 400).await;
        refusal(&mut fake).await
    });
    assert_eq!(refused, (1, Code::TargetTimeout, Ran::Unknown));
    assert_eq!(fleet.targets[0].total(), 1);
}
