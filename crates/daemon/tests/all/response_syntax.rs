//! Which responses of a target are accepted by their syntax (RFC 9112, RFC 9110): each is
//! sent on a connection that then ends, and either its whole body is read or the outcome
//! of the request is unknown.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_daemon::exchange::{Correlation, Error, Pool, Request};
use cardamomshed_standin::thread;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Largest response body that the exchanges accept, in bytes.
const LIMIT: usize = 1 << 20;

/// Lines that are put between the first fields and the empty line of a head.
type Line = &'static [u8];

/// Framing of a body of three bytes. Other fields follow the one with the length.
const LENGTHS: &[(Line, bool)] = &[
    (b"Content-Length: 3", true),
    (b"content-length:3", true),
    (b"Content-Length: \t3 \t", true),
    (b"Content-Length: 003", true),
    (b"Content-Length: 3\r\nContent-Length: 3", true),
    (b"Content-Length: 3\r\nContent-Length: 4", false),
    (b"Content-Length: 3\r\nContent-Length:", false),
    (b"Content-Length:", false),
    (b"Content-Length:  ", false),
    (b"Content-Length: +3", false),
    (b"Content-Length: -3", false),
    (b"Content-Length: 3, 4", false),
    (b"Content-Length: 3 3", false),
    (b"Content-Length: 3;", false),
    (b"Content-Length: 3.0", false),
    (b"Content-Length: 0x3", false),
    (b"Content-Length: three", false),
    (b"Content-Length: \"3\"", false),
    (b"Content-Length: \xc2\xa03", false),
    (b"Content-Length: 3\xe2\x80\x83", false),
    (b"Content-Length: \xef\xbc\x93", false),
    (b"Content-Length: 18446744073709551619", false),
    (b"Content-Length: 36893488147419103235", false),
    (b"Content-Length: 3\r\nTransfer-Encoding: chunked", false),
    (b"Transfer-Encoding: identity\r\nContent-Length: 3", false),
    (b"Transfer-Encoding:\r\nContent-Length: 3", false),
];

/// Lines of a head that ends with a proper length.
const FIELDS: &[(Line, bool)] = &[
    (b"X-Empty:", true),
    (b"X-Text: caf\xc3\xa9", true),
    (b"!#$%&'*+-.^_`|~09azAZ: 1", true),
    (b"X-Text", false),
    (b"X Text: 1", false),
    (b"X-Text : 1", false),
    (b"X-Text\t: 1", false),
    (b" X-Text: 1", false),
    (b"X-Text: 1\r\n folded", false),
    (b"X-Text: 1\r\n\tfolded", false),
    (b"X-Text: 1\r\n ", false),
    (b": 1", false),
    (b"X-\x00Text: 1", false),
    (b"X-\x01Text: 1", false),
    (b"X-\x0bText: 1", false),
    (b"X-\x1fText: 1", false),
    (b"X-\x7fText: 1", false),
    (b"X-\xc3\xa9: 1", false),
    (b"X(Text): 1", false),
    (b"X\"Text: 1", false),
    (b"X/Text: 1", false),
    (b"X-\rText: 1", false),
    (b"X-Text: 1\x002", false),
    (b"X-Text: 1\r2", false),
    (b"X-Text: 1\x7f", false),
    (b"HTTP/1.1 200 OK", false),
    (b"\xff\xfe\x00\x01", false),
];

/// Status lines before a proper head.
const STATUS_LINES: &[(Line, bool)] = &[
    (b"HTTP/1.1 200 OK", true),
    (b"HTTP/1.1 200 ", true),
    (b"HTTP/1.1 200", true),
    (b"HTTP/1.1 200 Tr\xe8s bien", true),
    (b"HTTP/1.0 200 OK", true),
    (b"HTTP/1.1 599 OK", true),
    (b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", true),
    (b"HTTP/1.1 101 Switching Protocols", false),
    (
        b"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK",
        false,
    ),
    (b"HTTP/1.1 000 OK", false),
    (b"HTTP/1.1 099 OK", false),
    (b"HTTP/1.1 600 OK", false),
    (b"HTTP/1.1 20 OK", false),
    (b"HTTP/1.1 2000 OK", false),
    (b"HTTP/1.1 +20 OK", false),
    (b"HTTP/1.1  200 OK", false),
    (b"HTTP/1.1\t200 OK", false),
    (b"HTTP/1.1 200\tOK", false),
    (b"HTTP/1.1 200 O\x00K", false),
    (b"HTTP/1.10 200 OK", false),
    (b"HTTP/1.2 200 OK", false),
    (b"HTTP/2.0 200 OK", false),
    (b"http/1.1 200 OK", false),
    (b" HTTP/1.1 200 OK", false),
    (b"ICY 200 OK", false),
];

/// Codings of the body [`CHUNKS`].
const CODINGS: &[(Line, bool)] = &[
    (b"Transfer-Encoding: chunked", true),
    (b"transfer-encoding:Chunked ", true),
    (
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        false,
    ),
    (
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
        false,
    ),
    (
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        false,
    ),
    (b"Transfer-Encoding: chunked\r\nTransfer-Encoding:", false),
    (b"Transfer-Encoding: chunked, chunked", false),
    (b"Transfer-Encoding: gzip, chunked", false),
    (b"Transfer-Encoding: chunked, gzip", false),
    (b"Transfer-Encoding: chunked;x=y", false),
    (b"Transfer-Encoding: xchunked", false),
    (b"Transfer-Encoding: \"chunked\"", false),
    (b"Transfer-Encoding: chunked\xc2\xa0", false),
    (b"Transfer-Encoding:", false),
    (b"Transfer-Encoding: chunked\r\nContent-Length: 3", false),
    (b"Transfer-Encoding: chunked\r\nContent-Length: 18", false),
];

/// A chunked body of three bytes.
const CHUNKS: Line = b"3\r\none\r\n0\r\n\r\n";

/// Chunked bodies of three bytes.
const BODIES: &[(Line, bool)] = &[
    (CHUNKS, true),
    (b"1\r\no\r\n2\r\nne\r\n0\r\n\r\n", true),
    (b"003\r\none\r\n000\r\n\r\n", true),
    (b"3;x=y\r\none\r\n0;z=\"a b\"\r\n\r\n", true),
    (b"3 ;\tx\r\none\r\n0\r\n\r\n", true),
    (b"3\r\none\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n", true),
    (b"", false),
    (b"3\r\non", false),
    (b"3\r\none", false),
    (b"3\r\none\r\n", false),
    (b"3\r\none\r\n0", false),
    (b"3\r\none\r\n0\r\n", false),
    (b"3\r\none\r\n0\r\nX-Sum: 1\r\n", false),
    (b"3\r\none\r\n\r\n", false),
    (b"3\r\none\r\n\r\n\r\n", false),
    (b"3\r\none\r\n;x\r\n\r\n", false),
    (b"3\r\none\r\n \r\n\r\n", false),
    (b"3\r\none\r\n-0\r\n\r\n", false),
    (b"\r\none\r\n0\r\n\r\n", false),
    (b"+3\r\none\r\n0\r\n\r\n", false),
    (b"0x3\r\none\r\n0\r\n\r\n", false),
    (b" 3\r\none\r\n0\r\n\r\n", false),
    (b"3 3\r\none\r\n0\r\n\r\n", false),
    (b"3,3\r\none\r\n0\r\n\r\n", false),
    (b"three\r\none\r\n0\r\n\r\n", false),
    (b"10000000000000003\r\none\r\n0\r\n\r\n", false),
    (b"3\none\r\n0\r\n\r\n", false),
    (b"3\r\none\n0\r\n\r\n", false),
    (b"3;x\ny\r\none\r\n0\r\n\r\n", false),
    (b"3;x\x00y\r\none\r\n0\r\n\r\n", false),
    (b"3\r\nones\r\n0\r\n\r\n", false),
    (b"4\r\none\r\n0\r\n\r\n", false),
    (b"3\r\none\r\n0\r\n\n", false),
    (b"3\r\none\r\n0\r\nX-Sum: 1\n\n", false),
    (b"3\r\none\r\n0\r\nX-Sum 1\r\n\r\n", false),
    (b"3\r\none\r\n0\r\nX Sum: 1\r\n\r\n", false),
    (b"3\r\none\r\n0\r\n: 1\r\n\r\n", false),
    (b"3\r\none\r\n0\r\nX-\x00Sum: 1\r\n\r\n", false),
    (b"3\r\none\r\n0\r\nX-Sum: 1\r\n folded\r\n\r\n", false),
    (b"3\r\none\r\n0\r\nX-Sum: 1\r\n\n\r\n\r\n", false),
    (b"3\r\none\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n", false),
];

/// Line ends of a head with a proper length.
const LINE_ENDS: &[(Line, bool)] = &[
    (
        b"HTTP/1.1 200 OK\nX-Attempt-Id: 1\nContent-Length: 3\n\none",
        true,
    ),
    (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\nContent-Length: 3\r\n\r\none",
        true,
    ),
    (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\nContent-Length: 3\r\n\r\none",
        false,
    ),
    (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\n\nContent-Length: 3\r\n\r\none",
        false,
    ),
    (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\rContent-Length: 3\r\n\r\none",
        false,
    ),
    (
        b"HTTP/1.1 200 OK\rX-Attempt-Id: 1\r\nContent-Length: 3\r\n\r\none",
        false,
    ),
];

/// A target that sends each response to one connection and ends it in order.
async fn target(responses: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        for response in responses {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(stream.read_u8().await.expect("a request"));
            }
            // The exchange may have ended.
            let _ = stream.write_all(&response).await;
        }
    });
    address
}

async fn exchange(pool: &Pool, address: SocketAddr) -> Result<Bytes, Error> {
    let request = Request {
        head: "GET /a HTTP/1.1\r\nhost: h\r\nx-attempt-id: 1\r\n\r\n",
        body: &Bytes::new(),
        head_only: false,
        repeatable: true,
        correlation: Some(Correlation {
            name: "x-attempt-id",
            value: "1",
            required: true,
        }),
    };
    let pending = pool.exchange(address, Duration::from_secs(1), &request, LIMIT);
    let finished = tokio::time::timeout(Duration::from_secs(5), pending).await;
    finished.expect("the exchange ends").map(|found| found.body)
}

/// Responses made of each entry of a table.
fn responses(table: &[(Line, bool)], make: impl Fn(Line) -> Vec<Vec<u8>>) -> Vec<(Vec<u8>, bool)> {
    let made = table.iter().map(|(line, is_sound)| {
        let response = make(line).concat();
        (response, *is_sound)
    });
    made.collect()
}

fn decision_table() -> Vec<(Vec<u8>, bool)> {
    const START: &[u8] = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n";
    const END: &[u8] = b"\r\nX-Last: 1\r\n\r\n";
    const LENGTH: &[u8] = b"Content-Length: 3\r\n\r\none";
    let joined = |parts: &[&[u8]]| parts.iter().map(|part| part.to_vec()).collect();
    let mut table = responses(LENGTHS, |line| joined(&[START, line, END, b"one"]));
    table.extend(responses(FIELDS, |line| {
        joined(&[START, line, b"\r\n", LENGTH])
    }));
    table.extend(responses(STATUS_LINES, |line| {
        joined(&[line, b"\r\nX-Attempt-Id: 1\r\n", LENGTH])
    }));
    table.extend(responses(CODINGS, |line| {
        joined(&[START, line, END, CHUNKS])
    }));
    table.extend(responses(BODIES, |body| {
        joined(&[START, b"Transfer-Encoding: chunked\r\n\r\n", body])
    }));
    table.extend(responses(LINE_ENDS, |response| joined(&[response])));
    // An HTTP/1.0 message has no transfer coding.
    let old = b"HTTP/1.0 200 OK\r\nX-Attempt-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    table.push(([old, CHUNKS].concat(), false));
    table
}

#[test]
fn syntax_decided() {
    let table = decision_table();
    let sent = table.iter().map(|(response, _)| response.clone());
    let sent = sent.collect::<Vec<_>>();
    let results = thread::run(|| async {
        let count = sent.len();
        let address = target(sent).await;
        let mut results = Vec::new();
        for _ in 0..count {
            results.push(exchange(&Pool::default(), address).await);
        }
        results
    });
    let mut wrong = Vec::new();
    for ((response, is_sound), result) in table.iter().zip(results) {
        let holds = match &result {
            Ok(body) => *is_sound && body == "one",
            Err(Error::Sent(_)) => !is_sound,
            Err(_) => false,
        };
        if !holds {
            wrong.push(format!("{} {result:?}", response.escape_ascii()));
        }
    }
    assert!(wrong.is_empty(), "{}:\n{}", wrong.len(), wrong.join("\n"));
}
