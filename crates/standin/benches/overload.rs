//! Overload along a whole chain of calls, compared with the naive baseline.
//!
//! Each scenario starts a deployment of real daemons and stand-in targets on
//! loopback and generates open-loop load. The deployments are scaled down so
//! that one computer can run them together with their callers.

use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_load::{Plan, Report, Retry, Source, Stage};
use cardamomshed_policy::admission::Method;
use cardamomshed_standin::experiment::{Bound, Experiment};
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::shape::Shape;
use cardamomshed_standin::thread;

/// Retries after a short backoff that ignore `Retry-After`.
const AGGRESSIVE_RETRY: Retry = Retry {
    max_retries: 3,
    backoff: Duration::from_millis(20),
    honour_retry_after: false,
};
/// Time under load before a measurement.
const WARM_UP: Duration = Duration::from_secs(2);
/// Measured time of a steady load.
const STEADY_LOAD: Duration = Duration::from_secs(5);
/// Duration of a slowdown or surge that triggers the overload.
const TRIGGER_DURATION: Duration = Duration::from_secs(10);
/// Factor on the service time during a slowdown.
const SLOWDOWN: f64 = 5.0;

fn kind(ours: bool) -> Kind {
    if ours {
        Kind::Daemon(Options::default())
    } else {
        Kind::Naive
    }
}

fn stage(length: Duration, factor: f64) -> Stage {
    Stage {
        duration: length,
        factor,
    }
}

/// Figure of one scenario for the naive baseline, then for the daemons.
fn compare(shape: &Shape, figure: impl Fn(&Fleet) -> f64) -> [f64; 2] {
    [false, true].map(|ours| figure(&Fleet::start(shape.clone(), kind(ours))))
}

struct Run<'a> {
    fleet: &'a Fleet,
    seed: u64,
    retry: Retry,
}

impl<'a> Run<'a> {
    /// Load from callers that do not retry.
    const fn without_retries(fleet: &'a Fleet, seed: u64) -> Self {
        Self {
            fleet,
            seed,
            retry: Retry::NONE,
        }
    }

    fn load(&self, sources: Vec<Source>, stages: Vec<Stage>) -> Report {
        let plan = Plan {
            seed: self.seed,
            daemons: self.fleet.callers(),
            sources,
            stages,
            retry: self.retry,
            timeout: Duration::from_secs(3),
            max_open: 6_000,
        };
        thread::run(move || cardamomshed_load::run(plan, |_| {}))
    }

    /// Sources of all accounts with equal shares of `rate`, in requests per
    /// second.
    fn even(&self, rate: f64) -> Vec<Source> {
        let accounts = self.fleet.shape.accounts.len();
        let each = rate / accounts as f64;
        let sources = (0..accounts).map(|account| self.fleet.source(account, each));
        sources.collect()
    }
}

/// Highest goodput in requests per second at 70 to 90 % of the nominal capacity.
/// The loads of `surge` are relative to it.
fn measured_capacity(fleet: &Fleet, seed: u64) -> f64 {
    let run = Run::without_retries(fleet, seed);
    let nominal = fleet.shape.capacity();
    let mut best: f64 = 0.0;
    for share in [0.7, 0.8, 0.9] {
        let report = run.load(run.even(nominal * share), vec![stage(STEADY_LOAD, 1.0)]);
        let goodput = report.goodput(Duration::from_secs(1), STEADY_LOAD);
        best = best.max(goodput);
    }
    best
}

/// Bytes of calls and responses that daemons have sent between regions.
fn slow_link_bytes(fleet: &Fleet) -> f64 {
    let sent = |daemon: &cardamomshed_standin::fleet::Member| {
        let bytes = &daemon.node.metrics.bytes;
        bytes.with_label_values(&["slow_link_calls"]).get() as f64
    };
    fleet.daemons.iter().map(sent).sum()
}

fn surge(experiment: &mut Experiment, shape: &Shape) {
    let seed = experiment.seed;
    let name = shape.name.clone();
    let mut figures = Vec::new();
    let mut slow_link = 0.0;
    for ours in [false, true] {
        let fleet = Fleet::start(shape.clone(), kind(ours));
        let capacity = measured_capacity(&fleet, seed);
        for factor in [1.0, 2.0, 5.0, 10.0] {
            let run = Run::without_retries(&fleet, seed);
            // "1x" is 70 % of the capacity, the load that a deployment is sized
            // for.
            let offered = if factor > 1.0 {
                capacity * factor
            } else {
                capacity * 0.7
            };
            let before = fleet.executions();
            let sent_before = slow_link_bytes(&fleet);
            let stages = vec![stage(WARM_UP + STEADY_LOAD, 1.0)];
            let report = run.load(run.even(offered), stages);
            let executed = fleet.executions() - before;
            let goodput = report.goodput(WARM_UP, WARM_UP + STEADY_LOAD);
            let useful = report.total().answered * fleet.shape.services.len() as u64;
            let wasted_share = 1.0 - useful.min(executed) as f64 / executed.max(1) as f64;
            let base = if factor > 1.0 { capacity } else { offered };
            if ours && factor <= 1.0 {
                slow_link = slow_link_bytes(&fleet) - sent_before;
            }
            figures.push((ours, factor, goodput / base, wasted_share, report));
        }
        figures.push((
            ours,
            0.0,
            capacity / fleet.shape.capacity(),
            0.0,
            Report::new(),
        ));
    }
    let find = |ours: bool, factor: f64| {
        let same = |figure: &&(bool, f64, f64, f64, Report)| {
            figure.0 == ours && (figure.1 - factor).abs() < 1e-9
        };
        figures.iter().find(same).expect("a figure")
    };
    for factor in [1.0, 2.0, 5.0, 10.0] {
        let bound = Bound::AtLeast(if factor > 1.0 { 0.9 } else { 0.95 });
        let (naive, daemons) = (find(false, factor), find(true, factor));
        experiment.add(
            &format!("{name}: goodput at {factor}x demand"),
            "share",
            Some(naive.2),
            daemons.2,
            bound,
        );
    }
    experiment.add(
        &format!("{name}: bytes of calls over the slow link, 1x"),
        "B",
        None,
        slow_link,
        Bound::AtMost(0.0),
    );
    let (naive, daemons) = (find(false, 10.0), find(true, 10.0));
    experiment.add(
        &format!("{name}: executions per answered root and hop, 10x"),
        "count",
        Some(1.0 / (1.0 - naive.3).max(1e-3)),
        1.0 / (1.0 - daemons.3).max(1e-3),
        Bound::AtMost(1.1),
    );
    experiment.add(
        &format!("{name}: executions whose root failed, 10x"),
        "share",
        Some(naive.3),
        daemons.3,
        Bound::AtMost(0.05),
    );
    experiment.add(
        &format!("{name}: measured over nominal capacity"),
        "share",
        Some(find(false, 0.0).2),
        find(true, 0.0).2,
        Bound::None,
    );
    experiment.add(
        &format!("{name}: p99 of answered requests, 10x"),
        "ms",
        Some(naive.4.latency_us(0.99) as f64 / 1e3),
        daemons.4.latency_us(0.99) as f64 / 1e3,
        Bound::None,
    );
}

/// Time from the end of a trigger until the share of offered requests that are
/// answered stays at or above 95 % of the share before the trigger, in seconds.
/// The share is used instead of the goodput because the arrival rate varies.
fn recovery(report: &Report, before: f64, end: Duration, last: Duration) -> f64 {
    let window = Duration::from_secs(1);
    let step = Duration::from_millis(100);
    let mut recovered = end;
    let mut at = end;
    while at + window <= last {
        if report.success_ratio(at, at + window) < before * 0.95 {
            recovered = at + step;
        }
        at += step;
    }
    recovered.saturating_sub(end).as_secs_f64()
}

/// Prints the share of offered requests answered in each second.
fn print_timeline(report: &Report, label: &str, length: Duration) {
    let seconds = 0..length.as_secs();
    let shares = seconds.map(|second| {
        let from = Duration::from_secs(second);
        format!(
            "{:.2}",
            report.success_ratio(from, from + Duration::from_secs(1))
        )
    });
    println!(
        "{label}, share answered by second: {}",
        shares.collect::<Vec<_>>().join(" ")
    );
}

fn slowdown(experiment: &mut Experiment, shape: &Shape, times: u32, surge: f64) {
    let seed = experiment.seed;
    let baseline = Duration::from_secs(4);
    let after = Duration::from_secs(8);
    let mut figures = Vec::new();
    for ours in [false, true] {
        let fleet = Fleet::start(shape.clone(), kind(ours));
        let run = Run {
            fleet: &fleet,
            seed,
            retry: AGGRESSIVE_RETRY,
        };
        let offered = fleet.shape.capacity() * 0.6;
        let deepest = fleet.shape.services.last().expect("a service").name.clone();
        let mut stages = vec![stage(baseline, 1.0)];
        for _ in 0..times {
            stages.push(stage(TRIGGER_DURATION, surge));
            stages.push(stage(after, 1.0));
        }
        let report = std::thread::scope(|scope| {
            scope.spawn(|| {
                for round in 0..times {
                    std::thread::sleep(if round == 0 { baseline } else { after });
                    for target in fleet.targets_of(&deepest) {
                        target.change(|behaviour| behaviour.slowdown = SLOWDOWN);
                    }
                    std::thread::sleep(TRIGGER_DURATION);
                    for target in fleet.targets_of(&deepest) {
                        target.change(|behaviour| behaviour.slowdown = 1.0);
                    }
                }
            });
            run.load(run.even(offered), stages)
        });
        let length = baseline + (TRIGGER_DURATION + after) * times;
        print_timeline(&report, if ours { "ours" } else { "naive" }, length);
        let before = report.success_ratio(Duration::from_secs(1), baseline);
        let mut worst: f64 = 0.0;
        let mut during: f64 = f64::INFINITY;
        for round in 0..times {
            let start = baseline + (TRIGGER_DURATION + after) * round;
            let end = start + TRIGGER_DURATION;
            worst = worst.max(recovery(&report, before, end, end + after));
            during = during.min(report.goodput(start + Duration::from_secs(2), end));
        }
        let mut slowed = fleet.shape.clone();
        if let Some(last) = slowed.services.last_mut() {
            last.service_time = last.service_time.mul_f64(SLOWDOWN);
        }
        figures.push((worst, during / slowed.capacity()));
    }
    let name = format!(
        "{}: deepest service {SLOWDOWN}x slower{}{}",
        shape.name,
        if surge > 1.0 { ", surge" } else { "" },
        if times > 1 { ", twice" } else { "" }
    );
    experiment.add(
        &format!("{name}: recovery"),
        "s",
        Some(figures[0].0),
        figures[1].0,
        Bound::AtMost(2.0),
    );
    experiment.add(
        &format!("{name}: goodput meanwhile over capacity left"),
        "share",
        Some(figures[0].1),
        figures[1].1,
        Bound::None,
    );
}

fn important(experiment: &mut Experiment, shape: &Shape) {
    let seed = experiment.seed;
    let [naive, ours] = compare(shape, |fleet| {
        let run = Run::without_retries(fleet, seed);
        let capacity = fleet.shape.capacity();
        let mut sources = run.even(capacity * 5.0);
        sources.push(fleet.critical_source(0, capacity * 0.3));
        let report = run.load(sources, vec![stage(WARM_UP + STEADY_LOAD, 1.0)]);
        let tally = report.tallies.last().expect("a source").1;
        tally.answered as f64 / tally.offered.max(1) as f64
    });
    let name = format!("{}: important requests answered at 5x", shape.name);
    experiment.add(&name, "share", Some(naive), ours, Bound::AtLeast(0.999));
}

fn fairness(experiment: &mut Experiment, shape: &Shape) {
    let seed = experiment.seed;
    let [naive, ours] = compare(shape, |fleet| {
        let run = Run::without_retries(fleet, seed);
        let capacity = fleet.shape.capacity();
        // Seven accounts offer less than their share, one ten times its share.
        let light = capacity * 0.6 / 8.0;
        let mut sources = (1..8).map(|a| fleet.source(a, light)).collect::<Vec<_>>();
        sources.push(fleet.source(0, capacity * 10.0 / 8.0));
        let report = run.load(sources, vec![stage(WARM_UP + STEADY_LOAD, 1.0)]);
        let light = report
            .tallies
            .iter()
            .filter(|(name, _)| *name != "account-0");
        let shares = light.map(|(_, tally)| tally.answered as f64 / tally.offered.max(1) as f64);
        shares.fold(1.0, f64::min)
    });
    let name = format!("{}: worst account beside one at 10x", shape.name);
    experiment.add(&name, "share", Some(naive), ours, Bound::AtLeast(0.95));
}

/// One target of the second service hangs, or fails every call immediately.
fn faulty_target(experiment: &mut Experiment, shape: &Shape, fault: &str, hung: bool) {
    let seed = experiment.seed;
    let [naive, ours] = compare(shape, |fleet| {
        let run = Run::without_retries(fleet, seed);
        let service = fleet.shape.services[1].name.clone();
        let target = fleet.targets_of(&service).next().expect("a target");
        target.change(|behaviour| {
            behaviour.hung = hung;
            behaviour.failing = !hung;
        });
        let offered = fleet.shape.capacity() * 0.5;
        let report = run.load(run.even(offered), vec![stage(WARM_UP + STEADY_LOAD, 1.0)]);
        println!("{}", report.total().summary());
        print_timeline(&report, fault, WARM_UP + STEADY_LOAD);
        report.success_ratio(WARM_UP, WARM_UP + STEADY_LOAD)
    });
    let name = format!("{}: goodput with one target {fault}", shape.name);
    experiment.add(&name, "share", Some(naive), ours, Bound::AtLeast(0.95));
}

/// Compares shedding by levels, throttling by accept ratio, and no shedding.
fn methods(experiment: &mut Experiment, shape: &Shape) {
    let seed = experiment.seed;
    for (name, method) in [
        ("levels", Method::Levels),
        ("accept ratio", Method::AcceptRatio),
        ("none", Method::None),
    ] {
        let options = Options {
            shedding: method,
            ..Options::default()
        };
        let fleet = Fleet::start(shape.clone(), Kind::Daemon(options));
        let run = Run::without_retries(&fleet, seed);
        let capacity = fleet.shape.capacity();
        let mut sources = run.even(capacity * 5.0);
        sources.push(fleet.critical_source(0, capacity * 0.2));
        let before = fleet.executions();
        let report = run.load(sources, vec![stage(WARM_UP + STEADY_LOAD, 1.0)]);
        let executed = fleet.executions() - before;
        let useful = report.total().answered * fleet.shape.services.len() as u64;
        let wasted_share = 1.0 - useful.min(executed) as f64 / executed.max(1) as f64;
        let goodput = report.goodput(WARM_UP, WARM_UP + STEADY_LOAD) / capacity;
        let tally = report.tallies.last().expect("a source").1;
        let important = tally.answered as f64 / tally.offered.max(1) as f64;
        let label = |what: &str| format!("{}: 5x, shed by {name}: {what}", shape.name);
        experiment.add(&label("goodput"), "share", None, goodput, Bound::None);
        experiment.add(
            &label("wasted executions"),
            "share",
            None,
            wasted_share,
            Bound::None,
        );
        experiment.add(
            &label("important answered"),
            "share",
            None,
            important,
            Bound::None,
        );
    }
}

fn main() {
    let mut experiment = Experiment::from_arguments("overload");
    let mwakilema = Shape::mwakilema(10);
    let cooperativa = Shape::cooperativa(20);
    let three = Shape::chain(3, 2, 4, Duration::from_millis(10));
    let sixteen = Shape::chain(16, 1, 16, Duration::from_millis(2));
    if experiment.selects("methods") {
        methods(&mut experiment, &mwakilema);
    }
    for shape in [&mwakilema, &cooperativa] {
        if experiment.selects("surge") {
            surge(&mut experiment, shape);
        }
        if experiment.selects("slowdown") {
            slowdown(&mut experiment, shape, 1, 1.0);
        }
        if experiment.selects("important") {
            important(&mut experiment, shape);
        }
        if experiment.selects("fairness") {
            fairness(&mut experiment, shape);
        }
    }
    if experiment.selects("depth") {
        surge(&mut experiment, &three);
        surge(&mut experiment, &sixteen);
    }
    if experiment.selects("twice") {
        slowdown(&mut experiment, &mwakilema, 2, 2.0);
    }
    if experiment.selects("sick") {
        faulty_target(&mut experiment, &mwakilema, "hung", true);
        faulty_target(&mut experiment, &mwakilema, "failing at once", false);
    }
    experiment.finish();
}
