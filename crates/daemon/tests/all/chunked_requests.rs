//! Requests with chunked bodies.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_note::Size;
use cardamomshed_platform::header;
use cardamomshed_standin::client::eventually;
use cardamomshed_standin::fleet::Member;
use cardamomshed_standin::platform::{Capacity, Platform};

use crate::connect;
use crate::platform_sidecar::{config, lone};

/// Memory for the bodies of requests, which is less than the largest body.
const BODIES: u64 = 1024 * 1024;

/// Sends a chunked body of one chunk and returns the response as text.
fn send(to: SocketAddr, length: usize) -> String {
    let mut stream = connect(to, Duration::from_secs(5));
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: h.example\r\n{}: 9c41d07be2a35f68\r\n\
         connection: close\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n",
        header::ATTEMPT
    );
    let message = [head.as_bytes(), &vec![b'x'; length], b"\r\n0\r\n\r\n"].concat();
    // The daemon may refuse the request before it has read the body.
    let _ = stream.write_all(&message);
    let mut response = Vec::new();
    // A reset may follow the response to a body that was not read.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against the refusal of a short chunked body because its length is not known:
/// as much as the longest body was reserved for it. Without a target, a request whose
/// body was received is refused with 1305.
#[test]
fn short_body_received() {
    let platform = Platform::start(Capacity::default());
    platform.write("op", "config", &config(3, "key-one"));
    let mut settings = lone("n-1", &platform);
    settings.bodies = Size::from_bytes(BODIES);
    let daemon = Member::start(settings, Options::default());
    let callers = daemon.node.settings.callers;
    eventually("a body is received", || {
        send(callers, 100_000).contains("\"code\":1305")
    });
    let refused = send(callers, 2_000_000);
    assert!(refused.contains("\"code\":1308"), "{refused}");
}
