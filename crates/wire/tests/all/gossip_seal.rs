//! Only gossip datagrams that are authenticated with the fleet secret are
//! accepted.

use cardamomshed_code::Code;
use cardamomshed_policy::member::{Packet, Payload};
use cardamomshed_wire::{Secret, open, seal};

fn packet() -> Packet {
    Packet {
        sender: "node".into(),
        revision: 3,
        process: 7,
        confirmed_us: 10_000,
        digest: 9,
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
