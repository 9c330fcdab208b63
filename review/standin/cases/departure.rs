//! An upstream deregisters while the store is down, its daemon is killed and started
//! again, and a check-in from before the deregistration arrives late.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::{Client, KEY, await_served, client_request, desired_state, route};
use crate::fleet::{Daemon, await_ready};
use crate::store::Store;
use crate::upstream::{Action, Upstream};
use crate::{Setting, Verdict};

/// `stability` of the bounds.
const STABILITY: Duration = Duration::from_secs(3);
/// Times below are counted from the confirmation of the deregistration.
const KILLED_AT: Duration = Duration::from_millis(500);
const RESTARTED_AT: Duration = Duration::from_millis(1_000);
/// When the store is back; it went down half a second before the deregistration.
const STORE_BACK_AT: Duration = Duration::from_millis(3_500);
/// When the late check-in arrives, which was sent before the deregistration.
const LATE_AT: Duration = Duration::from_millis(4_500);
/// When the upstream ends.
const ENDED_AT: Duration = Duration::from_secs(11);
const DEADLINE: Duration = Duration::from_secs(1);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let routes = [route("status", "idempotent", "desk", "1500ms")];
    store.configure(&desired_state(1, &routes, &["front", "desk"], &[KEY]));
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
    let to = daemons[2].outbound;
    if !await_ready(&daemons) || !await_served(to, "GET", "/status/w", KEY) {
        return Verdict::NotRun("the deployment does not serve".to_owned());
    }
    std::thread::sleep(Duration::from_secs(5));
    let stop = Arc::new(AtomicBool::new(false));
    let client = {
        let (stop, record) = (Arc::clone(&stop), record.clone());
        std::thread::spawn(move || {
            let mut client = Client::new(to);
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                let id = format!("c-{number}");
                number += 1;
                let request = client_request("GET", "/status/1", &id, KEY, DEADLINE, b"");
                let status = client
                    .send(&request, DEADLINE)
                    .map_or(0, |answer| answer.status());
                record.line(&format!("client gets {status} for {id}"));
                std::thread::sleep(Duration::from_millis(10));
            }
        })
    };
    std::thread::sleep(Duration::from_secs(1));
    let leaving = Arc::clone(&upstreams[0]);
    let control = daemons[0].control;
    let late = leaving.heartbeat(control);
    if setting.trouble {
        record.line("the store is down");
        store.set_silent(true);
    }
    std::thread::sleep(Duration::from_millis(500));
    leaving.leaving.store(true, Ordering::Relaxed);
    let deregistration = leaving.deregistration(control);
    if !leaving.check_in(control, &deregistration) {
        return Verdict::NotRun("the deregistration was not confirmed".to_owned());
    }
    record.line("the deregistration of i-desk-1 is confirmed");
    let at = Instant::now();
    let sleep_until = |after: Duration| {
        std::thread::sleep((at + after).saturating_duration_since(Instant::now()))
    };
    if setting.trouble {
        sleep_until(KILLED_AT);
        daemons[0].kill();
        sleep_until(RESTARTED_AT);
        daemons[0].start();
    }
    sleep_until(STORE_BACK_AT);
    store.set_silent(false);
    record.line("the store is back");
    sleep_until(LATE_AT);
    let confirmed = leaving.check_in(control, &late);
    record.line(&format!(
        "a check-in of i-desk-1 from before the deregistration arrives, confirmed={confirmed}"
    ));
    // From here on, all machines are in touch.
    sleep_until(STORE_BACK_AT + STABILITY);
    let before = leaving.runs().len();
    sleep_until(ENDED_AT);
    let runs = leaving.runs().len() - before;
    stop.store(true, Ordering::Relaxed);
    let _ = client.join();
    record.report(&format!(
        "{runs} requests reached the upstream later than {:?} after the confirmation",
        STORE_BACK_AT + STABILITY
    ));
    if runs > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
