//! Answers of a daemon that break off.

use std::io::{Read, Write};
use std::net::TcpListener;

use serde_json::json;

use crate::{shedctl, stderr};

/// Guards against a report that is shown although a part of the answer is missing.
#[test]
fn broken_status_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let admin = listener.local_addr().expect("a bound port").to_string();
    let status = json!({
        "node": "n-1", "domain": "a", "revision": 1, "confirmed_ms_ago": 1, "leaving": false,
        "open_requests": 0, "load": {"r": 0, "w": 0, "l": 1}, "services": [], "members": [],
        "accounts": []
    });
    let status = status.to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4096];
        let length = stream.read(&mut request).expect("a request");
        assert!(length > 0, "a request");
        let length = status.len() + 1;
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{status}");
        stream.write_all(answer.as_bytes()).expect("a connection");
    });
    let output = shedctl(&["status", "--daemon", &admin]);
    assert!(!output.status.success());
    assert!(stderr(&output).contains("CS3002"), "{}", stderr(&output));
}
