//! The retry budget of the fleet holds for any use of the budgets of its
//! ingresses.

use std::time::Duration;

use cardamomshed_policy::Moment;
use cardamomshed_policy::retry::Budget;

use crate::check;

/// Number of ingresses in the fleet.
const FLEET: usize = 16;
/// Retries that the fleet may make beyond the ratio in one window.
const SLACK: f64 = 24.0;
/// Retries per request.
const RATIO: f64 = 0.1;
/// Length of the windows in which retries are counted.
const WINDOW: Duration = Duration::from_secs(10);

fn fleet() -> [Budget; FLEET] {
    let mut budgets = [Budget::default(); FLEET];
    for budget in &mut budgets {
        budget.set_bounds(RATIO, SLACK / FLEET as f64);
    }
    budgets
}

/// Number of moments within the window that ends at `end`.
fn count(moments: &[Moment], end: Moment) -> f64 {
    let within = |moment: &&Moment| **moment <= end && end.since(**moment) < WINDOW;
    moments.iter().filter(within).count() as f64
}

/// Whether every window that ends with a retry keeps the bound. Each step gives an
/// ingress, the time before the step, and whether it is a request or a retry.
fn within_budget(steps: Vec<(u8, u8, bool)>) -> bool {
    let mut budgets = fleet();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut now = Moment::ZERO;
    for (ingress, wait, is_request) in steps {
        now = now + Duration::from_millis(u64::from(wait) * 4);
        let budget = &mut budgets[usize::from(ingress) % FLEET];
        if is_request {
            // Traffic of many requests at once.
            for _ in 0..20 {
                budget.record_request(now);
                requests.push(now);
            }
        } else {
            while budget.spend(now) {
                retries.push(now);
            }
        }
    }
    retries.iter().all(|end| {
        let allowed = RATIO * count(&requests, *end) + SLACK;
        count(&retries, *end) <= allowed + 1e-6
    })
}

#[test]
fn fleet_retries_bounded() {
    check(within_budget as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn undivided_slack_exceeds() {
    // With the default slack, which is not divided by the number of ingresses, the
    // fleet exceeds its own.
    let mut budgets = [Budget::default(); FLEET];
    let retries = budgets
        .iter_mut()
        .map(|budget| (0..20).filter(|_| budget.spend(Moment::ZERO)).count());
    assert!(retries.sum::<usize>() as f64 > SLACK);
}

#[test]
fn calm_time_saves_retries() {
    let mut budget = Budget::default();
    budget.set_bounds(RATIO, 0.0);
    let at = Moment::from_millis;
    for step in 0..1_000 {
        budget.record_request(at(step * 10));
    }
    let spent = |budget: &mut Budget, now| (0..200).filter(|_| budget.spend(now)).count();
    let mut later = budget;
    let retries = spent(&mut budget, at(9_995));
    assert!((99..=100).contains(&retries), "{retries}");
    assert_eq!(spent(&mut budget, at(15_000)), 0, "retries are spent once");
    assert_eq!(spent(&mut later, at(20_000)), 0, "retries expire");
}

#[test]
fn charge_deducted() {
    let mut budget = Budget::default();
    budget.set_bounds(RATIO, 0.0);
    let now = Moment::from_millis(5);
    (0..100).for_each(|_| budget.record_request(now));
    budget.charge(12.0, now);
    assert!(!budget.spend(now));
    // Later requests repay what was charged beyond the available retries first.
    (0..20).for_each(|_| budget.record_request(now));
    assert!(!budget.spend(now));
    (0..11).for_each(|_| budget.record_request(now));
    assert!(budget.spend(now));
}
