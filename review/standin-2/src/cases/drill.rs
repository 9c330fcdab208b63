//! A key is taken away. Then the store comes back from a copy of before, and one daemon is
//! restarted before the operator has written the desired state again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

use super::{PLACES, desired};
use crate::fleet::Fleet;
use crate::ledger::Ledger;

const KEPT: &str = "6wsjnbanfqasnmgkcuyj";
const TAKEN: &str = "8pjbvk9m68k7b2ex5wa5";
/// The bound `revoke`.
const REVOKE: Duration = Duration::from_secs(5);

pub fn run(ledger: &Ledger, trouble: bool) -> Result<Vec<String>, String> {
    let tenants = |keys: &str| {
        format!("\"pulo780\":{{\"api-keys\":[{keys}],\"priority\":1,\"rate-per-s\":0,\"burst\":0}}")
    };
    let both = desired(1, &tenants(&format!("\"{KEPT}\",\"{TAKEN}\"")));
    let one = desired(4, &tenants(&format!("\"{KEPT}\"")));
    let mut places = PLACES;
    // Each machine of this region is the only one of its zone.
    places[1].zone = "mbezi";
    let mut fleet = Fleet::start(&places, &both, ledger);
    if !fleet.await_ready(Duration::from_secs(10)) {
        return Err("the daemons did not become ready".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    for index in 0..PLACES.len() {
        let client = fleet.client(index);
        client.run(("POST", "/a/2f", TAKEN), Duration::from_millis(20), &stop);
        client.run(("POST", "/a/2f", KEPT), Duration::from_millis(200), &stop);
    }
    sleep(Duration::from_secs(5));
    let copy = fleet.store.copy();
    sleep(Duration::from_millis(300));
    fleet.store.write("op", "config", &one);
    let confirmed = ledger.now();
    ledger.note("the desired state without the key is confirmed");
    sleep(REVOKE + Duration::from_millis(200));
    if trouble {
        fleet.store.set_down(true);
        ledger.note("the store is away");
        fleet.kill_daemon(0);
        sleep(Duration::from_millis(800));
        fleet.store.restore(copy);
        fleet.store.set_down(false);
        ledger.note("the store is back from a copy");
        fleet.start_daemon(0, false);
        sleep(Duration::from_millis(500));
        fleet.store.write("op", "config", &one);
        ledger.note("the operator has written the desired state again");
    }
    sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(2));
    let requests = ledger.requests();
    let late = requests.iter().filter(|(_, sent)| {
        sent.key == TAKEN && sent.at > confirmed + REVOKE && !sent.runs.is_empty()
    });
    let late = late.map(|(id, sent)| {
        format!(
            "request {id} with the key runs, sent {:.3}",
            sent.at.as_secs_f64()
        )
    });
    Ok(late.collect())
}
