//! Writes this daemon's rows again after the platform's store has returned from a
//! copy, which may lack the last writes that it had acknowledged.
//!
//! Rows that other actors own are rewritten there: the seed row and the size of the
//! failure domain by [`super::seeds`], leases on lender slots by the quota actor, claims
//! by the claim task.

use std::sync::Arc;

use cardamomshed_code::Event;

use crate::members::record_store_era;
use crate::node::Node;
use crate::sync::lock;

/// Follows the store's era until the task is dropped.
pub(super) async fn run(node: Arc<Node>) {
    let mut returns = node.store_era.returns();
    loop {
        let era = returns.next().await;
        node.log_event(Event::StoreReturned, format_args!("era={era}"));
        record_store_era(&node, era);
        rewrite_departure(&node);
    }
}

/// Stores the departure of the local target again if it is leaving.
fn rewrite_departure(node: &Node) {
    let Some(incarnation) = lock(&node.registration).leaving().cloned() else {
        return;
    };
    // The receiver exists for as long as the process.
    let _ = node.departures.unstored.send(incarnation);
}
