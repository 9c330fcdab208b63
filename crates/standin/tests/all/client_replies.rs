//! The client with which tests judge responses.

use std::io::{Read, Write};
use std::net::TcpListener;

use cardamomshed_standin::client::Request;

/// Status that the client reports for a response whose connection then ends.
fn status_of(response: &'static str) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4096];
        let length = stream.read(&mut request).expect("a request");
        assert!(length > 0, "a request");
        stream.write_all(response.as_bytes()).expect("a connection");
    });
    Request::get(address, "/a").send().status
}

/// Guards against tests that pass although a response broke off.
#[test]
fn broken_response_fails() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none";
    assert_eq!(status_of(whole), 200);
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\none",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n",
        "HTTP/1.1 200 OK\r\n\r\none",
    ] {
        assert_eq!(status_of(response), 0, "{response}");
    }
}
