//! TLS towards callers, with certificates that are read again on change.

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

/// Time between two looks at the files.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// The certificate in use.
#[derive(Debug)]
struct Current(RwLock<Arc<CertifiedKey>>);

impl ResolvesServerCert for Current {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let current = self.0.read().unwrap_or_else(PoisonError::into_inner);
        Some(Arc::clone(&current))
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "errors come by value from `map_err`"
)]
fn invalid(path: &Path, error: impl ToString) -> Failure {
    let detail = format!("{}: {}", path.display(), error.to_string());
    Failure::new(Code::TlsInvalid, detail)
}

/// Reads a certificate chain and its key.
///
/// # Errors
///
/// [`Code::TlsInvalid`].
pub fn load(files: &Tls) -> Result<CertifiedKey, Failure> {
    let open = |path: &Path| {
        let file = File::open(path).map_err(|error| invalid(path, error))?;
        Ok::<_, Failure>(BufReader::new(file))
    };
    let chain = rustls_pemfile::certs(&mut open(&files.certificate)?)
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| invalid(&files.certificate, error))?;
    if chain.is_empty() {
        return Err(invalid(&files.certificate, "no certificate in it"));
    }
    let key = rustls_pemfile::private_key(&mut open(&files.private_key)?)
        .map_err(|error| invalid(&files.private_key, error))?
        .ok_or_else(|| invalid(&files.private_key, "no private key in it"))?;
    let key =
        ring::sign::any_supported_type(&key).map_err(|error| invalid(&files.private_key, error))?;
    let certified = CertifiedKey::new(chain, key);
    certified
        .keys_match()
        .map_err(|error| invalid(&files.private_key, error))?;
    Ok(certified)
}

/// Configuration of the callers' listener; keeps watching the files.
///
/// # Errors
///
/// [`Code::TlsInvalid`].
pub fn config(node: &Arc<Node>, files: &Tls) -> Result<ServerConfig, Failure> {
    let current = Arc::new(Current(RwLock::new(Arc::new(load(files)?))));
    let provider = Arc::new(ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| Failure::new(Code::TlsInvalid, error.to_string()))?
        .with_no_client_auth()
        .with_cert_resolver(Arc::clone(&current) as Arc<dyn ResolvesServerCert>);
    actix_rt::spawn(watch(Arc::clone(node), files.clone(), current));
    Ok(config)
}

async fn watch(node: Arc<Node>, files: Tls, current: Arc<Current>) {
    let mut seen = modified(&files);
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let now = modified(&files);
        if now == seen {
            continue;
        }
        seen = now;
        match load(&files) {
            Ok(key) => {
                *current.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(key);
                node.note_event(
                    Event::CertificateLoaded,
                    format_args!("{}", files.certificate.display()),
                );
            }
            Err(failure) => {
                node.note_event(Event::CertificateRejected, format_args!("{failure}"));
            }
        }
    }
}

fn modified(files: &Tls) -> [Option<SystemTime>; 2] {
    [&files.certificate, &files.private_key].map(|path| {
        std::fs::metadata(path)
            .and_then(|data| data.modified())
            .ok()
    })
}
