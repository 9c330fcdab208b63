//! Framing, closing and limits of one connection, with handlers of the test's own.

mod head_memory;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use actix_http::body::{BoxBody, SizedStream};
use actix_http::{ConnectionType, Request, Response};
use actix_web::http::StatusCode;
use bytes::Bytes;
use cardamomshed_daemon::clock::Clock;
use cardamomshed_daemon::http::connection::{self, Host, Monitor, Tcp, Timeouts};
use cardamomshed_daemon::memory::Memory;
use futures_util::{StreamExt as _, stream};
use prometheus::IntGauge;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Time within which a connection does what it is expected to.
const LIMIT: Duration = Duration::from_secs(10);
/// Length of a response that exceeds what the kernel buffers.
const LARGE: usize = 16 << 20;
/// Length of a part of a response after which no further one is encoded at once.
const FULL: usize = 32 << 10;
/// Largest request head, in bytes.
const HEAD_LIMIT: usize = 16 * 1024;
/// Time limits that no test reaches.
const LONG: Timeouts = Timeouts {
    head: LIMIT,
    idle: LIMIT,
};

/// What the handlers of a connection share.
#[derive(Default)]
struct State {
    /// Paths of the requests that were started, in order.
    started: RefCell<Vec<String>>,
    /// Handlers that completed or were dropped.
    ended: Cell<usize>,
    released: Notify,
}

/// Counts the end of a handler.
struct Running(Rc<State>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.ended.set(self.0.ended.get() + 1);
    }
}

async fn handle(state: Rc<State>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    state.started.borrow_mut().push(path.clone());
    let running = Running(state);
    let mut status = StatusCode::OK;
    let mut body = BoxBody::new(path.clone());
    match &*path {
        "/hang" => std::future::pending().await,
        "/wait" => running.0.released.notified().await,
        "/release" => running.0.released.notify_one(),
        "/large" => body = BoxBody::new(vec![b'.'; LARGE]),
        "/full" => {
            let part = async { Ok::<_, std::io::Error>(Bytes::from(vec![b'.'; FULL])) };
            let end = stream::poll_fn(move |_| {
                let _running = &running;
                Poll::Ready(None)
            });
            let parts = stream::once(part).chain(end);
            body = BoxBody::new(SizedStream::new(FULL as u64, Box::pin(parts)));
        }
        "/empty" => status = StatusCode::NO_CONTENT,
        "/short" => {
            let part = async { Ok::<_, std::io::Error>(Bytes::from("part")) };
            body = BoxBody::new(SizedStream::new(100, Box::pin(stream::once(part))));
        }
        "/body" => {
            let mut payload = request.take_payload();
            let mut read = Vec::new();
            while let Some(part) = payload.next().await {
                read.extend_from_slice(&part.unwrap_or_else(|_| "malformed".into()));
            }
            body = BoxBody::new(read);
        }
        _ => {}
    }
    let mut response = Response::with_body(status, body);
    if path == "/close" {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

/// A served connection.
struct Session {
    client: TcpStream,
    state: Rc<State>,
    monitor: Arc<Monitor>,
    open: IntGauge,
    server: JoinHandle<()>,
}

/// Status of a response, whether it closes the connection, and its body.
type Received = (u16, bool, String);

impl Session {
    async fn start(timeouts: Timeouts) -> Self {
        Self::within(&Memory::default(), timeouts).await
    }

    /// Serves a connection whose input is reserved in this account.
    async fn within(memory: &Memory, timeouts: Timeouts) -> Self {
        let (clock, state) = (Clock::start(), Rc::new(State::default()));
        let open = IntGauge::new("open", "open connections").expect("a gauge");
        let shared = Rc::clone(&state);
        let application = Box::new(move |request| -> futures_util::future::LocalBoxFuture<_> {
            Box::pin(handle(Rc::clone(&shared), request))
        });
        let (memory, limit) = (memory.clone(), Box::new(|| HEAD_LIMIT));
        let host = Host::new(application, timeouts, clock, &open, memory, limit);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("a connection");
        client.set_nodelay(true).expect("a socket");
        let (stream, peer) = listener.accept().await.expect("a connection");
        let monitor = Monitor::new(clock.now(), None);
        let served = connection::serve(host, Tcp::new(stream), peer, Arc::clone(&monitor));
        Self {
            client,
            state,
            monitor,
            open,
            server: actix_web::rt::spawn(served),
        }
    }

    async fn send(&mut self, text: &str) {
        let sent = self.client.write_all(text.as_bytes()).await;
        sent.expect("the request is sent");
    }

    /// Starts a connection without time limits, sends text and reads all responses.
    async fn exchange(text: &str) -> (Self, Vec<Received>) {
        let mut session = Self::start(LONG).await;
        session.send(text).await;
        let received = session.read_all().await;
        (session, received)
    }

    /// Reads to the end of the connection.
    async fn read_text(&mut self) -> String {
        let mut text = String::new();
        let read = timeout(LIMIT, self.client.read_to_string(&mut text)).await;
        read.expect("the connection ends").expect("no reset");
        text
    }

    /// Reads the responses up to the end of the connection.
    async fn read_all(&mut self) -> Vec<Received> {
        let mut rest = &*self.read_text().await;
        let mut responses = Vec::new();
        while let Some((head, behind)) = rest.split_once("\r\n\r\n") {
            let length = head
                .split_once("content-length: ")
                .map_or(0, |(_, length)| {
                    let length = length.lines().next().unwrap_or_default();
                    length.parse().expect("a length")
                });
            let status = head[9..12].parse().expect("a status");
            let closes = head.contains("\r\nconnection: close");
            let (body, behind) = behind.split_at(length);
            responses.push((status, closes, body.to_owned()));
            rest = behind;
        }
        assert_eq!(rest, "");
        responses
    }

    /// Waits until the connection has ended and all its handlers have.
    async fn ended(self) -> Rc<State> {
        timeout(LIMIT, self.server)
            .await
            .expect("an end")
            .expect("no panic");
        assert_eq!(self.open.get(), 0);
        assert_eq!(self.state.ended.get(), self.state.started.borrow().len());
        self.state
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n")
}

fn last(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
}

fn ok(path: &str, closes: bool) -> Received {
    (200, closes, path.to_owned())
}

/// Guards against a request that starts only once the one before it is answered, and
/// against a closing response that leaves a started request unanswered.
#[actix_web::test]
async fn closes_after_started() {
    let input = [get("/wait"), get("/close"), get("/release")].concat();
    let (mut session, received) = Session::exchange(&input).await;
    let expected = [
        ok("/wait", false),
        ok("/close", false),
        ok("/release", true),
    ];
    assert_eq!(received, expected);
    // The connection may have been closed already.
    let _ = session.client.write_all(get("/late").as_bytes()).await;
    drop(session.client.shutdown().await);
    assert_eq!(session.ended().await.started.borrow().len(), 3);
}

/// Guards against bytes of one message that are read as a part of another, however the
/// input is divided.
#[actix_web::test]
async fn divided_input_framed() {
    let mut session = Session::start(LONG).await;
    let chunked = "POST /body HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n\
                   4\r\nGET \r\n6;x=y\r\n/a HTT\r\n0\r\n\r\n";
    let sized = "POST /body HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nGET /b\r\n\r";
    let input = [
        chunked,
        sized,
        &get("/a"),
        "\r\n",
        sized,
        chunked,
        &last("/b"),
    ]
    .concat();
    for byte in input.bytes() {
        session
            .client
            .write_all(&[byte])
            .await
            .expect("a connection");
        tokio::task::yield_now().await;
    }
    let (chunked, sized) = (ok("GET /a HTT", false), ok("GET /b\r\n\r", false));
    let expected = [
        chunked.clone(),
        sized.clone(),
        ok("/a", false),
        sized,
        chunked,
        ok("/b", true),
    ];
    assert_eq!(session.read_all().await, expected);
}

/// Guards against a client that is asked for a body before the responses that precede
/// it, or never.
#[actix_web::test]
async fn continue_in_order() {
    let mut session = Session::start(LONG).await;
    let post = "POST /body HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n\
                connection: close\r\ncontent-length: 4\r\n\r\n";
    session.send(&[&get("/a"), post].concat()).await;
    let mut head = Vec::new();
    while !head.ends_with(b"100 Continue\r\n\r\n") {
        head.push(
            timeout(LIMIT, session.client.read_u8())
                .await
                .expect("a response")
                .expect("a byte"),
        );
    }
    assert!(head.starts_with(b"HTTP/1.1 200 OK\r\n"));
    session.send("text").await;
    assert_eq!(session.read_all().await, [ok("text", true)]);
}

/// Guards against a response that is lost because the client still sends the body, and
/// against a body that is read as requests.
#[actix_web::test]
async fn early_response_delivered() {
    let head = "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 9000000\r\n\r\n";
    let input = head.to_owned() + &get("/b").repeat(20_000);
    let (mut session, received) = Session::exchange(&input).await;
    assert_eq!(received, [ok("/a", true)]);
    drop(session.client.shutdown().await);
    assert_eq!(*session.ended().await.started.borrow(), ["/a"]);
}

/// Guards against a closing response whose end is lost because the client has sent
/// further requests, which are not read.
#[actix_web::test]
async fn closing_response_delivered() {
    let input = last("/large") + &get("/b").repeat(5_000);
    let (session, received) = Session::exchange(&input).await;
    assert_eq!(received.len(), 1);
    assert_eq!((received[0].1, received[0].2.len()), (true, LARGE));
    assert_eq!(*session.state.started.borrow(), ["/large"]);
}

/// Guards against ambiguous heads that are started, or that are refused before the
/// requests ahead of them are answered.
#[actix_web::test]
async fn malformed_head_refused() {
    let post = |fields: &str| format!("POST /x HTTP/1.1\r\nhost: x\r\n{fields}\r\n");
    for head in [
        post("content-length: 4\r\ntransfer-encoding: chunked\r\n"),
        post("content-length: 4\r\ncontent-length: 5\r\n"),
        post("content-length: +4\r\n"),
        post("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n"),
        post("transfer-encoding: gzip, chunked\r\n"),
        post("x-folded: a\r\n b\r\n"),
        post("x-bare: a\rb\r\n"),
        post("transfer-encoding : chunked\r\n"),
        "POST /x HTTP/1.1\r\n\r\n".to_owned(),
        "no request\r\n\r\n".to_owned(),
    ] {
        let input = [&get("/wait"), &get("/release"), &*head, &get("/late")].concat();
        let (session, received) = Session::exchange(&input).await;
        let refusal = (400, true, String::new());
        let expected = [ok("/wait", false), ok("/release", false), refusal];
        assert_eq!(received, expected, "{head}");
        assert_eq!(session.state.started.borrow().len(), 2, "{head}");
    }
}

/// Guards against a chunked body whose malformed part is read as a request.
#[actix_web::test]
async fn malformed_body_closes() {
    for chunk in ["4\nabcd\r\n", "x\r\n", "4\r\nabcdGET ", "-1\r\n\r\n"] {
        let head = "POST /body HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
        let input = [head, chunk, &get("/late")].concat();
        let (session, received) = Session::exchange(&input).await;
        assert_eq!(received.len(), 1, "{chunk}");
        assert!(
            received[0].1 && received[0].2.ends_with("malformed"),
            "{received:?}"
        );
        assert_eq!(*session.state.started.borrow(), ["/body"], "{chunk}");
    }
}

/// Guards against a response that ends early and is completed by the bytes of the next.
#[actix_web::test]
async fn short_response_closes() {
    let mut session = Session::start(LONG).await;
    session.send(&[get("/short"), get("/a")].concat()).await;
    assert!(session.read_text().await.ends_with("\r\n\r\npart"));
}

/// Guards against bodies in responses that have none by definition.
#[actix_web::test]
async fn bodiless_responses_framed() {
    let mut session = Session::start(LONG).await;
    session.send("HEAD /a HTTP/1.1\r\nhost: x\r\n\r\n").await;
    session.send(&get("/empty")).await;
    session.send("GET /b HTTP/1.0\r\n\r\n").await;
    let text = session.read_text().await;
    let heads = text.split("\r\n\r\n").collect::<Vec<_>>();
    assert!(
        heads[0].starts_with("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"),
        "{text}"
    );
    assert!(
        heads[1].starts_with("HTTP/1.1 204 No Content\r\n"),
        "{text}"
    );
    assert!(heads[2].starts_with("HTTP/1.0 200 OK\r\n"), "{text}");
    assert_eq!(heads[3..], ["/b"]);
}

/// Guards against connections that are held by clients that send nothing.
#[actix_web::test]
async fn silent_client_closed() {
    let short = Duration::from_millis(50);
    let timed_out = (408, true, String::new());
    for (sent, expected) in [
        (String::new(), vec![timed_out.clone()]),
        ("GET /a".to_owned(), vec![timed_out.clone()]),
        (get("/a") + "GET", vec![ok("/a", false), timed_out]),
    ] {
        let mut session = Session::start(Timeouts {
            head: short,
            ..LONG
        })
        .await;
        session.send(&sent).await;
        assert_eq!(session.read_all().await, expected, "{sent}");
    }
    let mut session = Session::start(Timeouts {
        idle: short,
        ..LONG
    })
    .await;
    session.send(&get("/a")).await;
    assert_eq!(session.read_all().await, [ok("/a", false)]);
}

/// Guards against a request that stays open, and delays a stop, after all of its response
/// has been written: the end of the body was known only after the last write.
#[actix_web::test]
async fn written_request_ended() {
    let mut session = Session::start(LONG).await;
    session.send(&get("/full")).await;
    let mut body = vec![0; FULL];
    let read = session.client.read_exact(&mut body).await;
    read.expect("a response");
    let ended = async {
        while session.state.ended.get() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(LIMIT / 2, ended).await.expect("the request ends");
}

/// Guards against work for a client that does not read, and against responses that are
/// lost once it does.
#[actix_web::test]
async fn unread_response_stops_starts() {
    let mut session = Session::start(LONG).await;
    session.send(&get("/large")).await;
    session.client.read_u8().await.expect("a response");
    session
        .send(&[get("/a").repeat(40), last("/b")].concat())
        .await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(*session.state.started.borrow(), ["/large"]);
    assert!(session.monitor.waiting_bytes() > 256 << 10);
    let text = session.read_text().await;
    assert_eq!(text.matches("\r\n\r\n/a").count(), 40);
    assert!(text.ends_with("\r\n\r\n/b"));
    assert_eq!(session.monitor.waiting_bytes(), 0);
}

/// Guards against handlers that run on after the connection was closed from outside.
#[actix_web::test]
async fn closed_from_outside() {
    let mut session = Session::start(LONG).await;
    session.send(&get("/hang").repeat(4)).await;
    while session.state.started.borrow().len() < 4 {
        sleep(Duration::from_millis(1)).await;
    }
    session.monitor.close();
    assert_eq!(session.ended().await.ended.get(), 4);
}
