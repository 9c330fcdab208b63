//! Even load over targets whose reports are stale.

use std::time::Duration;

use cardamomshed_policy::Moment;
use cardamomshed_policy::route::{Balancer, Tier};

use crate::play::{Figures, Play, REGION, Setup, TICK, unrestricted};
use crate::{answer, load, random, seed};

/// Largest share of the calls that may be refused while the targets have capacity.
const MAX_REFUSED: f64 = 0.001;
/// Largest difference between the targets' shares of slots in use. Targets are up to
/// three times as fast as others.
const MAX_DIFFERENCE: f64 = 0.25;

fn check(figures: &Figures, wait: Duration) {
    let p99 = Duration::from_micros(figures.waits.value_at_quantile(0.99));
    assert!(p99 <= wait, "one call in 100 waited for {p99:?}");
    let refused = figures.refused as f64 / figures.calls as f64;
    assert!(refused <= MAX_REFUSED, "{refused:.4} were refused");
    let (most, least) = figures.utilization;
    assert!(
        most - least <= MAX_DIFFERENCE,
        "used for {least:.2} to {most:.2} of the time"
    );
}

/// Guards against targets that are full in turns while others idle, at a load that all
/// can carry.
#[test]
fn calm_targets_even() {
    let setup = Setup::new(seed(), &[0.8]);
    check(&Play::<Balancer>::run(setup), setup.service);
}

/// Guards against calls that are sent to a target by its former speed.
#[test]
fn slow_phases_avoided() {
    let mut setup = Setup::new(seed(), &[0.8]);
    setup.phases = true;
    check(&Play::<Balancer>::run(setup), setup.service * 2);
}

/// Guards against herding where no target has much to spare: waits stay within half of
/// the gate's bound.
#[test]
fn full_targets_even() {
    let mut setup = Setup::new(seed(), &[0.95]);
    setup.phases = true;
    check(&Play::<Balancer>::run(setup), Duration::from_millis(250));
}

/// Guards against a rush of all choosers to a target that has just started, and against
/// one that then gets no calls because nothing is known of it.
#[test]
fn new_target_ramped() {
    let mut setup = Setup::new(seed(), &[0.8]);
    let restart = Duration::from_secs(10);
    setup.restart = Some(restart);
    let figures = Play::<Balancer>::run(setup);
    let ticks = |length: Duration| length.div_duration_f64(TICK) as usize;
    let peak = figures.restarted.iter().copied().fold(0.0, f64::max);
    assert!(peak <= 3.0, "{peak:.1} calls per slot at the new target");
    let settled = &figures.restarted[ticks(Duration::from_secs(2))..ticks(Duration::from_secs(5))];
    let mean = settled.iter().sum::<f64>() / settled.len() as f64;
    assert!(mean >= 0.4, "{mean:.2} calls per slot 2 s to 5 s later");
}

/// Guards against a report that hides the calls that were sent since.
#[test]
fn sent_calls_added() {
    let now = Moment::from_millis(1);
    let mut balancer = Balancer::default();
    let keys = [(); 2].map(|()| balancer.insert(Tier::Domain, REGION, 10, now));
    for (key, running) in keys.into_iter().zip([6, 9]) {
        answer(&mut balancer, key, load(running, 0, 50), now);
    }
    let chosen = |balancer: &Balancer| {
        let choice = balancer.choose(&unrestricted(false), &mut random(), now);
        choice.expect("a target").target
    };
    assert_eq!(chosen(&balancer), keys[0]);
    // Fewer than the reported calls, but together with them more than at the other target.
    (0..4).for_each(|_| balancer.record_start(keys[0], now));
    assert_eq!(chosen(&balancer), keys[1]);
}
