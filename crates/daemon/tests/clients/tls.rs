//! Clients with TLS, each with a thread of its own.

use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rcgen::generate_simple_self_signed;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use socket2::{Domain, Socket, Type};

use crate::RECEIVE_BUFFER;

/// Connection of a client.
pub(crate) type Stream = StreamOwned<ClientConnection, TcpStream>;

/// Writes a certificate with its key. Returns it and the line of the settings.
pub(crate) fn certify(folder: &Path) -> (CertificateDer<'static>, String) {
    let certified = generate_simple_self_signed(vec!["daemon.test".to_owned()]);
    let certified = certified.expect("a certificate");
    let (certificate, key) = (folder.join("tls.crt"), folder.join("tls.key"));
    std::fs::write(&certificate, certified.cert.pem()).expect("a file");
    std::fs::write(&key, certified.signing_key.serialize_pem()).expect("a file");
    let (first, second) = (certificate.display(), key.display());
    let line = format!("tls: {{certificate: \"{first}\", private_key: \"{second}\"}}\n");
    (certified.cert.der().clone(), line)
}

/// Opens a connection. The handshake takes place with the first request.
pub(crate) fn connect(to: SocketAddr, trusted: &CertificateDer<'static>) -> Result<Stream> {
    let mut roots = RootCertStore::empty();
    roots.add(trusted.clone()).expect("a certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("the provider supports the default versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from("daemon.test").expect("a name");
    let session = ClientConnection::new(Arc::new(config), name).expect("a connection");
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER as usize)?;
    socket.connect(&to.into())?;
    Ok(StreamOwned::new(session, socket.into()))
}

/// Sends a request and reads a response whose body has this length. Returns its status.
pub(crate) fn exchange(stream: &mut Stream, request: &[u8], length: usize) -> Result<String> {
    stream.sock.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(request)?;
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        response.extend(byte);
    }
    stream.read_exact(&mut vec![0; length])?;
    Ok(String::from_utf8_lossy(&response[9..12]).into_owned())
}

/// Connections whose clients end when it is dropped.
#[derive(Default)]
pub(crate) struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Adds clients, each with a connection. The daemon may close it.
    pub(crate) fn add(
        &mut self,
        count: usize,
        to: SocketAddr,
        trusted: &CertificateDer<'static>,
        client: fn(&mut Stream) -> Result<()>,
    ) {
        for _ in 0..count {
            let mut stream = connect(to, trusted).expect("a connection");
            self.0.push(stream.sock.try_clone().expect("a socket"));
            std::thread::spawn(move || drop(client(&mut stream)));
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for socket in &self.0 {
            // The daemon may have closed the connection.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}
