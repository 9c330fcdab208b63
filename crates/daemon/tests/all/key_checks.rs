//! Keys are checked on every request, also on an open connection, and are
//! never forwarded to a target.

use std::io::{Read, Write};
use std::time::Duration;

use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::target::Target;

use crate::{chain, connect, get, request_text};

#[test]
fn key_required() {
    let fleet = chain(2);
    let path = fleet.shape.path();
    let to = fleet.callers()[0];
    let none = Request::get(to, &path).send();
    assert_eq!((none.status, none.code()), (401, 1101));
    let wrong = Request::get(to, &path).key("csk_wrong").send();
    assert_eq!((wrong.status, wrong.code()), (401, 1102));
    assert_eq!(wrong.ran(), "no");
    assert_eq!(get(&fleet, &path).send().status, 200);
    assert_eq!(fleet.executions(), 2);
}

#[test]
fn key_not_forwarded() {
    let fleet = chain(2);
    let path = fleet.shape.path();
    let key = &fleet.keys[0];
    let in_header = get(&fleet, &path).header("x-copy", key).send();
    assert_eq!((in_header.status, in_header.code()), (400, 1004));
    let in_query = get(&fleet, &format!("{path}?key={key}")).send();
    assert_eq!((in_query.status, in_query.code()), (400, 1004));
    let cookie = get(&fleet, &path)
        .header("cookie", &format!("k={key}"))
        .send();
    assert_eq!((cookie.status, cookie.code()), (400, 1004));
    assert_eq!(get(&fleet, &path).send().status, 200);
    let forwarded = fleet.targets.iter().map(Target::keys_seen).sum::<u64>();
    assert_eq!(forwarded, 0);
}

#[test]
fn internal_route_refused() {
    let fleet = chain(2);
    let inner = get(&fleet, "/hop-1").send();
    assert_eq!((inner.status, inner.code()), (404, 1201));
    let unknown = get(&fleet, "/nowhere").send();
    assert_eq!((unknown.status, unknown.code()), (404, 1201));
    assert_eq!(fleet.executions(), 0);
}

#[test]
fn withdrawn_key_refused() {
    let fleet = chain(1);
    let mut caller = connect(fleet.callers()[0], Duration::from_secs(5));
    let head = request_text(&fleet.shape.path(), &fleet.keys[0]);
    let mut request_status = || {
        caller
            .write_all(head.as_bytes())
            .expect("the connection is open");
        let mut response = [0; 4_096];
        let length = caller.read(&mut response).expect("a response");
        String::from_utf8_lossy(&response[..length])[9..12].to_owned()
    };
    assert_eq!(request_status(), "200");
    fleet.apply(&fleet.withdrawal_note("account-0-key"));
    eventually("the key is refused on the open connection", || {
        request_status() == "401"
    });
    let other = Request::get(fleet.callers()[1], &fleet.shape.path()).key(&fleet.keys[1]);
    assert_eq!(other.send().status, 200);
}
