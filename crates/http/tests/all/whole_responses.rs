//! Which responses count as whole: each is sent on a connection that then ends, in order
//! or with a reset.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use cardamomshed_http::{Client, Config, Error, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest body that is read, in bytes.
const LIMIT: usize = 16;

/// How a connection ends after the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Orderly,
    Reset,
}

use End::{Orderly, Reset};

/// Responses, how their connection ends, and the body that is read from a sound one.
const TABLE: &[(&str, End, Option<&str>)] = &[
    (
        "200 OK\r\ncontent-length: 3\r\n\r\none",
        Orderly,
        Some("one"),
    ),
    ("200 OK\r\ncontent-length: 0\r\n\r\n", Orderly, Some("")),
    ("204 No Content\r\n\r\n", Orderly, Some("")),
    (
        "304 Not Modified\r\ncontent-length: 3\r\n\r\n",
        Orderly,
        Some(""),
    ),
    (
        "503 Busy\r\ncontent-length: 3\r\n\r\none",
        Orderly,
        Some("one"),
    ),
    ("200 OK\r\ncontent-length: 4\r\n\r\none", Orderly, None),
    ("200 OK\r\ncontent-length: 4\r\n\r\none", Reset, None),
    ("200 OK\r\ncontent-length: 4\r\n\r\n", Orderly, None),
    ("200 OK\r\ncontent-length: +3\r\n\r\none", Orderly, None),
    ("200 OK\r\ncontent-length: -3\r\n\r\none", Orderly, None),
    ("200 OK\r\ncontent-length: 3, 3\r\n\r\none", Orderly, None),
    ("200 OK\r\ncontent-length: 3 3\r\n\r\none", Orderly, None),
    ("200 OK\r\ncontent-length:\r\n\r\none", Orderly, None),
    (
        "200 OK\r\ncontent-length: 18446744073709551619\r\n\r\none",
        Orderly,
        None,
    ),
    (
        "200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\none",
        Orderly,
        None,
    ),
    ("200 OK\r\n\r\none", Orderly, None),
    (
        "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
        Orderly,
        Some("one"),
    ),
    (
        "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n0\r\nx: 1\r\n\r\n",
        Orderly,
        Some("one"),
    ),
    (
        "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n",
        Orderly,
        None,
    ),
    (
        "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n",
        Reset,
        None,
    ),
    (
        "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none",
        Orderly,
        None,
    ),
    (
        "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n0\r\n",
        Orderly,
        None,
    ),
    (
        "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n\r\n\r\n",
        Orderly,
        None,
    ),
    (
        "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nones\r\n0\r\n\r\n",
        Orderly,
        None,
    ),
    (
        "200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n3\r\none\r\n0\r\n\r\n",
        Orderly,
        None,
    ),
    (
        "200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
        Orderly,
        None,
    ),
    (
        "200 OK\r\ntransfer-encoding: identity\r\ncontent-length: 3\r\n\r\none",
        Orderly,
        None,
    ),
    ("200 OK\r\ncontent-length 3\r\n\r\none", Orderly, None),
    (
        "200 OK\r\nx y: 1\r\ncontent-length: 3\r\n\r\none",
        Orderly,
        None,
    ),
    (
        "200 OK\r\nx\u{1}y: 1\r\ncontent-length: 3\r\n\r\none",
        Orderly,
        None,
    ),
    (
        "200 OK\r\nx: 1\r\n folded\r\ncontent-length: 3\r\n\r\none",
        Orderly,
        None,
    ),
    (
        "200 OK\r\nupgrade: websocket\r\ncontent-length: 3\r\n\r\none",
        Orderly,
        None,
    ),
    ("000 Fine\r\ncontent-length: 3\r\n\r\none", Orderly, None),
    ("099 Fine\r\ncontent-length: 3\r\n\r\none", Orderly, None),
    ("600 Fine\r\ncontent-length: 3\r\n\r\none", Orderly, None),
    ("100 Continue\r\n\r\n", Orderly, None),
    (
        "101 Switching Protocols\r\nupgrade: x\r\n\r\none",
        Orderly,
        None,
    ),
    (
        "200 OK\r\ncontent-length: 17\r\n\r\n0123456789abcdefg",
        Orderly,
        None,
    ),
    (
        "200 OK\r\ncontent-length: 16\r\n\r\n0123456789abcdef",
        Orderly,
        Some("0123456789abcdef"),
    ),
];

/// Responses with the version HTTP/1.0, whose bodies may end with the connection.
const OLD_TABLE: &[(&str, End, Option<&str>)] = &[
    ("200 OK\r\n\r\none", Orderly, Some("one")),
    ("200 OK\r\n\r\n", Orderly, Some("")),
    ("200 OK\r\ncontent-length: 0\r\n\r\n", Orderly, Some("")),
    (
        "200 OK\r\ncontent-length: 3\r\n\r\none",
        Orderly,
        Some("one"),
    ),
    ("200 OK\r\ncontent-length: 4\r\n\r\none", Orderly, None),
    ("200 OK\r\n\r\none", Reset, None),
    (
        "200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
        Orderly,
        None,
    ),
];

/// Reads one request without a body.
async fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        request.push(stream.read_u8().await.expect("a request"));
    }
}

/// Sends each response on a connection of its own.
async fn server(responses: Vec<(String, End)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        for (response, end) in responses {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_request(&mut stream).await;
            stream
                .write_all(response.as_bytes())
                .await
                .expect("a connection");
            if end == Reset {
                // The client has read what was sent before.
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().expect("a socket");
            }
        }
    });
    address
}

async fn get(client: &Client, address: SocketAddr) -> Result<Response, Error> {
    let request = client.request(Method::GET, format!("http://{address}/"));
    let sent = client.send(request, Bytes::new(), LIMIT);
    let response = tokio::time::timeout(Duration::from_secs(5), sent).await;
    response.expect("the request ends")
}

#[actix_rt::test]
async fn broken_response_closes() {
    // The library does not read the body of such a response, and keeps the connection.
    const UNFRAMED: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
    const LATE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
    const OWN: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut first, _) = listener.accept().await.expect("a connection");
        actix_rt::spawn(async move {
            for response in [UNFRAMED, LATE] {
                read_request(&mut first).await;
                first.write_all(response).await.expect("a connection");
            }
        });
        let (mut second, _) = listener.accept().await.expect("a connection");
        read_request(&mut second).await;
        second.write_all(OWN).await.expect("a connection");
    });
    let client = Client::new(Config::default());
    let broken = get(&client, address).await;
    assert!(matches!(broken, Err(Error::Broken(_))), "{broken:?}");
    let own = get(&client, address).await.expect("a response");
    assert_eq!(own.body, "own");
}

#[actix_rt::test]
async fn stalled_body_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = Client::new(Config {
        timeout: Some(Duration::from_millis(100)),
        ..Config::default()
    });
    let stalled = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        let part = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\none";
        stream.write_all(part).await.expect("a connection");
        stream
    };
    let (response, _stream) = tokio::join!(get(&client, address), stalled);
    assert!(matches!(response, Err(Error::Failed(_))), "{response:?}");
}

#[actix_rt::test]
async fn framing_decided() {
    let versions = [("HTTP/1.1", TABLE), ("HTTP/1.0", OLD_TABLE)];
    let cases = versions.into_iter().flat_map(|(version, table)| {
        let with_version = |(text, end, body): &(&str, End, Option<&'static str>)| {
            (format!("{version} {text}"), *end, *body)
        };
        table.iter().map(with_version).collect::<Vec<_>>()
    });
    let cases = cases.collect::<Vec<_>>();
    let responses = cases.iter().map(|(text, end, _)| (text.clone(), *end));
    let address = server(responses.collect()).await;
    let mut wrong = Vec::new();
    for (text, end, expected) in &cases {
        let found = get(&Client::new(Config::default()), address).await;
        let body = found.as_ref().ok().map(|response| &*response.body);
        if body != expected.map(str::as_bytes) {
            wrong.push(format!("{} {end:?} {found:?}", text.escape_debug()));
        }
    }
    assert!(wrong.is_empty(), "{}:\n{}", wrong.len(), wrong.join("\n"));
}
