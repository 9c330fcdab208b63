//! Validation of request heads, and selection of the headers to forward.

use actix_web::HttpRequest;
use actix_web::http::Method;
use actix_web::http::header::{self, HeaderMap};
use cardamomshed_code::{Code, Failure};
use cardamomshed_platform::header as platform;

/// Largest number of header fields.
const MAX_HEADERS: usize = 100;
/// Prefix of the headers that only the daemons set.
const INTERNAL_PREFIX: &str = "x-shed-";

/// Headers that are not forwarded: hop-by-hop headers, and those that the daemon
/// consumes or sets itself.
const NOT_FORWARDED: [&str; 14] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Checks the size of a request head and rejects forms that parsers interpret
/// differently, which would permit request smuggling.
///
/// # Errors
///
/// [`Code::HeadTooLarge`] above `limit` bytes or 100 header fields, [`Code::BadRequest`]
/// for an ambiguous head, an upgrade or a tunnel.
pub fn check(request: &HttpRequest, limit: usize) -> Result<(), Failure> {
    let headers = request.headers();
    // A field takes at least three bytes beside its name and value.
    let size = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 3)
        .sum::<usize>();
    let size = size + request.uri().to_string().len();
    if size > limit || headers.len() > MAX_HEADERS {
        let detail = format!("{size} bytes in {} headers", headers.len());
        return Err(Failure::new(Code::HeadTooLarge, detail));
    }
    let bad = |detail: &str| Err(Failure::new(Code::BadRequest, detail));
    let both = headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH);
    if both || headers.get_all(header::CONTENT_LENGTH).count() > 1 {
        return bad("the body length is specified more than once");
    }
    if headers.get_all(header::TRANSFER_ENCODING).count() > 1 {
        return bad("more than one Transfer-Encoding header");
    }
    if headers.get_all(header::HOST).count() > 1 {
        return bad("more than one Host header");
    }
    if headers.contains_key(header::UPGRADE) || request.method() == Method::CONNECT {
        return bad("upgrades and tunnels are not supported");
    }
    check_path(request.path())
}

/// Checks that all parsers interpret a path in the same way.
///
/// # Errors
///
/// [`Code::BadRequest`].
pub fn check_path(path: &str) -> Result<(), Failure> {
    if is_unambiguous(path) {
        return Ok(());
    }
    let detail = "the path has dot segments, empty segments or encoded separators";
    Err(Failure::new(Code::BadRequest, detail))
}

/// Whether all parsers interpret a path in the same way.
fn is_unambiguous(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let encoded = ["%2e", "%2f", "%5c", "%00"];
    path.starts_with('/')
        && !path.contains('\\')
        && !path.contains("//")
        && !encoded.iter().any(|part| lower.contains(part))
        && !path.split('/').any(|part| part == "." || part == "..")
}

/// Headers of a request that are forwarded, with names in lower case. Headers
/// listed in `Connection` are excluded.
pub fn end_to_end(headers: &HeaderMap) -> Vec<(String, String)> {
    let connection_options = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect::<Vec<_>>();
    let is_forwarded = |name: &str| {
        !NOT_FORWARDED.contains(&name)
            && !name.starts_with(INTERNAL_PREFIX)
            && !connection_options.iter().any(|option| option == name)
    };
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some((name.as_str().to_owned(), value))
        })
        .collect()
}

/// Headers of a request in the platform's protocol that are forwarded, with
/// `Host` and `Idempotency-Key`, and without those that only the daemons set.
pub fn platform_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let mut forwarded = end_to_end(headers);
    forwarded.retain(|(name, _)| !platform::SET_BY_SYSTEM.contains(&name.as_str()));
    let names = [header::HOST.as_str(), "idempotency-key"];
    for name in names {
        if let Some(value) = text(headers, name) {
            forwarded.push((name.to_owned(), value.to_owned()));
        }
    }
    forwarded
}

/// Headers of a target's response that are forwarded to the caller. The load
/// report is consumed by the daemon.
pub fn response_headers(mut headers: Vec<(String, String)>) -> Vec<(String, String)> {
    headers.retain(|(name, _)| {
        !NOT_FORWARDED.contains(&name.as_str())
            && !name.starts_with(INTERNAL_PREFIX)
            && name != platform::LOAD
    });
    headers
}

/// API key from the `Authorization` header.
///
/// # Errors
///
/// [`Code::KeyMissing`] without a bearer key, [`Code::BadRequest`] for more than
/// one `Authorization` header.
pub fn presented_key(headers: &HeaderMap) -> Result<&str, Failure> {
    let missing = || Failure::new(Code::KeyMissing, "expected `Authorization: Bearer KEY`");
    let mut values = headers.get_all(header::AUTHORIZATION);
    let value = values.next().ok_or_else(missing)?;
    if values.next().is_some() {
        return Err(Failure::new(
            Code::BadRequest,
            "more than one Authorization header",
        ));
    }
    let (scheme, key) = value
        .to_str()
        .ok()
        .and_then(|value| value.split_once(' '))
        .ok_or_else(missing)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Err(missing());
    }
    Ok(key)
}

/// Refuses a request that contains its API key in a part that is forwarded.
///
/// # Errors
///
/// [`Code::KeyExposed`] if the key is in a header, the path or the query.
pub fn check_exposure(key: &str, path: &str, headers: &[(String, String)]) -> Result<(), Failure> {
    let in_header = headers.iter().find(|(_, value)| value.contains(key));
    if let Some((name, _)) = in_header {
        return Err(Failure::new(Code::KeyExposed, format!("in header {name}")));
    }
    if path.contains(key) {
        return Err(Failure::new(Code::KeyExposed, "in the path or query"));
    }
    Ok(())
}

/// Request target without scheme and host.
pub fn path_and_query(request: &HttpRequest) -> String {
    let uri = request.uri();
    uri.path_and_query()
        .map_or_else(|| uri.path().to_owned(), ToString::to_string)
}

/// Value of a header, if it is present and visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
