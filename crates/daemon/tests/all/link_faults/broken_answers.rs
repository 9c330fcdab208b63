//! Answers of a peer that are malformed, or made of parts from two connections.

use cardamomshed_code::Ran;
use cardamomshed_wire::Frame;

use super::{Fake, assert_answered, id_of, refusal, run_script};

/// Guards against a body that is made of parts from two connections.
#[test]
fn stale_part_ignored() {
    let reply = run_script(|listener| async move {
        let mut first = Fake::accept(&listener, 1).await;
        let id = id_of(first.receive().await);
        first.answer(id, 10, b"0123").await;
        drop(first);
        let mut second = Fake::accept(&listener, 1).await;
        assert_eq!(id_of(second.receive().await), id);
        second.send(Frame::AnswerData { id }, b"456789").await;
        second.answer(id, 5, b"whole").await;
        second.receive().await;
    });
    assert_answered(&reply, "whole");
}

#[test]
fn malformed_answers_unknown() {
    // Status, length, and the parts in which the body arrives.
    const ANSWERS: [(u16, u64, [&[u8]; 2]); 8] = [
        (0, 5, [b"whole", b""]),
        (99, 5, [b"whole", b""]),
        (100, 5, [b"whole", b""]),
        (199, 5, [b"whole", b""]),
        (600, 5, [b"whole", b""]),
        (200, 4, [b"whole", b""]),
        (200, 6, [b"who", b"le and more"]),
        (200, u64::MAX, [b"whole", b""]),
    ];
    for (status, length, parts) in ANSWERS {
        let reply = run_script(move |listener| async move {
            let mut fake = Fake::accept(&listener, 1).await;
            let id = id_of(fake.receive().await);
            fake.answer_with(id, status, length, parts[0]).await;
            if !parts[1].is_empty() {
                fake.send(Frame::AnswerData { id }, parts[1]).await;
            }
            fake.receive().await;
        });
        assert_eq!(refusal(reply).1, Ran::Unknown, "{status} {length}");
    }
}
