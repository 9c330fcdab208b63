//! Tests of the operators' tool against stand-ins, one file per feature.

mod broken_answers;
mod load_report;
mod note_commands;
mod request_preview;
mod status_explain;

use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::shape::Shape;

fn fleet() -> Fleet {
    let shape = Shape::chain(2, 2, 8, Duration::from_millis(1));
    Fleet::start(shape, Kind::Daemon(Options::default()))
}

/// Runs the tool to its end.
fn shedctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shedctl"))
        .args(arguments)
        .output()
        .expect("the tool runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Applies the note of a file on the platform of a fleet.
fn apply(fleet: &Fleet, file: &str) -> Output {
    shedctl(&["note", "apply", file, "--platform", &fleet.platform.base()])
}

/// Writes a note file that adds one account. Returns its path.
fn note_file(name: &str, account: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
    let text = format!(
        "note: {name}\nauthor: test\nsummary: adds {account}\naccounts:\n  add:\n    \
         - {{name: {account}, rate: 5/s, burst: 10}}\n"
    );
    std::fs::write(&path, text).expect("the file is written");
    path.to_str().expect("a plain path").to_owned()
}
