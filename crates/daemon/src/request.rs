//! Parts of a forwarded HTTP request.

use bytes::Bytes;

/// Method, path, headers and body, which are forwarded to the target or a peer.
#[derive(Clone, Debug)]
pub struct Parts {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Forwarded headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}
