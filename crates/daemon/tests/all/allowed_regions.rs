//! Requests run in the regions that their route and client account allow, or not at
//! all.

use cardamomshed_code::Code;
use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::fleet::{self, name};
use serde_json::json;

use crate::chain;
use crate::placed_fleet::{Fleet, Site};
use crate::platform_sidecar::eventually_status;

/// Number of a refusal's code, as the problem document gives it.
fn shows(body: &[u8], code: Code) -> bool {
    String::from_utf8_lossy(body).contains(&code.number().to_string())
}

/// Guards against a restricted request that runs at a nearer target elsewhere, and
/// against one that is refused because the slow link's budget, here a byte a second,
/// is spent.
#[test]
fn region_kept() {
    let fleet = Fleet::start();
    fleet.configure(3, |value| {
        value["routes"]["r-open"]["allowed-regions"] = json!(["q"]);
    });
    assert_eq!(fleet.runs_of(0, 20), [0, 0, 20]);
    assert_eq!(fleet.runs_of(2, 20), [0, 0, 20]);
    fleet.configure(4, |value| {
        value["routes"]["r-open"]["allowed-regions"] = json!(["r"]);
    });
    let runs = fleet.runs_of(2, 20);
    assert_eq!(runs[2], 0, "{runs:?}");
    // An empty list restricts nothing.
    fleet.configure(5, |value| {
        value["routes"]["r-open"]["allowed-regions"] = json!([]);
    });
    assert_eq!(fleet.runs_of(2, 20), [0, 0, 20]);
}

/// Guards against an account's list that is ignored, and against a request with no
/// region in common, or with unknown ones only, that is served anywhere or waits.
#[test]
fn lists_intersected() {
    let fleet = Fleet::start();
    fleet.configure(3, |value| {
        value["tenants"]["t-1"]["allowed-regions"] = json!(["q", "r"]);
        value["routes"]["r-a"]["allowed-regions"] = json!(["q", "x"]);
    });
    let request = || fleet.get(0, "/a/").key("key-one").send();
    let before = fleet.sites[2].runs();
    eventually_status(200, request);
    assert_eq!(fleet.sites[2].runs(), before + 1);
    for (version, regions) in [(4, json!(["r"])), (5, json!(["nowhere"]))] {
        fleet.configure(version, |value| {
            value["tenants"]["t-1"]["allowed-regions"] = regions;
            value["routes"]["r-a"]["allowed-regions"] = json!(["q", "x"]);
        });
        let runs = fleet.sites.iter().map(Site::runs).sum::<usize>();
        let reply = request();
        assert_eq!(reply.status, 503);
        assert!(shows(&reply.body, Code::RegionUnavailable));
        let after = fleet.sites.iter().map(Site::runs).sum::<usize>();
        assert_eq!(after, runs);
    }
    // Requests without a key have no account.
    assert_eq!(fleet.runs_of(0, 5), [5, 0, 0]);
}

/// Guards against a release note's list that is ignored, and against the body of a
/// restricted answer in the store, whose region is not known.
#[test]
fn note_restricts() {
    let fleet = chain(1);
    let restrict = |note: &str, region: &str| {
        let mut note = fleet.blank_note(note);
        let mut routes = fleet.first_note().routes.add;
        routes.retain(|route| &*route.name == "hop-0-once");
        routes[0].regions = Some(vec![name(region)]);
        note.routes.change = routes;
        fleet.apply(&note);
        let revision = fleet.platform.rows("notes") as u64;
        let in_force = |daemon: &fleet::Member| daemon.node.lookup().config.revision == revision;
        eventually("the note is in force", || {
            fleet.daemons.iter().all(in_force)
        });
    };
    let request = |key: &str| {
        Request::post(fleet.callers()[0], "/hop-0/once", b"one booking")
            .key(&fleet.keys[0])
            .header("idempotency-key", key)
    };
    restrict("region", &fleet.shape.domains[0].1);
    let first = request("a").send();
    assert_eq!(first.status, 200);
    assert!(!first.body.is_empty());
    eventually("the response is recorded", || {
        let replayed = request("a").send();
        replayed.status == 200 && replayed.body.is_empty()
    });
    restrict("nowhere", "nowhere");
    let refused = request("b").send();
    assert_eq!(
        (refused.status, refused.code(), refused.ran().as_str()),
        (503, u64::from(Code::RegionUnavailable.number()), "no")
    );
}
