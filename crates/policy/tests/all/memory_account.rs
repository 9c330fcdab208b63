//! Reservations stay inside the limits, and no holder takes what others need.

use std::time::Duration;

use cardamomshed_policy::Moment;
use cardamomshed_policy::memory::{
    Account, Activity, Cause, ConnectionKey, Kind, Limits, Reader, Slow, replaceable,
};

use crate::check;

const MIB: usize = 1024 * 1024;
const STALL: Duration = Duration::from_secs(5);

const LIMITS: Limits = Limits {
    total: 56 * MIB,
    bodies: 48 * MIB,
    requests: 32 * MIB,
    connections: 28 * MIB,
};

fn account() -> Account {
    Account::new(LIMITS)
}

/// Guards against a sum of reservations beyond a limit, for any order of reservations
/// and releases. Each step gives a kind, a size and whether it is a release.
fn within_limits(steps: Vec<(u8, u32, bool)>) -> bool {
    let limits = LIMITS;
    let mut account = account();
    let mut reserved = Vec::new();
    steps.into_iter().all(|(kind, bytes, releases)| {
        let kind = Kind::ALL[usize::from(kind) % Kind::ALL.len()];
        if releases && let Some((kind, bytes)) = reserved.pop() {
            account.release(kind, bytes);
        } else if account.reserve(kind, bytes as usize % (16 * MIB)) {
            reserved.push((kind, bytes as usize % (16 * MIB)));
        }
        let sum = |kinds: &[Kind]| {
            let of_kinds = reserved.iter().filter(|(kind, _)| kinds.contains(kind));
            of_kinds.map(|(_, bytes)| bytes).sum::<usize>()
        };
        account.total() == sum(&Kind::ALL)
            && sum(&Kind::ALL) <= limits.total
            && sum(&[Kind::Request, Kind::Response]) <= limits.bodies
            && sum(&[Kind::Request]) <= limits.requests
            && sum(&[Kind::Connection]) <= limits.connections
    })
}

#[test]
fn sum_bounded() {
    check(within_limits as fn(Vec<(u8, u32, bool)>) -> bool);
}

/// Guards against one connection that holds so much that responses to others find no
/// memory. Each size is that of a response for the same connection.
fn others_served(sizes: Vec<u32>) -> bool {
    let mut account = account();
    let mut held = 0;
    for bytes in sizes {
        let bytes = bytes as usize % (8 * MIB);
        if account.may_hold(held, bytes, 1) && account.reserve(Kind::Response, bytes) {
            held += bytes;
        }
    }
    // Half of the memory for bodies, and one response beyond it.
    held <= 32 * MIB && account.reserve(Kind::Response, 8 * MIB)
}

#[test]
fn holder_bounded() {
    check(others_served as fn(Vec<u32>) -> bool);
}

/// Guards against a refusal of the largest request or response in calm, on a machine of
/// 160 MiB.
#[test]
fn single_request_fits() {
    for kind in [Kind::Request, Kind::Response] {
        let mut account = Account::new(Limits::new(160 * MIB, 64 * MIB));
        assert!(account.may_hold(0, 64 * MIB, 0));
        assert!(account.reserve(kind, 64 * MIB), "{kind:?}");
        assert!(!account.is_full(), "{kind:?}");
    }
}

fn reader(key: u64, held: usize, written: u64, progressed: Moment) -> Reader {
    Reader {
        key: ConnectionKey(key),
        held,
        written,
        began: Moment::ZERO,
        progressed,
    }
}

/// Guards against a reader that keeps its memory without reading, and against closing
/// one early while there is room.
#[test]
fn stalled_reader_closed() {
    let mut account = account();
    let readers = [reader(1, MIB, 0, Moment::ZERO)];
    let closed = |account: &Account, seconds: u64| {
        account.slow_readers(&readers, Moment::from_millis(seconds * 1_000), STALL)
    };
    assert!(account.reserve(Kind::Response, MIB));
    assert_eq!(closed(&account, 29), []);
    let stalled = Slow {
        key: ConnectionKey(1),
        cause: Cause::Stalled,
    };
    assert_eq!(closed(&account, 30), [stalled]);
    assert!(account.reserve(Kind::Response, 36 * MIB));
    assert_eq!(closed(&account, 4), []);
    assert_eq!(closed(&account, 5), [stalled]);
}

/// Guards against closing a fast reader, or one that holds little, for a slow one.
#[test]
fn slowest_reader_closed() {
    let mut account = account();
    assert!(account.reserve(Kind::Response, 44 * MIB));
    assert!(account.is_full());
    let now = Moment::from_millis(2_000);
    let readers = [
        reader(1, 20 * MIB, 40 << 20, now),
        reader(2, 20 * MIB, 1 << 20, now),
        reader(3, MIB, 1 << 10, now),
        reader(4, 3 * MIB, 1 << 10, now),
    ];
    let closed = account.slow_readers(&readers, now, STALL);
    let keys = closed.iter().map(|slow| slow.key.0).collect::<Vec<_>>();
    assert_eq!(keys, [4, 3, 2]);
}

/// Guards against closing a connection with a request that may have run.
#[test]
fn idle_connection_replaced() {
    let at = Moment::from_millis;
    let connections = [
        (ConnectionKey(1), Activity::Busy),
        (ConnectionKey(2), Activity::Receiving(at(100))),
        (ConnectionKey(3), Activity::Idle(at(900))),
        (ConnectionKey(4), Activity::Idle(at(800))),
    ];
    assert_eq!(replaceable(connections, at(9_000)), Some(ConnectionKey(4)));
    let busy = &connections[..2];
    assert_eq!(
        replaceable(busy.to_vec(), at(9_000)),
        Some(ConnectionKey(2))
    );
    assert_eq!(replaceable(busy.to_vec(), at(1_000)), None);
}
