//! Choice of targets by tier, load and health.

use std::time::Duration;

use cardamomshed_policy::gate::Load;
use cardamomshed_policy::route::{Balancer, ByteBudget, Outcome, Query, Tier, Transition};
use cardamomshed_policy::{Moment, RegionKey, TargetKey};

use crate::{answer, load, random};

/// Region of all targets, which these choices do not restrict.
const HOME: RegionKey = RegionKey(0);
/// Query without restrictions.
const ANY: Query<'_> = Query {
    exclude: &[],
    regions: None,
    remote: true,
};

fn domain_balancer(count: usize) -> (Balancer, Vec<TargetKey>) {
    let mut balancer = Balancer::default();
    let insert = |_| balancer.insert(Tier::Domain, HOME, 10, Moment::ZERO);
    let keys = (0..count).map(insert).collect();
    (balancer, keys)
}

/// Number of choices, out of `count`, that select `key`.
fn count_choices(balancer: &mut Balancer, key: TargetKey, count: usize, now: Moment) -> usize {
    let mut random = random();
    let chosen = (0..count).filter_map(|_| balancer.choose(&ANY, &mut random, now));
    chosen.filter(|choice| choice.target == key).count()
}

#[test]
fn nearest_tier_first() {
    let now = Moment::from_millis(1);
    let mut balancer = Balancer::default();
    let far = balancer.insert(Tier::Remote, HOME, 10, now);
    let region = balancer.insert(Tier::Region, HOME, 10, now);
    let near = balancer.insert(Tier::Domain, HOME, 10, now);
    assert_eq!(count_choices(&mut balancer, near, 100, now), 100);
    balancer.set_open(near, false);
    assert_eq!(count_choices(&mut balancer, region, 100, now), 100);
    balancer.set_open(region, false);
    assert_eq!(count_choices(&mut balancer, far, 100, now), 100);
    assert!(
        balancer
            .choose(&Query::default(), &mut random(), now)
            .is_none()
    );
}

#[test]
fn overload_spills() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = domain_balancer(2);
    let region = balancer.insert(Tier::Region, HOME, 10, now);
    for key in keys {
        answer(&mut balancer, key, load(10, 20, 10), now);
    }
    assert_eq!(count_choices(&mut balancer, region, 100, now), 100);
}

#[test]
fn slow_target_spills() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = domain_balancer(1);
    let region = balancer.insert(Tier::Region, HOME, 10, now);
    // Both are full; the nearer one has three times the service time.
    answer(&mut balancer, keys[0], load(10, 15, 300), now);
    answer(&mut balancer, region, load(10, 5, 100), now);
    assert_eq!(count_choices(&mut balancer, region, 100, now), 100);
    // With equal service times, a somewhat shorter queue does not justify the
    // farther tier.
    answer(&mut balancer, keys[0], load(10, 10, 100), now);
    assert_eq!(count_choices(&mut balancer, region, 100, now), 0);
}

#[test]
fn faster_target_preferred() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = domain_balancer(2);
    for (key, millis) in [(keys[0], 50), (keys[1], 150)] {
        answer(&mut balancer, key, load(4, 0, millis), now);
    }
    assert_eq!(count_choices(&mut balancer, keys[0], 100, now), 100);
}

#[test]
fn stale_load_ignored() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = domain_balancer(2);
    for (key, millis) in [(keys[0], 3_000), (keys[1], 10)] {
        answer(&mut balancer, key, load(1, 0, millis), now);
    }
    assert_eq!(count_choices(&mut balancer, keys[0], 100, now), 0);
    // The reported service time has expired, so the target is chosen again.
    let later = now + Duration::from_secs(6);
    assert!(count_choices(&mut balancer, keys[0], 100, later) > 20);
}

#[test]
fn burst_avoids_remote() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = domain_balancer(2);
    let far = balancer.insert(Tier::Remote, HOME, 10, now);
    for (running, waiting, expected) in [(10, 20, 0), (10, 50, 100)] {
        for key in &keys {
            answer(&mut balancer, *key, load(running, waiting, 10), now);
        }
        assert_eq!(count_choices(&mut balancer, far, 100, now), expected);
    }
}

#[test]
fn busy_target_avoided() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = domain_balancer(4);
    answer(&mut balancer, keys[0], load(10, 30, 10), now);
    assert_eq!(count_choices(&mut balancer, keys[0], 200, now), 0);
}

/// Makes calls to all targets in turn, of which those to `failing` fail. Returns the first
/// transition.
fn call_each(
    balancer: &mut Balancer,
    keys: &[TargetKey],
    failing: &[TargetKey],
    report: Option<Load>,
    rounds: usize,
    now: Moment,
) -> Option<Transition> {
    let mut first = None;
    for key in keys.repeat(rounds) {
        let outcome = [Outcome::Answered, Outcome::Failed][usize::from(failing.contains(&key))];
        balancer.record_start(key, now);
        let transition = balancer.record_end(key, outcome, report, now);
        first = first.or(transition);
    }
    first
}

#[test]
fn failing_target_ejected() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = domain_balancer(4);
    let report = Some(load(1, 0, 10));
    let ejected = call_each(&mut balancer, &keys, &keys[..1], report, 20, now);
    assert!(matches!(ejected, Some(Transition::Ejected(_))));
    assert_eq!(count_choices(&mut balancer, keys[0], 200, now), 0);
}

#[test]
fn failing_service_kept() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = domain_balancer(4);
    call_each(&mut balancer, &keys, &keys, None, 50, now);
    assert_eq!(
        balancer.ejected(),
        0,
        "a failure of the whole service ejects no target"
    );
}

#[test]
fn ejected_target_restored() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = domain_balancer(4);
    call_each(&mut balancer, &keys, &keys[..1], None, 20, now);
    assert_eq!(balancer.ejected(), 1);
    let later = now + Duration::from_mins(2);
    assert!(count_choices(&mut balancer, keys[0], 200, later) > 0);
    balancer.record_start(keys[0], later);
    let transition = balancer.record_end(keys[0], Outcome::Answered, None, later);
    assert_eq!(transition, Some(Transition::Restored));
    assert_eq!(balancer.ejected(), 0);
}

#[test]
fn removal_keeps_others() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = domain_balancer(5);
    balancer.remove(keys[1]);
    balancer.remove(keys[4]);
    assert_eq!(balancer.len(), 3);
    let mut random = random();
    for _ in 0..200 {
        let choice = balancer
            .choose(&ANY, &mut random, now)
            .expect("an available target");
        assert!([keys[0], keys[2], keys[3]].contains(&choice.target));
    }
}

#[test]
fn byte_budget_refills() {
    let mut budget = ByteBudget::new(1_000, Moment::ZERO);
    assert!(budget.has_room(Moment::ZERO));
    budget.spend(3_000);
    assert!(!budget.has_room(Moment::from_millis(1_000)));
    assert!(budget.has_room(Moment::from_millis(2_100)));
}

/// Guards against a daemon that cannot use what it saved while its calls leave the region
/// for some seconds, and against one that sends more than its mean or its peak.
#[test]
fn saved_bytes_bounded() {
    let mut budget = ByteBudget::new(1_000, Moment::ZERO);
    let mut sent = Vec::new();
    for second in 0..300 {
        sent.push(0);
        // Nothing is sent in the first minute.
        let steps = if second < 60 { 0..0 } else { 0..100 };
        for step in steps {
            while budget.has_room(Moment::from_millis(second * 1_000 + step * 10)) {
                budget.spend(100);
                sent[second as usize] += 100;
            }
        }
    }
    assert!(
        sent[60..78]
            .iter()
            .all(|bytes| (3_900..=8_200).contains(bytes))
    );
    assert!(sent[61..].iter().all(|bytes| *bytes <= 4_200));
    assert!(sent.iter().sum::<u64>() <= 301_100);
}

/// Guards against a new target without calls: the best of the targets with a report was
/// always preferred to one of which nothing is known.
#[test]
fn new_target_tried() {
    let (mut balancer, known) = domain_balancer(2);
    let mut random = random();
    let mut call = |balancer: &mut Balancer, number: u64| {
        let now = Moment::from_millis(5 * number);
        let chosen = balancer.choose(&ANY, &mut random, now);
        let chosen = chosen.expect("a target is available").target;
        let report = load(0, 0, if chosen == known[0] { 20 } else { 21 });
        answer(balancer, chosen, report, now);
        chosen
    };
    for number in 0..50 {
        call(&mut balancer, number);
    }
    let added = balancer.insert(Tier::Domain, HOME, 10, Moment::from_millis(250));
    let tried = (50..100).filter(|number| call(&mut balancer, *number) == added);
    assert!(tried.count() > 0);
}
