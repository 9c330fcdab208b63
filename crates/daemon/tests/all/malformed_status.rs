//! Responses of the target whose status line is malformed: the caller gets 502 and
//! nothing of the response, beside the target and through a peer link.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use cardamomshed_daemon::Options;
use cardamomshed_platform::header;
use cardamomshed_standin::client::eventually;
use cardamomshed_standin::fleet::Member;
use cardamomshed_standin::platform::{Capacity, Platform};
use serde_json::json;

use crate::platform_sidecar::{ATTEMPT, config, request, send_heartbeat, sidecar, start_lone};

/// Begin of the response by the last segment of the request's path.
const STATUS_LINES: [&str; 14] = [
    "HTTP/1.1 000 Fine",
    "HTTP/1.1 000",
    "HTTP/1.1 00 Fine",
    "HTTP/1.1 20 Fine",
    "HTTP/1.1 2x0 Fine",
    "HTTP/1.1 abc Fine",
    "HTTP/1.1 099 Fine",
    "HTTP/1.1 600 Fine",
    "HTTP/1.1 999 Fine",
    "HTTP/1.1 2000 Fine",
    "HTTP/2.0 200 Fine",
    "HTTP/0.9 200 Fine",
    "HTTQ/1.1 200 Fine",
    "Fine",
];
/// Segment for interim responses without end.
const ENDLESS: &str = "endless";
/// Segment for a proper response.
const PROPER: &str = "proper";
/// Text in the header and the body of each response.
const SECRET: &str = "of-the-target";

/// Serves one request.
fn respond(mut stream: TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read_exact(&mut byte).is_err() {
            return;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head);
    let path = head.split(' ').nth(1).unwrap_or_default();
    let segment = path.rsplit('/').next().unwrap_or_default();
    if segment == ENDLESS {
        let interim = format!("HTTP/1.1 102 Processing\r\nx-text: {SECRET}\r\n\r\n");
        while stream.write_all(interim.as_bytes()).is_ok() {}
        return;
    }
    let index = segment.parse::<usize>().ok();
    let line = index.map_or("HTTP/1.1 200 OK", |index| STATUS_LINES[index]);
    let response = format!(
        "{line}\r\n{}: {ATTEMPT}\r\n{}: {SECRET}\r\nx-text: {SECRET}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{SECRET}",
        header::ATTEMPT,
        header::SIGNATURE,
        SECRET.len()
    );
    // The daemon may close the connection.
    let _ = stream.write_all(response.as_bytes());
}

/// Guards against a malformed response that is passed to the caller, whole or in part.
#[test]
fn malformed_status_withheld() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = listener.local_addr().expect("a bound port");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(|| respond(stream));
        }
    });
    let platform = Platform::start(Capacity::default());
    platform.write("op", "config", &config(3, "key-one"));
    let remote = start_lone("n-1", &platform);
    let settings = sidecar("n-2", "s-two", target, &platform);
    let local = Member::start(settings, Options::default());
    let reply = send_heartbeat(&local, "i-1", target, &json!({}));
    assert_eq!(reply.status, 200);
    let segments = (0..STATUS_LINES.len()).map(|index| index.to_string());
    let segments = segments.chain([ENDLESS.to_owned()]).collect::<Vec<_>>();
    for daemon in [&local, &remote] {
        let send = |segment: &str| {
            let path = format!("/once/{segment}");
            request(daemon.node.settings.callers, &path, "1500").send()
        };
        eventually("a proper response", || send(PROPER).status == 200);
        for segment in &segments {
            let mut reply = None;
            // After failures, the target is ejected for some time.
            eventually("a response beyond the ejection", || {
                let found = send(segment);
                let is_answer = found.status != 503;
                reply = Some(found);
                is_answer
            });
            let reply = reply.expect("a response");
            let index = segment.parse::<usize>().ok();
            let line = index.map_or(ENDLESS, |index| STATUS_LINES[index]);
            assert_eq!(reply.status, 502, "{line}: {reply:?}");
            assert_eq!(reply.ran(), "unknown", "{line}");
            let text = format!("{reply:?} {}", String::from_utf8_lossy(&reply.body));
            assert!(!text.contains(SECRET), "{line}: {text}");
        }
    }
}
