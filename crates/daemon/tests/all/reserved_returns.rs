//! A request that load shedding refuses is admitted when it comes back as told.

use std::time::{Duration, Instant};

use cardamomshed_policy::price::Table;
use cardamomshed_standin::client::Request;
use serde_json::Value;

use crate::placed_fleet::Fleet;
use crate::platform_sidecar::eventually_status;

/// Guards against a time that differs from that of the preview, a client that is refused
/// again at that time, and reservations that are neither counted nor logged.
#[test]
fn returns_as_told() {
    let fleet = Fleet::start(None);
    fleet.configure(3, |_| ());
    let node = &fleet.members[0].node;
    let admin = |path: &str| Request::get(node.settings.admin, path).send().body;
    let get = || fleet.get(0, "/a/").key("key-one").send();
    eventually_status(200, get);
    let key = node.lookup().host_route("h.example", "/a/").unwrap().key;
    // At this price, 0.12 of the requests are admitted as new ones.
    let raise_price = || {
        let table = &mut node.routing.prices.lock().unwrap().table;
        *table = Table::default();
        table.observe(key, 24.0, node.clock.now());
    };
    let is_admitted = || {
        raise_price();
        let document = admin("/preview?path=/a/&host=h.example&account=t-1");
        let document = serde_json::from_slice::<Value>(&document).expect("JSON");
        let range = document["outcome"]["refusal"]["retry_after_s"].clone();
        let [low, high] = serde_json::from_value::<[f64; 2]>(range).expect("a range");
        let told = get()
            .header("retry-after")?
            .parse::<f64>()
            .expect("seconds");
        let refused_at = Instant::now();
        // The client waits 0.4 s at most, and is refused a little after the preview.
        assert!(
            told > low - 0.1 && told < high + 0.1 && told <= 0.4,
            "{told} for a preview of {low} to {high}"
        );
        std::thread::sleep(Duration::from_secs_f64(told));
        raise_price();
        let status = get().status;
        let is_late = refused_at.elapsed().as_secs_f64() >= told + 0.4;
        assert!(status == 200 || is_late, "{status}");
        (!is_late).then_some(())
    };
    assert!((0..100).any(|_| is_admitted().is_some()));
    let log = "/explain/00000000000000009c41d07be2a35f68";
    let counted = "cardamomshed_reservations_total{outcome=\"redeemed\"} 1\n";
    for (path, part) in [("/metrics", counted), (log, " slot=")] {
        let text = String::from_utf8(admin(path)).expect("text");
        assert!(text.contains(part), "{text}");
    }
}
