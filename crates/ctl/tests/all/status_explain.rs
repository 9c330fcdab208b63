//! Commands `status` and `explain`.

use cardamomshed_standin::client::{Request, eventually};

use crate::{fleet, shedctl, stderr, stdout};

#[test]
fn status_shows_fleet() {
    let fleet = fleet();
    let admin = fleet.daemons[0].node.settings.admin.to_string();
    eventually("no daemon is degraded", || {
        stdout(&shedctl(&["status", "--daemon", &admin])).contains("degraded: nothing")
    });
    let status = stdout(&shedctl(&["status", "--daemon", &admin]));
    for expected in ["here", "hop-0-0", "hop-1-1", "client accounts in force: 8"] {
        assert!(
            status.contains(expected),
            "{expected} is missing in {status}"
        );
    }
    fleet.targets[0].leave();
    eventually("a leaving target is reported", || {
        let status = stdout(&shedctl(&["status", "--daemon", &admin]));
        status.contains("the target beside hop-0-0 takes no new calls")
    });
}

#[test]
fn request_explained() {
    let fleet = fleet();
    let admin = fleet.daemons[3].node.settings.admin.to_string();
    let reply = Request::get(fleet.callers()[0], "/hop-0")
        .key(&fleet.keys[0])
        .send();
    assert_eq!(reply.status, 200);
    let request = reply.header("x-shed-request").expect("a request ID");
    let output = shedctl(&["explain", request, "--daemon", &admin]);
    let text = stdout(&output);
    assert!(output.status.success(), "{}", stderr(&output));
    for event in ["[200]", "[210]", "[220]", "[223]", "[202]"] {
        assert!(text.contains(event), "{event} is missing in {text}");
    }
    assert_eq!(
        text.matches("[220]").count(),
        2,
        "one start per hop: {text}"
    );
    let unknown = shedctl(&["explain", &"0".repeat(32), "--daemon", &admin]);
    assert!(stderr(&unknown).contains("CS3004"));
}

#[test]
fn daemons_unreachable() {
    let output = shedctl(&["status", "--daemon", "127.0.0.1:1"]);
    assert!(!output.status.success());
    assert!(stderr(&output).contains("CS3002"), "{}", stderr(&output));
}
