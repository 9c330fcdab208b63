//! Command `preview`.

use cardamomshed_standin::client::eventually;
use serde_json::Value;

use crate::{fleet, shedctl, stderr, stdout};

/// Guards against text that lacks a part of the preview, output of `--json` that is not
/// JSON, and errors without the code of the daemon.
#[test]
fn preview_printed() {
    let fleet = fleet();
    let admin = fleet.daemons[0].node.settings.admin.to_string();
    let account = &fleet.shape.accounts[0].name;
    let preview = |path, options: &[&str]| {
        let fixed = ["preview", path, "--daemon", &admin, "--account", account];
        shedctl(&[&fixed, options].concat())
    };
    eventually("a lender is known", || {
        stdout(&preview("/hop-0", &[])).starts_with("outcome: admitted")
    });
    let text = stdout(&preview("/hop-0", &["--method", "POST", "--size", "10"]));
    let parts = [
        "route: hop-0, priority",
        "rate: ",
        "load shedding: level",
        "memory: ",
        "service hop-0 (100 % of the route, next): admitted",
        "first choice: hop-0-0",
        "gate run",
        "hop-0-1",
    ];
    for part in parts {
        assert!(text.contains(part), "{part} is missing in {text}");
    }
    let json = stdout(&preview("/hop-0", &["--json"]));
    let document = serde_json::from_str::<Value>(&json).expect("JSON");
    assert_eq!(document["outcome"]["verdict"], "admitted");

    let refused = stdout(&preview("/hop-0", &["--size", "99999999"]));
    let expected = "outcome: refused: CS1003, status 413";
    assert!(refused.starts_with(expected), "{refused}");
    let errors = [
        ("/nowhere", vec![], "CS1201"),
        ("/hop-0", vec!["--size", "1k"], "CS3001"),
        ("/hop-0", vec!["--daemon", &admin], "CS3001"),
    ];
    for (path, options, code) in errors {
        let output = preview(path, &options);
        assert!(!output.status.success());
        assert!(stderr(&output).contains(code), "{}", stderr(&output));
    }
    let unknown = [
        "preview",
        "/hop-0",
        "--daemon",
        &admin,
        "--account",
        "nobody",
    ];
    assert!(stderr(&shedctl(&unknown)).contains("CS2007"));
    let silent = shedctl(&["preview", "/", "--daemon", "127.0.0.1:1"]);
    assert!(stderr(&silent).contains("CS3002"), "{}", stderr(&silent));
}
