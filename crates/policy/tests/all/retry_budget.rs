//! The retry budget of the fleet holds for any use of the budgets of its
//! ingresses.

use cardamomshed_policy::retry::Budget;

use crate::check;

/// Number of ingresses in the fleet.
const FLEET: usize = 16;
/// Retries that the fleet may make beyond the ratio.
const SLACK: f64 = 24.0;
/// Retries per success.
const RATIO: f64 = 0.1;

fn within_budget(steps: Vec<(u8, bool)>) -> bool {
    let mut budgets = [Budget::default(); FLEET];
    let mut successes = 0.0;
    let mut retries = 0.0;
    for (ingress, success) in steps {
        let budget = &mut budgets[usize::from(ingress) % FLEET];
        budget.set_bounds(RATIO, SLACK / FLEET as f64);
        if success {
            budget.record_success();
            successes += 1.0;
        } else if budget.spend() {
            retries += 1.0;
        }
    }
    retries <= RATIO * successes + SLACK + 1e-6
}

#[test]
fn fleet_retries_bounded() {
    check(within_budget as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn undivided_budget_exceeds() {
    // With the default capacity, which is not divided by the number of
    // ingresses, the fleet exceeds its slack.
    let mut budgets = [Budget::default(); FLEET];
    let retries = budgets
        .iter_mut()
        .map(|budget| (0..20).filter(|_| budget.spend()).count());
    assert!(retries.sum::<usize>() as f64 > SLACK);
}
