//! Commands `load` and `report`, and errors of usage.

use std::path::Path;

use crate::{fleet, shedctl, stderr, stdout};

#[test]
fn load_reported() {
    let fleet = fleet();
    let to = fleet.callers()[0].to_string();
    let source = format!("one,{},50,GET,/hop-0", fleet.keys[0]);
    let run = shedctl(&[
        "load", "--to", &to, "--source", &source, "--stage", "1,1", "--json",
    ]);
    assert!(run.status.success(), "{}", stderr(&run));
    let json: serde_json::Value = serde_json::from_str(&stdout(&run)).expect("JSON");
    let offered = json["total"]["offered"].as_u64().expect("a number");
    assert!(offered > 20);
    assert_eq!(json["total"]["answered"].as_u64(), Some(offered));
    let table = shedctl(&["load", "--to", &to, "--source", &source, "--stage", "1,1"]);
    assert!(stdout(&table).contains("p99"));
}

#[test]
fn usage_errors() {
    for invalid in [
        "load",
        "load --to nowhere",
        "load --to 127.0.0.1:1 --source a,b,-5,GET,/",
        "load --to 127.0.0.1:1 --source a,b,5,GET,/ --stage x",
        "status",
        "note apply",
        "frobnicate",
        "",
    ] {
        let run = shedctl(&invalid.split_whitespace().collect::<Vec<_>>());
        let error = stderr(&run);
        assert!(!run.status.success(), "{invalid}");
        assert!(error.contains("CS3001"), "{invalid}: {error}");
    }
    for valid in ["--help", "--version"] {
        assert!(shedctl(&[valid]).status.success());
    }
}

#[test]
fn page_written() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let results = directory.join("results.json");
    let json = r#"{"seed": 1, "measures": [{"name": "goodput <1>", "unit": "share",
        "naive": 0.5, "ours": 0.9, "target": ">= 0.8", "holds": true}]}"#;
    std::fs::write(&results, json).expect("the file is written");
    let page = directory.join("page.html");
    let run = shedctl(&[
        "report",
        results.to_str().expect("a path"),
        "--output",
        page.to_str().expect("a path"),
    ]);
    assert!(run.status.success(), "{}", stderr(&run));
    let html = std::fs::read_to_string(page).expect("the page");
    assert!(html.contains("goodput &lt;1&gt;") && html.contains("<svg"));
}
