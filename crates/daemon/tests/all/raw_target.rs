//! A target that writes the bytes of its responses itself, with a daemon beside it and
//! one that reaches it through a peer link.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use cardamomshed_daemon::Options;
use cardamomshed_platform::header;
use cardamomshed_standin::client::{Reply, Request, eventually};
use cardamomshed_standin::fleet::Member;
use cardamomshed_standin::platform::{Capacity, Platform};
use serde_json::json;

use crate::platform_sidecar::{ATTEMPT, config, send_heartbeat, sidecar, start_lone};

/// Text in the fields and the body of each response.
pub(crate) const SECRET: &str = "of-the-target";
/// Path prefix of the route, whose requests must not run twice.
const PATH: &str = "/once/";
/// Last segment of the path of a request that gets a proper response.
const PROPER: &str = "proper";
/// Time limit of the route and of each request, in milliseconds.
const TIMEOUT_MS: &str = "8000";
/// Largest request body that the daemons accept, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 16 << 20;

/// Head of a response up to its framing fields, and without the empty line.
pub(crate) fn head(status_line: &str) -> String {
    format!(
        "{status_line}\r\n{}: {ATTEMPT}\r\n{}: {SECRET}\r\nx-text: {SECRET}\r\n",
        header::ATTEMPT,
        header::SIGNATURE,
    )
}

/// Two daemons and the target.
pub(crate) struct Deployment {
    /// Daemon beside the target.
    pub(crate) local: Member,
    /// Daemon without a target.
    pub(crate) remote: Member,
    /// Address of the target.
    pub(crate) target: SocketAddr,
    /// Requests that the target has received, proper ones not counted.
    runs: Arc<AtomicUsize>,
    _platform: Platform,
}

impl Deployment {
    /// Starts a target that has `respond` handle each connection with one request, on a
    /// thread of its own, given the last segment of the request's path. The request's
    /// body is not read.
    pub(crate) fn start(respond: impl Fn(&str, TcpStream) + Send + Sync + 'static) -> Self {
        let runs = Arc::<AtomicUsize>::default();
        let target = listen(respond, Arc::clone(&runs));
        let platform = Platform::start(Capacity::default());
        let mut config = config(3, "key-one");
        config["routes"]["r-once"]["timeout"] = json!(format!("{TIMEOUT_MS}ms"));
        config["limits"] = json!({"max-body-bytes": MAX_BODY_BYTES});
        platform.write("op", "config", &config);
        let remote = start_lone("n-1", &platform);
        let settings = sidecar("n-2", "s-two", target, &platform);
        let local = Member::start(settings, Options::default());
        let reply = send_heartbeat(&local, "i-1", target, &json!({}));
        assert_eq!(reply.status, 200);
        let deployment = Self {
            local,
            remote,
            target,
            runs,
            _platform: platform,
        };
        for daemon in deployment.daemons() {
            eventually("a proper response", || {
                request(daemon, PROPER, b"").send().status == 200
            });
        }
        deployment
    }

    /// Both daemons.
    pub(crate) fn daemons(&self) -> [&Member; 2] {
        [&self.local, &self.remote]
    }

    /// Number of requests that the target has received since the last call.
    pub(crate) fn take_runs(&self) -> usize {
        self.runs.swap(0, Ordering::Relaxed)
    }
}

/// Sends a request that must not run twice through a daemon. After failures, the target is
/// ejected for some time, in which requests are refused: these are repeated.
pub(crate) fn send(daemon: &Member, segment: &str, body: &[u8]) -> Reply {
    let mut reply = None;
    eventually("a response beyond the ejection", || {
        let found = request(daemon, segment, body).send();
        let is_answer = found.status != 503;
        reply = Some(found);
        is_answer
    });
    reply.expect("a response")
}

/// A request to a daemon whose path ends with a segment, with the fields that the
/// platform's clients set.
fn request(daemon: &Member, segment: &str, body: &[u8]) -> Request {
    let path = format!("{PATH}{segment}");
    let request = match body {
        [] => Request::get(daemon.node.settings.callers, &path),
        body => Request::post(daemon.node.settings.callers, &path, body),
    };
    request
        .header("host", "h.example")
        .header(header::ATTEMPT, ATTEMPT)
        .header(header::DEADLINE, TIMEOUT_MS)
}

/// Asserts that the caller got a refusal of the daemon for an unknown outcome, and no
/// part of the target's response.
pub(crate) fn assert_withheld(reply: &Reply, case: &str) {
    assert_eq!(reply.status, 502, "{case}: {reply:?}");
    assert_eq!(reply.ran(), "unknown", "{case}");
    let text = format!("{reply:?} {}", String::from_utf8_lossy(&reply.body));
    assert!(!text.contains(SECRET), "{case}: {text}");
}

fn listen(
    respond: impl Fn(&str, TcpStream) + Send + Sync + 'static,
    runs: Arc<AtomicUsize>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = listener.local_addr().expect("a bound port");
    let respond = Arc::new(respond);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (respond, runs) = (Arc::clone(&respond), Arc::clone(&runs));
            std::thread::spawn(move || serve(stream, &*respond, &runs));
        }
    });
    target
}

/// Reads the head of a request and has it responded to.
fn serve(mut stream: TcpStream, respond: &impl Fn(&str, TcpStream), runs: &AtomicUsize) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read_exact(&mut byte).is_err() {
            return;
        }
        request.push(byte[0]);
    }
    let request = String::from_utf8_lossy(&request);
    let path = request.split(' ').nth(1).unwrap_or_default();
    let segment = path.rsplit('/').next().unwrap_or_default();
    // The health check is not under the path of the route.
    if segment == PROPER || !path.starts_with(PATH) {
        let response = format!(
            "{}connection: close\r\ncontent-length: 2\r\n\r\nok",
            head("HTTP/1.1 200 OK")
        );
        // The daemon may close the connection.
        let _ = stream.write_all(response.as_bytes());
        return;
    }
    runs.fetch_add(1, Ordering::Relaxed);
    respond(segment, stream);
}
