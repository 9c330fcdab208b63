//! TLS for callers, with certificates that are reloaded when their files change.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, SystemTime};

use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_note::Tls;
use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;

use crate::node::Node;

/// Interval at which the modification times of the files are checked.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Protocol that the listener offers to clients which negotiate one.
const HTTP: &[u8] = b"http/1.1";

/// Resolver that returns the certificate in use.
#[derive(Debug)]
struct Resolver(RwLock<Arc<CertifiedKey>>);

impl ResolvesServerCert for Resolver {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let current = self.0.read().unwrap_or_else(PoisonError::into_inner);
        Some(Arc::clone(&current))
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "`map_err` passes errors by value"
)]
fn invalid(path: &Path, error: impl ToString) -> Failure {
    let detail = format!("{}: {}", path.display(), error.to_string());
    Failure::new(Code::TlsInvalid, detail)
}

/// Reads a certificate chain and its private key from PEM files.
///
/// # Errors
///
/// [`Code::TlsInvalid`] if a file cannot be read or parsed, holds no certificate
/// or key, or if the key does not belong to the certificate.
pub fn load(files: &Tls) -> Result<CertifiedKey, Failure> {
    let open = |path: &Path| {
        let file = File::open(path).map_err(|error| invalid(path, error))?;
        Ok::<_, Failure>(BufReader::new(file))
    };
    let chain = rustls_pemfile::certs(&mut open(&files.certificate)?)
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| invalid(&files.certificate, error))?;
    if chain.is_empty() {
        return Err(invalid(&files.certificate, "file contains no certificate"));
    }
    let key = rustls_pemfile::private_key(&mut open(&files.private_key)?)
        .map_err(|error| invalid(&files.private_key, error))?
        .ok_or_else(|| invalid(&files.private_key, "file contains no private key"))?;
    let key =
        ring::sign::any_supported_type(&key).map_err(|error| invalid(&files.private_key, error))?;
    let certified = CertifiedKey::new(chain, key);
    certified
        .keys_match()
        .map_err(|error| invalid(&files.private_key, error))?;
    Ok(certified)
}

/// Creates the TLS configuration of the callers' listener and spawns a task that
/// reloads the certificate when its files change.
///
/// # Errors
///
/// [`Code::TlsInvalid`] if the files cannot be loaded or the protocol versions
/// are not supported.
pub fn config(node: &Arc<Node>, files: &Tls) -> Result<ServerConfig, Failure> {
    let current = Arc::new(Resolver(RwLock::new(Arc::new(load(files)?))));
    let provider = Arc::new(ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| Failure::new(Code::TlsInvalid, error.to_string()))?
        .with_no_client_auth()
        .with_cert_resolver(Arc::clone(&current) as Arc<dyn ResolvesServerCert>);
    config.alpn_protocols = vec![HTTP.to_vec()];
    actix_rt::spawn(watch(Arc::clone(node), files.clone(), current));
    Ok(config)
}

/// Reloads the certificate whenever a file changes. If that fails, the previous
/// certificate stays in use.
async fn watch(node: Arc<Node>, files: Tls, current: Arc<Resolver>) {
    let mut last = modification_times(&files);
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = modification_times(&files);
        if now == last {
            continue;
        }
        last = now;
        match load(&files) {
            Ok(key) => {
                *current.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(key);
                node.log_event(
                    Event::CertificateLoaded,
                    format_args!("{}", files.certificate.display()),
                );
            }
            Err(failure) => {
                node.log_event(Event::CertificateRejected, format_args!("{failure}"));
            }
        }
    }
}

/// Modification times of the certificate and key files.
fn modification_times(files: &Tls) -> [Option<SystemTime>; 2] {
    [&files.certificate, &files.private_key].map(|path| {
        std::fs::metadata(path)
            .and_then(|data| data.modified())
            .ok()
    })
}
