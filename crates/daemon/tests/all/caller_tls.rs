//! Callers connect with TLS, and changed certificate files are reloaded without
//! a restart.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_daemon::tls;
use cardamomshed_note::Tls;
use cardamomshed_standin::client::eventually;
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::shape::Shape;
use rcgen::{CertifiedKey, KeyPair, generate_simple_self_signed};
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};

fn certificate_paths(name: &str) -> Tls {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    Tls {
        certificate: folder.join(format!("{name}.crt")),
        private_key: folder.join(format!("{name}.key")),
    }
}

fn generate_certificate() -> CertifiedKey<KeyPair> {
    generate_simple_self_signed(vec!["daemon.test".to_owned()]).expect("a certificate")
}

fn write(files: &Tls, certified: &CertifiedKey<KeyPair>) {
    std::fs::write(&files.private_key, certified.signing_key.serialize_pem()).expect("a file");
    std::fs::write(&files.certificate, certified.cert.pem()).expect("a file");
}

/// HTTP status that a caller receives which trusts only this certificate; `None`
/// if the TLS handshake or the connection fails.
fn status(to: SocketAddr, trusted: &CertificateDer<'static>) -> Option<String> {
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
    let mut stream = StreamOwned::new(connection, socket);
    stream
        .write_all(b"GET /hop-0 HTTP/1.1\r\nhost: daemon.test\r\n\r\n")
        .ok()?;
    let mut response = [0; 16];
    stream.read_exact(&mut response).ok()?;
    Some(String::from_utf8_lossy(&response[9..12]).into_owned())
}

#[test]
fn certificate_reloaded() {
    let files = certificate_paths("reload");
    let first = generate_certificate();
    write(&files, &first);
    let shape = Shape::chain(1, 1, 4, Duration::from_millis(1));
    let fleet = Fleet::start_with(shape, Kind::Daemon(Options::default()), |settings| {
        settings.tls = Some(files.clone());
    });
    let to = fleet.callers()[0];
    assert_eq!(status(to, first.cert.der()).as_deref(), Some("401"));
    // An invalid file leaves the loaded certificate in use.
    std::fs::write(&files.certificate, "nothing").expect("a file");
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(status(to, first.cert.der()).as_deref(), Some("401"));
    let second = generate_certificate();
    write(&files, &second);
    eventually("the new certificate is in use", || {
        status(to, second.cert.der()).as_deref() == Some("401")
    });
    assert_eq!(status(to, first.cert.der()), None);
}

#[test]
fn invalid_certificate_refused() {
    let files = certificate_paths("invalid");
    let (one, two) = (generate_certificate(), generate_certificate());
    write(&files, &one);
    assert!(tls::load(&files).is_ok());
    std::fs::write(&files.private_key, two.signing_key.serialize_pem()).expect("a file");
    let mismatch = tls::load(&files).expect_err("the private key belongs to another certificate");
    assert_eq!(mismatch.code, cardamomshed_code::Code::TlsInvalid);
    std::fs::remove_file(&files.certificate).expect("the file");
    assert!(tls::load(&files).is_err());
}
