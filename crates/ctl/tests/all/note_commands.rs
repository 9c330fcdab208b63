//! Command `note`: check, apply, list and diff, with platform faults and
//! concurrent operators.

use std::time::Duration;

use cardamomshed_standin::platform::Faults;

use crate::{apply, fleet, note_file, shedctl, stderr, stdout};

#[test]
fn applied_everywhere() {
    let fleet = fleet();
    let base = fleet.platform.base();
    let admin = fleet.daemons[0].node.settings.admin.to_string();
    let file = note_file("apply-one", "one");
    let checked = shedctl(&["note", "check", &file, "--platform", &base]);
    assert!(
        stdout(&checked).contains("would become revision 2"),
        "{}",
        stderr(&checked)
    );
    let target = ["--platform", &base, "--daemon", &admin];
    let apply = [&["note", "apply", &file], &target[..]].concat();
    let applied = shedctl(&apply);
    assert!(applied.status.success(), "{}", stderr(&applied));
    assert!(stdout(&applied).contains("in force everywhere"));
    for daemon in &fleet.daemons {
        assert_eq!(daemon.node.lookup().config.revision, 2);
    }
    // Applying the same note again is idempotent.
    let again = shedctl(&apply);
    assert!(stdout(&again).contains("accepted as revision 2"));
    assert_eq!(fleet.platform.rows("notes"), 2);
    let listed = shedctl(&["note", "list", "--platform", &base]);
    assert!(stdout(&listed).contains("apply-one"));
    let diff = shedctl(&["note", "diff", "1", "2", "--platform", &base]);
    assert!(
        stdout(&diff).starts_with("+ account one"),
        "{}",
        stdout(&diff)
    );
}

#[test]
fn conflicting_entry_refused() {
    let fleet = fleet();
    let refused = apply(&fleet, &note_file("taken", "account-0"));
    assert!(!refused.status.success());
    assert!(stderr(&refused).contains("CS2008"), "{}", stderr(&refused));
    assert!(
        stderr(&refused).contains("taken.yaml:6:"),
        "{}",
        stderr(&refused)
    );
    assert_eq!(fleet.platform.rows("notes"), 1);
}

/// Guards against a note that names a failure domain of no daemon, and evacuates nothing.
#[test]
fn unlisted_domain_refused() {
    let settings = "../../examples/cooperativa/catalogo-monterrey-a.yaml";
    for (domain, is_listed) in [("monterrey-b", true), ("monterrey-c", false)] {
        let file = note_file(domain, "one");
        let note = std::fs::read_to_string(&file).expect("the note");
        let note = format!("{note}evacuations:\n  add: [{domain}]\n");
        std::fs::write(&file, note).expect("the file is written");
        let checked = shedctl(&["note", "check", &file, "--settings", settings]);
        assert_eq!(checked.status.success(), is_listed, "{}", stderr(&checked));
        assert_eq!(stderr(&checked).contains("CS2005"), !is_listed);
    }
}

#[test]
fn name_reuse_refused() {
    let fleet = fleet();
    let applied = apply(&fleet, &note_file("reused", "one"));
    assert!(applied.status.success(), "{}", stderr(&applied));
    let refused = apply(&fleet, &note_file("reused", "two"));
    assert!(stderr(&refused).contains("CS2102"), "{}", stderr(&refused));
}

#[test]
fn lost_response() {
    let fleet = fleet();
    fleet.platform.set_faults(Faults {
        lose_answers: 1.0,
        ..Faults::default()
    });
    let applied = apply(&fleet, &note_file("lost-answer", "one"));
    assert!(applied.status.success(), "{}", stderr(&applied));
    assert_eq!(fleet.platform.rows("notes"), 2);
}

#[test]
fn concurrent_apply() {
    let fleet = fleet();
    fleet.platform.set_faults(Faults {
        delay: Duration::from_millis(200),
        ..Faults::default()
    });
    let files = [note_file("race-a", "same"), note_file("race-b", "same")];
    let outcomes = std::thread::scope(|scope| {
        let apply = |file| apply(&fleet, file);
        let threads = files.iter().map(|file| scope.spawn(move || apply(file)));
        let threads = threads.collect::<Vec<_>>();
        let outputs = threads
            .into_iter()
            .map(|thread| thread.join().expect("the thread ends"));
        outputs.collect::<Vec<_>>()
    });
    let accepted = outcomes.iter().filter(|outcome| outcome.status.success());
    assert_eq!(accepted.count(), 1, "both add the same account");
    let refused = outcomes.iter().find(|outcome| !outcome.status.success());
    let error = stderr(refused.expect("one is refused"));
    assert!(
        error.contains("CS2101") || error.contains("CS2008"),
        "{error}"
    );
    assert_eq!(fleet.platform.rows("notes"), 2);
}

#[test]
fn platform_down() {
    let fleet = fleet();
    fleet.platform.set_faults(Faults::DOWN);
    let refused = apply(&fleet, &note_file("down", "one"));
    assert!(stderr(&refused).contains("CS2201"), "{}", stderr(&refused));
}
