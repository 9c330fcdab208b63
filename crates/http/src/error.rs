//! Errors of requests.

use std::fmt;

/// Why there is no whole response. The request may have run, whatever the error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection failed, or the client library rejected the response.
    Failed(String),
    /// The response is malformed, or broke off.
    Broken(&'static str),
    /// The body exceeds its limit.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(detail) => f.write_str(detail),
            Self::Broken(detail) => write!(f, "broken response: {detail}"),
            Self::TooLarge => f.write_str("response body too large"),
        }
    }
}

impl std::error::Error for Error {}
