//! Framing of HTTP responses over TCP: responses that are truncated, late,
//! surplus, malformed or sent before the request is read.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_daemon::exchange::{Correlation, Error, Pool, Request, Response};
use cardamomshed_standin::thread;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest response body that the exchanges accept, in bytes.
const LIMIT: usize = 1 << 20;

/// One step of the script that a target runs on a connection.
#[derive(Clone, Copy)]
enum Step {
    /// Reads one request without a body.
    Read,
    /// Sends these bytes.
    Send(&'static str),
    /// Waits this many milliseconds.
    Wait(u64),
    /// Resets the connection.
    Reset,
}

use Step::{Read, Reset, Send, Wait};

async fn run_script(mut stream: TcpStream, steps: &'static [Step]) {
    for step in steps {
        match step {
            Read => {
                let mut request = Vec::new();
                while !request.ends_with(b"\r\n\r\n") {
                    match stream.read_u8().await {
                        Ok(byte) => request.push(byte),
                        Err(_) => return,
                    }
                }
            }
            Send(text) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Wait(millis) => tokio::time::sleep(Duration::from_millis(*millis)).await,
            Reset => {
                stream.set_zero_linger().expect("a socket");
                return;
            }
        }
    }
}

/// Listens on a free port and runs one script per accepted connection, in order.
async fn target(scripts: &'static [&'static [Step]]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        for steps in scripts {
            let (stream, _) = listener.accept().await.expect("a connection");
            actix_rt::spawn(run_script(stream, steps));
        }
    });
    address
}

const fn correlation(id: &str, required: bool) -> Correlation<'_> {
    Correlation {
        name: "x-attempt-id",
        value: id,
        required,
    }
}

async fn exchange_one(pool: &Pool, address: SocketAddr, id: &str) -> Result<Response, Error> {
    exchange_with(pool, address, id, true).await
}

/// Sends one request. `required` is whether a response without its identifier is
/// skipped.
async fn exchange_with(
    pool: &Pool,
    address: SocketAddr,
    id: &str,
    required: bool,
) -> Result<Response, Error> {
    let head = format!("GET /a/b HTTP/1.1\r\nhost: h\r\nx-attempt-id: {id}\r\n\r\n");
    let body = Bytes::new();
    let request = Request {
        head: &head,
        body: &body,
        head_only: false,
        repeatable: true,
        correlation: Some(correlation(id, required)),
    };
    let connect = Duration::from_secs(1);
    let pending = pool.exchange(address, connect, &request, LIMIT);
    let finished = tokio::time::timeout(Duration::from_secs(5), pending).await;
    finished.expect("the exchange completes")
}

/// Sends one request per identifier, one after the other over one pool, and
/// returns the bodies of the responses.
fn exchange_all(
    scripts: &'static [&'static [Step]],
    ids: &'static [&'static str],
) -> Vec<Result<String, Error>> {
    thread::run(move || async move {
        let address = target(scripts).await;
        let pool = Pool::default();
        let mut responses = Vec::new();
        for id in ids {
            let response = exchange_one(&pool, address, id).await;
            responses.push(response.map(|found| String::from_utf8_lossy(&found.body).into_owned()));
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        responses
    })
}

const ONE: Step = Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 3\r\n\r\none");
const TWO: Step = Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\nContent-Length: 3\r\n\r\ntwo");

fn failed_after_send(response: &Result<String, Error>) -> bool {
    matches!(response, Err(Error::Sent(_)))
}

#[test]
fn connection_reused() {
    let responses = exchange_all(&[&[Read, ONE, Read, TWO]], &["1", "2"]);
    assert_eq!(responses, [Ok("one".to_owned()), Ok("two".to_owned())]);
}

#[test]
fn late_response_skipped() {
    // A duplicate of the first response arrives where the response to the second
    // request is expected.
    let responses = exchange_all(&[&[Read, ONE, Read, ONE, TWO]], &["1", "2"]);
    assert_eq!(responses, [Ok("one".to_owned()), Ok("two".to_owned())]);
}

#[test]
fn repeated_rejection_skipped() {
    // Guards against a request that runs twice: a late copy of its rejection is
    // taken for the response to its second sending, which is running.
    const REJECTED: Step =
        Send("HTTP/1.1 503 Busy\r\nX-Attempt-Id: 1\r\nContent-Length: 0\r\n\r\n");
    let rejecting: &[Step] = &[Read, REJECTED, Read, REJECTED, TWO, Read, REJECTED, ONE];
    for ids in [&["1", "1"][..], &["1", "2", "1"]] {
        let scripts: &'static [&'static [Step]] = Box::leak(Box::new([rejecting, &[Read, ONE]]));
        let responses = exchange_all(scripts, ids);
        let last = responses.last().expect("a response");
        assert_eq!(*last, Ok("one".to_owned()), "{ids:?}: {responses:?}");
    }
}

#[test]
fn optional_identifier_checked() {
    // A target may return the identifier: a late response with that of an earlier
    // request is skipped, and one without any is taken.
    const PLAIN: Step = Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nplain");
    let responses = thread::run(|| async {
        let address = target(&[&[Read, ONE, Read, ONE, TWO, Read, PLAIN]]).await;
        let pool = Pool::default();
        let mut bodies = Vec::new();
        for id in ["1", "2", "3"] {
            let response = exchange_with(&pool, address, id, false).await;
            bodies.push(response.map(|found| found.body));
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        bodies
    });
    let expected = ["one", "two", "plain"].map(|body| Ok(Bytes::from_static(body.as_bytes())));
    assert_eq!(responses, expected);
}

#[test]
fn surplus_closes_connection() {
    let surplus: &[Step] = &[Read, ONE, Send("HTTP/1.1 200 OK\r\n"), Read, TWO];
    // Leaked, because the target needs scripts with a static lifetime.
    let scripts: &'static [&'static [Step]] = Box::leak(Box::new([surplus, &[Read, TWO]]));
    let responses = exchange_all(scripts, &["1", "2"]);
    assert_eq!(responses, [Ok("one".to_owned()), Ok("two".to_owned())]);
}

#[test]
fn truncated_response_fails() {
    let responses = exchange_all(
        &[&[
            Read,
            Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 30\r\n\r\none"),
        ]],
        &["1"],
    );
    assert!(failed_after_send(&responses[0]), "{responses:?}");
}

#[test]
fn unframed_response_complete() {
    let responses = exchange_all(
        &[&[
            Read,
            Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\r\nall "),
            Wait(20),
            Send("of it"),
        ]],
        &["1"],
    );
    assert_eq!(responses, [Ok("all of it".to_owned())]);
}

#[test]
fn unframed_reset_fails() {
    let responses = exchange_all(
        &[&[
            Read,
            Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\r\nsome"),
            Wait(20),
            Reset,
        ]],
        &["1"],
    );
    assert!(failed_after_send(&responses[0]), "{responses:?}");
}

#[test]
fn chunked_response_complete() {
    let responses = exchange_all(
        &[&[
            Read,
            Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\non"),
            Wait(10),
            Send("e\r\n4;x=y\r\n two\r\n0\r\nT: 1\r\n\r\n"),
            Read,
            TWO,
        ]],
        &["1", "2"],
    );
    assert_eq!(responses, [Ok("one two".to_owned()), Ok("two".to_owned())]);
}

#[test]
fn unmatched_response_fails() {
    let responses = exchange_all(&[&[Read, TWO]], &["1"]);
    assert!(failed_after_send(&responses[0]), "{responses:?}");
    let responses = exchange_all(&[&[Read, Send("what is this\r\n\r\n")]], &["1"]);
    assert!(failed_after_send(&responses[0]), "{responses:?}");
    let responses = exchange_all(&[&[Read, Reset]], &["1"]);
    assert!(failed_after_send(&responses[0]), "{responses:?}");
}

#[test]
fn closed_connection_replaced() {
    let responses = exchange_all(&[&[Read, ONE], &[Read, TWO]], &["1", "2"]);
    assert_eq!(responses, [Ok("one".to_owned()), Ok("two".to_owned())]);
    let close = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nConnection: close\r\n\
                 Content-Length: 3\r\n\r\none";
    let closing: &[Step] = Box::leak(Box::new([Read, Send(close), Wait(200)]));
    let scripts: &'static [&'static [Step]] = Box::leak(Box::new([closing, &[Read, TWO]]));
    let responses = exchange_all(scripts, &["1", "2"]);
    assert_eq!(responses, [Ok("one".to_owned()), Ok("two".to_owned())]);
}

#[test]
fn refused_connection_unsent() {
    let response = thread::run(|| async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        exchange_one(&Pool::default(), address, "1").await
    });
    assert!(matches!(response, Err(Error::NotSent(_))), "{response:?}");
}

#[test]
fn early_response_closes() {
    // The target responds to a long request before it has read the body. The
    // connection still carries the rest of that body, so the next request must
    // use a new one.
    let responses = thread::run(|| async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            let (mut first, _) = listener.accept().await.expect("a connection");
            let Send(early) = ONE else { return };
            first
                .write_all(early.as_bytes())
                .await
                .expect("the response is written");
            let (second, _) = listener.accept().await.expect("a new connection");
            run_script(second, &[Read, TWO]).await;
            drop(first);
        });
        let pool = Pool::default();
        let body = Bytes::from(vec![b'x'; 8 << 20]);
        let head = format!(
            "POST /a HTTP/1.1\r\nhost: h\r\nx-attempt-id: 1\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let request = Request {
            head: &head,
            body: &body,
            head_only: false,
            repeatable: false,
            correlation: Some(correlation("1", true)),
        };
        let connect = Duration::from_secs(1);
        let early = pool.exchange(address, connect, &request, LIMIT).await;
        (early, exchange_one(&pool, address, "2").await)
    });
    assert_eq!(responses.0.expect("a complete response").body, "one");
    assert_eq!(responses.1.expect("a complete response").body, "two");
}
