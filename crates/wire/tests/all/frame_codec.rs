//! Frames survive a round trip through the codec, and invalid input is
//! rejected.

use bytes::Bytes;
use cardamomshed_policy::Priority;
use cardamomshed_policy::admission::Rank;
use cardamomshed_wire::{Call, Frame, Request, decode, encode};
use quickcheck::{Gen, QuickCheck};

fn check(property: impl quickcheck::Testable) {
    let seed = std::env::var("CARDAMOMSHED_SEED").ok();
    let seed = seed.map_or(1, |seed| seed.parse().expect("a number"));
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, seed))
        .tests(500)
        .quickcheck(property);
}

#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn round_trips(id: u64, path: String, header: (String, String), body: Vec<u8>) -> bool {
    let call = Call {
        route: "route".into(),
        repeatable: false,
        repeated: true,
        id,
        request: Request::random(),
        account: "account".into(),
        priority: Priority::High,
        rank: Rank(1.5),
        timeout_ms: 7,
        tokens: 3,
        depth: 16,
        service: "service".into(),
        method: "GET".to_owned(),
        path,
        headers: vec![header],
        length: body.len() as u64,
    };
    let frame = Frame::Call(Box::new(call));
    let decoded = decode(&encode(&frame, &body));
    decoded.is_ok_and(|(copy, chunk)| copy == frame && chunk == body)
}

fn decodes_or_rejects(bytes: Vec<u8>) -> bool {
    // Decoding must not panic, and what it accepts must decode again once it is
    // encoded.
    match decode(&Bytes::from(bytes)) {
        Ok((frame, chunk)) => decode(&encode(&frame, &chunk)).is_ok(),
        Err(_) => true,
    }
}

#[test]
fn calls_round_trip() {
    check(round_trips as fn(u64, String, (String, String), Vec<u8>) -> bool);
}

#[test]
fn random_bytes_handled() {
    check(decodes_or_rejects as fn(Vec<u8>) -> bool);
}

#[test]
fn truncated_frames_rejected() {
    let encoded = encode(
        &Frame::Resume {
            id: 5,
            timeout_ms: 6,
        },
        &[],
    );
    for length in 0..encoded.len() {
        assert!(decode(&encoded.slice(..length)).is_err(), "{length} bytes");
    }
}

#[test]
fn request_id_parsed() {
    let request = Request::random();
    assert_eq!(request.to_string().parse(), Ok(request));
    for invalid in ["", "12", &"g".repeat(32), &"0".repeat(33)] {
        assert!(invalid.parse::<Request>().is_err(), "{invalid}");
    }
}
