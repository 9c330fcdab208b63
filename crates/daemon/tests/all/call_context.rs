//! The deadline, the cancellation and the identifier of a request propagate
//! along a chain of services.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::target::Target;

use crate::{chain, get, request_text};

#[test]
fn request_id_forwarded() {
    let fleet = chain(4);
    let reply = get(&fleet, "/hop-0").send();
    assert_eq!(reply.status, 200);
    let request = reply
        .header("x-shed-request")
        .expect("a request identifier")
        .to_owned();
    for service in ["hop-0", "hop-1", "hop-2", "hop-3"] {
        let runs = fleet
            .targets_of(service)
            .map(|target| target.executions().get(&request).copied().unwrap_or(0))
            .sum::<u32>();
        assert_eq!(runs, 1, "{service}");
    }
}

#[test]
fn forged_context_refused() {
    let fleet = chain(2);
    let target = fleet.daemons[0].node.settings.target;
    let missing = Request::get(target, "/hop-1").send();
    assert_eq!((missing.status, missing.code()), (403, 1202));
    let forged = Request::get(target, "/hop-1")
        .header("x-shed-context", &"0".repeat(32))
        .send();
    assert_eq!((forged.status, forged.code()), (403, 1202));
    assert_eq!(fleet.executions(), 0);
}

#[test]
fn deadline_cancels_chain() {
    let fleet = chain(3);
    for target in fleet.targets_of("hop-2") {
        target.change(|behaviour| behaviour.hung = true);
    }
    let reply = get(&fleet, "/hop-0")
        .header("x-shed-timeout-ms", "300")
        .send();
    // 503 if a target earlier in the chain reports the failed call just before
    // the deadline.
    assert!([503, 504].contains(&reply.status), "{reply:?}");
    eventually("every call in the chain has ended", || {
        fleet.targets.iter().all(|target| target.running() == 0)
    });
}

#[test]
fn timeout_outcome_unknown() {
    let fleet = chain(1);
    fleet.change_targets(|behaviour| behaviour.hung = true);
    let reply = get(&fleet, "/hop-0")
        .header("x-shed-timeout-ms", "300")
        .send();
    assert_eq!((reply.status, reply.code()), (504, 1403));
    assert_eq!(reply.ran(), "unknown");
}

#[test]
fn disconnect_cancels_calls() {
    let fleet = chain(2);
    for target in fleet.targets_of("hop-1") {
        target.change(|behaviour| behaviour.hung = true);
    }
    let mut caller =
        TcpStream::connect(fleet.callers()[0]).expect("the daemon accepts connections");
    let head = request_text("/hop-0", &fleet.keys[0]);
    caller
        .write_all(head.as_bytes())
        .expect("the connection is open");
    eventually("the call has reached the last service", || {
        fleet.targets_of("hop-1").any(|target| target.running() > 0)
    });
    drop(caller);
    eventually("the calls are cancelled before their deadline", || {
        fleet.targets.iter().all(|target| target.running() == 0)
    });
    let cancelled = fleet.targets.iter().map(Target::cancelled).sum::<u64>();
    assert!(cancelled >= 1);
}

#[test]
fn call_depth_limited() {
    let fleet = chain(3);
    // The last service calls the first, so that the chain is a cycle.
    for target in fleet.targets_of("hop-2") {
        target.change(|behaviour| behaviour.calls = vec!["/hop-0".to_owned()]);
    }
    let reply = get(&fleet, "/hop-0").send();
    assert_eq!(reply.status, 503);
    assert!(
        fleet.executions() <= 16,
        "{} executions",
        fleet.executions()
    );
    std::thread::sleep(Duration::from_millis(50));
}
