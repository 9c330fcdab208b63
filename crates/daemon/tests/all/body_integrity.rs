//! Each caller receives the complete response to its own request, and bodies
//! above the size limit are refused.

use std::time::Duration;

use cardamomshed_standin::client::{Request, send_raw};
use cardamomshed_standin::thread;

use crate::{chain, get};

#[test]
fn responses_match_requests() {
    let fleet = chain(1);
    fleet.targets[0].change(|behaviour| behaviour.slowdown = 10.0);
    let (to, key) = (fleet.callers(), fleet.keys[0].clone());
    let replies = thread::run(move || async move {
        let calls = (0..100).map(|number| {
            let body = format!("request number {number:04}");
            let request = Request::post(to[number % to.len()], "/hop-0", body.as_bytes()).key(&key);
            actix_rt::spawn(async move { (body, request.send_async().await) })
        });
        let mut replies = Vec::new();
        for call in calls.collect::<Vec<_>>() {
            replies.push(call.await.expect("the call task completes"));
        }
        replies
    });
    let answered = replies.iter().filter(|(_, reply)| reply.status == 200);
    assert!(answered.clone().count() >= 50);
    for (sent, reply) in answered {
        assert!(
            reply.body.starts_with(sent.as_bytes()),
            "the response belongs to another request"
        );
    }
}

#[test]
fn large_bodies_complete() {
    let fleet = chain(1);
    let size = 3 * 1024 * 1024;
    fleet.change_targets(|behaviour| behaviour.body_len = size);
    let body = (0..size)
        .map(|index| (index % 251) as u8)
        .collect::<Vec<_>>();
    for to in fleet.callers() {
        let request = Request::post(to, "/hop-0", &body).key(&fleet.keys[0]);
        let reply = request.send();
        assert_eq!(reply.status, 200);
        assert!(
            reply.body == body,
            "the response body differs from the request body"
        );
    }
}

#[test]
fn body_size_limited() {
    let fleet = chain(1);
    let large = vec![0; 5 * 1024 * 1024];
    let reply = Request::post(fleet.callers()[0], "/hop-0", &large)
        .key(&fleet.keys[0])
        .send();
    assert!(
        reply.status == 413 || reply.status == 0,
        "status {}",
        reply.status
    );
    fleet.change_targets(|behaviour| behaviour.body_len = 5 * 1024 * 1024);
    let reply = get(&fleet, "/hop-0").send();
    assert_eq!((reply.status, reply.code()), (502, 1406));
}

#[test]
fn truncated_body_not_run() {
    let fleet = chain(1);
    let head = format!(
        "POST /hop-0 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: 100\r\n\r\nonly a part",
        fleet.keys[0]
    );
    let to = fleet.callers()[0];
    std::thread::spawn(move || send_raw(to, head.as_bytes()));
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(
        fleet.executions(),
        0,
        "a request with a truncated body must not run"
    );
}
