//! Demonstration of the daemons on embedded stand-ins, in one process and less
//! than a minute.
//!
//! Each of the two deployments is a chain of four services. It runs at half its
//! capacity, then while a key is withdrawn, then overloaded.

use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_load::{Plan, Report, Retry, Source, Stage};
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::shape::Shape;
use cardamomshed_standin::thread;

/// Divisor of the slots of the specified deployments, so that one computer can
/// run callers, daemons and targets together.
const SLOT_DIVISOR: u32 = 10;

fn load(fleet: &Fleet, sources: Vec<Source>, stages: Vec<Stage>) -> Report {
    let plan = Plan {
        seed: 1,
        daemons: fleet.callers(),
        sources,
        stages,
        retry: Retry::NONE,
        timeout: Duration::from_secs(3),
        max_open: 4_000,
    };
    thread::run(move || cardamomshed_load::run(plan, |_| {}))
}

fn stage(seconds: f64, factor: f64) -> Stage {
    Stage {
        duration: Duration::from_secs_f64(seconds),
        factor,
    }
}

fn withdraw_key(fleet: &Fleet, account: usize) {
    let key = format!("{}-key", fleet.shape.accounts[account].name);
    fleet.apply(&fleet.withdrawal_note(&key));
}

fn demonstrate(shape: Shape) {
    println!("== {} ==", shape.name);
    let services = shape.services.iter().map(|service| {
        format!(
            "{} x{} ({} slots)",
            service.name, service.targets, service.slots
        )
    });
    println!("chain: {}", services.collect::<Vec<_>>().join(" -> "));
    let capacity = shape.capacity();
    let fleet = Fleet::start(shape, Kind::Daemon(Options::default()));
    println!("capacity: about {capacity:.0} whole requests a second; 16 daemons are up\n");

    println!("-- half the capacity, eight client accounts --");
    let fleet_ref = &fleet;
    let sources =
        |share: f64| (0..8).map(move |account| fleet_ref.source(account, capacity * share / 8.0));
    let half_load = load(&fleet, sources(0.5).collect(), vec![stage(3.0, 1.0)]);
    println!("{half_load}");

    println!("-- a key is withdrawn after one second --");
    let withdrawn = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_secs(1));
            withdraw_key(&fleet, 7);
        });
        load(&fleet, sources(0.5).collect(), vec![stage(3.0, 1.0)])
    });
    println!("{withdrawn}");

    println!("-- five times the capacity, one in ten requests important --");
    let ordinary = (0..6).map(|account| fleet.source(account, capacity * 4.5 / 6.0));
    let mut surge = ordinary.collect::<Vec<_>>();
    surge.push(fleet.critical_source(6, capacity * 0.5));
    let surge = load(&fleet, surge, vec![stage(4.0, 1.0)]);
    println!("{surge}");

    let total = surge.total();
    println!("summary of {}", fleet.shape.name);
    println!(
        "  calm: {:.2} % answered, p99 {:.1} ms",
        percent(&half_load),
        p99_ms(&half_load)
    );
    let refused = &withdrawn.tallies["account-7"];
    println!(
        "  withdrawn key: {} requests refused after the note, {} answered before",
        refused.refused.values().sum::<u64>(),
        refused.answered
    );
    println!(
        "  overload: {:.0} whole requests a second of a capacity of {capacity:.0}",
        total.answered as f64 / 4.0
    );
    let important = &surge.tallies["account-6-once"];
    println!(
        "  important requests in the overload: {:.2} % answered",
        important.answered as f64 / important.offered.max(1) as f64 * 100.0
    );
    println!(
        "  keys seen by targets: {}\n",
        fleet
            .targets
            .iter()
            .map(cardamomshed_standin::target::Target::keys_seen)
            .sum::<u64>()
    );
}

fn percent(report: &Report) -> f64 {
    let total = report.total();
    total.answered as f64 / total.offered.max(1) as f64 * 100.0
}

fn p99_ms(report: &Report) -> f64 {
    report.latency_us(0.99) as f64 / 1_000.0
}

fn main() {
    demonstrate(Shape::mwakilema(SLOT_DIVISOR));
    demonstrate(Shape::cooperativa(SLOT_DIVISOR * 4));
}
