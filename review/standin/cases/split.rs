//! All daemons are killed at once and started again, until they find one another in
//! two groups only; then a tenant sends more than its allotment.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Client, KEY, client_request, limited_state, route};
use crate::fleet::{Daemon, await_ready};
use crate::store::Store;
use crate::upstream::{Action, Upstream};
use crate::{Setting, Verdict};

const ZONES: usize = 8;
const DAEMONS_PER_ZONE: usize = 2;
/// Allotment of the tenant, in requests a second, and its burst.
const RATE: u32 = 40;
/// `quota-window`, `quota-over` and `quota-slack` of the bounds.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Most times that all daemons are killed.
const MAX_KILLS: u32 = 18;
/// Time for which they are down, and time after the start in which they find one
/// another.
const DOWN: Duration = Duration::from_millis(500);
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Time for which the tenant sends 7.5 times its allotment, and the pause after it.
const PRESSED: Duration = Duration::from_millis(6_500);
const PAUSE: Duration = Duration::from_millis(3_000);
const ROUNDS: u32 = 2;
/// Time between two requests at one daemon: 300 a second at sixteen.
const INTERVAL: Duration = Duration::from_millis(53);
const DEADLINE: Duration = Duration::from_secs(1);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let routes = [route("status", "idempotent", "desk", "1500ms")];
    store.configure(&limited_state(1, &routes, &["desk"], &[KEY], RATE));
    let zones = (1..=ZONES)
        .map(|number| format!("zone-{number}"))
        .collect::<Vec<_>>();
    let places = zones
        .iter()
        .flat_map(|zone| (1..=DAEMONS_PER_ZONE).map(move |number| (zone, number)));
    let daemons = places.map(|(zone, number)| {
        let name = format!("desk-{zone}-{number}");
        let mut daemon = Daemon::new(
            &name,
            zone,
            "desk",
            store.address,
            &setting.temporary,
            record,
        );
        daemon.zones.clone_from(&zones);
        daemon
    });
    let mut daemons = daemons.collect::<Vec<_>>();
    let run = |_: &crate::http::Message| Action::Run(Duration::from_millis(5), b"stored".to_vec());
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
    std::thread::sleep(Duration::from_secs(5));
    let mut kills = 0;
    while setting.trouble && kills < MAX_KILLS {
        kills += 1;
        for daemon in &mut daemons {
            daemon.kill();
        }
        std::thread::sleep(DOWN);
        for daemon in &mut daemons {
            daemon.start();
        }
        std::thread::sleep(SETTLED_AFTER);
        let members = daemons.iter().map(|daemon| daemon.members().unwrap_or(0));
        let members = members.collect::<Vec<_>>();
        record.line(&format!("members that each daemon knows: {members:?}"));
        // Fewer than these may be on their way by gossip.
        if members.iter().any(|count| *count * 2 <= daemons.len()) {
            break;
        }
    }
    record.report(&format!("all daemons were killed {kills} times"));
    let mut sent = HashMap::new();
    for round in 0..ROUNDS {
        sent.extend(press(setting, &daemons, round));
        std::thread::sleep(PAUSE);
    }
    for daemon in &daemons {
        record.line(&format!(
            "{} knows {:?} members at the end",
            daemon.name,
            daemon.members()
        ));
    }
    // Requests that ran, by the time at which they were sent.
    let ran = upstreams.iter().flat_map(|upstream| upstream.runs());
    let mut ran = ran
        .filter_map(|run| Some((*sent.get(&run.id)?, run.at)))
        .collect::<Vec<_>>();
    ran.sort_unstable();
    let most = (0..ran.len()).map(|first| {
        let end = ran[first].0 + WINDOW;
        ran[first..].iter().filter(|(_, at)| *at <= end).count()
    });
    let most = most.max().unwrap_or(0);
    let whole = f64::from(RATE) * WINDOW.as_secs_f64() + f64::from(RATE);
    let allowed = whole * (1.0 + OVER) + SLACK;
    record.report(&format!(
        "{} requests were sent and {} ran; {most} of them in one window of {WINDOW:?}, allowed {allowed}",
        sent.len(),
        ran.len()
    ));
    if most as f64 > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends requests of the tenant at all daemons. Returns when each was sent.
fn press(setting: &Setting, daemons: &[Daemon], round: u32) -> HashMap<String, Instant> {
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(HashMap::new()));
    let clients = daemons.iter().map(|daemon| {
        let (to, name, record) = (daemon.outbound, daemon.name.clone(), setting.record.clone());
        let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
        std::thread::spawn(move || {
            let mut client = Client::new(to);
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                let id = format!("{name}-{round}-{number}");
                number += 1;
                let at = Instant::now();
                sent.lock().unwrap().insert(id.clone(), at);
                let request = client_request("GET", "/status/1", &id, KEY, DEADLINE, b"");
                let status = client
                    .send(&request, DEADLINE)
                    .map_or(0, |answer| answer.status());
                record.line(&format!("client gets {status} for {id}"));
                std::thread::sleep(INTERVAL.saturating_sub(at.elapsed()));
            }
        })
    });
    let clients = clients.collect::<Vec<_>>();
    std::thread::sleep(PRESSED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    sent.clone()
}
