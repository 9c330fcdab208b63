//! Release notes come into force at every daemon, also while the platform is
//! unavailable, and a revision is never reverted.

use std::time::Duration;

use cardamomshed_note::{Limits, Unconfirmed};
use cardamomshed_standin::client::eventually;
use cardamomshed_standin::fleet::{Fleet, Kind, Location, Member, settings};
use cardamomshed_standin::platform::Faults;
use cardamomshed_standin::shape::Shape;

use crate::{chain, get};

const OUTAGE: Faults = Faults {
    down: true,
    delay: Duration::ZERO,
    lose_answers: 0.0,
};

fn all_at(fleet: &Fleet, revision: u64) -> bool {
    let at = |daemon: &Member| daemon.node.lookup().config.revision == revision;
    fleet.daemons.iter().all(at)
}

#[test]
fn note_reaches_daemons() {
    let fleet = chain(4);
    for (place, account) in ["a", "b", "c"].iter().enumerate() {
        fleet.apply(&fleet.account_note(account));
        eventually("the note is in force at every daemon", || {
            all_at(&fleet, place as u64 + 2)
        });
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
    fleet.platform.set_faults(OUTAGE);
    std::thread::sleep(Duration::from_millis(500));
    for _ in 0..5 {
        assert_eq!(get(&fleet, "/hop-0").send().status, 200);
    }
    fleet.platform.set_faults(Faults::default());
    fleet.apply(&fleet.account_note("later"));
    eventually("later notes come into force", || all_at(&fleet, 2));
}

#[test]
fn peers_supply_notes() {
    let shape = Shape::chain(1, 3, 8, Duration::from_millis(2));
    let mut fleet = Fleet::start(shape, Kind::Daemon(cardamomshed_daemon::Options::default()));
    fleet.apply(&fleet.account_note("before"));
    eventually("the note is in force", || all_at(&fleet, 2));
    let place = Location {
        node: "late".to_owned(),
        domain: "here".to_owned(),
        region: "region".to_owned(),
    };
    let mut late = settings(&place, &fleet.shape.domains, &fleet.platform.base());
    late.peers = fleet.daemons[0].node.settings.peers;
    late.peers.set_port(0);
    // The daemon reads the rows by which daemons find each other. The platform
    // then fails before the daemon has read the notes.
    let started = Member::start(late, cardamomshed_daemon::Options::default());
    eventually("the new daemon has found the other members", || {
        started
            .node
            .members
            .fleet
            .lock()
            .expect("not poisoned")
            .live()
            == 4
    });
    fleet.platform.set_faults(OUTAGE);
    eventually("the newest note is in force at the new daemon", || {
        started.node.lookup().config.revision == 2
    });
    fleet.daemons.push(started);
    fleet.platform.set_faults(Faults::default());
}

#[test]
fn unconfirmed_keys_refused() {
    let fleet = chain(1);
    let limits = Limits {
        unconfirmed_keys: Unconfirmed::Refuse,
        unconfirmed_after: cardamomshed_note::Timespan::from_millis(800),
        ..Limits::default()
    };
    let mut strict = fleet.blank_note("strict");
    strict.limits = Some(limits);
    fleet.apply(&strict);
    eventually("the note is in force", || all_at(&fleet, 2));
    assert_eq!(get(&fleet, "/hop-0").send().status, 200);
    fleet.platform.set_faults(OUTAGE);
    eventually("unconfirmed keys are refused", || {
        get(&fleet, "/hop-0").send().code() == 1104
    });
    fleet.platform.set_faults(Faults::default());
    eventually("keys are accepted again", || {
        get(&fleet, "/hop-0").send().status == 200
    });
}
