//! A request that may not be repeated runs at most once.

use std::time::Duration;

use cardamomshed_standin::client::{Reply, Request, eventually};
use cardamomshed_standin::fleet::Fleet;
use cardamomshed_standin::platform::Faults;
use cardamomshed_standin::thread;

use crate::chain;

fn once(fleet: &Fleet, daemon: usize, key: &str) -> Request {
    Request::post(fleet.callers()[daemon], "/hop-0/once", b"one booking")
        .key(&fleet.keys[0])
        .header("idempotency-key", key)
}

fn runs(fleet: &Fleet) -> u64 {
    fleet
        .targets_of("hop-0")
        .map(cardamomshed_standin::target::Target::total)
        .sum()
}

#[test]
fn first_answer_repeated() {
    let fleet = chain(1);
    let first = once(&fleet, 0, "a").send();
    assert_eq!(first.status, 200);
    eventually("the answer is recorded", || {
        let again = once(&fleet, 1, "a").send();
        again.status == 200 && again.body == first.body
    });
    assert_eq!(runs(&fleet), 1);
}

#[test]
fn reuse_refused() {
    let fleet = chain(1);
    assert_eq!(once(&fleet, 0, "a").send().status, 200);
    let other = Request::post(fleet.callers()[1], "/hop-0/once", b"another booking")
        .key(&fleet.keys[0])
        .header("idempotency-key", "a")
        .send();
    assert_eq!(
        (other.status, other.code(), other.ran().as_str()),
        (422, 1502, "no")
    );
    // The same key of another account is another key.
    let stranger = Request::post(fleet.callers()[1], "/hop-0/once", b"one booking")
        .key(&fleet.keys[1])
        .header("idempotency-key", "a")
        .send();
    assert_eq!(stranger.status, 200);
    assert_eq!(runs(&fleet), 2);
}

/// Sends the same request to both daemons many times at once.
fn race(fleet: &Fleet, rounds: usize) -> Vec<Vec<Reply>> {
    let requests = (0..rounds).map(|round| {
        let key = format!("race-{round}");
        (0..6)
            .map(|turn| once(fleet, turn % 2, &key))
            .collect::<Vec<_>>()
    });
    let requests = requests.collect::<Vec<_>>();
    thread::run(move || async move {
        let mut rounds = Vec::new();
        for round in requests {
            let sent = round
                .into_iter()
                .map(|request| actix_rt::spawn(request.send_async()));
            let mut replies = Vec::new();
            for call in sent.collect::<Vec<_>>() {
                replies.push(call.await.expect("the call ends"));
            }
            rounds.push(replies);
        }
        rounds
    })
}

#[test]
fn racing_callers() {
    let fleet = chain(1);
    let rounds = race(&fleet, 20);
    assert_eq!(runs(&fleet), 20);
    for replies in rounds {
        assert!(replies.iter().any(|reply| reply.status == 200));
        for reply in replies.iter().filter(|reply| reply.status != 200) {
            assert_eq!(reply.code(), 1501, "{reply:?}");
        }
    }
}

#[test]
fn lost_answers_settled() {
    let fleet = chain(1);
    fleet.platform.set_faults(Faults {
        lose_answers: 0.5,
        ..Faults::default()
    });
    let rounds = race(&fleet, 12);
    let most = fleet
        .targets_of("hop-0")
        .flat_map(|target| target.executions().into_values());
    assert_eq!(most.max(), Some(1), "a request ran twice");
    assert!(runs(&fleet) <= 12);
    let answered = rounds.iter().flatten().filter(|reply| reply.status == 200);
    assert!(answered.count() >= 1);
}

#[test]
fn store_down_not_run() {
    let fleet = chain(1);
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let refused = once(&fleet, 0, "b").send();
    assert_eq!(
        (refused.status, refused.code(), refused.ran().as_str()),
        (503, 1503, "no")
    );
    assert_eq!(runs(&fleet), 0);
    // A request that may be repeated is served all the same.
    let get = Request::get(fleet.callers()[0], "/hop-0").key(&fleet.keys[0]);
    assert_eq!(get.send().status, 200);
    fleet.platform.set_faults(Faults::default());
    eventually("the key is free once the platform is back", || {
        once(&fleet, 1, "b").send().status == 200
    });
    assert_eq!(runs(&fleet), 2);
}

#[test]
fn unknown_fate_kept() {
    let fleet = chain(1);
    for target in &fleet.targets {
        target.change(|behaviour| behaviour.hung = true);
    }
    let first = once(&fleet, 0, "c")
        .header("x-shed-timeout-ms", "300")
        .send();
    assert_eq!((first.status, first.ran().as_str()), (504, "unknown"));
    for target in &fleet.targets {
        target.change(|behaviour| behaviour.hung = false);
    }
    std::thread::sleep(Duration::from_millis(200));
    let again = once(&fleet, 1, "c").send();
    assert!([1501, 1504].contains(&again.code()), "{again:?}");
    assert_eq!(runs(&fleet), 1);
}
