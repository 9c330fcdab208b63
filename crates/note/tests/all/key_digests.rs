//! Digests of keys: text form and comparison.

use cardamomshed_note::{Digest, Key};

#[test]
fn digest_round_trips() {
    let key = Key::random();
    let text = key.digest().to_string();
    let parsed = Digest::try_from(text).expect("a digest");
    assert!(parsed.matches(&Digest::of(key.reveal())));
    assert!(!parsed.matches(&Key::random().digest()));
}

#[test]
fn malformed_digests() {
    for text in [
        "",
        "sha256:",
        "sha256:zz",
        "md5:00",
        &format!("sha256:{}", "é".repeat(32)),
    ] {
        assert!(Digest::try_from(text.to_owned()).is_err(), "{text}");
    }
}
