//! No account crowds out another at the gate.

use std::collections::HashMap;
use std::time::Duration;

use cardamomshed_policy::gate::{Change, Config, Decision, Gate, Offer, Ticket};
use cardamomshed_policy::{AccountKey, Moment, Priority, RouteKey};

/// Runs a gate of four slots with 10 ms calls for two seconds. `loads` gives
/// each account's arrivals in a millisecond; the result, its finished calls.
fn run(loads: &[u32]) -> Vec<u32> {
    let config = Config::new(4).max_wait(Duration::from_millis(100));
    let mut gate = Gate::new(config, Moment::ZERO);
    let mut owners = HashMap::new();
    let mut running = Vec::<(Moment, u64)>::new();
    let mut finished = vec![0; loads.len()];
    let mut next = 0;
    for millis in 0..2_000 {
        let now = Moment::from_millis(millis);
        let mut changes = Vec::new();
        let (due, rest) = running
            .iter()
            .partition::<Vec<_>, _>(|(end, _)| *end <= now);
        running = rest;
        for (_, ticket) in due {
            finished[owners[&ticket]] += 1;
            let own = Some(Duration::from_millis(10));
            gate.finish(Ticket(ticket), own, now, &mut changes);
        }
        for (account, count) in loads.iter().enumerate() {
            for _ in 0..*count {
                next += 1;
                owners.insert(next, account);
                let offer = Offer {
                    route: RouteKey(0),
                    ticket: Ticket(next),
                    account: AccountKey(account as u32),
                    priority: Priority::Normal,
                    depth: 0,
                    deadline: now + Duration::from_millis(500),
                };
                if gate.offer(offer, now, &mut changes) == Decision::Run {
                    changes.push(Change::Run(Ticket(next)));
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
            "account {account} had {share} of its fair share"
        );
    }
}

#[test]
fn capacity_used() {
    let finished = run(&[10, 1]);
    // Four slots of 10 ms make 400 calls a second.
    assert!(finished.iter().sum::<u32>() >= 780, "finished {finished:?}");
}
