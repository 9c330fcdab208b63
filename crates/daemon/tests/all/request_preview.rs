//! `GET /preview` tells where a request would go, or how it would be refused.

use std::time::Duration;

use cardamomshed_code::Code;
use cardamomshed_daemon::node::Node;
use cardamomshed_standin::client::{Reply, Request, eventually};
use cardamomshed_standin::platform::{Capacity, Platform};
use serde_json::{Value, json};

use crate::chain;
use crate::placed_fleet::Fleet;
use crate::platform_sidecar::{eventually_status, start_lone};

fn ask(node: &Node, query: &str) -> Reply {
    Request::get(node.settings.admin, &format!("/preview?{query}")).send()
}

fn preview(node: &Node, query: &str) -> Value {
    let reply = ask(node, query);
    let body = String::from_utf8_lossy(&reply.body);
    assert_eq!(reply.status, 200, "{body}");
    serde_json::from_slice(&reply.body).expect("a JSON document")
}

/// Everything that a request on the platform's interface takes or changes.
fn state(node: &Node) -> String {
    let prices = node.routing.prices.lock().unwrap();
    format!(
        "{:?} {:?} {:?} {:?} {:?} {:?} {:?} {:?} {}",
        node.routing.services,
        node.routing.reservations,
        node.routing.slow_link,
        node.routing.rotations,
        node.quota.wallet,
        prices.table,
        prices.usage,
        node.local_target.load(),
        node.metrics.open.get(),
    )
}

fn nodes(rows: &Value, field: &str) -> Vec<(String, Value)> {
    let rows = rows.as_array().expect("a list").iter();
    let row = |row: &Value| (row["node"].as_str().unwrap().to_owned(), row[field].clone());
    rows.map(row).collect()
}

/// Guards against a preview that sends the request or takes a token, a slot, a retry or a
/// turn of the rotation, and against one that names another target than the real choice.
#[test]
fn admitted_and_queued() {
    let fleet = Fleet::start(None);
    fleet.configure(3, |value| {
        value["routes"]["r-open"]["allowed-regions"] = json!(["r"]);
        value["routes"]["r-a"]["priority"] = json!(2);
        value["routes"]["r-a"]["weighted-clusters"] = json!([
            {"service": "s-two", "weight": 3}, {"service": "s-none", "weight": 1}
        ]);
    });
    eventually_status(200, || fleet.get(0, "/once/").send());
    eventually_status(200, || fleet.get(0, "/a/").key("key-one").send());
    let node = &fleet.members[0].node;
    // A timer replaces the default bounds of the retry budget once.
    eventually("the retry budget is divided", || {
        !state(node).contains("ratio: 0.1,")
    });
    // A response may arrive before its request is counted as ended.
    eventually("no request is open", || node.metrics.open.get() == 0);
    let account = node.names.account(&"t-1".into());
    let (now, hour) = (node.clock.now(), Duration::from_hours(1));
    node.quota
        .wallet
        .lock()
        .unwrap()
        .receive(account, 5, now, hour);
    let (before, runs) = (state(node), fleet.runs());
    let query = "path=/a/x%3Fy&host=H.example:80&account=t-1&size=100";
    let document = preview(node, query);
    for _ in 0..20 {
        preview(node, query);
    }
    assert_eq!(state(node), before);
    assert_eq!(fleet.runs(), runs);
    assert_eq!(document["route"]["name"], "r-a");
    assert_eq!(document["admission"]["quota"]["held"], 5);
    let services = document["services"].as_array().unwrap();
    let shares = services.iter().map(|one| one["share"].as_f64().unwrap());
    assert_eq!(shares.collect::<Vec<_>>(), [0.75, 0.25]);
    let next = services.iter().find(|one| one["next"] == true).unwrap();
    assert_eq!(document["outcome"], next["outcome"]);
    let service = &services[0];
    let candidates = nodes(&service["candidates"], "share");
    assert_eq!(candidates[0], ("n-a".to_owned(), json!(1.0)), "{service:#}");
    assert_eq!(service["local"]["gate"], "run");
    assert_eq!(service["outcome"]["verdict"], "admitted", "{document:#}");

    let key = node.lookup().host_route("h.example", "/a/").unwrap().key;
    let now = node.clock.now();
    node.routing
        .prices
        .lock()
        .unwrap()
        .table
        .observe(key, 24.0, now);
    let document = preview(node, query);
    let priced = &document["services"][0]["outcome"];
    let share = priced["share"].as_f64().unwrap();
    assert!(share > 0.1 && share < 0.9, "{document:#}");
    assert_eq!(priced["refusal"]["code"], Code::AdmissionShed.number());

    fleet.platform.write("op", "evacuate/b", &json!({}));
    let only = || preview(node, "path=/open/&host=h.example");
    eventually("the evacuation is known", || {
        only()["services"][0]["candidates_total"] == 1
    });
    fleet.hold(true);
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.get(0, "/open/").send());
        eventually("the request runs", || node.local_target.load().running == 1);
        let before = state(node);
        let document = only();
        assert_eq!(state(node), before);
        assert_eq!(
            document["services"][0]["local"]["gate"], "wait",
            "{document:#}"
        );
        assert_eq!(document["outcome"]["verdict"], "queued");
        assert!(
            document["outcome"]["wait_ms"]
                .as_f64()
                .is_some_and(|wait| wait > 0.0)
        );
        fleet.hold(false);
    });
    node.local_target.close();
    let closed = only();
    assert_eq!(closed["services"][0]["local"]["gate"], "shed", "{closed:#}");
    assert_eq!(closed["outcome"]["refusal"]["code"], Code::Leaving.number());
}

/// Guards against a refusal that differs from that of the real request, and against
/// targets that are excluded without their cause.
#[test]
fn refused_as_sent() {
    let fleet = Fleet::start(None);
    fleet.configure(3, |value| {
        value["routes"]["r-open"]["allowed-regions"] = json!(["nowhere"]);
        value["routes"]["r-once"]["allowed-regions"] = json!(["q", "x"]);
    });
    fleet.platform.write("op", "evacuate/c", &json!({}));
    let node = &fleet.members[0].node;
    eventually("the evacuation is known", || {
        let document = preview(node, "path=/once/&host=h.example");
        nodes(&document["services"][0]["excluded"], "cause")
            == [
                ("n-a".to_owned(), json!("region-not-allowed")),
                ("n-b".to_owned(), json!("region-not-allowed")),
                ("n-c".to_owned(), json!("evacuated")),
            ]
    });
    let cases = [
        ("/open/", Code::RegionUnavailable),
        ("/once/", Code::NoTarget),
        ("/a/", Code::KeyMissing),
    ];
    for (path, code) in cases {
        let sent = Request::get(node.settings.callers, path).header("host", "h.example");
        let sent = sent.send();
        let document = preview(node, &format!("path={path}&host=h.example"));
        let refusal = &document["outcome"]["refusal"];
        let expected = (u64::from(sent.status), sent.code());
        let previewed = ["status", "code"].map(|field| refusal[field].as_u64().unwrap());
        assert_eq!((previewed[0], previewed[1]), expected, "{document:#}");
        assert_eq!(expected.1, u64::from(code.number()));
        let delay = sent.header("retry-after");
        let delay = delay.map(|delay| delay.parse::<f64>().expect("seconds"));
        let range = refusal["retry_after_s"].as_array();
        let range = range.map(|range| [0, 1].map(|end| range[end].as_f64().unwrap()));
        let is_within = |[low, high]: [f64; 2]| delay.is_some_and(|d| d >= low - 0.01 && d <= high);
        assert!(
            range.map_or(delay.is_none(), is_within),
            "{delay:?} {range:?}"
        );
    }
    eventually("the size is refused once a lender has tokens", || {
        let large = preview(node, "path=/a/&host=h.example&account=t-1&size=99999999");
        large["outcome"]["refusal"]["code"] == Code::BodyTooLarge.number()
    });
    let errors = [
        ("path=/zzz/&host=h.example", 404, Code::RouteUnknown),
        (
            "path=/a/&host=h.example&account=x",
            400,
            Code::ReferenceUnknown,
        ),
        ("path=/a/&host=h.example&size=1k", 400, Code::ValueRange),
        ("path=/a/../b&host=h.example", 400, Code::BadRequest),
    ];
    for (query, status, code) in errors {
        let reply = ask(node, query);
        assert_eq!(
            (reply.status, reply.code()),
            (status, u64::from(code.number()))
        );
    }
}

/// Guards against a preview by the rules of the other interface, and against one that
/// hides that the daemon is leaving.
#[test]
fn own_interface() {
    let fleet = chain(1);
    let node = &fleet.daemons[0].node;
    let account = &fleet.shape.accounts[0].name;
    let query = format!("path=/hop-0&account={account}");
    eventually("a lender is known", || {
        preview(node, &query)["outcome"]["verdict"] == "admitted"
    });
    let document = preview(node, &query);
    assert_eq!(document["interface"], "own");
    assert!(document["admission"]["level"].is_number(), "{document:#}");
    let keyless = preview(node, "path=/hop-0");
    assert_eq!(
        keyless["outcome"]["refusal"]["code"],
        Code::KeyMissing.number()
    );
    node.lifecycle.set_leaving();
    let leaving = preview(node, &query);
    assert_eq!(leaving["leaving"], true);
    let refusal = &leaving["outcome"]["refusal"];
    assert_eq!(refusal["code"], Code::Leaving.number());
    assert_eq!(refusal["retry_after_s"], json!([1.0, 2.0]));
}

/// Guards against a daemon without a configuration that answers "unknown route" instead
/// of the refusal that its clients get.
#[test]
fn unconfigured() {
    let platform = Platform::start(Capacity::default());
    let member = start_lone("n-1", &platform);
    let document = preview(&member.node, "path=/a/&host=h.example&account=t-1");
    assert_eq!(document["route"], Value::Null);
    let refusal = &document["outcome"]["refusal"];
    let expected = Code::KeyUnconfirmed;
    assert_eq!(refusal["code"], expected.number());
    assert_eq!(refusal["status"], expected.status());
}
