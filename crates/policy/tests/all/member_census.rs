//! A member that starts expects as many others as earlier processes counted, until it
//! has met them.

use std::time::Duration;

use cardamomshed_policy::member::{Config, Fleet, Record, Size, State};

use crate::{at, member_record, random, started_member};

fn record(domain: &str, number: u16) -> Record {
    member_record(domain, &format!("{domain}-{number}"), 1_000 + number)
}

/// Member `a-0`, which has just started.
fn started() -> Fleet {
    started_member("a", "a-0", 1_000, 1)
}

fn size(domain: &str, members: u32) -> Size {
    Size {
        domain: domain.into(),
        members,
    }
}

/// Record of a member in this state.
fn in_state(state: State, domain: &str, number: u16) -> Record {
    Record {
        state,
        ..record(domain, number)
    }
}

#[test]
fn unmet_members_counted() {
    let mut fleet = started();
    assert!(!fleet.is_counted());
    assert!(fleet.receive_sizes(vec![size("a", 2), size("b", 3)], at(1)));
    assert!(fleet.is_counted());
    assert_eq!((fleet.size(), fleet.live()), (5, 1));
    assert!(fleet.awaits_local_members());
    fleet.merge_all(vec![record("b", 11), record("b", 12)], at(1));
    assert_eq!((fleet.size(), fleet.live()), (5, 3));
    fleet.merge_all(vec![record("b", 13), record("b", 14)], at(1));
    assert_eq!(fleet.size(), 6, "the domain has grown");
}

#[test]
fn met_members_tracked() {
    let mut fleet = started();
    fleet.receive_sizes(vec![size("a", 2)], at(1));
    fleet.merge_all(vec![record("a", 1)], at(1));
    fleet.tick(&mut random(), at(2));
    assert!(!fleet.awaits_local_members());
    fleet.merge_all(vec![in_state(State::Left, "a", 1)], at(3));
    assert_eq!(
        fleet.size(),
        1,
        "a member that has left is no longer expected"
    );
}

#[test]
fn failed_members_counted() {
    let mut fleet = started();
    fleet.receive_sizes(vec![size("a", 3)], at(1));
    fleet.merge_all(vec![in_state(State::Failed, "a", 1)], at(1));
    assert_eq!((fleet.size(), fleet.live()), (3, 1));
}

#[test]
fn first_count_kept() {
    let mut fleet = started();
    assert!(fleet.receive_sizes(vec![size("a", 3)], at(1)));
    assert!(!fleet.receive_sizes(vec![size("a", 1), size("b", 9)], at(2)));
    assert_eq!(fleet.sizes(), [size("a", 3)]);
}

#[test]
fn lost_members_forgotten() {
    let mut fleet = started();
    fleet.receive_sizes(vec![size("a", 1), size("b", 4)], at(1));
    assert_eq!(fleet.size(), 5);
    let retention = Config::default().retention;
    fleet.tick(&mut random(), at(0) + retention);
    assert_eq!(fleet.size(), 5);
    fleet.tick(&mut random(), at(2) + retention);
    assert_eq!(fleet.size(), 1);
}

/// Guards against two parts of a divided fleet that both lend the part of an account that
/// belongs to a cut-off failure domain, or to the majority of a divided one.
#[test]
fn cut_off_members_kept() {
    let mut fleet = started();
    let lost = [("b", 1), ("b", 2), ("c", 1), ("c", 2)];
    let lost = lost.map(|(domain, number)| in_state(State::Failed, domain, number));
    fleet.merge_all(lost.to_vec(), at(1));
    fleet.merge_all(vec![record("b", 3)], at(1));
    fleet.tick(&mut random(), at(600));
    assert_eq!(fleet.sizes(), [size("b", 3), size("c", 2), size("a", 1)]);
    fleet.merge_all(vec![record("b", 4), record("b", 5)], at(600));
    fleet.tick(&mut random(), at(602));
    assert_eq!(fleet.sizes(), [size("b", 3), size("c", 2), size("a", 1)]);
    assert_eq!(fleet.size(), 6);
}

/// Guards against a released member that lends again while nobody counts it.
#[test]
fn returned_member_counted() {
    let mut fleet = started();
    fleet.receive_sizes(vec![size("a", 5)], at(1));
    fleet.merge_all((1..4).map(|number| record("a", number)).collect(), at(1));
    fleet.tick(&mut random(), at(10));
    assert_eq!(fleet.size(), 5);
    fleet.tick(&mut random(), at(14));
    assert_eq!(fleet.size(), 4, "the fifth was never met");
    let revived = |incarnation, state| Record {
        incarnation,
        ..in_state(state, "a", 3)
    };
    fleet.merge_all(vec![revived(1, State::Failed)], at(15));
    fleet.tick(&mut random(), at(26));
    assert_eq!(fleet.size(), 4);
    fleet.tick(&mut random(), at(28));
    assert_eq!(fleet.size(), 3);
    fleet.merge_all(vec![revived(2, State::Alive)], at(28));
    assert_eq!(fleet.size(), 4);
    fleet.merge_all(vec![revived(2, State::Failed)], at(29));
    fleet.tick(&mut random(), at(30));
    assert_eq!(fleet.size(), 4, "the release begins anew");
}

/// Guards against accounts that are lent a part of their rate only, long after lost VMs
/// were replaced: the lost ones count as if they might be cut off and lend.
#[test]
fn replaced_members_released() {
    /// Time after a fault within which the platform asks for service as before.
    const RECOVER: Duration = Duration::from_secs(15);
    let mut fleet = started();
    let lost = (1..5).map(|number| in_state(State::Failed, "a", number));
    fleet.merge_all(lost.collect(), at(1));
    fleet.merge_all((5..9).map(|number| record("a", number)).collect(), at(2));
    fleet.tick(&mut random(), at(2) + RECOVER);
    assert_eq!((fleet.size(), fleet.live()), (5, 5));
}

/// Guards against failed members that are never released because more of them have failed
/// than are alive, though not at the same time.
#[test]
fn repeated_replacements_released() {
    let mut fleet = started();
    let lose = |fleet: &mut Fleet, numbers: std::ops::Range<u16>, seconds| {
        let lost = numbers.map(|number| in_state(State::Failed, "a", number));
        fleet.merge_all(lost.collect(), at(seconds));
    };
    lose(&mut fleet, 1..5, 1);
    lose(&mut fleet, 5..9, 8);
    fleet.merge_all((9..13).map(|number| record("a", number)).collect(), at(9));
    fleet.tick(&mut random(), at(14));
    assert_eq!((fleet.size(), fleet.live()), (9, 5));
    fleet.tick(&mut random(), at(21));
    assert_eq!((fleet.size(), fleet.live()), (5, 5));
}

/// Guards against accounts that are lent half of their rate by a process that starts after
/// many VMs were replaced: its peers remember the lost ones, and it learns of all of them
/// at once, so that they seem to be a domain that is cut off.
#[test]
fn earlier_failures_included() {
    let own = record("a", 0);
    let mut fleet = Fleet::new(Config::default(), own.name, 9, own.profile);
    let failed = |domain, number, incarnation| Record {
        state: State::Failed,
        incarnation,
        ..record(domain, number)
    };
    fleet.receive_sizes(vec![size("a", 1), size("b", 4)], at(1));
    fleet.merge_all((1..8).map(|number| failed("b", number, 1)).collect(), at(1));
    fleet.tick(&mut random(), at(600));
    assert_eq!(fleet.size(), 5, "the domain may be cut off");
    let met = (11..15).map(|number| record("b", number));
    fleet.merge_all(met.collect(), at(601));
    assert_eq!((fleet.size(), fleet.live()), (5, 5));
    fleet.merge_all(vec![failed("b", 11, 1), failed("b", 20, 10)], at(602));
    assert_eq!(fleet.size(), 6, "later failures count");
    fleet.merge_all(vec![failed("c", 30, 1)], at(602));
    assert_eq!(fleet.size(), 7, "the size of this domain is unknown");
}
