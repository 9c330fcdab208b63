//! A proof is valid only for one side, one pair of names and one pair of nonces.
//! Secrets that are too short are rejected.

use cardamomshed_wire::{Secret, Side};

#[test]
fn proof_bound() {
    let secret = Secret::new("a long enough secret").expect("a long secret");
    let (one, two) = ([1; 16], [2; 16]);
    let proof = secret.prove(Side::Dialler, [&one, &two], ["a", "b"]);
    assert!(secret.verify(Side::Dialler, [&one, &two], ["a", "b"], &proof));
    assert!(!secret.verify(Side::Acceptor, [&one, &two], ["a", "b"], &proof));
    assert!(!secret.verify(Side::Dialler, [&two, &one], ["a", "b"], &proof));
    assert!(!secret.verify(Side::Dialler, [&one, &two], ["ab", ""], &proof));
    let other = Secret::new("another long secret").expect("a long secret");
    assert!(!other.verify(Side::Dialler, [&one, &two], ["a", "b"], &proof));
}

#[test]
fn short_secret_rejected() {
    assert!(Secret::new("short").is_err());
    assert!(!format!("{:?}", Secret::new("a long enough secret")).contains("enough"));
}
