//! Health checks that show whether the local target is cold.

use std::sync::Arc;
use std::time::Duration;

use crate::health_check;
use crate::node::Node;
use crate::warmth;

/// Shortest interval between two health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Checks the target whenever its state has become unknown, until it is known.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        node.local_target.check_requested().await;
        while node.local_target.needs_check() {
            let requested_at = node.clock.now();
            if let Ok(report) = health_check::request(&node).await
                && let Some(left) = report.warmup_left
            {
                let target = &node.local_target;
                target.record_check(&report.instance, left, requested_at);
            }
            warmth::update(&node);
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
