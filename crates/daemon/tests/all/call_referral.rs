//! A call that a gate turned away goes to another target and spends no retry.

use crate::{chain, get};

#[test]
fn closed_gate_costs_no_retry() {
    let fleet = chain(1);
    let refusing = &fleet.daemons[1].node;
    // Calls that are on their way when a target leaves find it closed.
    refusing.beside.close();
    for daemon in &fleet.daemons {
        daemon.node.routing.services.set_retry_bounds(0.0, 0.0);
    }
    for _ in 0..40 {
        assert_eq!(get(&fleet, "/hop-0").send().status, 200);
    }
}
