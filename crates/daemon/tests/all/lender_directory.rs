//! Daemons that settle who holds a lender slot leave one holder on record.

use std::sync::Arc;

use cardamomshed_daemon::directory::{Directory, rank_key};
use cardamomshed_policy::member::{Profile, Record, State};

fn record(name: &str, lends: &[u16]) -> Record {
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
            lender_slots: lends.to_vec(),
        },
    }
}

fn holder(directory: &Directory) -> Option<Arc<str>> {
    let first = directory.ranked("account").into_iter().next();
    first.map(|(_, lender)| lender.peer.node)
}

#[test]
fn later_holder_gives_up() {
    // The records of two that hold one slot arrive in any order.
    for names in [["n-1", "n-2"], ["n-2", "n-1"]] {
        let directory = Directory::default();
        for name in names {
            directory.update(&record(name, &[0]));
        }
        let mut names = names;
        names.sort_by_key(|name| rank_key(name));
        let [keeps, gives_up] = names;
        assert_eq!(holder(&directory).as_deref(), Some(keeps));
        directory.update(&record(gives_up, &[]));
        assert_eq!(holder(&directory).as_deref(), Some(keeps));
        directory.update(&record(keeps, &[]));
        assert!(directory.is_empty());
    }
}
