//! The health check of the local target.

use std::time::Duration;

use bytes::Bytes;
use cardamomshed_platform::health::{self, Report};

use crate::exchange::{Pool, Request};
use crate::node::Node;
use crate::outcome;

/// Time limit for the target's answer to the health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer to a health check, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Requests the health check, which reports the target's instance, slots and cold time.
///
/// # Errors
///
/// A description of the failure if the configuration names no health check, or the
/// target is not healthy or does not respond in time.
pub async fn request(node: &Node) -> Result<Report, String> {
    let lookup = node.lookup();
    let sidecar = node.settings.sidecar.as_ref();
    let sidecar = sidecar.ok_or("the settings name no target")?;
    let path = lookup.config.health_paths.get(&sidecar.service);
    let path = path.ok_or("the service has no health check")?;
    let head = health::request_head(path, sidecar.address);
    let request = Request {
        head: &head,
        body: &Bytes::new(),
        head_only: false,
        repeatable: true,
        correlation: None,
    };
    let connect = node.current_settings().timing.connect.get();
    let pool = Pool::default();
    let answer = pool.exchange(sidecar.address, connect, &request, MAX_ANSWER_BYTES);
    let answer = tokio::time::timeout(HEALTH_TIMEOUT, answer)
        .await
        .map_err(|_| "health check timed out".to_owned())?
        .map_err(|error| {
            if let Some((defect, _)) = error.defect() {
                outcome::count_defect(node, &sidecar.service, defect);
            }
            format!("health check: {error:?}")
        })?;
    health::decode(answer.status, &answer.headers)
        .ok_or_else(|| format!("health check: status {}", answer.status))
}
