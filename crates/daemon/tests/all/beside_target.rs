//! The target that a daemon runs beside: its announcements, its admission limit
//! and its gate during the daemon's shutdown.

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

fn visitor(clock: &Clock) -> Attributes<'static> {
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
    let beside = Target::new(clock);
    assert_eq!(beside.announce(announcement(Some("i-1"))), Effect::New);
    let entry = beside.acquire(visitor(&clock)).await.expect("a free slot");
    beside.withdraw();
    beside.close();
    // The target still sends heartbeats: they do not reopen the gate, and the
    // open call is still counted.
    assert_eq!(
        beside.announce(announcement(Some("i-1"))),
        Effect::Unchanged
    );
    let refused = beside.acquire(visitor(&clock)).await.err();
    assert_eq!(refused, Some(Code::Leaving));
    assert!(!beside.is_idle());
    drop(entry);
    assert!(beside.is_idle());
    // A daemon that shuts down does not admit calls for a new incarnation
    // either.
    beside.announce(announcement(Some("i-2")));
    let refused = beside.acquire(visitor(&clock)).await.err();
    assert_eq!(refused, Some(Code::Leaving));
}

#[actix_web::rt::test]
async fn cold_instance_keeps_slots() {
    let clock = Clock::start();
    let beside = Target::new(clock);
    beside.announce(announcement(Some("i-1")));
    assert_eq!(
        beside.load().limit,
        8,
        "a cold instance is slow but keeps its slots"
    );
    beside.announce(announcement(None));
    assert!(
        beside.load().limit < 8,
        "a target without an instance ramps up"
    );
}
