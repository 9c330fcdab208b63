//! Requests run in the regions that their route and client account allow, or not at
//! all.

use cardamomshed_code::Code;
use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::fleet::name;
use serde_json::json;

use crate::placed_fleet::Fleet;
use crate::platform_sidecar::eventually_status;
use crate::{await_revision, chain};

/// Guards against a restricted request that runs at a nearer target elsewhere, and
/// against one that is refused because the slow link's budget, here a byte a second,
/// is spent. An empty list restricts nothing.
#[test]
fn region_kept() {
    let fleet = Fleet::start(None);
    let lists = [json!(["q"]), json!(["r"]), json!([])];
    let expected = [[0, 0, 10], [10, 0, 0], [10, 0, 0]];
    for (version, (list, expected)) in (3..).zip(lists.into_iter().zip(expected)) {
        fleet.configure(version, |value| {
            value["routes"]["r-open"]["allowed-regions"] = list;
        });
        assert_eq!(fleet.runs_from(0), expected);
    }
}

/// Guards against an account's list that is ignored, and against a request with no
/// region in common, or with unknown ones only, that is served anywhere or waits.
#[test]
fn lists_intersected() {
    let fleet = Fleet::start(None);
    let configure = |version, regions: &[&str]| {
        fleet.configure(version, |value| {
            value["tenants"]["t-1"]["allowed-regions"] = json!(regions);
            value["routes"]["r-a"]["allowed-regions"] = json!(["q", "x"]);
        });
    };
    let request = || fleet.get(0, "/a/").key("key-one").send();
    configure(3, &["q", "r"]);
    eventually_status(200, request);
    assert_eq!(fleet.runs(), [0, 0, 1]);
    for (version, regions) in [(4, ["r"]), (5, ["nowhere"])] {
        configure(version, &regions);
        let refused = request();
        let code = u64::from(Code::RegionUnavailable.number());
        assert_eq!((refused.status, refused.code()), (503, code));
    }
    assert_eq!(fleet.runs(), [0, 0, 1]);
}

/// Guards against a release note's list that is ignored, and against the body of a
/// restricted answer in the store, whose region is not known.
#[test]
fn note_restricts() {
    let fleet = chain(1);
    let mut note = fleet.blank_note("restrict");
    let routes = fleet.first_note().routes.add.into_iter();
    note.routes.change = routes.filter(|route| !route.repeatable).collect();
    note.routes.change[0].regions = Some(vec![name(&fleet.shape.domains[0].1)]);
    fleet.apply(&note);
    await_revision(&fleet, 2);
    let request = || {
        Request::post(fleet.callers()[0], "/hop-0/once", b"one booking")
            .key(&fleet.keys[0])
            .header("idempotency-key", "a")
            .send()
    };
    let first = request();
    assert!(first.status == 200 && !first.body.is_empty());
    eventually("the response is recorded", || {
        let replayed = request();
        replayed.status == 200 && replayed.body.is_empty()
    });
}
