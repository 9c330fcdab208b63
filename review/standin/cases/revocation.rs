//! A key is taken away while feeds hear nothing and just before the store goes down,
//! and a daemon is killed and started again meanwhile.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Client, KEY, OTHER_KEY, await_served, client_request, desired_state, route};
use crate::fleet::{Daemon, await_ready};
use crate::store::Store;
use crate::upstream::{Action, Upstream};
use crate::{Setting, Verdict};

/// `revoke` of the bounds.
const REVOKE: Duration = Duration::from_secs(5);
/// Time for which feeds hear nothing before the store goes down.
const QUIET: Duration = Duration::from_millis(450);
/// When the key is taken away within this time.
const REVOKED_AT: Duration = Duration::from_millis(20);
/// Time for which the store is down.
const STORE_DOWN: Duration = Duration::from_secs(5);
/// When the daemon is killed, counted from the confirmation.
const KILLED_AT: Duration = Duration::from_millis(2_500);
/// Time for which it is down.
const RESTART_DELAY: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_secs(1);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let routes = [route("status", "idempotent", "desk", "1500ms")];
    let state = |version, keys: &[&str]| desired_state(version, &routes, &["front", "desk"], keys);
    store.configure(&state(1, &[KEY, OTHER_KEY]));
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
        daemon("desk-1", "desk"),
        daemon("desk-2", "desk"),
        daemon("front-1", "front"),
    ];
    let run = |_: &crate::http::Message| Action::Run(Duration::from_millis(10), b"stored".to_vec());
    let mut upstreams = Vec::new();
    for daemon in &mut daemons {
        daemon.start();
        let instance = format!("i-{}", daemon.name);
        let upstream = Upstream::start(&daemon.service, &instance, daemon.app, 54, record, run);
        upstream.register(daemon.control);
        upstreams.push(upstream);
    }
    if !await_ready(&daemons) {
        return Verdict::NotRun("the daemons are not ready".to_owned());
    }
    let served = daemons
        .iter()
        .all(|daemon| await_served(daemon.outbound, "GET", "/status/w", KEY));
    if !served {
        return Verdict::NotRun("the deployment does not serve".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let confirmed = Arc::new(Mutex::new(None::<Instant>));
    let late = Arc::new(Mutex::new(Vec::new()));
    let clients = daemons.iter().map(|daemon| {
        let (to, name) = (daemon.outbound, daemon.name.clone());
        let (stop, confirmed, late) =
            (Arc::clone(&stop), Arc::clone(&confirmed), Arc::clone(&late));
        let record = record.clone();
        std::thread::spawn(move || {
            let mut client = Client::new(to);
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                let id = format!("{name}-{number}");
                number += 1;
                let request = client_request("GET", "/status/1", &id, KEY, DEADLINE, b"");
                let since = confirmed.lock().unwrap().map(|at| at.elapsed());
                let status = client
                    .send(&request, DEADLINE)
                    .map_or(0, |answer| answer.status());
                record.line(&format!(
                    "client gets {status} for {id}, sent {since:?} after the confirmation"
                ));
                if since.is_some_and(|since| since > REVOKE) {
                    late.lock().unwrap().push(id);
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    });
    let clients = clients.collect::<Vec<_>>();
    std::thread::sleep(Duration::from_millis(500));
    let without_key = state(2, &[OTHER_KEY]);
    if setting.trouble {
        record.line("feeds hear nothing");
        store.set_quiet(true);
    }
    std::thread::sleep(REVOKED_AT);
    store.configure(&without_key);
    record.line("the store confirms that a key is taken away");
    let at = Instant::now();
    *confirmed.lock().unwrap() = Some(at);
    let sleep_until = |after: Duration| {
        std::thread::sleep((at + after).saturating_duration_since(Instant::now()))
    };
    let down_at = QUIET - REVOKED_AT;
    if setting.trouble {
        sleep_until(down_at);
        record.line("the store is down");
        store.set_silent(true);
        store.set_quiet(false);
    }
    if setting.trouble {
        sleep_until(KILLED_AT);
        daemons[2].kill();
        sleep_until(KILLED_AT + RESTART_DELAY);
        daemons[2].start();
    }
    sleep_until(down_at + STORE_DOWN);
    store.set_silent(false);
    record.line("the store is back");
    sleep_until(Duration::from_secs(15));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let late = late.lock().unwrap();
    let mut runs = 0;
    for upstream in &upstreams {
        let ran = upstream.runs();
        runs += ran.iter().filter(|run| late.contains(&run.id)).count();
    }
    record.report(&format!(
        "{} requests with the key were sent later than {REVOKE:?} after the confirmation; {runs} of them ran",
        late.len()
    ));
    if runs > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
