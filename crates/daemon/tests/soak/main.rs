//! Short seeded runs of the soak, apart from the other tests since they take the whole
//! machine; `examples/soak` of the stand-ins runs it for longer
//! and with other seeds.

use std::path::{Path, PathBuf};
use std::time::Duration;

use cardamomshed_standin::soak::fault::Group;
use cardamomshed_standin::soak::{self, Options};

/// Runs the soak with these faults and asserts that every promise was kept.
fn assert_kept(seed: u64, groups: &[Group]) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_cardamomshed")),
        template: root.join("deploy/settings.yaml"),
        folder: folder.join(format!("soak-{}-{seed}", std::process::id())),
        seed,
        vms: 8,
        faults_for: Duration::from_secs(12),
        rate: 60.0,
        groups: groups.to_vec(),
    };
    let report = actix::System::new()
        .block_on(soak::run(options))
        .expect("the fleet starts");
    let verdict = &report.verdict;
    assert!(verdict.is_kept(), "{verdict:#?}\n{:#?}", report.events);
    assert_eq!(report.unended, 0, "{:#?}", report.events);
}

/// Guards against requests that ran twice, or ran though they were refused: targets
/// reject, answer twice and answer without the mark of a rejection.
#[test]
fn targets_misbehave() {
    let groups = [Group::Reject, Group::Copy, Group::Target, Group::Unmarked];
    assert_kept(1, &groups);
}

#[test]
fn daemons_disturbed() {
    let groups = [Group::Pause, Group::Kill, Group::Terminate, Group::Platform];
    assert_kept(2, &groups);
}
