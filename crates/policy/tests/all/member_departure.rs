//! Members keep the departure of each other's targets and return it to a process that
//! does not know it.

use std::time::Duration;

use cardamomshed_policy::Moment;
use cardamomshed_policy::member::{Departure, Fleet, Output, Send};

use crate::{check, member_record, random, started_member};

fn departure(born_ms: u64) -> Departure {
    Departure {
        born_ms,
        instance: "i-1".into(),
    }
}

fn member(name: &str, port: u16, incarnation: u64) -> Fleet {
    started_member("domain", name, port, incarnation)
}

/// Delivers packets until none is left, and returns the last departure that the first
/// member learned is held by another. A member whose version is `old` does not know the
/// field.
fn deliver(
    members: &mut [Fleet],
    from: usize,
    output: Output,
    old: Option<usize>,
) -> Option<Departure> {
    let now = Moment::from_millis(5);
    let address = |member: &Fleet| member.own().profile.gossip;
    let mut held = output.held_departure;
    let mut queue = output
        .sends
        .into_iter()
        .map(|send| (from, send))
        .collect::<Vec<_>>();
    while let Some((from, Send { to, mut packet })) = queue.pop() {
        let sender = address(&members[from]);
        let Some(index) = members.iter().position(|member| address(member) == to) else {
            continue;
        };
        if old == Some(index) || old == Some(from) {
            for record in &mut packet.records {
                record.profile.departure = None;
            }
        }
        let output = members[index].receive(packet, sender, now);
        if index == 0 && output.held_departure.is_some() {
            held = output.held_departure;
        }
        queue.extend(output.sends.into_iter().map(|send| (index, send)));
    }
    held
}

/// Two members that know each other; the target of the first has left.
fn departed(old: Option<usize>) -> (Vec<Fleet>, Option<Departure>) {
    let mut members = vec![member("a", 1, 1), member("b", 2, 1)];
    let records = [members[0].own().clone(), members[1].own().clone()];
    members[0].merge_all(vec![records[1].clone()], Moment::ZERO);
    members[1].merge_all(vec![records[0].clone()], Moment::ZERO);
    let output = members[0].announce_departure(&departure(10), &mut random());
    let held = deliver(&mut members, 0, output, old);
    (members, held)
}

/// Guards against a departure that counts as held while no other member holds it: there
/// is none, or it has a version that drops the field.
#[test]
fn confirmed_by_holder_only() {
    assert_eq!(departed(None).1, Some(departure(10)));
    assert_eq!(departed(Some(1)).1, None, "an old version");
    let mut alone = [member("a", 1, 1)];
    let output = alone[0].announce_departure(&departure(10), &mut random());
    assert_eq!(deliver(&mut alone, 0, output, None), None);
}

/// Guards against a new process, whose record replaces the one with the departure.
#[test]
fn returned_to_new_process() {
    let (mut members, _) = departed(None);
    members[0] = member("a", 1, 9);
    let output = members[1].tick(&mut random(), Moment::from_millis(2_000));
    deliver(&mut members, 1, output, None);
    assert_eq!(members[0].own().profile.departure, Some(departure(10)));
    let known = members[1].get("a").expect("a member");
    assert!(known.incarnation >= 9);
    assert_eq!(known.profile.departure, Some(departure(10)));
}

/// Guards against a process that stopped in an orderly way and is not probed any more, so
/// that its successor learns of no other member while the store is away.
#[test]
fn returned_after_leave() {
    let (mut members, _) = departed(None);
    let output = members[0].leave(&mut random());
    deliver(&mut members, 0, output, None);
    assert!(!members[1].get("a").expect("a member").state.is_active());
    members[0] = member("a", 1, 9);
    let output = members[1].tick(&mut random(), Moment::from_millis(2_000));
    deliver(&mut members, 1, output, None);
    assert_eq!(members[0].own().profile.departure, Some(departure(10)));
}

/// Merges records in any order; the latest departure and the highest incarnation stay.
#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn latest_kept(records: Vec<(u8, Option<u8>)>) -> bool {
    let mut fleet = member("b", 2, 1);
    for (incarnation, born_ms) in &records {
        let mut record = member_record("domain", "a", 1);
        record.incarnation = u64::from(*incarnation);
        record.profile.departure = born_ms.map(|born_ms| departure(u64::from(born_ms)));
        let now = Moment::ZERO + Duration::from_millis(1);
        fleet.merge_all(vec![record], now);
    }
    let latest = records.iter().filter_map(|(_, born_ms)| *born_ms).max();
    let highest = records
        .iter()
        .map(|(incarnation, _)| u64::from(*incarnation))
        .max();
    let known = fleet.get("a");
    known.map(|record| record.incarnation) == highest
        && known.and_then(|record| record.profile.departure.clone())
            == latest.map(|born_ms| departure(u64::from(born_ms)))
}

/// Guards against a departure that is lost where records arrive out of order.
#[test]
fn order_irrelevant() {
    check(latest_kept as fn(Vec<(u8, Option<u8>)>) -> bool);
}
