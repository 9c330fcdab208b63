//! The platform's store returns from an older copy: what was written since is lost,
//! although it was acknowledged.

use cardamomshed_standin::client::eventually;

use crate::platform_sidecar::{Deployment, eventually_status};

/// Guards against a departure that a restart forgets because the store lost its row.
#[test]
fn departure_rewritten() {
    let mut deployment = Deployment::serving();
    let copy = deployment.platform.copy();
    assert_eq!(deployment.heartbeat("draining").status, 200);
    // A peer may hold the departure before the store does.
    eventually("the departure is stored", || {
        deployment.platform.rows("leaving") == 1
    });
    deployment.platform.restore(copy);
    assert_eq!(deployment.platform.rows("leaving"), 0);
    eventually("the departure is stored again", || {
        deployment.platform.rows("leaving") == 1
    });
}

/// Guards against daemons that start after the return and find no other one.
#[test]
fn seeds_rewritten() {
    let deployment = Deployment::serving();
    let empty = cardamomshed_standin::platform::Copy::default();
    let has_size = || deployment.platform.peek("seeds", "a-size").is_some();
    eventually("the size of the failure domain is stored", has_size);
    deployment.platform.restore(empty);
    eventually("the size is stored again", has_size);
    let has_seed = || deployment.platform.peek("seeds", "a-0").is_some();
    eventually("a seed row is stored again", has_seed);
}

/// Guards against a withdrawn key that works again because the store returned with an
/// older configuration, and against one that is confirmed as the newest.
#[test]
fn withdrawn_key_refused() {
    let mut deployment = Deployment::serving();
    deployment.heartbeat("ready");
    eventually_status(200, || deployment.get("/a/").key("key-one").send());
    let copy = deployment.platform.copy();
    deployment.configure(4, "key-two");
    eventually_status(401, || deployment.get("/a/").key("key-one").send());
    eventually_status(200, || deployment.get("/a/").key("key-two").send());
    deployment.platform.restore(copy);
    // The store holds the older configuration, which confirms nothing.
    eventually_status(503, || {
        let reply = deployment.get("/a/").key("key-one").send();
        assert_ne!(reply.status, 200, "a withdrawn key works again");
        deployment.get("/a/").key("key-two").send()
    });
    deployment.configure(4, "key-two");
    eventually_status(200, || deployment.get("/a/").key("key-two").send());
    assert_eq!(deployment.get("/a/").key("key-one").send().status, 401);
}
