//! Previews of the choice of a target.

use std::time::Duration;

use cardamomshed_policy::route::{Availability, Balancer, Exclusion, Outcome, Query, Tier};
use cardamomshed_policy::{Moment, RegionKey};

use crate::{answer, load, random};

const NOW: Moment = Moment::from_millis(1);
const HOME: RegionKey = RegionKey(0);
const OPEN: Availability = Availability {
    open: true,
    linked: true,
    evacuated: false,
};

/// Guards against a cause that is named wrongly, and against a target that is listed as a
/// candidate although no call goes there.
#[test]
fn exclusions_named() {
    let mut balancer = Balancer::default();
    let mut insert = |tier, region| balancer.insert(tier, region, 10, NOW);
    let open = insert(Tier::Domain, HOME);
    let closed = [(); 3].map(|()| insert(Tier::Domain, HOME));
    let ejected = insert(Tier::Region, HOME);
    let elsewhere = insert(Tier::Region, RegionKey(1));
    let remote = insert(Tier::Remote, HOME);
    for key in closed {
        balancer.set_open(key, false);
    }
    for key in [open, open, open, open, ejected].repeat(10) {
        let failed = key == ejected;
        let outcome = [Outcome::Answered, Outcome::Failed][usize::from(failed)];
        balancer.record_start(key, NOW);
        balancer.record_end(key, outcome, None, NOW);
    }
    assert_eq!(balancer.ejected(), 1);
    let availability = |key| Availability {
        open: key != closed[0],
        linked: key != closed[1],
        evacuated: key == closed[2],
    };
    let query = Query {
        regions: Some(&[HOME]),
        ..Query::default()
    };
    let preview = balancer.preview(&query, availability, &mut random(), NOW);
    let expected = vec![
        (closed[0], Exclusion::Leaving),
        (closed[1], Exclusion::Unreachable),
        (closed[2], Exclusion::Evacuated),
        (ejected, Exclusion::Ejected),
        (elsewhere, Exclusion::Region),
        (remote, Exclusion::SlowLink),
    ];
    assert_eq!(preview.excluded, expected);
    let listed = preview.candidates.iter().map(|candidate| candidate.target);
    assert_eq!(listed.collect::<Vec<_>>(), [open]);
    assert_eq!(preview.choice.map(|choice| choice.target), Some(open));
}

/// Guards against shares that differ from those of the real choices, a first choice that
/// is not the likeliest, and a wait that leaves out the calls ahead.
#[test]
fn shares_match_choices() {
    let mut balancer = Balancer::default();
    let keys = [(); 8].map(|()| balancer.insert(Tier::Domain, HOME, 10, NOW));
    for (index, key) in keys.into_iter().enumerate() {
        answer(&mut balancer, key, load(10, index as u32, 20), NOW);
    }
    balancer.record_price(keys[0], 0.5, NOW);
    let before = format!("{balancer:?}");
    let query = Query::default();
    let preview = balancer.preview(&query, |_| OPEN, &mut random(), NOW);
    assert_eq!(before, format!("{balancer:?}"), "a preview has an effect");
    let mut random = random();
    let chosen = (0..4_000).filter_map(|_| balancer.choose(&query, &mut random, NOW));
    let chosen = chosen.map(|choice| choice.target).collect::<Vec<_>>();
    for candidate in &preview.candidates {
        let count = chosen.iter().filter(|key| **key == candidate.target);
        let share = count.count() as f64 / 4_000.0;
        let difference = (candidate.share - share).abs();
        assert!(difference < 0.08, "{candidate:?} is chosen at {share}");
    }
    let first = preview.candidates[0];
    let choice = preview.choice.expect("a target is available");
    assert_eq!(choice.target, first.target);
    assert!(choice.rejected.is_some_and(|(key, _)| key != first.target));
    let of = |key| preview.candidates.iter().find(|one| one.target == key);
    let idlest = of(keys[0]).expect("a candidate");
    // Ten calls run in ten slots, so this one waits for a tenth of 20 ms.
    assert_eq!(idlest.wait, Duration::from_millis(2));
    assert!((idlest.price - 0.5).abs() < 1e-9);
}
