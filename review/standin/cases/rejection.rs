//! An upstream rejects a part of its requests and sends some of its answers twice,
//! the second one late.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Client, KEY, await_served, client_request, desired_state, route};
use crate::fleet::{Daemon, await_ready};
use crate::store::Store;
use crate::upstream::{Action, Upstream};
use crate::{Setting, Verdict};

/// Share of the requests that the upstreams of the service reject.
const REJECTED: f64 = 0.3;
/// Share of the answers that an upstream sends twice.
const REPEATED: f64 = 0.03;
/// Length of each disruption and of the pause after it.
const DISRUPTION: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(3);
const ROUNDS: u32 = 8;
const CLIENTS: u64 = 6;
/// Time between two requests of one client.
const INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(2);

/// Numbers from 0 to 1 that are the same in every run.
fn draw(state: &AtomicU64) -> f64 {
    let mut value = state.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (value ^ (value >> 31)) as f64 / u64::MAX as f64
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let routes = [route("book", "non_idempotent", "ledger", "1500ms")];
    store.configure(&desired_state(1, &routes, &["front", "ledger"], &[KEY]));
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
    let mut daemons = [daemon("front-1", "front"), daemon("ledger-1", "ledger")];
    for daemon in &mut daemons {
        daemon.start();
    }
    let disturbed = Arc::new(AtomicBool::new(false));
    let front = &daemons[0];
    let idle = |_: &crate::http::Message| Action::Run(Duration::from_millis(5), Vec::new());
    let upstream = Upstream::start("front", "i-front", front.app, 54, record, idle);
    upstream.register(front.control);
    let ledger = &daemons[1];
    let seed = AtomicU64::new(1);
    let behaviour = {
        let disturbed = Arc::clone(&disturbed);
        move |_: &crate::http::Message| {
            let is_disturbed = disturbed.load(Ordering::Relaxed);
            if is_disturbed && draw(&seed) < REJECTED {
                return Action::Reject {
                    repeat: draw(&seed) < REPEATED,
                };
            }
            Action::Run(Duration::from_millis(20), b"booked".to_vec())
        }
    };
    let books = Upstream::start("ledger", "i-ledger", ledger.app, 54, record, behaviour);
    books.register(ledger.control);
    if !await_ready(&daemons) || !await_served(front.outbound, "POST", "/book/w", KEY) {
        return Verdict::NotRun("the deployment does not serve".to_owned());
    }
    let answers = Arc::new(Mutex::new(HashMap::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let clients = (0..CLIENTS).map(|client| {
        let (record, answers, stop) = (record.clone(), Arc::clone(&answers), Arc::clone(&stop));
        let to = front.outbound;
        std::thread::spawn(move || {
            let mut connection = Client::new(to);
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                let sent_at = Instant::now();
                let id = format!("c{client}-{number}");
                number += 1;
                let request = client_request("POST", "/book/1", &id, KEY, DEADLINE, b"quilt");
                record.line(&format!("client sends {id}"));
                let status = connection
                    .send(&request, DEADLINE)
                    .map_or(0, |answer| answer.status());
                record.line(&format!("client gets {status} for {id}"));
                answers.lock().unwrap().insert(id, status);
                std::thread::sleep(INTERVAL.saturating_sub(sent_at.elapsed()));
            }
        })
    });
    let clients = clients.collect::<Vec<_>>();
    for _ in 0..ROUNDS {
        disturbed.store(setting.trouble, Ordering::Relaxed);
        std::thread::sleep(DISRUPTION);
        disturbed.store(false, Ordering::Relaxed);
        std::thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut runs = HashMap::<String, u32>::new();
    for run in books.runs() {
        *runs.entry(run.id).or_default() += 1;
    }
    let answers = answers.lock().unwrap();
    let twice = runs.iter().filter(|(_, count)| **count > 1).count();
    let refused = answers
        .iter()
        .filter(|(id, status)| [408, 421, 429, 503].contains(*status) && runs.contains_key(*id));
    let refused = refused.count();
    record.report(&format!(
        "{} requests sent, {} run; {twice} ran more than once (TWICE); {refused} were answered with a promise and had run (REFUSED)",
        answers.len(),
        runs.len()
    ));
    if twice + refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
