//! An upstream deregisters while the store is down. Later all daemons are killed at the
//! same moment, and a check-in that the upstream had sent before it left arrives late.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

use super::{PLACES, desired};
use crate::fleet::Fleet;
use crate::ledger::Ledger;

/// Time that a request takes, as for `book-pickup`.
const WORK: Duration = Duration::from_millis(290);
const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// The bound `drain`.
const DRAIN: Duration = Duration::from_millis(2500);
/// The bound `stability`.
const STABILITY: Duration = Duration::from_secs(3);

pub fn run(ledger: &Ledger, trouble: bool) -> Result<Vec<String>, String> {
    let tenants = format!(
        "\"pulo780\":{{\"api-keys\":[\"{KEY}\"],\"priority\":1,\"rate-per-s\":0,\"burst\":0}}"
    );
    let mut fleet = Fleet::start(&PLACES, &desired(1, &tenants), ledger);
    if !fleet.await_ready(Duration::from_secs(10)) {
        return Err("the daemons did not become ready".to_owned());
    }
    for machine in &fleet.machines {
        *machine.upstream.work.lock().unwrap() = WORK;
    }
    let stop = Arc::new(AtomicBool::new(false));
    for index in 0..PLACES.len() {
        let client = fleet.client(index);
        client.run(("POST", "/a/2f", KEY), Duration::from_millis(100), &stop);
    }
    sleep(Duration::from_secs(6));
    let upstream = Arc::clone(&fleet.machines[0].upstream);
    if trouble {
        fleet.store.set_down(true);
        ledger.note("the store is down: every call gets 503");
    }
    sleep(Duration::from_millis(3400));
    let (instance, late) = upstream.beat();
    ledger.note(format!("{instance} sends a check-in, which is delayed"));
    sleep(Duration::from_millis(100));
    if !upstream.deregister() {
        return Err("the deregistration was not confirmed".to_owned());
    }
    let confirmed = ledger.now();
    ledger.note(format!(
        "{instance} has deregistered, which is confirmed; it goes on serving"
    ));
    sleep(Duration::from_millis(500));
    if trouble {
        fleet.store.set_down(false);
        ledger.note("the store serves again");
    }
    sleep(Duration::from_millis(1500));
    let rows = fleet.store.keys("leaving");
    ledger.note(format!("rows of departures in the store: {rows:?}"));
    let mut restarted = confirmed;
    if trouble {
        fleet.kill_all();
        sleep(Duration::from_millis(400));
        for index in 0..PLACES.len() {
            fleet.start_daemon(index, false);
        }
        restarted = ledger.now();
        if !fleet.await_ready(Duration::from_secs(10)) {
            return Err("the daemons did not become ready again".to_owned());
        }
    }
    sleep(Duration::from_millis(1500));
    let status = upstream.send_beat(&instance, &late);
    ledger.note(format!("the delayed check-in arrives and gets {status}"));
    sleep(Duration::from_secs(5));
    upstream.end();
    let ended = ledger.now();
    ledger.note(format!("{instance} ends"));
    sleep(Duration::from_millis(500));
    stop.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(2));
    let requests = ledger.requests();
    let lost = requests.values().filter(|sent| {
        let ran = sent
            .runs
            .iter()
            .any(|(at, on)| *on == instance && *at + WORK > ended);
        ran && sent.status != 200
    });
    let lost = lost.count();
    ledger.note(format!(
        "{lost} requests ran at {instance} when it ended and were not served"
    ));
    let late = requests.iter().filter(|(_, sent)| {
        let is_in_touch = sent.at >= restarted + STABILITY;
        is_in_touch
            && sent
                .runs
                .iter()
                .any(|(at, on)| *at > confirmed + DRAIN && *on == instance)
    });
    let late = late.map(|(id, sent)| {
        format!(
            "request {id} reaches the upstream that left, sent {:.3}",
            sent.at.as_secs_f64()
        )
    });
    Ok(late.collect())
}
