//! A call that the gate of a target refuses is sent to another target and does
//! not count against the retry budget.

use crate::{chain, get};

#[test]
fn redirect_spends_no_retry() {
    let fleet = chain(1);
    let refusing = &fleet.daemons[1].node;
    // The gate closes while the fleet still advertises the target as open.
    refusing.local_target.close();
    for daemon in &fleet.daemons {
        daemon.node.routing.services.set_retry_bounds(0.0, 0.0);
    }
    for _ in 0..40 {
        assert_eq!(get(&fleet, "/hop-0").send().status, 200);
    }
}
