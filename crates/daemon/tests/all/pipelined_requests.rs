//! Requests that a client sends on one connection before earlier ones are answered.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::fleet::Fleet;
use cardamomshed_standin::target::Target;

use crate::platform_sidecar::{Deployment, eventually_status};
use crate::{chain, connect};

/// Time-out of a read. It is longer than any response takes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Opens a connection to the first daemon and sends requests with the given bodies.
fn send(fleet: &Fleet, bodies: &[&str]) -> TcpStream {
    let mut stream = connect(fleet.callers()[0], READ_TIMEOUT);
    write(fleet, &mut stream, bodies);
    stream
}

fn write(fleet: &Fleet, stream: &mut TcpStream, bodies: &[&str]) {
    let key = &fleet.keys[0];
    let requests = bodies.iter().map(|body| {
        let length = body.len();
        format!(
            "POST /hop-0 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             content-length: {length}\r\n\r\n{body}"
        )
    });
    let requests = requests.collect::<String>();
    let sent = stream.write_all(requests.as_bytes());
    sent.expect("the requests are sent");
}

/// Reads a response with a length. Returns its body.
fn receive(stream: &mut BufReader<TcpStream>) -> String {
    let (mut length, mut line) = (0, String::new());
    while line != "\r\n" {
        line.clear();
        stream.read_line(&mut line).expect("a response");
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("a body");
    String::from_utf8(body).expect("text")
}

fn running(fleet: &Fleet) -> u64 {
    fleet.targets.iter().map(Target::running).sum()
}

/// Guards against requests that wait for the response to an earlier one, and against
/// responses that overtake one another.
#[test]
fn hung_first_not_awaited() {
    const LATER: [&str; 4] = ["second", "third", "fourth", "fifth"];
    let fleet = chain(1);
    let set_hung = |hung| {
        fleet.change_targets(|behaviour| behaviour.hung = hung);
    };
    set_hung(true);
    let mut stream = send(&fleet, &["first"]);
    eventually("the first runs", || running(&fleet) == 1);
    set_hung(false);
    write(&fleet, &mut stream, &LATER);
    eventually("the later ones have run while the first runs", || {
        fleet.executions() == 5 && running(&fleet) == 1
    });
    let mut stream = BufReader::new(stream);
    let first = receive(&mut stream);
    assert!(first.contains("\"code\":1403"), "{first}");
    for body in LATER {
        let received = receive(&mut stream);
        assert!(received.starts_with(body), "{received} for {body}");
    }
}

/// Guards against calls that run on for a client that has closed its side, whether or
/// not it has read, and also while unread requests precede the end of its input.
#[test]
fn closed_client_cancels_all() {
    let fleet = chain(1);
    fleet.change_targets(|behaviour| behaviour.hung = true);
    for (count, halves) in [(4, false), (4, true), (40, false), (40, true)] {
        let stream = send(&fleet, &vec!["body"; count]);
        // At most 16 requests of a connection are open.
        let open = count.min(16) as u64;
        eventually("all run", || running(&fleet) == open);
        if halves {
            stream.shutdown(Shutdown::Write).expect("a connection");
        } else {
            drop(stream);
        }
        eventually("none runs", || running(&fleet) == 0);
    }
    assert_eq!(fleet.executions(), 40, "unread requests were started");
}

/// Guards against a leaving daemon that closes a connection before requests which run
/// are answered, or that does not close it.
#[test]
fn leaving_daemon_closes_last() {
    let fleet = Deployment::configured();
    let callers = fleet.second.node.settings.callers;
    let get = Request::get(callers, "/open/").header("host", "h.example");
    eventually_status(200, || get.clone().send());
    fleet.second.node.lifecycle.set_leaving();
    let mut stream = connect(callers, READ_TIMEOUT);
    let request = "GET /open/ HTTP/1.1\r\nhost: h.example\r\n\r\n";
    let sent = stream.write_all(request.repeat(3).as_bytes());
    sent.expect("the requests are sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an orderly end");
    let responses = text.split("HTTP/1.1 200 OK\r\n").skip(1);
    let closes = responses.map(|response| response.contains("connection: close\r\n"));
    assert_eq!(closes.collect::<Vec<_>>(), [false, false, true], "{text}");
}
