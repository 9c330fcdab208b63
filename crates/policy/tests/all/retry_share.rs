//! The fleet's retry budget holds however the budgets of its ingresses are
//! used.

use cardamomshed_policy::retry::Budget;

use crate::check;

/// Ingresses of the fleet.
const FLEET: usize = 16;
/// Retries over the fleet beyond the ratio.
const SLACK: f64 = 24.0;
/// Share of the successes that may be retried.
const RATIO: f64 = 0.1;

fn within_budget(steps: Vec<(u8, bool)>) -> bool {
    let mut budgets = [Budget::default(); FLEET];
    let mut successes = 0.0;
    let mut retries = 0.0;
    for (who, success) in steps {
        let budget = &mut budgets[usize::from(who) % FLEET];
        budget.set_bounds(RATIO, SLACK / FLEET as f64);
        if success {
            budget.earn();
            successes += 1.0;
        } else if budget.spend() {
            retries += 1.0;
        }
    }
    retries <= RATIO * successes + SLACK + 1e-6
}

#[test]
fn sum_bounded() {
    check(within_budget as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn unshared_exceeds() {
    // Without its share each ingress alone has most of what the fleet may.
    let mut budgets = [Budget::default(); FLEET];
    let retries = budgets
        .iter_mut()
        .map(|budget| (0..20).filter(|_| budget.spend()).count());
    assert!(retries.sum::<usize>() as f64 > SLACK);
}
