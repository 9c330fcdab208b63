//! Callers connect with TLS under the limits of connections without it, and changed
//! certificate files are reloaded without a restart.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_daemon::tls;
use cardamomshed_note::{Size, Timespan, Tls};
use cardamomshed_policy::memory::Kind as Held;
use cardamomshed_standin::client::eventually;
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::shape::Shape;
use cardamomshed_standin::target::Behaviour;
use rcgen::{CertifiedKey, KeyPair, generate_simple_self_signed};
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use socket2::SockRef;

use crate::process_signals::Process;
use crate::{allow_bodies, chain, request_text};

fn certificate_paths(name: &str) -> Tls {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    Tls {
        certificate: folder.join(format!("{name}.crt")),
        private_key: folder.join(format!("{name}.key")),
    }
}

/// Generates a certificate and writes it to files of this name.
fn new_certificate(name: &str) -> (Tls, CertifiedKey<KeyPair>) {
    let (files, certified) = (certificate_paths(name), generate_certificate());
    write(&files, &certified);
    (files, certified)
}

/// A fleet with one target whose callers connect with TLS.
fn tls_fleet(files: &Tls) -> Fleet {
    let shape = Shape::chain(1, 1, 4, Duration::from_millis(1));
    Fleet::start_with(shape, Kind::Daemon(Options::default()), |settings| {
        settings.tls = Some(files.clone());
    })
}

fn generate_certificate() -> CertifiedKey<KeyPair> {
    generate_simple_self_signed(vec!["daemon.test".to_owned()]).expect("a certificate")
}

fn write(files: &Tls, certified: &CertifiedKey<KeyPair>) {
    std::fs::write(&files.private_key, certified.signing_key.serialize_pem()).expect("a file");
    std::fs::write(&files.certificate, certified.cert.pem()).expect("a file");
}

/// Connection of a caller that trusts only this certificate. The handshake takes place
/// with the first request. The receive buffer is small, so that the kernel does not take
/// whole responses.
fn connect(
    to: SocketAddr,
    trusted: &CertificateDer<'static>,
) -> Option<StreamOwned<ClientConnection, TcpStream>> {
    let mut roots = RootCertStore::empty();
    roots.add(trusted.clone()).expect("a certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("the provider supports the default versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from("daemon.test").expect("a name");
    let connection = ClientConnection::new(Arc::new(config), name).expect("a connection");
    let socket = TcpStream::connect(to).ok()?;
    socket
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a non-zero timeout");
    SockRef::from(&socket)
        .set_recv_buffer_size(64 << 10)
        .expect("a socket");
    Some(StreamOwned::new(connection, socket))
}

fn request(key: &str) -> String {
    request_text("/hop-0", key)
}

/// HTTP status that a caller with this key receives; `None` if the TLS handshake or the
/// connection fails.
fn status(to: SocketAddr, trusted: &CertificateDer<'static>, key: &str) -> Option<String> {
    let mut stream = connect(to, trusted)?;
    stream.write_all(request(key).as_bytes()).ok()?;
    let mut response = [0; 16];
    stream.read_exact(&mut response).ok()?;
    Some(String::from_utf8_lossy(&response[9..12]).into_owned())
}

#[test]
fn certificate_reloaded() {
    let (files, first) = new_certificate("reload");
    let fleet = tls_fleet(&files);
    let to = fleet.callers()[0];
    assert_eq!(status(to, first.cert.der(), "").as_deref(), Some("401"));
    // An invalid file leaves the loaded certificate in use.
    std::fs::write(&files.certificate, "nothing").expect("a file");
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(status(to, first.cert.der(), "").as_deref(), Some("401"));
    let second = generate_certificate();
    write(&files, &second);
    eventually("the new certificate is in use", || {
        status(to, second.cert.der(), "").as_deref() == Some("401")
    });
    assert_eq!(status(to, first.cert.der(), ""), None);
}

#[test]
fn invalid_certificate_refused() {
    let (files, _) = new_certificate("invalid");
    let two = generate_certificate();
    assert!(tls::load(&files).is_ok());
    std::fs::write(&files.private_key, two.signing_key.serialize_pem()).expect("a file");
    let mismatch = tls::load(&files).expect_err("the private key belongs to another certificate");
    assert_eq!(mismatch.code, cardamomshed_code::Code::TlsInvalid);
    std::fs::remove_file(&files.certificate).expect("the file");
    assert!(tls::load(&files).is_err());
}

/// Guards against responses that are held without limit, because the connections of
/// callers with TLS are not in the table of those that may be closed.
#[test]
fn unread_responses_released() {
    /// Length of a response body, and the requests that a client sends ahead.
    const LENGTH: usize = 8 << 20;
    const REQUESTS: usize = 16;
    let (files, certified) = new_certificate("unread");
    let shape = Shape::chain(1, 2, 8, Duration::from_millis(1));
    let fleet = Fleet::start_with(shape, Kind::Daemon(Options::default()), |settings| {
        settings.tls = Some(files.clone());
        settings.memory = Size::from_bytes(96 << 20);
        settings.timing.write = Timespan::from_millis(500);
    });
    allow_bodies(&fleet, LENGTH);
    let (node, key) = (&fleet.daemons[0].node, &fleet.keys[0]);
    fleet.change_targets(|behaviour| behaviour.body_len = LENGTH);
    let mut client = connect(fleet.callers()[0], certified.cert.der()).expect("a connection");
    client
        .write_all(request(key).repeat(REQUESTS).as_bytes())
        .expect("the requests are sent");
    let held = || node.memory.with(|account| account.held(Held::Response));
    eventually("responses are held", || held() >= LENGTH);
    eventually("the connection is closed and its memory released", || {
        assert!(held() < 96 << 20);
        held() == 0 && node.connections.is_empty()
    });
    let open = node.metrics.open.get();
    assert_eq!(open, 0, "requests of the closed connection are open");
    fleet.change_targets(|behaviour| behaviour.body_len = 2);
    let ordinary = status(fleet.callers()[0], certified.cert.der(), key);
    assert_eq!(ordinary.as_deref(), Some("200"));
}

/// Guards against responses in another order than the requests, and against a connection
/// that ends without the end of the TLS session, which a client takes for a cut response.
#[test]
fn pipelined_in_order() {
    let (files, certified) = new_certificate("order");
    let fleet = tls_fleet(&files);
    let mut client = connect(fleet.callers()[0], certified.cert.der()).expect("a connection");
    let first = request(&fleet.keys[0]);
    let unknown = first.replace("/hop-0", "/unknown");
    let last = unknown.replace("host:", "connection: close\r\nhost:");
    let requests = [first, request(""), last].concat();
    client
        .write_all(requests.as_bytes())
        .expect("the requests are sent");
    let mut text = String::new();
    client.read_to_string(&mut text).expect("an orderly end");
    let statuses = text.match_indices("HTTP/1.1 ");
    let statuses = statuses.map(|(start, _)| &text[start + 9..start + 12]);
    assert_eq!(
        statuses.collect::<Vec<_>>(),
        ["200", "401", "404"],
        "{text}"
    );
}

/// Guards against connections that are held, or take memory, by a handshake that does
/// not end.
#[test]
fn endless_handshake_closed() {
    let (files, _) = new_certificate("handshake");
    let fleet = tls_fleet(&files);
    let node = &fleet.daemons[0].node;
    let open = || TcpStream::connect(fleet.callers()[0]).expect("a connection");
    let (_silent, mut endless) = (open(), open());
    eventually("the connections are counted", || {
        node.connections.len() == 2
    });
    // A handshake message of 60,000 bytes, in records of 8 KiB.
    let record = [&[22, 3, 1, 0x20, 0, 1, 0, 0xea, 0x60][..], &[0; 0x1ffc]].concat();
    for _ in 0..4 {
        // The daemon may have closed the connection.
        let _ = endless.write_all(&record);
    }
    let held = || node.memory.with(|account| account.held(Held::Connection));
    eventually("the connections are closed", || {
        node.connections.is_empty() && held() == 0
    });
}

/// Guards against a response whose end is lost: a request did not count as open although
/// up to 64 KiB of its response had not been passed to the kernel when the daemon ended.
#[test]
fn stop_awaits_written() {
    /// Length that exceeds what the kernel buffers, and steps of a search for that.
    const LONGEST: usize = 12 << 20;
    const STEPS: usize = 10;
    /// Time after which a response has been written as far as the client permits.
    const SETTLED: Duration = Duration::from_millis(400);
    let (files, certified) = new_certificate("stop");
    let fleet = chain(1);
    allow_bodies(&fleet, LONGEST);
    let settings = format!(
        "tls: {{certificate: {:?}, private_key: {:?}}}\n",
        files.certificate, files.private_key
    );
    let mut process = Process::start(&fleet, Behaviour::default(), &settings);
    let (trusted, key) = (certified.cert.der(), &fleet.keys[0]);
    eventually("the process serves", || {
        status(process.daemon.callers, trusted, key).as_deref() == Some("200")
    });
    // Finds the longest response that a client need not read for its request to end.
    let (mut written, mut stuck) = (0, LONGEST);
    let mut unread = Vec::new();
    for _ in 0..STEPS {
        let length = usize::midpoint(written, stuck);
        for target in fleet.targets.iter().chain([&process.target]) {
            target.change(|behaviour| behaviour.body_len = length);
        }
        let mut client = connect(process.daemon.callers, trusted).expect("a connection");
        client
            .write_all(request(key).as_bytes())
            .expect("the request is sent");
        client.read_exact(&mut [0]).expect("a response");
        std::thread::sleep(SETTLED);
        if process.open_requests() == 0 {
            written = length;
            unread.push((length, client));
        } else {
            stuck = length;
            drop(client);
            eventually("no request is open", || process.open_requests() == 0);
        }
    }
    process.daemon.signal("TERM");
    process.daemon.await_success();
    assert!(!unread.is_empty());
    for (length, mut client) in unread {
        let mut response = Vec::new();
        // A missing end of the TLS session shows in the length only if data is missing.
        let _ = client.read_to_end(&mut response);
        let received = response.len();
        assert!(received > length, "{received} bytes of a body of {length}");
    }
}
