//! The slowdown that a target reports in its responses.

use std::sync::atomic::Ordering;
use std::time::Duration;

use cardamomshed_platform::header;

use crate::platform_sidecar::{Deployment, eventually_status};

/// Guards against a figure that the daemon beside the target does not read, keeps for
/// long after the last response, or passes on to callers.
#[test]
fn reported_slowdown_followed() {
    let mut deployment = Deployment::start();
    deployment.configure(1, "key");
    eventually_status(200, || deployment.heartbeat("ready"));
    let service_us =
        |deployment: &Deployment| deployment.second.node.local_target.load().service_us;
    eventually_status(200, || deployment.get("/open/x").send());
    let percent = &deployment.observed.slowdown_percent;
    percent.store(800, Ordering::Relaxed);
    let mut reply = None;
    for _ in 0..30 {
        reply = Some(deployment.get("/open/x").send());
    }
    let slow = service_us(&deployment);
    let reply = reply.expect("a reply");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header(header::LOAD), None);
    // No response since: the measured time stays and the slowdown ends.
    std::thread::sleep(Duration::from_secs(3));
    let usual = service_us(&deployment);
    assert!(slow >= 2 * usual, "{slow} us of usually {usual} us");
}
