//! A client reads a long answer slowly while the daemon that took its request is stopped.

use std::thread::{self, sleep};
use std::time::Duration;

use super::{PLACES, desired};
use crate::fleet::Fleet;
use crate::ledger::Ledger;

const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// Length of the answer in bytes, and the rate at which the client reads it. It takes 5 s.
const ANSWER: usize = 12 * 1024 * 1024;
const RATE: f64 = ANSWER as f64 / 5.0;
/// The bound `grace`.
const GRACE: Duration = Duration::from_secs(6);
/// The route's timeout.
const TIMEOUT: Duration = Duration::from_secs(8);

pub fn run(ledger: &Ledger, trouble: bool) -> Result<Vec<String>, String> {
    let tenants = format!(
        "\"pulo780\":{{\"api-keys\":[\"{KEY}\"],\"priority\":1,\"rate-per-s\":0,\"burst\":0}}"
    );
    let mut fleet = Fleet::start(&PLACES, &desired(1, &tenants), ledger);
    if !fleet.await_ready(Duration::from_secs(10)) {
        return Err("the daemons did not become ready".to_owned());
    }
    for machine in &fleet.machines {
        *machine.upstream.answer.lock().unwrap() = ANSWER;
    }
    sleep(Duration::from_secs(4));
    if trouble {
        fleet.signal(0, "TERM")?;
    }
    let stopped = ledger.now();
    sleep(Duration::from_millis(700));
    let client = fleet.client(0);
    let sent = ledger.now();
    let reader = thread::spawn(move || {
        let deadline = Duration::from_secs(10);
        client.send_and_read_slowly(("POST", "/c/2f", KEY), deadline, RATE)
    });
    while !reader.is_finished() {
        sleep(Duration::from_millis(10));
    }
    let ended = ledger.now();
    let (status, body, announced) = reader.join().map_err(|_| "the client failed")?;
    ledger.note(format!(
        "status {status}, {body} of {announced} bytes, {:.3} s after the request and {:.3} s \
         after the signal",
        (ended - sent).as_secs_f64(),
        (ended - stopped).as_secs_f64()
    ));
    sleep(Duration::from_millis(500));
    let has_ended = fleet.has_ended(0);
    ledger.note(format!("the daemon has ended: {has_ended}"));
    if status == 0 {
        return Err("the request was not answered".to_owned());
    }
    let in_time = ended - stopped < GRACE && ended - sent < TIMEOUT;
    if body < announced && in_time {
        return Ok(vec![format!(
            "the answer ends after {body} of {announced} bytes"
        )]);
    }
    Ok(Vec::new())
}
