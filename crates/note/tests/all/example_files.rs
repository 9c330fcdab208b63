//! The example files of both deployments are valid and define 16 nodes, 4
//! failure domains, 8 client accounts and 8 keys.

use std::path::{Path, PathBuf};

use cardamomshed_note::{Config, Settings};

fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn check(name: &str) {
    let note = directory(name).join("first-note.yaml");
    let (_, config) = Config::default().apply_file(&note).expect("a valid note");
    assert_eq!(config.accounts.len(), 8);
    assert_eq!(config.keys.len(), 8);
    let entries = std::fs::read_dir(directory(name)).expect("the directory of an example");
    let files = entries.map(|entry| entry.expect("a directory entry").path());
    let settings = files
        .filter(|path| !path.ends_with("first-note.yaml"))
        .map(|path| Settings::read(&path).expect("valid settings"))
        .collect::<Vec<_>>();
    assert_eq!(settings.len(), 16);
    for node in &settings {
        assert_eq!(node.domains.len(), 4);
    }
}

#[test]
fn mwakilema_valid() {
    check("mwakilema");
}

#[test]
fn cooperativa_valid() {
    check("cooperativa");
}
