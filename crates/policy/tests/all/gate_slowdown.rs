//! Service times and waits of a gate whose target reports how long work takes there.

use std::time::Duration;

use cardamomshed_policy::Moment;
use cardamomshed_policy::gate::{Config, Decision, Gate, Shed, Ticket};

use crate::offer;

const USUAL: Duration = Duration::from_millis(100);

/// Runs 50 calls that take this long, with a report after each, and returns when the
/// last ended.
fn run(gate: &mut Gate, from: Moment, time: Duration, slowdown: Option<f64>) -> Moment {
    let mut now = from;
    for ticket in 0..50 {
        let call = offer(ticket, now + Duration::from_secs(10));
        assert_eq!(gate.offer(call, now, &mut Vec::new()), Decision::Run);
        now = now + time;
        if let Some(factor) = slowdown {
            gate.record_slowdown(factor, now);
        }
        gate.finish(Ticket(ticket), Some(time), now, &mut Vec::new());
    }
    now
}

fn gate() -> Gate {
    Gate::new(Config::new(4).fixed(), Moment::ZERO)
}

fn assert_near(time: Duration, expected: Duration) {
    let ratio = time.div_duration_f64(expected);
    assert!((0.9..=1.1).contains(&ratio), "{time:?} for {expected:?}");
}

/// Guards against a target that counts as slow for as long as the mean of its service
/// times remembers a slow phase, or as fast while one lasts.
#[test]
fn phase_followed() {
    let mut gate = gate();
    let now = run(&mut gate, Moment::ZERO, USUAL, Some(1.0));
    assert_near(gate.load(now).service_time, USUAL);
    let now = run(&mut gate, now, USUAL * 5 / 2, Some(2.5));
    assert_near(gate.load(now).service_time, USUAL * 5 / 2);
    let after = now + Duration::from_millis(100);
    for _ in 0..10 {
        gate.record_slowdown(1.0, after);
    }
    assert_near(gate.load(after).service_time, USUAL);
}

/// Guards against a figure that is in force long after the phase that it was reported in.
#[test]
fn old_figure_expired() {
    let mut gate = gate();
    let now = run(&mut gate, Moment::ZERO, USUAL * 5 / 2, Some(2.5));
    let later = now + Duration::from_secs(3);
    assert_near(gate.load(later).service_time, USUAL);
}

/// Guards against calls that are admitted although a slow phase makes them too late.
#[test]
fn late_calls_refused() {
    let mut gate = gate();
    let now = run(&mut gate, Moment::ZERO, USUAL, Some(1.0));
    let call = offer(100, now + USUAL * 3 / 2);
    assert_eq!(gate.offer(call, now, &mut Vec::new()), Decision::Run);
    (0..20).for_each(|_| gate.record_slowdown(2.5, now));
    let call = offer(101, now + USUAL * 3 / 2);
    let refused = Decision::Shed(Shed::Deadline);
    assert_eq!(gate.offer(call, now, &mut Vec::new()), refused);
}

/// Guards against changes for targets that report no fourth figure: a longer service time
/// stays what it was measured as.
#[test]
fn silent_target_unchanged() {
    let mut gate = gate();
    let now = run(&mut gate, Moment::ZERO, USUAL * 5 / 2, None);
    assert_near(gate.load(now).service_time, USUAL * 5 / 2);
    let later = now + Duration::from_mins(1);
    assert_eq!(gate.load(later), gate.load(now));
}

/// Guards against a figure that no target means, such as zero or a million.
#[test]
fn extreme_figure_bounded() {
    let mut gate = gate();
    let now = run(&mut gate, Moment::ZERO, USUAL, Some(1.0));
    for (factor, bound) in [(1e4, USUAL * 10), (1e-4, USUAL)] {
        (0..50).for_each(|_| gate.record_slowdown(factor, now));
        let time = gate.load(now).service_time;
        assert!(time > USUAL / 10 && time <= bound, "{time:?} for {factor}");
    }
}
