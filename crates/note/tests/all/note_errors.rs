//! Invalid notes are refused with an error code, file, line and column.

use cardamomshed_code::Code;
use cardamomshed_note::{Config, MAX_FILE_BYTES, Name};

use crate::{file, is_at, note, note_failure};

const HEAD: &str = "note: n\nauthor: a\n";

fn account(rate: &str, burst: &str) -> String {
    format!("{HEAD}accounts:\n  add:\n    - name: a\n      rate: {rate}\n      burst: {burst}\n")
}

#[test]
fn quantities_checked() {
    for (index, rate) in ["-1/s", "0/s", "inf/s", "1e9/s", "NaN/s", "5", "5/min"]
        .iter()
        .enumerate()
    {
        let failure = note_failure(&format!("rate-{index}.yaml"), &account(rate, "10"));
        assert!(is_at(&failure, Code::YamlInvalid, 6), "{rate}: {failure}");
    }
    for (index, burst) in ["-1", "1.5", "many", "99999999999999"].iter().enumerate() {
        let failure = note_failure(&format!("burst-{index}.yaml"), &account("5/s", burst));
        assert!(is_at(&failure, Code::YamlInvalid, 7), "{burst}: {failure}");
    }
    let zero = note_failure("burst-zero.yaml", &account("5/s", "0"));
    assert!(is_at(&zero, Code::ValueRange, 5), "{zero}");
    let small = note_failure("burst-small.yaml", &account("1000/s", "50"));
    assert!(is_at(&small, Code::ValueRange, 5), "{small}");
}

#[test]
fn duplicates_refused() {
    let repeated_key = note_failure("key-twice.yaml", "note: n\nnote: m\nauthor: a\n");
    assert!(is_at(&repeated_key, Code::YamlInvalid, 2), "{repeated_key}");
    let text = format!(
        "{HEAD}accounts:\n  add:\n    - {{name: a, rate: 5/s, burst: 10}}\n\
         \x20   - {{name: a, rate: 5/s, burst: 10}}\n"
    );
    let failure = note_failure("name-twice.yaml", &text);
    assert!(is_at(&failure, Code::NameTaken, 6), "{failure}");
}

#[test]
fn unknown_field() {
    let failure = note_failure("field.yaml", &format!("{HEAD}ruotes: {{}}\n"));
    assert!(is_at(&failure, Code::YamlInvalid, 3), "{failure}");
}

#[test]
fn references_checked() {
    let digest = format!("sha256:{}", "0".repeat(64));
    let key = format!("{HEAD}keys:\n  add:\n    - {{name: k, account: none, digest: {digest}}}\n");
    let failure = note_failure("key-account.yaml", &key);
    assert!(is_at(&failure, Code::ReferenceUnknown, 5), "{failure}");
    let route = format!(
        "{HEAD}routes:\n  add:\n    - name: r\n      path: /r\n      service: s\n      \
         priority: low\n      timeout: 1s\n      accounts: [none]\n"
    );
    let failure = note_failure("route-account.yaml", &route);
    assert!(is_at(&failure, Code::ReferenceUnknown, 5), "{failure}");
    let withdrawn = note_failure(
        "withdrawn.yaml",
        &format!("{HEAD}routes:\n  withdraw: [none]\n"),
    );
    assert!(is_at(&withdrawn, Code::ReferenceUnknown, 4), "{withdrawn}");
}

#[test]
fn paths_checked() {
    for (index, path) in ["r", "/a//b", "/a/../b", "/a?b", "/ä"].iter().enumerate() {
        let route = format!(
            "{HEAD}routes:\n  add:\n    - {{name: r, path: '{path}', service: s, \
             priority: low, timeout: 1s}}\n"
        );
        let failure = note_failure(&format!("path-{index}.yaml"), &route);
        assert!(is_at(&failure, Code::NameInvalid, 5), "{path}: {failure}");
    }
}

#[test]
fn empty_note() {
    let failure = note_failure("empty.yaml", HEAD);
    assert!(is_at(&failure, Code::NoteEmpty, 1), "{failure}");
}

#[test]
fn oversized_malformed() {
    let deep = format!("{HEAD}summary: {}", "[".repeat(10_000));
    assert_eq!(note_failure("deep.yaml", &deep).code, Code::YamlInvalid);
    let mut bomb = vec!["a: &a [x, x, x, x, x, x, x, x, x]".to_owned()];
    for (name, before) in ["b", "c", "d", "e", "f", "g"]
        .iter()
        .zip(["a", "b", "c", "d", "e", "f"])
    {
        let list = vec![format!("*{before}"); 9].join(", ");
        bomb.push(format!("{name}: &{name} [{list}]"));
    }
    let bomb = bomb.join("\n");
    assert_eq!(note_failure("bomb.yaml", &bomb).code, Code::YamlInvalid);
    let truncated = note_failure("truncated.yaml", "note: n\nauthor: \"a");
    assert_eq!(truncated.code, Code::YamlInvalid);
    let large = file("large.yaml", &vec![b'#'; MAX_FILE_BYTES + 1]);
    let failure = Config::default().apply_file(&large).expect_err("too large");
    assert_eq!(failure.code, Code::FileTooLarge);
    let encoding = file("encoding.yaml", b"note: n\nauthor: \xff\n");
    let failure = Config::default()
        .apply_file(&encoding)
        .expect_err("invalid UTF-8");
    assert!(is_at(&failure, Code::FileEncoding, 2), "{failure}");
}

/// Guards against an evacuation of a misspelt domain that is taken for accepted, and
/// against one note that begins and ends the same evacuation.
#[test]
fn evacuations_checked() {
    let text = |changes: &str| format!("{HEAD}evacuations:\n{changes}");
    let config = Config::default()
        .apply(&note(&text("  add: [a]\n")))
        .expect("the note is accepted");
    assert!(config.evacuated.iter().map(|domain| &**domain).eq(["a"]));
    let domains = ["a", "b"].map(|name| Name::try_from(name.to_owned()).expect("a name"));
    let cases = [
        ("  add: [b, nowhere]\n", Code::ValueRange, 4),
        ("  add: [a]\n", Code::NameTaken, 4),
        ("  add:\n    - b\n    - b\n", Code::NameTaken, 6),
        ("  withdraw: [b]\n", Code::ReferenceUnknown, 4),
        ("  withdraw: [a]\n  add: [a]\n", Code::NameTaken, 5),
        ("  change: [a]\n", Code::YamlInvalid, 4),
    ];
    for (changes, code, line) in cases {
        let path = file("evacuations.yaml", text(changes).as_bytes());
        let failure = config.check_file(&path, Some(&domains));
        let failure = failure.expect_err("the note must be refused");
        assert!(is_at(&failure, code, line), "{changes}: {failure}");
    }
    let ended = config.apply(&note(&text("  withdraw: [a]\n  add: [b]\n")));
    let ended = ended.expect("the note is accepted");
    assert!(ended.evacuated.iter().map(|domain| &**domain).eq(["b"]));
}

/// Guards against a list that was meant to restrict nothing and admits no request.
#[test]
fn empty_regions_refused() {
    let account =
        format!("{HEAD}accounts:\n  add:\n    - {{name: a, rate: 5/s, burst: 10, regions: []}}\n");
    let failure = note_failure("account-regions.yaml", &account);
    assert!(is_at(&failure, Code::ValueRange, 5), "{failure}");
    let route = format!(
        "{HEAD}routes:\n  add:\n    - name: r\n      path: /r\n      service: s\n      \
         priority: low\n      timeout: 1s\n      regions: []\n"
    );
    let failure = note_failure("route-regions.yaml", &route);
    assert!(is_at(&failure, Code::ValueRange, 5), "{failure}");
}
