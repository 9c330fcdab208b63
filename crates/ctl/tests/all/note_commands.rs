//! Notes are checked, applied, listed and compared; operators may race.

use std::time::Duration;

use cardamomshed_standin::platform::Faults;

use crate::{complained, fleet, note_file, printed, shedctl};

#[test]
fn applied_everywhere() {
    let fleet = fleet();
    let base = fleet.platform.base();
    let admin = fleet.daemons[0].node.settings.admin.to_string();
    let file = note_file("apply-one", "one");
    let path = file.to_str().expect("a plain path");
    let checked = shedctl(&["note", "check", path, "--platform", &base]);
    assert!(
        printed(&checked).contains("would become revision 2"),
        "{}",
        complained(&checked)
    );
    let apply = [
        "note",
        "apply",
        path,
        "--platform",
        &base,
        "--daemon",
        &admin,
    ];
    let applied = shedctl(&apply);
    assert!(applied.status.success(), "{}", complained(&applied));
    assert!(printed(&applied).contains("in force everywhere"));
    for daemon in &fleet.daemons {
        assert_eq!(daemon.node.lookup().config.revision, 2);
    }
    // The same note again is the same note.
    let again = shedctl(&apply);
    assert!(printed(&again).contains("accepted as revision 2"));
    assert_eq!(fleet.platform.rows("notes"), 2);
    let listed = shedctl(&["note", "list", "--platform", &base]);
    assert!(printed(&listed).contains("apply-one"));
    let diff = shedctl(&["note", "diff", "1", "2", "--platform", &base]);
    assert!(
        printed(&diff).starts_with("+ account one"),
        "{}",
        printed(&diff)
    );
}

#[test]
fn misfit_refused() {
    let fleet = fleet();
    let base = fleet.platform.base();
    let file = note_file("taken", "account-0");
    let path = file.to_str().expect("a plain path");
    let refused = shedctl(&["note", "apply", path, "--platform", &base]);
    assert!(!refused.status.success());
    assert!(
        complained(&refused).contains("CS2008"),
        "{}",
        complained(&refused)
    );
    assert!(
        complained(&refused).contains("taken.yaml:6:"),
        "{}",
        complained(&refused)
    );
    assert_eq!(fleet.platform.rows("notes"), 1);
}

#[test]
fn name_reuse_refused() {
    let fleet = fleet();
    let base = fleet.platform.base();
    let first = note_file("reused", "one");
    let applied = shedctl(&[
        "note",
        "apply",
        first.to_str().expect("a path"),
        "--platform",
        &base,
    ]);
    assert!(applied.status.success(), "{}", complained(&applied));
    let other = note_file("reused", "two");
    let refused = shedctl(&[
        "note",
        "apply",
        other.to_str().expect("a path"),
        "--platform",
        &base,
    ]);
    assert!(
        complained(&refused).contains("CS2102"),
        "{}",
        complained(&refused)
    );
}

#[test]
fn lost_answer_settled() {
    let fleet = fleet();
    let base = fleet.platform.base();
    fleet.platform.set_faults(Faults {
        lose_answers: 1.0,
        ..Faults::default()
    });
    let file = note_file("lost-answer", "one");
    let path = file.to_str().expect("a plain path");
    let applied = shedctl(&["note", "apply", path, "--platform", &base]);
    assert!(applied.status.success(), "{}", complained(&applied));
    assert_eq!(fleet.platform.rows("notes"), 2);
}

#[test]
fn operators_race() {
    let fleet = fleet();
    let base = fleet.platform.base();
    fleet.platform.set_faults(Faults {
        delay: Duration::from_millis(200),
        ..Faults::default()
    });
    let files = [note_file("race-a", "same"), note_file("race-b", "same")];
    let outcomes = std::thread::scope(|scope| {
        let base = &base;
        let races = files.iter().map(|file| {
            let path = file.to_str().expect("a plain path");
            scope.spawn(move || shedctl(&["note", "apply", path, "--platform", base]))
        });
        let races = races.collect::<Vec<_>>();
        let ended = races.into_iter().map(|race| race.join().expect("it ends"));
        ended.collect::<Vec<_>>()
    });
    let accepted = outcomes.iter().filter(|outcome| outcome.status.success());
    assert_eq!(accepted.count(), 1, "both add the same account");
    let lost = outcomes.iter().find(|outcome| !outcome.status.success());
    let told = complained(lost.expect("one lost"));
    assert!(told.contains("CS2101") || told.contains("CS2008"), "{told}");
    assert_eq!(fleet.platform.rows("notes"), 2);
}

#[test]
fn store_down_told() {
    let fleet = fleet();
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let file = note_file("down", "one");
    let path = file.to_str().expect("a plain path");
    let refused = shedctl(&["note", "apply", path, "--platform", &fleet.platform.base()]);
    assert!(
        complained(&refused).contains("CS2201"),
        "{}",
        complained(&refused)
    );
}
