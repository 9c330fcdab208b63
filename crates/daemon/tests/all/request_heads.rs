//! Request heads that exceed the size limit, or that two parsers may interpret
//! differently, are refused before a target runs them.

use cardamomshed_note::{Limits, Size};
use cardamomshed_standin::client::{eventually, send_raw};

use crate::{chain, get};

#[test]
fn ambiguous_heads_refused() {
    let fleet = chain(1);
    let to = fleet.callers()[0];
    let key = &fleet.keys[0];
    let path = fleet.shape.path();
    let request = |line: &str, fields: &str, body: &str| {
        let head =
            format!("{line}\r\nhost: x\r\nauthorization: Bearer {key}\r\n{fields}\r\n{body}");
        send_raw(to, head.as_bytes())
    };
    let post = format!("POST {path} HTTP/1.1");
    let both = "content-length: 4\r\ntransfer-encoding: chunked\r\n";
    assert_eq!(request(&post, both, "0\r\n\r\n"), 400);
    let conflicting = "content-length: 4\r\ncontent-length: 5\r\n";
    assert_eq!(request(&post, conflicting, "abcde"), 400);
    let folded = "x-folded: a\r\n b\r\n";
    assert_eq!(request(&post, folded, ""), 400);
    let upgrade = "connection: upgrade\r\nupgrade: websocket\r\n";
    assert_eq!(request(&format!("GET {path} HTTP/1.1"), upgrade, ""), 400);
    for ambiguous in [
        "/hop-0/../hop-0",
        "/hop-0/%2e%2e/x",
        "/hop-0//x",
        "/hop-0%2fx",
    ] {
        assert_eq!(
            request(&format!("GET {ambiguous} HTTP/1.1"), "", ""),
            400,
            "{ambiguous}"
        );
    }
    let large = format!("x-large: {}\r\n", "a".repeat(17 * 1024));
    assert_eq!(request(&format!("GET {path} HTTP/1.1"), &large, ""), 431);
    assert_eq!(fleet.executions(), 0);
    assert_eq!(request(&format!("GET {path} HTTP/1.1"), "", ""), 200);
}

#[test]
fn reserved_fields_dropped() {
    let fleet = chain(1);
    let forged = get(&fleet, &fleet.shape.path())
        .header("x-shed-account", "account-1")
        .header("x-shed-context", "0")
        .header("connection", "x-once")
        .header("x-once", "value")
        .send();
    assert_eq!(forged.status, 200);
    assert!(forged.header("x-shed-request").is_some());
}

/// Guards against a limit of the configuration that is not applied.
#[test]
fn configured_limit_applied() {
    let fleet = chain(1);
    let mut note = fleet.blank_note("short-heads");
    let head = Size::from_bytes(1_000);
    note.limits = Some(Limits {
        head,
        ..Limits::default()
    });
    fleet.apply(&note);
    let head = format!("GET / HTTP/1.1\r\nhost: {}\r\n\r\n", "a".repeat(1_000));
    let status = || send_raw(fleet.callers()[0], head.as_bytes());
    eventually("the limit is in force", || status() == 431);
}
