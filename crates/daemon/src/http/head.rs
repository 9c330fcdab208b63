//! Checks on request heads, and what of a head travels on.

use actix_web::HttpRequest;
use actix_web::http::Method;
use actix_web::http::header::{self, HeaderMap};
use cardamomshed_code::{Code, Failure};
use cardamomshed_platform::header as platform;

/// Largest request head in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Most header fields.
const MAX_FIELDS: usize = 100;
/// Prefix of the headers that only this system sets.
const OWN_PREFIX: &str = "x-shed-";

/// Fields that concern one connection only, and those that this system sets
/// itself on the next.
const DROPPED: [&str; 14] = [
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

/// Checks a request head for bounds and for shapes that two parsers may read
/// differently.
///
/// # Errors
///
/// [`Code::HeadTooLarge`] or [`Code::BadRequest`].
pub fn check(request: &HttpRequest) -> Result<(), Failure> {
    let headers = request.headers();
    let size = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum::<usize>();
    let size = size + request.uri().to_string().len();
    if size > MAX_HEAD || headers.len() > MAX_FIELDS {
        let detail = format!("{size} bytes in {} fields", headers.len());
        return Err(Failure::new(Code::HeadTooLarge, detail));
    }
    let bad = |detail: &str| Err(Failure::new(Code::BadRequest, detail));
    let both = headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH);
    if both || headers.get_all(header::CONTENT_LENGTH).count() > 1 {
        return bad("the length of the body is given twice");
    }
    if headers.get_all(header::TRANSFER_ENCODING).count() > 1 {
        return bad("more than one Transfer-Encoding");
    }
    if headers.get_all(header::HOST).count() > 1 {
        return bad("more than one Host");
    }
    if headers.contains_key(header::UPGRADE) || request.method() == Method::CONNECT {
        return bad("upgrades and tunnels are not served");
    }
    if !is_plain(request.path()) {
        return bad("the path has dot segments or encoded separators");
    }
    Ok(())
}

/// Whether every reader of a path takes it for the same path.
fn is_plain(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let encoded = ["%2e", "%2f", "%5c", "%00"];
    path.starts_with('/')
        && !path.contains('\\')
        && !path.contains("//")
        && !encoded.iter().any(|part| lower.contains(part))
        && !path.split('/').any(|part| part == "." || part == "..")
}

/// End-to-end fields of a head, without those that this system sets itself.
pub fn end_to_end(headers: &HeaderMap) -> Vec<(String, String)> {
    let named = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect::<Vec<_>>();
    let travels = |name: &str| {
        !DROPPED.contains(&name)
            && !name.starts_with(OWN_PREFIX)
            && !named.iter().any(|dropped| dropped == name)
    };
    headers
        .iter()
        .filter(|(name, _)| travels(name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some((name.as_str().to_owned(), value))
        })
        .collect()
}

/// Fields of a platform request that travel on, with `Host` and without
/// those that this system sets itself.
pub fn platform_fields(headers: &HeaderMap) -> Vec<(String, String)> {
    let mut fields = end_to_end(headers);
    fields.retain(|(name, _)| !platform::SET_BY_SYSTEM.contains(&name.as_str()));
    let kept = [header::HOST.as_str(), "idempotency-key"];
    for name in kept {
        if let Some(value) = text(headers, name) {
            fields.push((name.to_owned(), value.to_owned()));
        }
    }
    fields
}

/// End-to-end fields of a target's answer.
pub fn answer_fields(mut fields: Vec<(String, String)>) -> Vec<(String, String)> {
    fields.retain(|(name, _)| {
        !DROPPED.contains(&name.as_str()) && !name.starts_with(OWN_PREFIX) && name != platform::LOAD
    });
    fields
}

/// The key that a caller presents.
///
/// # Errors
///
/// [`Code::KeyMissing`] without one.
pub fn presented_key(headers: &HeaderMap) -> Result<&str, Failure> {
    let missing = || Failure::new(Code::KeyMissing, "Authorization: Bearer KEY is expected");
    let mut values = headers.get_all(header::AUTHORIZATION);
    let value = values.next().ok_or_else(missing)?;
    if values.next().is_some() {
        return Err(Failure::new(
            Code::BadRequest,
            "more than one Authorization",
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

/// Refuses a request that repeats its key where it would travel on.
///
/// # Errors
///
/// [`Code::KeyExposed`].
pub fn check_exposure(key: &str, path: &str, headers: &[(String, String)]) -> Result<(), Failure> {
    let in_header = headers.iter().find(|(_, value)| value.contains(key));
    if let Some((name, _)) = in_header {
        return Err(Failure::new(Code::KeyExposed, format!("in field {name}")));
    }
    if path.contains(key) {
        return Err(Failure::new(Code::KeyExposed, "in the path or query"));
    }
    Ok(())
}

/// A field's text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
