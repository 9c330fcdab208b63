//! Calls outlive the connection on which they were sent: a fake daemon connects
//! to a real one, drops the connection at each step of a call and resumes the
//! call on a new connection.

use std::io::Write as _;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_daemon::node::Node;
use cardamomshed_policy::Priority;
use cardamomshed_policy::admission::Rank;
use cardamomshed_standin::client::eventually;
use cardamomshed_standin::fleet::Fleet;
use cardamomshed_standin::peer::Dialler;
use cardamomshed_standin::thread;
use cardamomshed_wire::{Call, Frame, Request};
use futures_util::SinkExt;
use tokio_tungstenite::tungstenite::Message;

use crate::chain;

const NAME: &str = "fake";
const BOOT: u64 = 77;

/// Opens a connection of the fake daemon. `BOOT` is the same each time, so that
/// the connections belong to one process.
pub(crate) async fn dial(node: &Node) -> Dialler {
    let dialled = dial_with(node, &node.settings.fleet_secret).await;
    dialled.expect("a link")
}

async fn dial_with(node: &Node, secret: &str) -> Option<Dialler> {
    Dialler::dial(node.settings.peers, NAME, BOOT, secret).await
}

/// Sends a call with a body of this length, of which `sent` is sent.
async fn call(fake: &mut Dialler, id: u64, length: usize, sent: &[u8]) {
    let frame = Frame::Call(Box::new(call_frame(id, length as u64)));
    fake.send(&frame, sent).await;
}

/// Asks for the answer to a call.
async fn resume(fake: &mut Dialler, id: u64) {
    let timeout_ms = 5_000;
    fake.send(&Frame::Resume { id, timeout_ms }, &[]).await;
}

/// A call with a body of this length.
pub(crate) fn call_frame(id: u64, length: u64) -> Call {
    Call {
        route: "route".into(),
        repeatable: false,
        repeated: false,
        id,
        request: Request::random(),
        account: "account-0".into(),
        priority: Priority::Normal,
        rank: Rank::MOST_IMPORTANT,
        timeout_ms: 5_000,
        tokens: 2,
        depth: 0,
        service: "hop-0".into(),
        method: "POST".to_owned(),
        path: "/hop-0".to_owned(),
        headers: Vec::new(),
        length,
    }
}

/// Runs a future with the first daemon of a fleet and returns its output.
pub(crate) fn with_daemon<T, F>(
    fleet: &Fleet,
    test: impl FnOnce(Arc<Node>) -> F + Send + 'static,
) -> T
where
    T: Send + 'static,
    F: Future<Output = T>,
{
    let node = Arc::clone(&fleet.daemons[0].node);
    thread::run(move || test(node))
}

#[test]
fn secret_required() {
    let fleet = chain(1);
    let answered = with_daemon(&fleet, |node| async move {
        let mut fake = dial_with(&node, "another secret of a fleet").await?;
        call(&mut fake, 1, 0, &[]).await;
        fake.receive().await
    });
    assert!(answered.is_none());
    assert_eq!(fleet.executions(), 0);
}

#[test]
fn resume_after_call() {
    let fleet = chain(1);
    fleet.targets[0].change(|behaviour| behaviour.slowdown = 50.0);
    let body = with_daemon(&fleet, |node| async move {
        let mut fake = dial(&node).await;
        call(&mut fake, 1, 5, b"hello").await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        drop(fake);
        let mut fake = dial(&node).await;
        resume(&mut fake, 1).await;
        fake.receive().await
    });
    let Some((Frame::Answer(answer), chunk)) = body else {
        panic!("no answer after the call was resumed");
    };
    assert_eq!((answer.id, answer.status), (1, 200));
    assert!(chunk.starts_with(b"hello"));
    assert_eq!(fleet.executions(), 1);
}

#[test]
fn resume_lost_answer() {
    let fleet = chain(1);
    let resumed = with_daemon(&fleet, |node| async move {
        let mut fake = dial(&node).await;
        call(&mut fake, 1, 0, &[]).await;
        // The connection is lost after the answer and before its acknowledgement.
        fake.receive().await.expect("an answer");
        drop(fake);
        let mut fake = dial(&node).await;
        resume(&mut fake, 1).await;
        fake.receive().await
    });
    assert!(matches!(resumed, Some((Frame::Answer(answer), _)) if answer.id == 1));
    assert_eq!(fleet.executions(), 1);
}

/// Guards against an answer whose parts are mixed: one that completed on the new
/// connection was sent again when the caller's question for it arrived.
#[test]
fn answer_sent_once() {
    const LENGTH: usize = 1 << 20;
    let fleet = chain(1);
    fleet.targets[0].change(|behaviour| {
        behaviour.slowdown = 100.0;
        behaviour.body_len = LENGTH;
    });
    let (heads, body) = with_daemon(&fleet, |node| async move {
        let mut fake = dial(&node).await;
        let sent = (0..LENGTH).map(|index| (index / 1_000) as u8);
        let sent = sent.collect::<Vec<_>>();
        call(&mut fake, 1, LENGTH, &sent).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        drop(fake);
        let mut fake = dial(&node).await;
        let first = fake.receive().await.expect("an answer");
        // The answer has begun before the daemon reads this.
        resume(&mut fake, 1).await;
        fake.send(&Frame::Ping, &[]).await;
        let (mut heads, mut body) = (1, first.1.to_vec());
        let mut has_answered_ping = false;
        while !has_answered_ping || body.len() < LENGTH {
            let (frame, chunk) = fake.receive().await.expect("a frame");
            match frame {
                Frame::Answer(_) => heads += 1,
                Frame::Pong => has_answered_ping = true,
                _ => {}
            }
            body.extend_from_slice(&chunk);
        }
        (heads, body.starts_with(&sent))
    });
    assert_eq!((heads, body), (1, true));
}

#[test]
fn resume_unknown_call() {
    let fleet = chain(1);
    let refused = with_daemon(&fleet, |node| async move {
        let mut fake = dial(&node).await;
        resume(&mut fake, 9).await;
        let refused = fake.receive().await;
        // A delayed copy of the refused call must not run.
        call(&mut fake, 9, 0, &[]).await;
        fake.send(&Frame::Ping, &[]).await;
        let pong = fake.receive().await;
        assert!(matches!(pong, Some((Frame::Pong, _))));
        refused
    });
    let Some((Frame::Refusal(refusal), _)) = refused else {
        panic!("an unknown call was not refused");
    };
    assert_eq!(refusal.ran, cardamomshed_code::Ran::No);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(fleet.executions(), 0);
}

#[test]
fn truncated_body_refused() {
    let fleet = chain(1);
    let refused = with_daemon(&fleet, |node| async move {
        let mut fake = dial(&node).await;
        call(&mut fake, 3, 100, b"a part").await;
        drop(fake);
        let mut fake = dial(&node).await;
        resume(&mut fake, 3).await;
        fake.receive().await
    });
    assert!(matches!(refused, Some((Frame::Refusal(refusal), _))
        if refusal.ran == cardamomshed_code::Ran::No));
    assert_eq!(fleet.executions(), 0);
}

#[test]
fn cancel_reaches_target() {
    let fleet = chain(1);
    fleet.targets[0].change(|behaviour| behaviour.hung = true);
    with_daemon(&fleet, |node| async move {
        let mut fake = dial(&node).await;
        call(&mut fake, 4, 0, &[]).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        fake.send(&Frame::Cancel { id: 4 }, &[]).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    eventually("the target has received the cancellation", || {
        fleet.targets[0].cancelled() == 1 && fleet.targets[0].running() == 0
    });
}

#[test]
fn invalid_frame_closes() {
    let fleet = chain(1);
    let received = with_daemon(&fleet, |node| async move {
        let mut fake = dial(&node).await;
        let message = Message::Binary(Bytes::from_static(b"\xff\xff\xff"));
        fake.socket.send(message).await.expect("an open link");
        fake.receive().await
    });
    assert!(received.is_none());
    assert_eq!(crate::get(&fleet, "/hop-0").send().status, 200);
}

/// Guards against a message that is buffered, up to 8 MiB, for anyone who connects.
#[test]
fn long_handshake_cut_off() {
    let fleet = chain(1);
    let peers = fleet.daemons[0].node.settings.peers;
    let mut stream = std::net::TcpStream::connect(peers).expect("a connection");
    let upgrade = "GET /link HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
                   sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    // A masked binary message of 8 MiB, more than the sockets buffer unread.
    let header = [0x82, 0xff, 0, 0, 0, 0, 0, 0x80, 0, 0, 0, 0, 0, 0];
    let message = [upgrade.as_bytes(), &header, &vec![0; 8 << 20]].concat();
    assert!(stream.write_all(&message).is_err());
}
