//! A request with an idempotency key runs at most once, also if callers repeat
//! it at the same time or the platform loses answers.

use std::time::Duration;

use cardamomshed_note::Digest;
use cardamomshed_standin::client::{Reply, Request, eventually};
use cardamomshed_standin::fleet::Fleet;
use cardamomshed_standin::platform::Faults;
use cardamomshed_standin::thread;

use crate::chain;

fn keyed_request(fleet: &Fleet, daemon: usize, key: &str) -> Request {
    Request::post(fleet.callers()[daemon], "/hop-0/once", b"one booking")
        .key(&fleet.keys[0])
        .header("idempotency-key", key)
}

fn executions(fleet: &Fleet) -> u64 {
    fleet
        .targets_of("hop-0")
        .map(cardamomshed_standin::target::Target::total)
        .sum()
}

#[test]
fn first_response_replayed() {
    let fleet = chain(1);
    let first = keyed_request(&fleet, 0, "a").send();
    assert_eq!(first.status, 200);
    eventually("the response is recorded", || {
        let repeated = keyed_request(&fleet, 1, "a").send();
        repeated.status == 200 && repeated.body == first.body
    });
    assert_eq!(executions(&fleet), 1);
}

#[test]
fn key_reuse_refused() {
    let fleet = chain(1);
    assert_eq!(keyed_request(&fleet, 0, "a").send().status, 200);
    let other = Request::post(fleet.callers()[1], "/hop-0/once", b"another booking")
        .key(&fleet.keys[0])
        .header("idempotency-key", "a")
        .send();
    assert_eq!(
        (other.status, other.code(), other.ran().as_str()),
        (422, 1502, "no")
    );
    // Keys of different accounts are independent.
    let other_account = Request::post(fleet.callers()[1], "/hop-0/once", b"one booking")
        .key(&fleet.keys[1])
        .header("idempotency-key", "a")
        .send();
    assert_eq!(other_account.status, 200);
    assert_eq!(executions(&fleet), 2);
}

/// Sends six copies of one request at once, to both daemons in turn; each round
/// has its own idempotency key.
fn send_concurrently(fleet: &Fleet, rounds: usize) -> Vec<Vec<Reply>> {
    let requests = (0..rounds).map(|round| {
        let key = format!("race-{round}");
        (0..6)
            .map(|turn| keyed_request(fleet, turn % 2, &key))
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
                replies.push(call.await.expect("the call task completes"));
            }
            rounds.push(replies);
        }
        rounds
    })
}

#[test]
fn concurrent_callers() {
    let fleet = chain(1);
    let rounds = send_concurrently(&fleet, 20);
    assert_eq!(executions(&fleet), 20);
    for replies in rounds {
        assert!(replies.iter().any(|reply| reply.status == 200));
        for reply in replies.iter().filter(|reply| reply.status != 200) {
            assert_eq!(reply.code(), 1501, "{reply:?}");
        }
    }
}

#[test]
fn lost_store_answers() {
    let fleet = chain(1);
    fleet.platform.set_faults(Faults {
        lose_answers: 0.5,
        ..Faults::default()
    });
    let rounds = send_concurrently(&fleet, 12);
    let counts = fleet
        .targets_of("hop-0")
        .flat_map(|target| target.executions().into_values());
    assert_eq!(counts.max(), Some(1), "a request ran twice");
    assert!(executions(&fleet) <= 12);
    let answered = rounds.iter().flatten().filter(|reply| reply.status == 200);
    assert!(answered.count() >= 1);
}

#[test]
fn store_outage_not_run() {
    let fleet = chain(1);
    fleet.platform.set_faults(Faults::DOWN);
    let refused = keyed_request(&fleet, 0, "b").send();
    assert_eq!(
        (refused.status, refused.code(), refused.ran().as_str()),
        (503, 1503, "no")
    );
    assert_eq!(executions(&fleet), 0);
    // A repeatable request needs no claim and is served.
    let get = Request::get(fleet.callers()[0], "/hop-0").key(&fleet.keys[0]);
    assert_eq!(get.send().status, 200);
    fleet.platform.set_faults(Faults::default());
    eventually("the key can be claimed after the outage", || {
        keyed_request(&fleet, 1, "b").send().status == 200
    });
    assert_eq!(executions(&fleet), 2);
}

#[test]
fn unknown_outcome_kept() {
    let fleet = chain(1);
    fleet.change_targets(|behaviour| behaviour.hung = true);
    let first = keyed_request(&fleet, 0, "c")
        .header("x-shed-timeout-ms", "300")
        .send();
    assert_eq!((first.status, first.ran().as_str()), (504, "unknown"));
    fleet.change_targets(|behaviour| behaviour.hung = false);
    std::thread::sleep(Duration::from_millis(200));
    let repeated = keyed_request(&fleet, 1, "c").send();
    assert!([1501, 1504].contains(&repeated.code()), "{repeated:?}");
    assert_eq!(executions(&fleet), 1);
}

/// Repeats a request through another daemon until it is answered. Until then it may only
/// be refused as not run while claims are written again, or as in progress.
fn repeat_until_answered(fleet: &Fleet, key: &str) -> Reply {
    let mut answer = None;
    eventually("the request is answered", || {
        let repeated = keyed_request(fleet, 1, key).send();
        let is_answered = repeated.status < 300;
        let refusal = (repeated.code(), repeated.ran());
        let allowed = [(1503, "no".to_owned()), (1501, "unknown".to_owned())];
        assert!(is_answered || allowed.contains(&refusal), "{repeated:?}");
        answer = Some(repeated);
        is_answered
    });
    answer.expect("an answer")
}

/// Guards against a request that runs again because the store returned from a copy
/// without its claim and answer.
#[test]
fn lost_answer_rewritten() {
    let fleet = chain(1);
    let copy = fleet.platform.copy();
    let first = keyed_request(&fleet, 0, "d").send();
    assert_eq!(first.status, 200);
    repeat_until_answered(&fleet, "d");
    fleet.platform.restore(copy);
    assert_eq!(repeat_until_answered(&fleet, "d").body, first.body);
    assert_eq!(executions(&fleet), 1);
}

/// Guards against a request that runs again while its first run goes on, and against an
/// answer that is lost because the store lacked the claim when it was recorded.
#[test]
fn lost_open_claim_rewritten() {
    let fleet = chain(1);
    fleet.change_targets(|behaviour| behaviour.service_time = Duration::from_millis(800));
    let copy = fleet.platform.copy();
    let request = keyed_request(&fleet, 0, "e");
    let first = std::thread::spawn(move || request.send());
    eventually("the request runs", || executions(&fleet) == 1);
    fleet.platform.restore(copy);
    let repeated = repeat_until_answered(&fleet, "e");
    let first = first.join().expect("the request is sent");
    assert_eq!((first.status, first.body), (200, repeated.body));
    assert_eq!(executions(&fleet), 1);
}

/// Guards against a row of another daemon that is overwritten after the return.
#[test]
fn newer_row_wins() {
    let fleet = chain(1);
    let copy = fleet.platform.copy();
    let account = &fleet.shape.accounts[0].name;
    let digest = Digest::of(&format!("{account}\nf")).to_string();
    let row = digest.replace("sha256:", "");
    assert_eq!(keyed_request(&fleet, 0, "f").send().status, 200);
    repeat_until_answered(&fleet, "f");
    let mut other = fleet.platform.peek("claims", &row).expect("a row");
    other["claim"] = 7.into();
    other["state"]["answered"]["status"] = 201.into();
    fleet.platform.set_faults(Faults::DOWN);
    fleet.platform.restore(copy);
    fleet.platform.write("claims", &row, &other);
    fleet.platform.set_faults(Faults::default());
    assert_eq!(repeat_until_answered(&fleet, "f").status, 201);
    assert_eq!(fleet.platform.peek("claims", &row), Some(other));
}
