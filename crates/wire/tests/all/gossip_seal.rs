//! Only gossip datagrams that are authenticated with the fleet secret are
//! accepted.

use cardamomshed_code::Code;
use cardamomshed_policy::Moment;
use cardamomshed_policy::evacuation::{Evacuations, Reading, Stamp};
use cardamomshed_policy::member::{Packet, Payload};
use cardamomshed_wire::{Secret, open, seal};

fn packet() -> Packet {
    Packet {
        sender: "node".into(),
        revision: 3,
        process: 7,
        confirmed_us: 10_000,
        digest: 9,
        evacuations: None,
        payload: Payload::Ping { sequence: 8 },
        records: Vec::new(),
    }
}

#[test]
fn authentic_accepted() {
    let secret = Secret::new("a long enough secret").expect("a long secret");
    let datagram = seal(&secret, &packet());
    assert_eq!(open(&secret, &datagram), Ok(packet()));
}

#[test]
fn forged_rejected() {
    let secret = Secret::new("a long enough secret").expect("a long secret");
    let other = Secret::new("another long secret").expect("a long secret");
    let mut datagram = seal(&other, &packet());
    let failure = open(&secret, &datagram).expect_err("sealed with another secret");
    assert_eq!(failure.code, Code::LinkRejected);
    datagram = seal(&secret, &packet());
    for position in 0..datagram.len() {
        let mut changed = datagram.clone();
        changed[position] ^= 1;
        assert!(open(&secret, &changed).is_err(), "byte {position}");
    }
    assert!(open(&secret, &datagram[..10]).is_err());
}

/// Guards against packets that daemons of earlier versions cannot read, or that grow,
/// in a deployment without evacuations.
#[test]
fn evacuations_optional() {
    let secret = Secret::new("a long enough secret").expect("a long secret");
    let plain = seal(&secret, &packet());
    let mut evacuations = Evacuations::default();
    let stamp = Stamp {
        era: 1,
        version: 70,
    };
    let domains = ["north-a".into()].into();
    evacuations.record(Reading { stamp, domains }, Moment::ZERO);
    let evacuating = Packet {
        evacuations: evacuations.state().cloned(),
        ..packet()
    };
    let datagram = seal(&secret, &evacuating);
    assert_eq!(open(&secret, &datagram), Ok(evacuating));
    let absent = !plain.windows(2).any(|bytes| bytes == b"\x61e");
    assert!(absent, "the field is left out");
    assert!(datagram.len() - plain.len() < 60, "{}", datagram.len());
}
