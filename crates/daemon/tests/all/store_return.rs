//! The platform's store returns from an older copy: what was written since is lost,
//! although it was acknowledged.

use cardamomshed_standin::client::eventually;

use crate::platform_sidecar::{Deployment, eventually_status};

/// A deployment whose target serves requests on the open route.
fn served() -> Deployment {
    let mut deployment = Deployment::start();
    deployment.configure(3, "key-one");
    deployment.heartbeat("ready");
    eventually_status(200, || deployment.get("/open/").send());
    deployment
}

/// Guards against a departure that a restart forgets because the store lost its row.
#[test]
fn departure_rewritten() {
    let mut deployment = served();
    let copy = deployment.platform.copy();
    assert_eq!(deployment.heartbeat("draining").status, 200);
    assert_eq!(deployment.platform.rows("leaving"), 1);
    deployment.platform.restore(copy);
    assert_eq!(deployment.platform.rows("leaving"), 0);
    eventually("the departure is stored again", || {
        deployment.platform.rows("leaving") == 1
    });
}

/// Guards against daemons that start after the return and find no other one.
#[test]
fn seeds_rewritten() {
    let deployment = served();
    let empty = cardamomshed_standin::platform::Copy::default();
    let has_size = || deployment.platform.peek("seeds", "a-size").is_some();
    eventually("the size of the failure domain is stored", has_size);
    deployment.platform.restore(empty);
    eventually("the size is stored again", has_size);
    let has_seed = || deployment.platform.peek("seeds", "a-0").is_some();
    eventually("a seed row is stored again", has_seed);
}
