//! A daemon gets SIGTERM while a client still reads an answer.

use std::io::Read;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use super::{KEY, await_served, client_request, desired_state, route};
use crate::fleet::{Daemon, await_ready};
use crate::http::Connection;
use crate::store::Store;
use crate::upstream::{Action, Upstream};
use crate::{Setting, Verdict};

/// Length of the upstream's body, in bytes.
const BODY: usize = 15 * 1024 * 1024;
/// Receive buffer of the client, in bytes.
const RECEIVE_BUFFER: i32 = 256 * 1024;
/// Bytes that the client reads at once, and the pause after it: 3 MiB a second.
const PART: usize = 32 * 1024;
const READ_PAUSE: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_secs(10);
/// When SIGTERM comes, counted from the request.
const TERMINATED_AT: Duration = Duration::from_millis(300);
const CLIENTS: usize = 2;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let routes = [route("maps", "idempotent", "catalog", "10000ms")];
    store.configure(&desired_state(1, &routes, &["front", "catalog"], &[KEY]));
    let daemon = |name: &str, service: &str| {
        Daemon::new(
            name,
            "a",
            service,
            store.address,
            &setting.temporary,
            record,
        )
    };
    let mut daemons = [daemon("front-1", "front"), daemon("catalog-1", "catalog")];
    let run = |_: &crate::http::Message| Action::Run(Duration::from_millis(50), vec![b'm'; BODY]);
    let mut upstreams = Vec::new();
    for daemon in &mut daemons {
        daemon.start();
        let instance = format!("i-{}", daemon.name);
        let upstream = Upstream::start(&daemon.service, &instance, daemon.app, 54, record, run);
        upstream.register(daemon.control);
        upstreams.push(upstream);
    }
    if !await_ready(&daemons) || !await_served(daemons[0].outbound, "GET", "/maps/w", KEY) {
        return Verdict::NotRun("the deployment does not serve".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let clients = (0..CLIENTS).map(|client| {
        let (to, record) = (daemons[0].outbound, record.clone());
        std::thread::spawn(move || read_slowly(to, &format!("slow-{client}"), &record))
    });
    let clients = clients.collect::<Vec<_>>();
    std::thread::sleep(TERMINATED_AT);
    let terminated_at = Instant::now();
    if setting.trouble {
        daemons[0].terminate();
    }
    let mut ended = None;
    while !clients.iter().all(std::thread::JoinHandle::is_finished) {
        if ended.is_none() && daemons[0].has_ended() {
            ended = Some(terminated_at.elapsed());
            record.report(&format!("the daemon has ended {ended:?} after SIGTERM"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut cut = 0;
    for client in clients {
        let whole = client.join().unwrap_or(false);
        cut += usize::from(!whole);
    }
    record.report(&format!(
        "{CLIENTS} answers, {cut} of them cut; all had ended {:?} after the requests",
        started.elapsed()
    ));
    if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Reads an answer slowly. Returns whether it was whole.
fn read_slowly(to: std::net::SocketAddr, id: &str, record: &crate::record::Record) -> bool {
    let Ok(mut connection) = Connection::connect(to) else {
        return false;
    };
    let socket = connection.stream.as_raw_fd();
    // The descriptor is open, and the value outlives the call.
    unsafe { setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4) };
    record.line(&format!("client sends {id}"));
    let request = client_request("GET", "/maps/1", id, KEY, DEADLINE, b"");
    let started = Instant::now();
    let _ = connection.stream.set_read_timeout(Some(DEADLINE));
    if connection.write(&request).is_err() {
        return false;
    }
    let mut received = Vec::new();
    let mut part = vec![0; PART];
    let mut whole = usize::MAX;
    let end = loop {
        match connection.stream.read(&mut part) {
            Ok(0) => break "the connection was closed".to_owned(),
            Ok(length) => received.extend_from_slice(&part[..length]),
            Err(error) => break error.to_string(),
        }
        if whole == usize::MAX
            && let Some(at) = received.windows(4).position(|part| part == b"\r\n\r\n")
        {
            let status = String::from_utf8_lossy(&received[..at.min(40)]).into_owned();
            record.line(&format!(
                "client gets the head for {id}: {}",
                status.lines().next().unwrap_or("")
            ));
            whole = at + 4 + BODY;
        }
        if received.len() >= whole {
            break "the answer is whole".to_owned();
        }
        std::thread::sleep(READ_PAUSE);
    };
    record.report(&format!(
        "{id}: {end} after {} bytes of {whole}, {:?} after the request",
        received.len(),
        started.elapsed()
    ));
    received.len() >= whole
}
