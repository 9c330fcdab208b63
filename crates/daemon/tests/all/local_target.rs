//! Announcements of the local target, its admission limit, and its gate during the
//! shutdown of the daemon.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::Code;
use cardamomshed_daemon::clock::Clock;
use cardamomshed_daemon::target::{Announcement, Attributes, Effect, Target};
use cardamomshed_policy::admission::Rank;
use cardamomshed_policy::{AccountKey, Priority, RouteKey};

fn announcement(instance: Option<&str>) -> Announcement {
    Announcement {
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 8,
        connections: 64,
        cold_start_ms: 3_000,
        leaving: false,
        instance: instance.map(Arc::from),
    }
}

fn attributes(clock: &Clock) -> Attributes<'static> {
    Attributes {
        service: "s",
        route: RouteKey(0),
        account: AccountKey(0),
        priority: Priority::High,
        depth: 0,
        rank: Rank::MOST_IMPORTANT,
        deadline: clock.now() + Duration::from_secs(1),
    }
}

#[actix_web::rt::test]
async fn heartbeat_keeps_gate_closed() {
    let clock = Clock::start();
    let target = Target::new(clock);
    assert_eq!(target.announce(announcement(Some("i-1"))), Effect::New);
    let permit = target
        .acquire(attributes(&clock))
        .await
        .expect("a free slot");
    target.withdraw();
    target.close();
    // The target still sends heartbeats: they do not reopen the gate, and the
    // running call is still counted.
    assert_eq!(
        target.announce(announcement(Some("i-1"))),
        Effect::Unchanged
    );
    let refused = target.acquire(attributes(&clock)).await.err();
    assert_eq!(refused, Some(Code::Leaving));
    assert!(!target.is_idle());
    drop(permit);
    assert!(target.is_idle());
    // A daemon that shuts down does not admit calls for a new incarnation
    // either.
    target.announce(announcement(Some("i-2")));
    let refused = target.acquire(attributes(&clock)).await.err();
    assert_eq!(refused, Some(Code::Leaving));
}

#[actix_web::rt::test]
async fn cold_instance_keeps_slots() {
    let clock = Clock::start();
    let target = Target::new(clock);
    target.announce(announcement(Some("i-1")));
    assert_eq!(
        target.load().limit,
        8,
        "a cold instance is slow but keeps its slots"
    );
    target.announce(announcement(None));
    assert!(
        target.load().limit < 8,
        "a target without an instance ramps up"
    );
}
