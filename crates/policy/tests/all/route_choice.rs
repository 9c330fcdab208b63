//! Targets are chosen near, idle and well.

use std::time::Duration;

use cardamomshed_policy::gate::Load;
use cardamomshed_policy::route::{Balancer, ByteBudget, Outcome, Standing, Tier};
use cardamomshed_policy::{Moment, TargetKey};

use crate::random;

fn load(running: u32, waiting: u32) -> Load {
    Load {
        running,
        waiting,
        limit: 10,
        service_time: Duration::from_millis(10),
    }
}

fn local(count: usize) -> (Balancer, Vec<TargetKey>) {
    let mut balancer = Balancer::default();
    let insert = |_| balancer.insert(Tier::Domain, 10, Moment::ZERO);
    let keys = (0..count).map(insert).collect();
    (balancer, keys)
}

/// Sends `count` calls and counts those that reach `key`.
fn reach(balancer: &mut Balancer, key: TargetKey, count: usize, now: Moment) -> usize {
    let mut random = random();
    let chosen = (0..count).filter_map(|_| balancer.choose(&[], true, &mut random, now));
    chosen.filter(|choice| choice.target == key).count()
}

#[test]
fn near_first() {
    let now = Moment::from_millis(1);
    let mut balancer = Balancer::default();
    let far = balancer.insert(Tier::Remote, 10, now);
    let region = balancer.insert(Tier::Region, 10, now);
    let near = balancer.insert(Tier::Domain, 10, now);
    assert_eq!(reach(&mut balancer, near, 100, now), 100);
    balancer.set_open(near, false);
    assert_eq!(reach(&mut balancer, region, 100, now), 100);
    balancer.set_open(region, false);
    assert_eq!(reach(&mut balancer, far, 100, now), 100);
    assert!(balancer.choose(&[], false, &mut random(), now).is_none());
}

#[test]
fn overload_spills() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = local(2);
    let region = balancer.insert(Tier::Region, 10, now);
    for key in keys {
        balancer.started(key, now);
        balancer.finished(key, Outcome::Answered, Some(load(10, 20)), now);
    }
    assert_eq!(reach(&mut balancer, region, 100, now), 100);
}

/// Load of a target that takes this long for a call.
fn timed(running: u32, waiting: u32, millis: u64) -> Load {
    Load {
        service_time: Duration::from_millis(millis),
        ..load(running, waiting)
    }
}

#[test]
fn slow_target_spills() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = local(1);
    let region = balancer.insert(Tier::Region, 10, now);
    let told = |balancer: &mut Balancer, key, load| {
        balancer.started(key, now);
        balancer.finished(key, Outcome::Answered, Some(load), now);
    };
    // Both are full; the nearer one takes three times as long for a call.
    told(&mut balancer, keys[0], timed(10, 15, 300));
    told(&mut balancer, region, timed(10, 5, 100));
    assert_eq!(reach(&mut balancer, region, 100, now), 100);
    // As fast as the other, it is not left for a somewhat shorter queue.
    told(&mut balancer, keys[0], timed(10, 10, 100));
    assert_eq!(reach(&mut balancer, region, 100, now), 0);
}

#[test]
fn faster_target_taken() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = local(2);
    for (key, millis) in [(keys[0], 50), (keys[1], 150)] {
        balancer.started(key, now);
        balancer.finished(key, Outcome::Answered, Some(timed(4, 0, millis)), now);
    }
    assert_eq!(reach(&mut balancer, keys[0], 100, now), 100);
}

#[test]
fn slow_target_tried_again() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = local(2);
    for (key, millis) in [(keys[0], 3_000), (keys[1], 10)] {
        balancer.started(key, now);
        balancer.finished(key, Outcome::Answered, Some(timed(1, 0, millis)), now);
    }
    assert_eq!(reach(&mut balancer, keys[0], 100, now), 0);
    // What it took long ago says nothing of its speed now.
    let later = now + Duration::from_secs(6);
    assert!(reach(&mut balancer, keys[0], 100, later) > 20);
}

#[test]
fn burst_stays_near() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = local(2);
    let far = balancer.insert(Tier::Remote, 10, now);
    for (running, waiting, remote) in [(10, 20, 0), (10, 50, 100)] {
        for key in &keys {
            balancer.started(*key, now);
            balancer.finished(*key, Outcome::Answered, Some(load(running, waiting)), now);
        }
        assert_eq!(reach(&mut balancer, far, 100, now), remote);
    }
}

#[test]
fn busy_avoided() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = local(4);
    balancer.started(keys[0], now);
    balancer.finished(keys[0], Outcome::Answered, Some(load(10, 30)), now);
    assert_eq!(reach(&mut balancer, keys[0], 200, now), 0);
}

#[test]
fn fast_failure_ejected() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = local(4);
    let mut ejected = None;
    for _ in 0..20 {
        for key in &keys {
            balancer.started(*key, now);
            let failed = *key == keys[0];
            let outcome = if failed {
                Outcome::Failed
            } else {
                Outcome::Answered
            };
            let standing = balancer.finished(*key, outcome, Some(load(1, 0)), now);
            ejected = ejected.or(standing);
        }
    }
    assert!(matches!(ejected, Some(Standing::Ejected(_))));
    assert_eq!(reach(&mut balancer, keys[0], 200, now), 0);
}

#[test]
fn sick_service_kept() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = local(4);
    for _ in 0..50 {
        for key in &keys {
            balancer.started(*key, now);
            balancer.finished(*key, Outcome::Failed, None, now);
        }
    }
    assert_eq!(
        balancer.ejected(),
        0,
        "a sick service is no reason to eject"
    );
}

#[test]
fn ejected_returns() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = local(4);
    for _ in 0..20 {
        for key in &keys {
            balancer.started(*key, now);
            let outcome = if *key == keys[0] {
                Outcome::Failed
            } else {
                Outcome::Answered
            };
            balancer.finished(*key, outcome, None, now);
        }
    }
    assert_eq!(balancer.ejected(), 1);
    let later = now + Duration::from_mins(2);
    assert!(reach(&mut balancer, keys[0], 200, later) > 0);
    balancer.started(keys[0], later);
    let standing = balancer.finished(keys[0], Outcome::Answered, None, later);
    assert_eq!(standing, Some(Standing::Restored));
    assert_eq!(balancer.ejected(), 0);
}

#[test]
fn removal_keeps_places() {
    let now = Moment::from_millis(1);
    let (mut balancer, keys) = local(5);
    balancer.remove(keys[1]);
    balancer.remove(keys[4]);
    assert_eq!(balancer.len(), 3);
    let mut random = random();
    for _ in 0..200 {
        let choice = balancer
            .choose(&[], true, &mut random, now)
            .expect("a target");
        assert!([keys[0], keys[2], keys[3]].contains(&choice.target));
    }
}

#[test]
fn slow_link_budgeted() {
    let mut budget = ByteBudget::new(1_000, Moment::ZERO);
    assert!(budget.has_room(Moment::ZERO));
    budget.spend(3_000);
    assert!(!budget.has_room(Moment::from_millis(1_000)));
    assert!(budget.has_room(Moment::from_millis(2_100)));
}
