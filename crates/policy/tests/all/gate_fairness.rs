//! Fair shares at the gate: an account with a heavy load must not take slots
//! from light accounts.

use std::collections::HashMap;
use std::time::Duration;

use cardamomshed_policy::gate::{Change, Config, Decision, Gate, Offer, Ticket};
use cardamomshed_policy::{AccountKey, Moment};

/// Simulates a gate with four slots and calls of 10 ms for two seconds. `loads`
/// is the number of calls per millisecond by account. Returns the completed
/// calls by account.
fn run(loads: &[u32]) -> Vec<u32> {
    let config = Config::new(4).max_wait(Duration::from_millis(100));
    let mut gate = Gate::new(config, Moment::ZERO);
    let mut accounts = HashMap::new();
    let mut running = Vec::<(Moment, u64)>::new();
    let mut finished = vec![0; loads.len()];
    let mut last_ticket = 0;
    for millis in 0..2_000 {
        let now = Moment::from_millis(millis);
        let mut changes = Vec::new();
        let (ended, remaining) = running
            .iter()
            .partition::<Vec<_>, _>(|(end, _)| *end <= now);
        running = remaining;
        for (_, ticket) in ended {
            finished[accounts[&ticket]] += 1;
            let own = Some(Duration::from_millis(10));
            gate.finish(Ticket(ticket), own, now, &mut changes);
        }
        for (account, count) in loads.iter().enumerate() {
            for _ in 0..*count {
                last_ticket += 1;
                accounts.insert(last_ticket, account);
                let offer = Offer {
                    account: AccountKey(account as u32),
                    ..crate::offer(last_ticket, now + Duration::from_millis(500))
                };
                if gate.offer(offer, now, &mut changes) == Decision::Run {
                    changes.push(Change::Run(Ticket(last_ticket)));
                }
            }
        }
        for change in changes {
            if let Change::Run(Ticket(ticket)) = change {
                running.push((now + Duration::from_millis(10), ticket));
            }
        }
    }
    finished
}

#[test]
fn heavy_account_bounded() {
    let finished = run(&[10, 1, 1, 1]);
    let fair = finished.iter().sum::<u32>() / 4;
    for (account, count) in finished.iter().enumerate() {
        let share = f64::from(*count) / f64::from(fair);
        assert!(
            share >= 0.95,
            "account {account} got {share} of its fair share"
        );
    }
}

#[test]
fn capacity_used() {
    let finished = run(&[10, 1]);
    // Four slots and calls of 10 ms give 400 calls per second.
    assert!(finished.iter().sum::<u32>() >= 780, "finished {finished:?}");
}
