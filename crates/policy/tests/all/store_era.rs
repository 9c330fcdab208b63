//! The era of the store spreads with the gossip packets.

use cardamomshed_policy::Moment;
use cardamomshed_policy::member::{Config, Fleet, Payload};

use crate::member_record;

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

/// Guards against daemons that do not call the store and learn of its return too late,
/// and against packets that grow before the first return.
#[test]
fn era_broadcast() {
    let fleet = |domain: &str, name: &str, port: u16| {
        let record = member_record(domain, name, port);
        Fleet::new(Config::default(), name.into(), 1, record.profile)
    };
    let (mut reader, mut local) = (fleet("near", "reader", 1), fleet("near", "local", 2));
    let (mut foreign, other) = (fleet("far", "foreign", 3), fleet("far", "other", 4));
    let records = [&reader, &local, &foreign, &other].map(|fleet| fleet.own().clone());
    for fleet in [&mut reader, &mut local, &mut foreign] {
        fleet.merge_all(records.to_vec(), Moment::ZERO);
    }
    assert!(reader.record_store_era(0).sends.is_empty());
    assert_eq!(reader.broadcast(at(10)).sends[0].packet.store_era, None);
    let mut sends = reader.record_store_era(1).sends;
    assert_eq!(sends.len(), 1, "one broadcast to the own domain");
    let packet = sends.remove(0).packet;
    let from = records[0].profile.gossip;
    let received = local.receive(packet.clone(), from, at(11));
    assert_eq!((received.store_era, received.sends.len()), (Some(1), 0));
    assert!(local.record_store_era(1).sends.is_empty());
    let mut push = packet;
    push.payload = Payload::Push;
    let received = foreign.receive(push.clone(), from, at(11));
    assert_eq!((received.store_era, received.sends.len()), (Some(1), 1));
    assert_eq!(foreign.receive(push, from, at(12)).store_era, None);
}
