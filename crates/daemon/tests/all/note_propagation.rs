//! Release notes come into force at every daemon, also while the platform is
//! unavailable, and a revision is never reverted.

use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_standin::client::eventually;
use cardamomshed_standin::fleet::{Fleet, Kind, Member};
use cardamomshed_standin::platform::Faults;
use cardamomshed_standin::shape::Shape;

use crate::unconfirmed_start::{late_settings, refuse_unconfirmed};
use crate::{all_at, await_revision, chain, get, live};

#[test]
fn note_reaches_daemons() {
    let fleet = chain(4);
    for (place, account) in ["a", "b", "c"].iter().enumerate() {
        fleet.apply(&fleet.account_note(account));
        await_revision(&fleet, place as u64 + 2);
    }
}

#[test]
fn conflicting_note_ignored() {
    let fleet = chain(1);
    // Everything that the first note adds exists already, so that its second copy
    // conflicts.
    fleet.apply(&fleet.first_note());
    std::thread::sleep(Duration::from_millis(600));
    assert!(all_at(&fleet, 1));
    assert_eq!(get(&fleet, "/hop-0").send().status, 200);
}

#[test]
fn outage_keeps_serving() {
    let fleet = chain(2);
    fleet.platform.set_faults(Faults::DOWN);
    std::thread::sleep(Duration::from_millis(500));
    for _ in 0..5 {
        assert_eq!(get(&fleet, "/hop-0").send().status, 200);
    }
    fleet.platform.set_faults(Faults::default());
    fleet.apply(&fleet.account_note("later"));
    await_revision(&fleet, 2);
}

#[test]
fn peers_supply_notes() {
    let shape = Shape::chain(1, 3, 8, Duration::from_millis(2));
    let mut fleet = Fleet::start(shape, Kind::Daemon(Options::default()));
    fleet.apply(&fleet.account_note("before"));
    await_revision(&fleet, 2);
    let mut late = late_settings(&fleet);
    late.peers = fleet.daemons[0].node.settings.peers;
    late.peers.set_port(0);
    // The daemon reads the rows by which daemons find each other. The platform
    // then fails before the daemon has read the notes.
    let started = Member::start(late, Options::default());
    eventually("the new daemon has found the other members", || {
        live(&started.node) == 4
    });
    fleet.platform.set_faults(Faults::DOWN);
    eventually("the newest note is in force at the new daemon", || {
        started.node.lookup().config.revision == 2
    });
    fleet.daemons.push(started);
    fleet.platform.set_faults(Faults::default());
}

#[test]
fn unconfirmed_keys_refused() {
    let fleet = chain(1);
    refuse_unconfirmed(&fleet, 800);
    assert_eq!(get(&fleet, "/hop-0").send().status, 200);
    fleet.platform.set_faults(Faults::DOWN);
    eventually("unconfirmed keys are refused", || {
        get(&fleet, "/hop-0").send().code() == 1104
    });
    fleet.platform.set_faults(Faults::default());
    eventually("keys are accepted again", || {
        get(&fleet, "/hop-0").send().status == 200
    });
}
