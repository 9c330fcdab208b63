//! How the responses to requests are counted.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use cardamomshed_load::{Plan, Retry, Source, Stage, Tally, run};

/// A server that sends this response to every request, each on a connection that then
/// ends.
fn server(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4096];
            // The generator may have closed the connection.
            let _ = stream.read(&mut request);
            let _ = stream.write_all(response.as_bytes());
        }
    });
    address
}

async fn count(response: &'static str) -> Tally {
    count_with(response, Retry::NONE).await
}

async fn count_with(response: &'static str, retry: Retry) -> Tally {
    let plan = Plan {
        seed: 1,
        daemons: vec![server(response)],
        sources: vec![Source::get("all", "key", "/a", 50.0)],
        stages: vec![Stage {
            duration: Duration::from_millis(200),
            factor: 1.0,
        }],
        retry,
        timeout: Duration::from_secs(2),
        max_open: 100,
    };
    let report = run(plan, |_| {}).await;
    let tally = report.tallies["all"].clone();
    assert!(tally.offered > 0, "{tally:?}");
    tally
}

#[actix_rt::test]
async fn whole_responses_answered() {
    let tally = count("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none").await;
    assert_eq!(tally.answered, tally.offered, "{tally:?}");
}

/// Guards against a system that is credited with responses that broke off.
#[actix_rt::test]
async fn broken_responses_unknown() {
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\none",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n",
        "HTTP/1.1 200 OK\r\n\r\none",
        "HTTP/1.1 429 Busy\r\ncontent-length: 25\r\n\r\n{\"code\":1301,\"ran\":\"no\"}",
    ] {
        let tally = count(response).await;
        assert_eq!(tally.unknown, tally.offered, "{response}: {tally:?}");
    }
}

/// Guards against requests that end without an outcome.
#[actix_rt::test]
async fn malformed_delay_ignored() {
    let retry = Retry {
        max_retries: 1,
        backoff: Duration::from_millis(1),
        honour_retry_after: true,
    };
    for response in [
        "HTTP/1.1 429 Busy\r\nretry-after: -1\r\ncontent-length: 24\r\n\r\n{\"code\":1301,\"ran\":\"no\"}",
        "HTTP/1.1 429 Busy\r\nretry-after: NaN\r\ncontent-length: 24\r\n\r\n{\"code\":1301,\"ran\":\"no\"}",
        "HTTP/1.1 429 Busy\r\nretry-after: inf\r\ncontent-length: 24\r\n\r\n{\"code\":1301,\"ran\":\"no\"}",
    ] {
        let tally = count_with(response, retry).await;
        let refused = tally.refused.get(&1301).copied();
        let counted = (tally.retries, refused);
        assert_eq!(counted, (tally.offered, Some(tally.offered)), "{response}");
    }
}
