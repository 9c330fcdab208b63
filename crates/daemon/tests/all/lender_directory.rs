//! When two daemons advertise the same lender slot, the directory returns one
//! holder until it releases the slot.

use std::sync::Arc;

use cardamomshed_daemon::directory::Directory;
use cardamomshed_policy::member::{Profile, Record, State, rank_key};

fn record(name: &str, lender_slots: &[u16]) -> Record {
    let address = ([127, 0, 0, 1], 1).into();
    Record {
        name: name.into(),
        incarnation: 1,
        state: State::Alive,
        profile: Profile {
            domain: "d".into(),
            region: "r".into(),
            gossip: address,
            peer: address,
            admin: address,
            service: None,
            slots: 0,
            open: false,
            lender_slots: lender_slots.to_vec(),
            departure: None,
        },
    }
}

fn holder(directory: &Directory) -> Option<Arc<str>> {
    let first = directory.ranked("account").into_iter().next();
    first.map(|(_, lender)| lender.peer.node)
}

#[test]
fn duplicate_holder_resolved() {
    // The records of the two holders may arrive in either order.
    for names in [["n-1", "n-2"], ["n-2", "n-1"]] {
        let directory = Directory::default();
        for name in names {
            directory.update(&record(name, &[0]));
        }
        let mut names = names;
        names.sort_by_key(|name| rank_key(name));
        let [retains, releases] = names;
        assert_eq!(holder(&directory).as_deref(), Some(retains));
        directory.update(&record(releases, &[]));
        assert_eq!(holder(&directory).as_deref(), Some(retains));
        directory.update(&record(retains, &[]));
        assert!(directory.is_empty());
    }
}
