//! Randomised soak: daemons as processes of their own under load, with faults from
//! outside them, judged by what clients and targets see.
//!
//! The load has the shape of the Cooperativa's grown deployment: six failure domains
//! in two regions, four services, and calls of targets that end at the service with
//! the least capacity.

pub mod client;
pub mod fault;
pub mod fleet;
pub mod http;
pub mod ledger;
pub mod process;
pub mod target;

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, ensure};
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::platform::{Capacity, Platform};
use client::Kind;
use fault::Group;
use fleet::Fleet;
use ledger::{Ledger, Verdict};
use process::Site;
use target::{Downstream, Work};

/// Host of all routes.
pub const HOST: &str = "coop.example";
/// Client accounts. Requests are spread evenly over them.
const ACCOUNTS: usize = 8;
/// Rate and burst of each account, relative to the requests that it sends.
const QUOTA_FACTOR: f64 = 1.6;

/// Failure domains and their regions.
const DOMAINS: [(&str, &str); 6] = [
    ("queretaro-a", "centro"),
    ("queretaro-b", "centro"),
    ("celaya-a", "centro"),
    ("monterrey-a", "norte"),
    ("monterrey-b", "norte"),
    ("saltillo-a", "norte"),
];

/// Services with the slots of each of their targets.
const SERVICES: [(&str, u32); 4] = [
    ("catalogo", 24),
    ("prestamos", 16),
    ("traslados", 12),
    ("conservacion", 20),
];

const HISTORY: &str = "/historial/";

const WORK: [Work; 5] = [
    Work {
        prefix: "/buscar/",
        time: Duration::from_millis(290),
        downstream: Some(Downstream {
            path: HISTORY,
            count: 1,
            deadline: Duration::from_millis(700),
        }),
    },
    Work {
        prefix: "/prestar/",
        time: Duration::from_millis(380),
        downstream: Some(Downstream {
            path: HISTORY,
            count: 2,
            deadline: Duration::from_millis(700),
        }),
    },
    Work {
        prefix: "/trasladar/",
        time: Duration::from_millis(200),
        downstream: None,
    },
    Work {
        prefix: "/estado/",
        time: Duration::from_millis(1_200),
        downstream: None,
    },
    Work {
        prefix: HISTORY,
        time: Duration::from_millis(73),
        downstream: None,
    },
];

const KINDS: [Kind; 4] = [
    Kind {
        method: "GET",
        prefix: "/buscar/",
        repeatable: true,
        deadline: Duration::from_secs(6),
        weight: 5.2,
        fresh: true,
    },
    Kind {
        method: "POST",
        prefix: "/prestar/",
        repeatable: false,
        deadline: Duration::from_secs(6),
        weight: 2.3,
        fresh: false,
    },
    Kind {
        method: "PUT",
        prefix: "/trasladar/",
        repeatable: false,
        deadline: Duration::from_millis(2_500),
        weight: 1.8,
        fresh: false,
    },
    Kind {
        method: "GET",
        prefix: "/estado/",
        repeatable: true,
        deadline: Duration::from_secs(12),
        weight: 0.9,
        fresh: false,
    },
];

/// Time for the daemons to become ready.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time from readiness to the first request, in which the members meet.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time from the end of the faults after which the fleet has to serve again.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time after recovery for which the service is judged.
const JUDGED: Duration = Duration::from_secs(5);
/// Time after the last request within which all requests have ended.
const DRAIN: Duration = Duration::from_secs(15);
/// Poll interval of conditions.
const POLL: Duration = Duration::from_millis(100);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's program.
    pub program: PathBuf,
    /// Settings template of the deploy file.
    pub template: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Seed of load and faults.
    pub seed: u64,
    /// VMs, each with a daemon and a target; at least four.
    pub vms: usize,
    /// Time for which faults are drawn.
    pub faults_for: Duration,
    /// Requests of clients a second, over all VMs.
    pub rate: f64,
    /// Faults that may come.
    pub groups: Vec<Group>,
}

/// Outcome of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// What was promised and kept or broken.
    pub verdict: Verdict,
    /// What was done to the fleet, a line each.
    pub events: Vec<String>,
    /// Members that each daemon lists at the end.
    pub members: Vec<usize>,
    /// Requests that never ended.
    pub unended: usize,
}

/// Runs a soak on the current actor system.
///
/// # Errors
///
/// If the fleet does not start.
pub async fn run(options: Options) -> Result<Report> {
    ensure!(options.vms >= SERVICES.len(), "fewer VMs than services");
    std::fs::create_dir_all(&options.folder)?;
    let platform = Rc::new(Platform::start(Capacity {
        reads: 6_000.0,
        writes: 1_200.0,
    }));
    let account_rate = options.rate / ACCOUNTS as f64 * QUOTA_FACTOR;
    configure(&platform, 1, account_rate);
    let site = Rc::new(Site {
        program: options.program.clone(),
        template: process::template(&options.template)?,
        folder: options.folder.clone(),
        platform: platform.address(),
        domains: &DOMAINS,
    });
    let ledger = Ledger::start();
    let fleet = Rc::new(Fleet::new(
        site,
        platform,
        ledger.clone(),
        options.seed,
        options.rate / options.vms as f64,
        account_rate,
    ));
    for number in 0..options.vms {
        let place = number / SERVICES.len() % DOMAINS.len();
        fleet.add_vm(number % SERVICES.len(), place)?;
    }
    let ready = wait_for(START_LIMIT, || {
        fleet.clients().iter().all(|one| one.is_ready())
    });
    ensure!(ready.await, "not all daemons became ready");
    sleep(WARM_UP).await;
    let faults_end = Instant::now() + options.faults_for;
    let end = faults_end + RECOVERY + JUDGED;
    fleet.send_until(end);
    fault::run(
        Rc::clone(&fleet),
        options.groups.clone(),
        options.seed,
        faults_end,
    )
    .await;
    tokio::time::sleep_until(faults_end + RECOVERY).await;
    ledger.recover();
    tokio::time::sleep_until(end).await;
    let open = || fleet.clients().iter().map(|one| one.open()).sum::<usize>();
    wait_for(DRAIN, || open() == 0).await;
    let mut members = Vec::new();
    let clients = fleet.clients().clone();
    for one in clients.iter().filter(|one| one.is_ready()) {
        members.push(one.members().await);
    }
    fleet.end();
    Ok(Report {
        verdict: ledger.verdict(),
        events: ledger.events(),
        members,
        unended: open(),
    })
}

/// Waits until a condition holds, at most for `limit`. Returns whether it does.
async fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let waited = timeout(limit, async {
        while !holds() {
            sleep(POLL).await;
        }
    });
    waited.await.is_ok()
}

/// Key of an account.
fn key(account: usize) -> String {
    format!("6wsjnbanfqasnmgkcuy{account}")
}

/// Writes a version of the configuration, in which each account has this rate a second
/// and as much burst. Every second version has other timeouts.
fn configure(platform: &Platform, version: u64, account_rate: f64) {
    let long_ms = if version.is_multiple_of(2) {
        5_500
    } else {
        6_000
    };
    let route = |prefix: &str, kind: &str, service: &str, timeout_ms: u64, public: bool| {
        json!({
            "host": HOST, "prefix": prefix, "kind": kind, "service": service,
            "timeout": format!("{timeout_ms}ms"), "target-latency": "2000ms",
            "priority": u64::from(public), "max-attempts": 2, "public": public
        })
    };
    let services = SERVICES.map(|(name, _)| {
        let service = json!({"max-connections": 600, "health-path": "/health"});
        (name.to_owned(), service)
    });
    let services = services
        .into_iter()
        .collect::<serde_json::Map<String, serde_json::Value>>();
    let accounts = (0..ACCOUNTS).map(|account| {
        let rate = account_rate.ceil() as u64;
        let settings = json!({"api-keys": [key(account)], "rate-per-s": rate, "burst": rate});
        (format!("socio-{account}"), settings)
    });
    let accounts = accounts.collect::<serde_json::Map<String, serde_json::Value>>();
    let config = json!({
        "version": version,
        "routes": {
            "r-buscar": route("/buscar/", "idempotent", "catalogo", long_ms, false),
            "r-prestar": route("/prestar/", "non_idempotent", "prestamos", long_ms, false),
            "r-trasladar": route("/trasladar/", "non_idempotent", "traslados", 2_500, false),
            "r-estado": route("/estado/", "idempotent", "conservacion", 12_000, false),
            "r-historial": route(HISTORY, "idempotent", "conservacion", 700, true)
        },
        "services": services,
        "limits": {},
        "tenants": accounts
    });
    platform.write("op", "config", &config);
}
