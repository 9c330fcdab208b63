//! Which messages the soak takes for whole: each is sent on a connection that then ends.

use cardamomshed_standin::soak::http::Connection;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Messages and the body that is read from a sound one.
const TABLE: &[(&str, Option<&str>)] = &[
    (
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none",
        Some("one"),
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length:3 \r\n\r\none",
        Some("one"),
    ),
    ("HTTP/1.1 204 No Content\r\n\r\n", Some("")),
    ("HTTP/1.1 200 OK\r\n\r\none", Some("one")),
    ("GET / HTTP/1.1\r\nhost: h\r\n\r\n", Some("")),
    (
        "POST / HTTP/1.1\r\ncontent-length: 3\r\n\r\none",
        Some("one"),
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
        Some("one"),
    ),
    ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\none", None),
    ("HTTP/1.1 200 OK\r\ncontent-length: +3\r\n\r\none", None),
    ("HTTP/1.1 200 OK\r\ncontent-length: -3\r\n\r\none", None),
    ("HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\none", None),
    ("HTTP/1.1 200 OK\r\ncontent-length: 3, 4\r\n\r\none", None),
    (
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\none",
        None,
    ),
    (
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 2\r\n\r\none",
        None,
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\ncontent-length: 3\r\n\r\none",
        None,
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n3\r\none\r\n0\r\n\r\n",
        None,
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n",
        None,
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n\r\n\r\n",
        None,
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nones\n0\r\n\r\n",
        None,
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n0\r\nxx",
        None,
    ),
    ("HTTP/1.1 000 Fine\r\ncontent-length: 3\r\n\r\none", None),
    ("HTTP/1.1 600 Fine\r\ncontent-length: 3\r\n\r\none", None),
    (
        "HTTP/1.1 200 OK\r\nx y: 1\r\ncontent-length: 3\r\n\r\none",
        None,
    ),
];

#[actix_rt::test]
async fn framing_decided() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut wrong = Vec::new();
    for (text, expected) in TABLE {
        let mut sender = TcpStream::connect(address).await.expect("a connection");
        let (receiver, _) = listener.accept().await.expect("a connection");
        sender
            .write_all(text.as_bytes())
            .await
            .expect("a connection");
        drop(sender);
        let message = Connection::new(receiver).read().await;
        let body = message.as_ref().ok().map(|message| &*message.body);
        if body != expected.map(str::as_bytes) {
            wrong.push(format!("{} {message:?}", text.escape_debug()));
        }
    }
    assert!(wrong.is_empty(), "{}:\n{}", wrong.len(), wrong.join("\n"));
}
