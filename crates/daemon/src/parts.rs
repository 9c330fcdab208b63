//! A request as it is sent on.

use bytes::Bytes;

/// A request as it is sent on.
#[derive(Clone, Debug)]
pub struct Parts {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
}
