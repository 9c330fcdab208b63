//! The daemon beside an upstream stands still for a moment, several times, while
//! the daemons of the clients wait for its answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use super::{Client, KEY, await_served, client_request, desired_state, route};
use crate::fleet::{Daemon, await_ready};
use crate::store::Store;
use crate::upstream::{Action, Upstream};
use crate::{Setting, Verdict};

/// Length of an upstream's body, in bytes.
const BODY: usize = 4 * 1024 * 1024;
/// Time for which the daemon stands still.
const FREEZE: Duration = Duration::from_millis(1_800);
/// Time between two of these.
const PAUSE: Duration = Duration::from_millis(2_200);
const FREEZES: u32 = 20;
const CLIENTS: u64 = 8;
const DEADLINE: Duration = Duration::from_secs(10);

/// Body of the answer to a request: blocks that hold its id and their place.
fn body(id: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(BODY + 64);
    let mut block = 0;
    while bytes.len() < BODY {
        bytes.extend_from_slice(format!("{id:>22}:{block:08}\n").as_bytes());
        block += 1;
    }
    bytes.truncate(BODY);
    bytes
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let routes = [route("lists", "idempotent", "dispatch", "10000ms")];
    store.configure(&desired_state(1, &routes, &["front", "dispatch"], &[KEY]));
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
    let mut daemons = [
        daemon("front-1", "front"),
        daemon("front-2", "front"),
        daemon("front-3", "front"),
        daemon("dispatch-1", "dispatch"),
    ];
    let seed = Arc::new(AtomicU64::new(0));
    let mut upstreams = Vec::new();
    for daemon in &mut daemons {
        daemon.start();
        let instance = format!("i-{}", daemon.name);
        let seed = Arc::clone(&seed);
        let behaviour = move |request: &crate::http::Message| {
            let id = request.get("x-attempt-id").unwrap_or("");
            let number = seed.fetch_add(1, Ordering::Relaxed);
            let work = 200 + number * 7_919 % 1_300;
            Action::Run(Duration::from_millis(work), body(id))
        };
        let upstream = Upstream::start(
            &daemon.service,
            &instance,
            daemon.app,
            265,
            record,
            behaviour,
        );
        upstream.register(daemon.control);
        upstreams.push(upstream);
    }
    if !await_ready(&daemons) || !await_served(daemons[0].outbound, "GET", "/lists/w", KEY) {
        return Verdict::NotRun("the deployment does not serve".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let (answered, spoiled) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for daemon in &daemons[..3] {
        for client in 0..CLIENTS {
            let (to, name) = (daemon.outbound, daemon.name.clone());
            let (stop, record) = (Arc::clone(&stop), record.clone());
            let (answered, spoiled) = (Arc::clone(&answered), Arc::clone(&spoiled));
            clients.push(std::thread::spawn(move || {
                let mut connection = Client::new(to);
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{name}-{client}-{number}");
                    number += 1;
                    record.line(&format!("client sends {id}"));
                    let request = client_request("GET", "/lists/1", &id, KEY, DEADLINE, b"");
                    let Ok(answer) = connection.send(&request, DEADLINE) else {
                        record.line(&format!("client gets no answer for {id}"));
                        continue;
                    };
                    let is_whole = answer.body == body(&id);
                    record.line(&format!(
                        "client gets {} for {id}, {} bytes, whole={is_whole}",
                        answer.status(),
                        answer.body.len()
                    ));
                    if answer.status() != 200 {
                        std::thread::sleep(Duration::from_millis(100));
                        continue;
                    }
                    answered.fetch_add(1, Ordering::Relaxed);
                    if !is_whole {
                        spoiled.fetch_add(1, Ordering::Relaxed);
                        describe(&record, &id, &answer.body);
                    }
                }
            }));
        }
    }
    for _ in 0..FREEZES {
        std::thread::sleep(PAUSE);
        if setting.trouble {
            daemons[3].pause();
        }
        std::thread::sleep(FREEZE);
        if setting.trouble {
            daemons[3].resume();
        }
    }
    std::thread::sleep(PAUSE);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let spoiled = spoiled.load(Ordering::Relaxed);
    record.report(&format!(
        "{} successes; {spoiled} with a body that is not the upstream's (MIXED)",
        answered.load(Ordering::Relaxed)
    ));
    if spoiled > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Records which parts of the upstream's body arrived in which order.
fn describe(record: &crate::record::Record, id: &str, received: &[u8]) {
    let whole = body(id);
    let parts = received.chunks(32 * 1024).map(|part| {
        let place = whole.chunks(32 * 1024).position(|sent| sent == part);
        place.map_or("?".to_owned(), |place| place.to_string())
    });
    let parts = parts.collect::<Vec<_>>();
    record.report(&format!(
        "{id}: parts of 32 KiB arrived in the order {}",
        parts.join(" ")
    ));
}
