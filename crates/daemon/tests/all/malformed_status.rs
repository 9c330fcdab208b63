//! Responses of the target whose status line is malformed: the caller gets 502 and
//! nothing of the response, beside the target and through a peer link.

use std::io::Write;
use std::net::TcpStream;

use crate::raw_target::{Deployment, SECRET, assert_withheld, head, send};

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
/// Sends the response to one request.
fn respond(segment: &str, mut stream: TcpStream) {
    if segment == ENDLESS {
        let interim = format!("HTTP/1.1 102 Processing\r\nx-text: {SECRET}\r\n\r\n");
        while stream.write_all(interim.as_bytes()).is_ok() {}
        return;
    }
    let index = segment.parse::<usize>().expect("an index");
    let response = format!(
        "{}connection: close\r\ncontent-length: {}\r\n\r\n{SECRET}",
        head(STATUS_LINES[index]),
        SECRET.len()
    );
    // The daemon may close the connection.
    let _ = stream.write_all(response.as_bytes());
}

/// Guards against a malformed response that is passed to the caller, whole or in part.
#[test]
fn malformed_status_withheld() {
    let deployment = Deployment::start(respond);
    let segments = (0..STATUS_LINES.len()).map(|index| index.to_string());
    let segments = segments.chain([ENDLESS.to_owned()]).collect::<Vec<_>>();
    for daemon in deployment.daemons() {
        for segment in &segments {
            let reply = send(daemon, segment, b"");
            let index = segment.parse::<usize>().ok();
            let line = index.map_or(ENDLESS, |index| STATUS_LINES[index]);
            assert_withheld(&reply, line);
        }
    }
}
