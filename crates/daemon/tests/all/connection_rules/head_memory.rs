//! Memory of the input of one connection: long heads, and what is reserved for them.

use cardamomshed_policy::memory::{Kind, Limits};

use super::{Duration, HEAD_LIMIT, LONG, Memory, Session, get, last, ok, sleep, timeout};

/// Bytes of input that the reservation of a connection covers.
const INCLUDED: usize = 8 * 1024;

/// Account that has this much for connections, beside what each reserves at its accept.
fn account(connections: usize) -> Memory {
    let mut limits = Limits::UNLIMITED;
    limits.connections = connections;
    Memory::new(limits)
}

/// Waits until the bytes reserved beside the included ones are as expected.
async fn await_extra(memory: &Memory, is_expected: impl Fn(usize) -> bool) {
    while !is_expected(memory.with(|account| account.held(Kind::Connection))) {
        sleep(Duration::from_millis(1)).await;
    }
}

/// A head of this length whose last field is filled up.
fn padded(path: &str, length: usize) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nx-fill: ");
    format!("{head}{}\r\n\r\n", "a".repeat(length - head.len() - 4))
}

/// Guards against heads within the limit that are refused, and against longer ones that
/// are buffered, up to the 128 KiB that the codec accepts.
#[actix_web::test]
async fn long_head_refused() {
    let long = |length| get(&format!("/{}", "a".repeat(length)));
    let fields = |count| get("/x").replace("\r\n\r\n", &"\r\nx-more: a".repeat(count));
    for (head, rest, statuses) in [
        (padded("/x", HEAD_LIMIT), &*last("/b"), &[200; 3][..]),
        (long(HEAD_LIMIT - 30), &last("/b"), &[200; 3]),
        (padded("/x", HEAD_LIMIT + 1), "", &[200, 431]),
        (long(HEAD_LIMIT), "", &[200, 431]),
        (fields(6_000), "", &[200, 431]),
        (long(60_000), "", &[200, 431]),
        (fields(97), "\r\n\r\n", &[200, 431]),
    ] {
        let mut session = Session::start(LONG).await;
        session.send(&[&get("/a"), &*head, rest].concat()).await;
        let received = timeout(LONG.head / 2, session.read_all()).await;
        let received = received.expect("an end before the time limit of the head");
        assert!(received.iter().map(|(status, ..)| status).eq(statuses));
    }
}

/// Guards against a buffer, an open request or an unread body that holds more than is
/// reserved, and against memory that is not released.
#[actix_web::test]
async fn input_reserved() {
    let memory = account(256 * 1024);
    let mut session = Session::within(&memory, LONG).await;
    let head = padded("/hang", 12_000);
    let post = "POST /hang HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\n";
    let reserved = async {
        session.send(&head[..11_000]).await;
        await_extra(&memory, |extra| extra >= 11_000 - INCLUDED).await;
        session
            .send(&[&head[11_000..], &padded("/hang", 9_000)].concat())
            .await;
        await_extra(&memory, |extra| extra >= 21_000 - INCLUDED).await;
        session.send(&[post, &"a".repeat(100_000)].concat()).await;
        await_extra(&memory, |extra| extra >= 21_000 + 32 * 1024 - INCLUDED).await;
        session.monitor.close();
        await_extra(&memory, |extra| extra == 0).await;
    };
    timeout(LONG.head, reserved).await.expect("as expected");
}

/// Guards against a connection that cannot be used once no more memory can be reserved,
/// and against a long head that is read regardless.
#[actix_web::test]
async fn short_heads_served() {
    let mut session = Session::within(&account(0), LONG).await;
    let body = "a".repeat(200_000);
    let post = "POST /body HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\n";
    let (ahead, rest) = (padded("/a", 1_000).repeat(50), padded("/x", 10_000));
    session.send(&[post, &body, &ahead, &rest].concat()).await;
    let mut expected = vec![(200, false, body)];
    expected.resize(51, ok("/a", false));
    expected.push((503, true, String::new()));
    assert_eq!(session.read_all().await, expected);
}
