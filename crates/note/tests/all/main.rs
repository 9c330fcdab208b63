//! Tests of settings and release notes, one file a feature.

mod example_files;
mod key_digests;
mod note_errors;
mod note_merge;
mod route_lookup;
mod settings_errors;

use std::path::{Path, PathBuf};

use cardamomshed_code::{Code, Failure};
use cardamomshed_note::{Config, Note, parse};

/// A file with these contents, in the folder for tests.
fn file(name: &str, contents: &[u8]) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, contents).expect("a file for a test");
    path
}

/// The failure of a note that is merged into nothing.
fn note_failure(name: &str, text: &str) -> Failure {
    let path = file(name, text.as_bytes());
    Config::default()
        .apply_file(&path)
        .expect_err("the note does not fit")
}

/// Whether a failure has this code and names this line.
fn is_at(failure: &Failure, code: Code, line: usize) -> bool {
    failure.code == code && failure.detail.contains(&format!(".yaml:{line}:"))
}

/// A parsed note.
fn note(text: &str) -> Note {
    parse(text).expect("a valid note")
}
