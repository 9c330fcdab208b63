//! Tests of settings and release notes, one file per feature.

mod example_files;
mod key_digests;
mod note_errors;
mod note_merge;
mod route_lookup;
mod settings_errors;

use std::path::{Path, PathBuf};

use cardamomshed_code::{Code, Failure};
use cardamomshed_note::{Config, Note, parse};

/// Writes a file with these contents to the directory for temporary files.
fn file(name: &str, contents: &[u8]) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, contents).expect("the file is written");
    path
}

/// Returns the failure of a note that is merged into an empty configuration.
fn note_failure(name: &str, text: &str) -> Failure {
    let path = file(name, text.as_bytes());
    Config::default()
        .apply_file(&path)
        .expect_err("the note must be refused")
}

/// Returns whether a failure has this code and refers to this line.
fn is_at(failure: &Failure, code: Code, line: usize) -> bool {
    failure.code == code && failure.detail.contains(&format!(".yaml:{line}:"))
}

/// Parses a note that must be valid.
fn note(text: &str) -> Note {
    parse(text).expect("a valid note")
}
