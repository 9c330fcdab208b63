//! Fleet-wide quota, compared with the naive baseline, and propagation of release
//! notes and withdrawn keys.

use std::time::{Duration, Instant};

use cardamomshed_daemon::Options;
use cardamomshed_load::{Plan, Report, Retry, Source, Stage};
use cardamomshed_standin::client::Request;
use cardamomshed_standin::experiment::{Bound, Experiment};
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::platform::Faults;
use cardamomshed_standin::shape::{self, Shape};
use cardamomshed_standin::thread;

/// Duration of one load.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// Time before a measurement in which the token buckets fill.
const BUCKET_FILL_TIME: Duration = Duration::from_secs(2);
/// Rate of the measured account in requests per second.
const RATE: f64 = 200.0;
/// Burst of the measured account in requests.
const BURST: u32 = 200;

fn shape() -> Shape {
    let mut shape = Shape::mwakilema(1);
    shape.services.truncate(1);
    shape.services[0].calls.clear();
    shape.services[0].targets = 16;
    shape.services[0].service_time = Duration::from_millis(1);
    shape.accounts = vec![shape::Account {
        name: "measured".to_owned(),
        rate: RATE,
        burst: BURST,
    }];
    shape
}

fn load(fleet: &Fleet, seed: u64, daemons: &[usize], rate: f64, length: Duration) -> Report {
    let callers = fleet.callers();
    let plan = Plan {
        seed,
        daemons: daemons.iter().map(|index| callers[*index]).collect(),
        sources: vec![Source::get(
            "measured",
            &fleet.keys[0],
            "/status-desk",
            rate,
        )],
        stages: vec![Stage {
            duration: length,
            factor: 1.0,
        }],
        retry: Retry::NONE,
        timeout: Duration::from_secs(3),
        max_open: 2_000,
    };
    thread::run(move || cardamomshed_load::run(plan, |_| {}))
}

/// Share of the offered requests that were refused for quota (code 1301).
fn refused(report: &Report) -> f64 {
    let total = report.total();
    let quota = total.refused.get(&1301).copied().unwrap_or(0);
    quota as f64 / total.offered.max(1) as f64
}

fn kinds() -> [Kind; 2] {
    [Kind::Naive, Kind::Daemon(Options::default())]
}

fn quota(experiment: &mut Experiment) {
    let seed = experiment.seed;
    let mut figures: Vec<[f64; 4]> = Vec::new();
    for kind in kinds() {
        let fleet = Fleet::start(shape(), kind);
        std::thread::sleep(BUCKET_FILL_TIME);
        // Two of the sixteen daemons receive all traffic.
        let skewed_share = refused(&load(&fleet, seed, &[0, 1], RATE * 0.9, LOAD_TIME));
        // All traffic moves to another daemon every second.
        let mut moving_shares = Vec::new();
        for second in 0..12 {
            let daemon = [(second * 5) % 16];
            let report = load(
                &fleet,
                seed + second as u64,
                &daemon,
                RATE * 0.9,
                Duration::from_secs(1),
            );
            moving_shares.push(refused(&report));
        }
        let moving_share = moving_shares.iter().sum::<f64>() / moving_shares.len() as f64;
        let all = (0..16).collect::<Vec<_>>();
        std::thread::sleep(BUCKET_FILL_TIME);
        let report = load(&fleet, seed, &all, RATE * 5.0, LOAD_TIME);
        let allowed = RATE * report.elapsed.as_secs_f64() + f64::from(BURST);
        let excess = (report.total().answered as f64 - allowed).max(0.0);
        let served = report.total().answered as f64 / allowed;
        figures.push([skewed_share, moving_share, excess, served]);
    }
    let mut add = |what: &str, unit: &str, index: usize, bound| {
        experiment.add(
            what,
            unit,
            Some(figures[0][index]),
            figures[1][index],
            bound,
        );
    };
    add(
        "refused inside the rate, ingress skewed",
        "share",
        0,
        Bound::AtMost(0.001),
    );
    add(
        "refused inside the rate, moving each second",
        "share",
        1,
        Bound::AtMost(0.001),
    );
    add(
        "granted over rate x time + burst at 5x",
        "requests",
        2,
        Bound::AtMost(0.0),
    );
    add("granted of what is allowed at 5x", "share", 3, Bound::None);
}

fn outage(experiment: &mut Experiment) {
    let fleet = Fleet::start(shape(), Kind::Daemon(Options::default()));
    std::thread::sleep(BUCKET_FILL_TIME);
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let report = load(
        &fleet,
        experiment.seed,
        &[0, 5],
        RATE * 0.9,
        Duration::from_mins(1),
    );
    experiment.add(
        "refused inside the rate, store down for 60 s",
        "share",
        None,
        refused(&report),
        Bound::AtMost(0.01),
    );
}

fn notes(experiment: &mut Experiment) {
    let fleet = Fleet::start(shape(), Kind::Daemon(Options::default()));
    let mut times = Vec::new();
    for number in 0..30 {
        let target = number + 2;
        let start = Instant::now();
        fleet.apply(&fleet.account_note(&format!("new-{number}")));
        let is_outdated = |daemon: &cardamomshed_standin::fleet::Member| {
            daemon.node.lookup().config.revision < target as u64
        };
        while fleet.daemons.iter().any(is_outdated) {
            std::thread::sleep(Duration::from_millis(2));
        }
        times.push(start.elapsed().as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    let worst = times[times.len() - 1];
    experiment.add(
        "note accepted to in force on 16 daemons, worst of 30",
        "s",
        None,
        worst,
        Bound::AtMost(2.0),
    );
}

fn withdrawal(experiment: &mut Experiment) {
    let fleet = Fleet::start(shape(), Kind::Daemon(Options::default()));
    std::thread::sleep(BUCKET_FILL_TIME);
    let note = fleet.withdrawal_note("measured-key");
    let start = Instant::now();
    fleet.apply(&note);
    let mut last = 0.0;
    while start.elapsed() < Duration::from_secs(4) {
        for to in fleet.callers() {
            let asked = start.elapsed().as_secs_f64();
            let request = Request::get(to, "/status-desk").key(&fleet.keys[0]);
            if request.send().status == 200 {
                last = asked;
            }
        }
    }
    experiment.add(
        "withdrawn key to last call let through, 16 daemons",
        "s",
        None,
        last,
        Bound::AtMost(2.0),
    );
}

fn main() {
    let mut experiment = Experiment::from_arguments("fleet");
    if experiment.selects("quota") {
        quota(&mut experiment);
    }
    if experiment.selects("outage") {
        outage(&mut experiment);
    }
    if experiment.selects("notes") {
        notes(&mut experiment);
    }
    if experiment.selects("withdrawal") {
        withdrawal(&mut experiment);
    }
    experiment.finish();
}
