//! Only gossip datagrams that are authenticated with the fleet secret are
//! accepted.

use std::net::SocketAddr;
use std::num::NonZeroU64;

use cardamomshed_code::Code;
use cardamomshed_policy::Moment;
use cardamomshed_policy::evacuation::{Evacuations, Reading, Stamp};
use cardamomshed_policy::member::{Departure, Packet, Payload, Profile};
use cardamomshed_wire::{Secret, open, seal};

fn packet() -> Packet {
    Packet {
        sender: "node".into(),
        revision: 3,
        process: 7,
        confirmed_us: 10_000,
        digest: 9,
        evacuations: None,
        store_era: None,
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

fn profile(departure: Option<Departure>) -> Profile {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Profile {
        domain: "domain".into(),
        region: "region".into(),
        gossip: address,
        peer: address,
        admin: address,
        service: None,
        slots: 8,
        open: false,
        lender_slots: Vec::new(),
        departure,
    }
}

/// Guards against a fleet that falls apart while its daemons are replaced by a version
/// that knows departures.
#[test]
fn versions_compatible() {
    /// The fields that matter here of a profile in a version without departures.
    #[derive(serde::Deserialize)]
    struct Old {
        #[serde(rename = "n")]
        slots: u32,
    }
    let encode = |profile: &Profile| {
        let mut bytes = Vec::new();
        ciborium::into_writer(profile, &mut bytes).expect("a profile");
        bytes
    };
    let departure = Departure {
        born_ms: 1_776_973_342_010,
        instance: "i-7f3a91c2".into(),
    };
    let with = encode(&profile(Some(departure.clone())));
    let old = ciborium::from_reader::<Old, _>(&*with).expect("an old profile");
    assert_eq!(old.slots, 8);
    let new = ciborium::from_reader::<Profile, _>(&*with).expect("a profile");
    assert_eq!(new.departure, Some(departure));
    let without = encode(&profile(None));
    let new = ciborium::from_reader::<Profile, _>(&*without).expect("a profile");
    assert_eq!(new.departure, None);
    assert_eq!(with.len() - without.len(), 27, "bytes of a departure");
}

/// Guards against packets that grow before the store first returns from a copy.
#[test]
fn store_era_optional() {
    let secret = Secret::new("a long enough secret").expect("a long secret");
    let plain = seal(&secret, &packet());
    let returned = Packet {
        store_era: NonZeroU64::new(1),
        ..packet()
    };
    let datagram = seal(&secret, &returned);
    assert_eq!(open(&secret, &datagram), Ok(returned));
    assert_eq!(datagram.len() - plain.len(), 3);
}
