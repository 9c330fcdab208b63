//! Shapes of answers that a target may send, on sockets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_daemon::exchange::{Error, Pool, Request, Response};
use cardamomshed_standin::thread;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest body that is accepted here.
const LIMIT: usize = 1 << 20;

/// What a target does on a connection, step by step.
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

async fn play(mut stream: TcpStream, steps: &'static [Step]) {
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

/// Serves one script a connection, in order.
async fn target(scripts: &'static [&'static [Step]]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        for steps in scripts {
            let (stream, _) = listener.accept().await.expect("a connection");
            actix_rt::spawn(play(stream, steps));
        }
    });
    address
}

async fn ask(pool: &Pool, address: SocketAddr, id: &str) -> Result<Response, Error> {
    let head = format!("GET /a/b HTTP/1.1\r\nhost: h\r\nx-attempt-id: {id}\r\n\r\n");
    let body = Bytes::new();
    let request = Request {
        head: &head,
        body: &body,
        head_only: false,
        repeatable: true,
        correlation: Some(("x-attempt-id", id)),
    };
    let connect = Duration::from_secs(1);
    let asked = pool.exchange(address, connect, &request, LIMIT);
    let asked = tokio::time::timeout(Duration::from_secs(5), asked).await;
    asked.expect("the exchange ends")
}

/// Asks once a name in `ids`, over one pool.
fn asked(
    scripts: &'static [&'static [Step]],
    ids: &'static [&'static str],
) -> Vec<Result<String, Error>> {
    thread::run(move || async move {
        let address = target(scripts).await;
        let pool = Pool::default();
        let mut answers = Vec::new();
        for id in ids {
            let answer = ask(&pool, address, id).await;
            answers.push(answer.map(|found| String::from_utf8_lossy(&found.body).into_owned()));
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        answers
    })
}

const ONE: Step = Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 3\r\n\r\none");
const TWO: Step = Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\nContent-Length: 3\r\n\r\ntwo");

fn is_sent(answer: &Result<String, Error>) -> bool {
    matches!(answer, Err(Error::Sent(_)))
}

#[test]
fn connection_kept() {
    let answers = asked(&[&[Read, ONE, Read, TWO]], &["1", "2"]);
    assert_eq!(answers, [Ok("one".to_owned()), Ok("two".to_owned())]);
}

#[test]
fn late_answer_skipped() {
    // The second answer to the first request arrives where the answer to the
    // second is expected.
    let answers = asked(&[&[Read, ONE, Read, ONE, TWO]], &["1", "2"]);
    assert_eq!(answers, [Ok("one".to_owned()), Ok("two".to_owned())]);
}

#[test]
fn surplus_ends_connection() {
    let surplus: &[Step] = &[Read, ONE, Send("HTTP/1.1 200 OK\r\n"), Read, TWO];
    // Leaked for the test's life, so that both scripts are static.
    let scripts: &'static [&'static [Step]] = Box::leak(Box::new([surplus, &[Read, TWO]]));
    let answers = asked(scripts, &["1", "2"]);
    assert_eq!(answers, [Ok("one".to_owned()), Ok("two".to_owned())]);
}

#[test]
fn cut_answer_broken() {
    let answers = asked(
        &[&[
            Read,
            Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 30\r\n\r\none"),
        ]],
        &["1"],
    );
    assert!(is_sent(&answers[0]), "{answers:?}");
}

#[test]
fn unframed_answer_whole() {
    let answers = asked(
        &[&[
            Read,
            Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\r\nall "),
            Wait(20),
            Send("of it"),
        ]],
        &["1"],
    );
    assert_eq!(answers, [Ok("all of it".to_owned())]);
}

#[test]
fn unframed_reset_broken() {
    let answers = asked(
        &[&[
            Read,
            Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\r\nsome"),
            Wait(20),
            Reset,
        ]],
        &["1"],
    );
    assert!(is_sent(&answers[0]), "{answers:?}");
}

#[test]
fn chunked_answer_whole() {
    let answers = asked(
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
    assert_eq!(answers, [Ok("one two".to_owned()), Ok("two".to_owned())]);
}

#[test]
fn wrong_identity_broken() {
    let answers = asked(&[&[Read, TWO]], &["1"]);
    assert!(is_sent(&answers[0]), "{answers:?}");
    let answers = asked(&[&[Read, Send("what is this\r\n\r\n")]], &["1"]);
    assert!(is_sent(&answers[0]), "{answers:?}");
    let answers = asked(&[&[Read, Reset]], &["1"]);
    assert!(is_sent(&answers[0]), "{answers:?}");
}

#[test]
fn closed_connection_replaced() {
    let answers = asked(&[&[Read, ONE], &[Read, TWO]], &["1", "2"]);
    assert_eq!(answers, [Ok("one".to_owned()), Ok("two".to_owned())]);
    let close = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nConnection: close\r\n\
                 Content-Length: 3\r\n\r\none";
    let closing: &[Step] = Box::leak(Box::new([Read, Send(close), Wait(200)]));
    let scripts: &'static [&'static [Step]] = Box::leak(Box::new([closing, &[Read, TWO]]));
    let answers = asked(scripts, &["1", "2"]);
    assert_eq!(answers, [Ok("one".to_owned()), Ok("two".to_owned())]);
}

#[test]
fn refused_not_sent() {
    let answer = thread::run(|| async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        ask(&Pool::default(), address, "1").await
    });
    assert!(matches!(answer, Err(Error::NotSent(_))), "{answer:?}");
}

#[test]
fn early_answer_ends_connection() {
    // The first connection answers a long request before it has read it; what
    // it still reads must be the rest of that request and nothing else.
    let answers = thread::run(|| async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            let (mut first, _) = listener.accept().await.expect("a connection");
            let Send(early) = ONE else { return };
            first.write_all(early.as_bytes()).await.expect("written");
            let (second, _) = listener.accept().await.expect("a new connection");
            play(second, &[Read, TWO]).await;
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
            correlation: Some(("x-attempt-id", "1")),
        };
        let connect = Duration::from_secs(1);
        let early = pool.exchange(address, connect, &request, LIMIT).await;
        (early, ask(&pool, address, "2").await)
    });
    assert_eq!(answers.0.expect("answered").body, "one");
    assert_eq!(answers.1.expect("answered").body, "two");
}
