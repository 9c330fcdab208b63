//! Calls that leave a region for another over the slow link.

use cardamomshed_policy::route::{Balancer, Outcome, Tier};
use cardamomshed_policy::{Moment, TargetKey};

use crate::play::{Figures, Play, REGION, Setup, unrestricted};
use crate::{answer, load, random, seed};

fn run(mut setup: Setup) -> Figures {
    setup.priced = true;
    setup.warm_up = setup.length / 2;
    Play::<Balancer>::run(setup)
}

/// Shares of the first region's calls that went over the link in the second half, by window.
fn shares(figures: &Figures) -> Vec<f64> {
    let windows = figures.windows[figures.windows.len() / 2..].iter();
    let shares = windows.map(|(calls, far)| f64::from(*far) / f64::from(*calls));
    shares.collect()
}

/// Checks that the share of the link does not alternate.
fn check_steady(shares: &[f64]) {
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let furthest = shares.iter().map(|share| (share - mean).abs());
    let furthest = furthest.fold(0.0, f64::max);
    assert!(furthest <= 0.15, "{furthest:.2} from the mean {mean:.2}");
}

/// Checks that at most this share of the calls is lost, and that the share of the link is
/// steady.
fn check_helped(setup: Setup, most: f64) {
    let figures = run(setup);
    let lost = figures.priced_out + figures.refused + figures.late;
    let lost = lost as f64 / figures.calls as f64;
    assert!(lost <= most, "{lost:.3} were refused or waited too long");
    check_steady(&shares(&figures));
}

/// Guards against callers that are refused while another region has half of its
/// capacity free, and against a share of the link that alternates.
#[test]
fn full_region_helped() {
    check_helped(Setup::new(seed(), &[1.3, 0.5]), 0.1);
}

/// Guards against short calls that a window keeps waiting while another region has half
/// of its capacity free, as their price is too low to move any.
#[test]
fn full_windows_helped() {
    check_helped(Setup::windowed(seed(), &[1.3, 0.5]), 0.12);
}

/// Guards against calls that cross the link before windows because of a chance queue, or
/// to a region that has no capacity either.
#[test]
fn sufficient_windows_kept() {
    for (demand, most) in [(&[0.8, 0.8], 0.0), (&[0.9, 0.9], 0.0), (&[1.3, 1.3], 0.01)] {
        let shares = shares(&run(Setup::windowed(seed(), demand)));
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        assert!(mean <= most, "{mean:.3} of the calls crossed at {demand:?}");
    }
}

/// Guards against use of the billed link where the region has capacity.
#[test]
fn sufficient_region_kept() {
    for demand in [&[0.8, 0.5], &[0.9, 0.9]] {
        let crossed = shares(&run(Setup::new(seed(), demand)));
        assert!(
            crossed.iter().all(|share| *share == 0.0),
            "calls crossed the link at {demand:?}"
        );
    }
}

/// Guards against two full regions that send each other calls.
#[test]
fn full_regions_kept() {
    let shares = shares(&run(Setup::new(seed(), &[1.1, 1.1])));
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    assert!(mean <= 0.05, "{mean:.3} of the calls crossed the link");
}

/// A balancer with a target in the region and one in another, and their keys.
fn two_regions() -> (Balancer, TargetKey, TargetKey) {
    let mut balancer = Balancer::default();
    let near = balancer.insert(Tier::Domain, REGION, 10, Moment::ZERO);
    let far = balancer.insert(Tier::Remote, REGION, 10, Moment::ZERO);
    (balancer, near, far)
}

/// Number of choices out of 100 that take the other region.
fn count_remote(balancer: &Balancer, now: Moment) -> usize {
    let mut random = random();
    let choices = (0..100).filter_map(|_| balancer.choose(&unrestricted(true), &mut random, now));
    choices.filter(|choice| choice.tier == Tier::Remote).count()
}

/// Guards against use of the link for a short burst, and for calls that the other region
/// would serve at the same price.
#[test]
fn standing_price_required() {
    let (mut balancer, near, far) = two_regions();
    let mut counts = Vec::new();
    for millis in (0..=2_000).step_by(10) {
        let now = Moment::from_millis(millis);
        let is_expensive = millis >= 500;
        balancer.record_price(near, if is_expensive { 1.0 } else { 0.0 }, now);
        balancer.record_price(far, if millis >= 1_500 { 1.0 } else { 0.0 }, now);
        counts.push(count_remote(&balancer, now));
    }
    assert!(counts[..=95].iter().all(|count| *count == 0), "a burst");
    assert!(counts[130] > 20, "the price has stood for 0.8 s");
    assert_eq!(counts[200], 0, "the other region is as expensive");
}

/// Guards against callers that are refused while other failure domains of the region have
/// capacity: their targets are taken once the own ones stay expensive, and only then.
#[test]
fn full_domain_helped() {
    let mut balancer = Balancer::default();
    let near = balancer.insert(Tier::Domain, REGION, 10, Moment::ZERO);
    balancer.insert(Tier::Region, REGION, 10, Moment::ZERO);
    let mut random = random();
    for (from, price) in [(0, 0.0), (1_000, 1.0)] {
        for millis in (from..from + 1_000).step_by(10) {
            balancer.record_price(near, price, Moment::from_millis(millis));
        }
        let now = Moment::from_millis(from + 990);
        let choices =
            (0..100).filter_map(|_| balancer.choose(&unrestricted(false), &mut random, now));
        let beyond = choices.filter(|choice| choice.tier == Tier::Region).count();
        assert_eq!(beyond > 20, price > 0.0, "{beyond} of 100 at price {price}");
    }
}

/// Guards against use of the link when its byte budget is spent.
#[test]
fn spent_budget_kept() {
    let (mut balancer, near, _) = two_regions();
    let mut random = random();
    for millis in (0..2_000).step_by(10) {
        let now = Moment::from_millis(millis);
        balancer.record_price(near, 1.0, now);
        let choice = balancer.choose(&unrestricted(false), &mut random, now);
        assert_eq!(choice.expect("a target").target, near);
    }
}

/// Guards against a long way to a target that is reached sooner by waiting.
#[test]
fn short_waits_kept() {
    let now = Moment::from_millis(1);
    let (mut balancer, near, _) = two_regions();
    answer(&mut balancer, near, load(10, 50, 5), now);
    assert_eq!(count_remote(&balancer, now), 0);
}

/// Guards against calls that leave a region for a short queue, and against a share that
/// stays once the region has slots to spare or the other region has none.
#[test]
fn standing_queue_required() {
    let (mut balancer, near, far) = two_regions();
    let mut counts = Vec::new();
    for millis in (0..=12_000).step_by(10) {
        let now = Moment::from_millis(millis);
        let is_full = millis >= 1_000 && millis % 6_000 < 3_000;
        let here = if is_full {
            load(10, 1, 0)
        } else {
            load(5, 0, 0)
        };
        let there = load(if millis >= 8_000 { 10 } else { 5 }, 0, 0);
        for (key, load) in [(near, here), (far, there)] {
            balancer.record_end(key, Outcome::Answered, Some(load), now);
        }
        counts.push(count_remote(&balancer, now));
    }
    assert!(counts[..=150].iter().all(|count| *count == 0), "a burst");
    assert!(counts[280] > 10, "the region has been full for 1.8 s");
    assert_eq!(counts[500], 0, "the region has slots to spare");
    assert!(counts[790] > 10, "the region is full again");
    assert_eq!(counts[890], 0, "the other region is full as well");
}
