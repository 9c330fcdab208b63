//! Responses of the target that are broken in their framing: the caller gets 502 and
//! nothing of the response, beside the target and through a peer link.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use cardamomshed_code::Event;
use cardamomshed_wire::Request;
use socket2::SockRef;

use crate::platform_sidecar::ATTEMPT;
use crate::raw_target::{Deployment, MAX_BODY_BYTES, SECRET, assert_withheld, head, send};

/// Size of an upload, in bytes; more than the socket buffers hold.
const UPLOAD_BYTES: usize = MAX_BODY_BYTES / 2;
/// Uploads of each kind, since the order of events in the kernel varies.
const RUNS: usize = 12;
/// Times before the response, and between the response and the reset. When the response
/// comes, the daemon is still filling the socket buffers, or waits for room in them.
const PAUSES: [[Duration; 2]; 4] = [
    [Duration::ZERO, Duration::ZERO],
    [Duration::from_micros(500), Duration::ZERO],
    [Duration::from_millis(60), Duration::ZERO],
    [Duration::from_millis(60), Duration::from_millis(5)],
];

/// Sends a response, then closes the connection with a reset.
fn send_and_reset(mut stream: TcpStream, response: &str, pauses: [Duration; 2]) {
    std::thread::sleep(pauses[0]);
    let _ = stream.write_all(response.as_bytes());
    std::thread::sleep(pauses[1]);
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Responds to an upload at once, and resets the connection while it is being written.
/// The segment of the path has the kind of response and the index of a pause.
fn respond_early(segment: &str, stream: TcpStream) {
    let (kind, run) = segment.split_once('-').expect("a kind and a number");
    let pauses = PAUSES[run.parse::<usize>().expect("a number") % PAUSES.len()];
    let framing = match kind {
        "sized" => format!("content-length: {}\r\n", SECRET.len()),
        "chunked" => "transfer-encoding: chunked\r\n".to_owned(),
        _ => String::new(),
    };
    let body = match kind {
        "chunked" => format!("{:x}\r\n{SECRET}\r\n0\r\n\r\n", SECRET.len()),
        _ => SECRET.to_owned(),
    };
    let response = format!("{}{framing}\r\n{body}", head("HTTP/1.1 200 OK"));
    send_and_reset(stream, &response, pauses);
}

/// Guards against a part of a body that is passed on as the whole, because the failed
/// write of the upload has consumed the error that the reader of the body waits for.
#[test]
fn reset_during_upload() {
    let deployment = Deployment::start(respond_early);
    let upload = vec![b'u'; UPLOAD_BYTES];
    for daemon in deployment.daemons() {
        for run in 0..RUNS {
            let segment = format!("unframed-{run}");
            let reply = send(daemon, &segment, &upload);
            assert_withheld(&reply, &segment);
            assert_eq!(deployment.take_runs(), 1, "{segment}");
        }
    }
}

#[test]
fn whole_response_delivered() {
    // A body whose end is known by its length or last chunk is whole, although the upload
    // has failed.
    let deployment = Deployment::start(respond_early);
    let upload = vec![b'u'; UPLOAD_BYTES];
    for daemon in deployment.daemons() {
        for run in 0..RUNS {
            let kind = ["sized", "chunked"][run % 2];
            let segment = format!("{kind}-{}", run / 2);
            let reply = send(daemon, &segment, &upload);
            let body = String::from_utf8_lossy(&reply.body);
            assert_eq!((reply.status, &*body), (200, SECRET), "{segment}");
            assert_eq!(deployment.take_runs(), 1, "{segment}");
        }
    }
}

/// Status line of a response and the last line of its head. Other lines are proper.
type Damage = (&'static str, &'static str);

const OK: &str = "HTTP/1.1 200 OK";
const LENGTH: &str = "content-length: 23";
/// Body that is whole by [`LENGTH`] as well as by its last chunk.
const BODY: &str = "d\r\nof-the-target\r\n0\r\n\r\n";

/// Lines that spoil the length of the body.
const DAMAGED_LENGTHS: [Damage; 12] = [
    (OK, "content-length: +13"),
    (OK, "content-length: \u{a0}13"),
    (OK, "content-length: 13, 23"),
    (OK, "content-length: 13\r\ncontent-length: 23"),
    (OK, "content-length: 1 3"),
    (OK, "content-length:"),
    (OK, "content-length: 18446744073709551629"),
    (OK, "transfer-encoding: chunked\r\ntransfer-encoding: gzip"),
    (
        OK,
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
    ),
    (OK, "transfer-encoding: chunked\r\ncontent-length: 13"),
    (OK, "transfer-encoding: gzip"),
    ("HTTP/1.0 200 OK", "transfer-encoding: chunked"),
];

/// Lines that are no fields.
const DAMAGED_LINES: [Damage; 8] = [
    (OK, "\ncontent-length: 13"),
    (OK, "content-length 13"),
    (OK, "content-length"),
    (OK, ": 13"),
    (OK, "x-text: folded\r\n content-length: 13"),
    (OK, "HTTP/1.1 200 OK\r\ncontent-length: 13"),
    (OK, "\u{0}\u{1}\u{2}\r\ncontent-length: 13"),
    (OK, "content-length: 13\r"),
];

/// Names of fields that hold a blank or a control byte.
const DAMAGED_NAMES: [Damage; 10] = [
    (OK, "content length: 13"),
    (OK, "content-length : 13"),
    (OK, "content-length\t: 13"),
    (OK, " content-length: 13"),
    (OK, "x-te xt: 1\r\ncontent-length: 23"),
    (OK, "x-te\u{0}xt: 1\r\ncontent-length: 23"),
    (OK, "x-te\u{1}xt: 1\r\ncontent-length: 23"),
    (OK, "x-te\u{b}xt: 1\r\ncontent-length: 23"),
    (OK, "x-te\u{1b}xt: 1\r\ncontent-length: 23"),
    (OK, "x-te\u{7f}xt: 1\r\ncontent-length: 23"),
];

/// Responses with the status 000.
const ZERO_STATUSES: [Damage; 6] = [
    ("HTTP/1.1 000 Fine", LENGTH),
    ("HTTP/1.1 000 ", LENGTH),
    ("HTTP/1.1 000", LENGTH),
    ("HTTP/1.0 000 Fine", "x-length: none"),
    ("HTTP/1.1 000 Fine", "transfer-encoding: chunked"),
    ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Fine", LENGTH),
];

/// Chunked bodies. What follows them is not read.
const DAMAGED_CHUNKS: [Damage; 4] = [
    (OK, "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n"),
    (OK, "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n;x"),
    (OK, "transfer-encoding: chunked\r\n\r\n4;x\ny\r\npart\r\n0"),
    (
        OK,
        "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nHTTP/1.1 200 OK",
    ),
];

/// Starts a target that sends the response whose index is the last segment of the path.
fn serve(responses: &'static [Damage]) -> Deployment {
    Deployment::start(move |segment, mut stream| {
        let index = segment.parse::<usize>().expect("an index");
        let (status_line, line) = responses[index];
        let response = format!("{}{line}\r\n\r\n{BODY}", head(status_line));
        // The daemon may close the connection.
        let _ = stream.write_all(response.as_bytes());
    })
}

/// Has the target send each response through each daemon, and asserts that the caller
/// gets none of it and that the request was sent once.
fn assert_all_withheld(responses: &'static [Damage]) {
    let deployment = serve(responses);
    for daemon in deployment.daemons() {
        for (index, (status_line, line)) in responses.iter().enumerate() {
            let reply = send(daemon, &index.to_string(), b"");
            let case = format!("{} {}", status_line.escape_debug(), line.escape_debug());
            assert_withheld(&reply, &case);
            assert_eq!(deployment.take_runs(), 1, "{case}");
        }
    }
}

/// Guards against a body whose end is guessed from a field that no sound target sends.
#[test]
fn damaged_length_withheld() {
    assert_all_withheld(&DAMAGED_LENGTHS);
}

/// Guards against a head that ends before its last field.
#[test]
fn damaged_line_withheld() {
    assert_all_withheld(&DAMAGED_LINES);
}

/// Guards against a body that ends where the size of a chunk is missing.
#[test]
fn damaged_chunk_withheld() {
    assert_all_withheld(&DAMAGED_CHUNKS);
}

#[test]
fn damaged_name_withheld() {
    assert_all_withheld(&DAMAGED_NAMES);
}

#[test]
fn zero_status_withheld() {
    assert_all_withheld(&ZERO_STATUSES);
}

/// One response of each kind of defect, with the name of the defect.
const DEFECTS: [(&str, Damage); 4] = [
    ("head", DAMAGED_LINES[1]),
    ("length", DAMAGED_LENGTHS[0]),
    ("chunk", DAMAGED_CHUNKS[0]),
    ("truncated", (OK, "content-length: 24")),
];

#[test]
fn defects_reported() {
    const RESPONSES: &[Damage] = &[DEFECTS[0].1, DEFECTS[1].1, DEFECTS[2].1, DEFECTS[3].1];
    let deployment = serve(RESPONSES);
    let node = &deployment.local.node;
    for (index, (defect, _)) in DEFECTS.iter().enumerate() {
        send(&deployment.remote, &index.to_string(), b"");
        let metric = format!(
            "cardamomshed_broken_responses_total{{defect=\"{defect}\",service=\"s-two\"}} 1\n"
        );
        let metrics = node.metrics.render();
        assert!(metrics.contains(&metric), "{metric}{metrics}");
        let decisions = node.trace.explain("", Request::from_label(ATTEMPT), 0);
        let number = Event::ResponseBroken.number();
        let mut reports = decisions.iter().filter(|entry| entry.event == number);
        let detail = &reports.next_back().expect("an event").detail;
        let target = format!("service=s-two target={}", deployment.target);
        for part in [&*target, "instance=i-1", &format!("defect={defect} ")] {
            assert!(detail.contains(part), "{part}: {detail}");
        }
    }
}
