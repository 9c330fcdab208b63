//! The rate and burst of a client account limit the sum of its requests at all
//! daemons.

use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_load::{Plan, Report, Retry, Source, Stage};
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::shape::{Account, Shape};
use cardamomshed_standin::thread;

fn fleet(rate: f64, burst: u32) -> Fleet {
    let mut shape = Shape::chain(1, 4, 50, Duration::from_millis(1));
    shape.accounts = vec![Account {
        name: "only".to_owned(),
        rate,
        burst,
    }];
    Fleet::start(shape, Kind::Daemon(Options::default()))
}

fn load(fleet: &Fleet, rate: f64, seconds: u64) -> Report {
    let plan = Plan {
        seed: 3,
        daemons: fleet.callers(),
        sources: vec![Source::get("only", &fleet.keys[0], "/hop-0", rate)],
        stages: vec![Stage {
            duration: Duration::from_secs(seconds),
            factor: 1.0,
        }],
        retry: Retry::NONE,
        timeout: Duration::from_secs(5),
        max_open: 2_000,
    };
    thread::run(move || cardamomshed_load::run(plan, |_| {}))
}

#[test]
fn quota_limit_held() {
    let fleet = fleet(50.0, 20);
    let report = load(&fleet, 500.0, 3);
    let total = report.total();
    let allowed = 50.0 * report.elapsed.as_secs_f64() + 20.0;
    assert!(
        total.answered as f64 <= allowed,
        "{} answered, {allowed} allowed",
        total.answered
    );
    assert!(total.answered > 0);
    let exhausted = total.refused.get(&1301).copied().unwrap_or(0);
    assert!(
        exhausted > 0,
        "no refusal has the code of the quota: {:?}",
        total.refused
    );
}

#[test]
fn within_rate_answered() {
    let fleet = fleet(400.0, 200);
    let report = load(&fleet, 60.0, 3);
    let total = report.total();
    assert_eq!(total.refused.get(&1301), None, "{report}");
}
