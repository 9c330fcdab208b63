//! A daemon calls a fake peer that stops sending, drops the connection, restarts,
//! sends an unknown call identifier or interleaves its answers.

mod broken_answers;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_code::{Code, Ran};
use cardamomshed_daemon::Options;
use cardamomshed_daemon::node::Node;
use cardamomshed_daemon::reply::Reply;
use cardamomshed_daemon::service::{Peer, Query};
use cardamomshed_note::Timespan;
use cardamomshed_policy::admission::ADMIT_ALL;
use cardamomshed_policy::member::{Profile, Record, State};
use cardamomshed_standin::client::eventually;
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::peer::SECRET;
use cardamomshed_standin::shape::Shape;
use cardamomshed_standin::thread;
use cardamomshed_wire::{
    Answer, Call, Frame, Load, Refusal, Secret, Side, Welcome, decode, encode,
};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::link_resume::call_frame;
use crate::{learn, own_record};

const NAME: &str = "fake";

/// A peer that accepts the daemon's link and sends frames as a test directs.
struct Fake {
    socket: WebSocketStream<TcpStream>,
}

impl Fake {
    async fn accept(listener: &TcpListener, boot: u64) -> Self {
        let (stream, _) = listener.accept().await.expect("a connection");
        Self::handshake(stream, boot, Duration::ZERO).await
    }

    /// Accepts a link, with the response to the hello delayed.
    async fn handshake(stream: TcpStream, boot: u64, delay: Duration) -> Self {
        let socket = tokio_tungstenite::accept_async(stream)
            .await
            .expect("a socket");
        let mut fake = Self { socket };
        let Some((Frame::Hello(hello), _)) = fake.receive().await else {
            panic!("expected a hello");
        };
        tokio::time::sleep(delay).await;
        let secret = Secret::new(SECRET).expect("a long secret");
        let nonce = [9; 16];
        let code = secret.prove(Side::Acceptor, [&hello.nonce, &nonce], [&hello.node, NAME]);
        let welcome = Welcome {
            node: NAME.into(),
            boot,
            nonce,
            code,
        };
        fake.send(Frame::Welcome(welcome), b"").await;
        let proof = fake.receive().await;
        assert!(matches!(proof, Some((Frame::Proof { .. }, _))));
        fake
    }

    async fn send(&mut self, frame: Frame, chunk: &[u8]) {
        let message = Message::Binary(encode(&frame, chunk));
        // The daemon may have closed this connection.
        let _ = self.socket.send(message).await;
    }

    async fn receive(&mut self) -> Option<(Frame, Bytes)> {
        loop {
            let Message::Binary(bytes) = self.socket.next().await?.ok()? else {
                continue;
            };
            let decoded = decode(&bytes).ok()?;
            if !matches!(decoded.0, Frame::Ping) {
                return Some(decoded);
            }
        }
    }

    /// Says that a resumed call was not received, as a daemon does of each call that it
    /// does not know.
    async fn refuse_resumed(&mut self, id: u64) {
        let refusal = Refusal {
            id,
            code: Code::LinkFailed,
            ran: Ran::No,
            detail: "call not received".to_owned(),
            load: Load::default(),
            level: ADMIT_ALL,
            price: 0.0,
            pressure: 0.0,
            tokens: 0,
        };
        self.send(Frame::Refusal(Box::new(refusal)), b"").await;
    }

    async fn answer(&mut self, id: u64, length: u64, chunk: &[u8]) {
        self.answer_with(id, 200, length, chunk).await;
    }

    async fn answer_with(&mut self, id: u64, status: u16, length: u64, chunk: &[u8]) {
        let answer = Answer {
            price: 0.0,
            pressure: 0.0,
            id,
            status,
            headers: Vec::new(),
            length,
            load: Load::default(),
            level: ADMIT_ALL,
            tokens: 0,
        };
        self.send(Frame::Answer(Box::new(answer)), chunk).await;
    }
}

fn fleet() -> Fleet {
    let shape = Shape::chain(1, 1, 8, Duration::from_millis(1));
    Fleet::start_with(shape, Kind::Daemon(Options::default()), |settings| {
        settings.fleet_secret = SECRET.into();
        settings.timing.heartbeat = Timespan::from_millis(100);
        settings.timing.silence = Timespan::from_millis(300);
    })
}

/// Listener of the fake peer, and how a daemon reaches it.
async fn listen() -> (TcpListener, Peer) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let peer = Peer {
        node: NAME.into(),
        address: listener.local_addr().expect("a bound port"),
    };
    (listener, peer)
}

/// Sends a call over the daemon's link to the fake peer.
async fn call(node: &Arc<Node>, peer: &Peer, body: &'static str) -> Reply {
    call_within(node, peer, body, Duration::from_secs(8)).await
}

/// Sends a call whose deadline is this far away. The runtime's timers count less time
/// than the daemon's clock, as after a suspension of the VM.
async fn call_within(node: &Arc<Node>, peer: &Peer, body: &'static str, time: Duration) -> Reply {
    let call = Call {
        timeout_ms: 8_000,
        tokens: 1,
        ..call_frame(node.links.next_call_id(), body.len() as u64)
    };
    let deadline = node.clock.now() + time;
    node.links
        .call(
            peer,
            call,
            Bytes::from_static(body.as_bytes()),
            deadline,
            Duration::from_secs(9),
        )
        .await
}

/// Runs a script of the fake peer while the daemon makes one call, and returns
/// the outcome of the call.
fn run_script<F>(script: impl FnOnce(TcpListener) -> F + Send + 'static) -> Reply
where
    F: Future<Output = ()> + 'static,
{
    run_script_within(Duration::from_secs(8), script)
}

/// Does the same with a call whose deadline is this far away.
fn run_script_within<F>(
    time: Duration,
    script: impl FnOnce(TcpListener) -> F + Send + 'static,
) -> Reply
where
    F: Future<Output = ()> + 'static,
{
    let fleet = fleet();
    let node = Arc::clone(&fleet.daemons[0].node);
    thread::run(move || async move {
        let (listener, peer) = listen().await;
        let fake = actix_rt::spawn(script(listener));
        let reply = call_within(&node, &peer, "body", time).await;
        fake.await.expect("the script completes");
        reply
    })
}

/// Asserts that a call was answered with this body.
fn assert_answered(reply: &Reply, body: &str) {
    let Reply::Answer(answer) = reply else {
        panic!("no answer: {reply:?}");
    };
    assert_eq!(&answer.body[..], body.as_bytes());
}

/// Code of a refusal, and whether the call ran.
fn refusal(reply: Reply) -> (Code, Ran) {
    match reply {
        Reply::Refused(refused) => (refused.code, refused.ran),
        Reply::Answer(answer) => panic!("the call was answered: {answer:?}"),
    }
}

fn id_of(received: Option<(Frame, Bytes)>) -> u64 {
    match received {
        Some((Frame::Call(call), chunk)) => {
            assert_eq!(&chunk[..], b"body");
            call.id
        }
        Some((Frame::Resume { id, .. }, _)) => id,
        other => panic!("expected a call, got {other:?}"),
    }
}

#[test]
fn silent_connection_replaced() {
    let reply = run_script(|listener| async move {
        let mut first = Fake::accept(&listener, 1).await;
        let id = id_of(first.receive().await);
        // The first connection stays open without any further frame.
        let mut second = Fake::accept(&listener, 1).await;
        let resumed = second.receive().await;
        assert!(matches!(resumed, Some((Frame::Resume { .. }, _))));
        assert_eq!(id_of(resumed), id);
        second.answer(id, 5, b"whole").await;
        second.receive().await;
        drop(first);
    });
    assert_answered(&reply, "whole");
}

#[test]
fn partial_answer_resumed() {
    let reply = run_script(|listener| async move {
        let mut first = Fake::accept(&listener, 1).await;
        let id = id_of(first.receive().await);
        first.answer(id, 10, b"part").await;
        drop(first);
        let mut second = Fake::accept(&listener, 1).await;
        assert_eq!(id_of(second.receive().await), id);
        second.answer(id, 10, b"0123").await;
        second.send(Frame::AnswerData { id }, b"456789").await;
        second.receive().await;
    });
    assert_answered(&reply, "0123456789");
}

/// Guards against an answer whose parts are mixed: those of two copies on one
/// connection can't be told apart.
#[test]
fn repeated_answer_fails() {
    let reply = run_script(|listener| async move {
        let mut fake = Fake::accept(&listener, 1).await;
        let id = id_of(fake.receive().await);
        fake.answer(id, 10, b"0123").await;
        fake.answer(id, 10, b"0123").await;
        for _ in 0..2 {
            fake.send(Frame::AnswerData { id }, b"456").await;
        }
        fake.receive().await;
    });
    assert_eq!(refusal(reply), (Code::FrameInvalid, Ran::Unknown));
}

/// Makes a call within this time, has the peer lose the connection after a pause and
/// deny that it received the call.
fn deny_resumed(time: Duration, pause: Duration) -> Ran {
    let reply = run_script_within(time, move |listener| async move {
        let mut first = Fake::accept(&listener, 1).await;
        id_of(first.receive().await);
        let heartbeats = actix_rt::spawn(async move {
            // Keeps the link from being replaced for its silence.
            loop {
                first.send(Frame::Pong, b"").await;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        tokio::time::sleep(pause).await;
        heartbeats.abort();
        let mut second = Fake::accept(&listener, 1).await;
        let id = id_of(second.receive().await);
        second.refuse_resumed(id).await;
        second.receive().await;
    });
    refusal(reply).1
}

/// Guards against a call that ran and is reported as not run: it was resumed after the
/// peer had forgotten it.
#[test]
fn forgotten_call_unknown() {
    let pause = Duration::from_millis(1_500);
    assert_eq!(
        deny_resumed(Duration::from_millis(200), pause),
        Ran::Unknown
    );
}

#[test]
fn unreceived_call_not_run() {
    let pause = Duration::from_millis(200);
    assert_eq!(deny_resumed(Duration::from_secs(8), pause), Ran::No);
}

#[test]
fn peer_restart_unknown() {
    let reply = run_script(|listener| async move {
        let mut first = Fake::accept(&listener, 1).await;
        id_of(first.receive().await);
        drop(first);
        // Another process now has the address; the first one may have run the
        // call.
        let _second = Fake::accept(&listener, 2).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    });
    assert_eq!(refusal(reply), (Code::OutcomeUnknown, Ran::Unknown));
}

#[test]
fn unreachable_not_run() {
    let reply = run_script(|listener| async move { drop(listener) });
    assert_eq!(refusal(reply), (Code::LinkFailed, Ran::No));
}

#[test]
fn unknown_id_ignored() {
    let reply = run_script(|listener| async move {
        let mut fake = Fake::accept(&listener, 1).await;
        let id = id_of(fake.receive().await);
        fake.answer(id + 1_000, 5, b"other").await;
        fake.answer(id, 3, b"own").await;
        fake.receive().await;
    });
    assert_answered(&reply, "own");
}

#[test]
fn interleaved_answers_matched() {
    let fleet = fleet();
    let node = Arc::clone(&fleet.daemons[0].node);
    let (one, two) = thread::run(move || async move {
        let (listener, peer) = listen().await;
        let fake = actix_rt::spawn(async move {
            let mut fake = Fake::accept(&listener, 1).await;
            let mut calls = Vec::new();
            for _ in 0..2 {
                let Some((Frame::Call(call), body)) = fake.receive().await else {
                    panic!("expected a call");
                };
                calls.push((call.id, body));
            }
            // The later call is answered first. Both answers start with a chunk of
            // one byte before either is completed.
            calls.reverse();
            for (id, body) in &calls {
                fake.answer(*id, body.len() as u64, &body[..1]).await;
            }
            for (id, body) in &calls {
                fake.send(Frame::AnswerData { id: *id }, &body[1..]).await;
            }
            fake.receive().await;
        });
        let replies = tokio::join!(call(&node, &peer, "first"), call(&node, &peer, "second"));
        fake.await.expect("the script completes");
        replies
    });
    for (reply, body) in [(one, "first"), (two, "second")] {
        assert_answered(&reply, body);
    }
}

/// Makes the fake peer a member with a target of service `moved`.
fn join(node: &Node, incarnation: u64, address: std::net::SocketAddr) {
    let record = Record {
        name: NAME.into(),
        incarnation,
        state: State::Alive,
        profile: Profile {
            gossip: address,
            peer: address,
            service: Some("moved".into()),
            slots: 8,
            open: true,
            lender_slots: Vec::new(),
            departure: None,
            ..own_record(node).profile
        },
    };
    learn(node, vec![record]);
}

#[test]
fn moved_member_reached() {
    let fleet = fleet();
    let node = Arc::clone(&fleet.daemons[0].node);
    let links = node.links.len();
    thread::run({
        let node = Arc::clone(&node);
        move || async move {
            let (listener, peer) = listen().await;
            join(&node, 1, peer.address);
            let fake = actix_rt::spawn(async move {
                let mut fake = Fake::accept(&listener, 1).await;
                id_of(fake.receive().await);
            });
            // The peer stops after it received the call; the link dials again.
            call(&node, &peer, "body").await;
            fake.await.expect("the script completes");
        }
    });
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    join(&node, 2, listener.local_addr().expect("a bound port"));
    for _ in 0..70 {
        let now = node.clock.now();
        let query = Query {
            service: "moved",
            remote: true,
            ..Query::default()
        };
        let selected = node.routing.services.select(&query, now);
        assert!(selected.is_some(), "the link to the old address blocks it");
        std::thread::sleep(Duration::from_millis(10));
    }
    eventually("the link to the old address ends", || {
        node.links.len() <= links
    });
}

#[test]
fn round_trip_deducted() {
    // A response of the peer takes this long; a reply at the end of the call's
    // time would arrive too late by as much.
    const DELAY: Duration = Duration::from_millis(400);
    let reply = run_script(|listener| async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut fake = Fake::handshake(stream, 1, DELAY).await;
        let Some((Frame::Call(call), _)) = fake.receive().await else {
            panic!("expected a call");
        };
        // The link opens only after one such delay.
        let limit = Duration::from_secs(8).saturating_sub(2 * DELAY);
        assert!(
            u128::from(call.timeout_ms) <= limit.as_millis(),
            "{} ms left at the peer",
            call.timeout_ms
        );
        fake.answer(call.id, 5, b"whole").await;
        fake.receive().await;
    });
    assert!(matches!(reply, Reply::Answer(_)), "{reply:?}");
}
