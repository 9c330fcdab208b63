//! Requests to the target and their responses.

use bytes::Bytes;

/// A request to the target.
#[derive(Debug)]
pub struct Request<'a> {
    /// Request line and header lines, with the empty line that ends them.
    pub head: &'a str,
    /// Complete body.
    pub body: &'a Bytes,
    /// Whether the response has no body, as for `HEAD`.
    pub head_only: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How the response to this request is recognised. With `None`, the first final
    /// response is taken.
    pub correlation: Option<Correlation<'a>>,
}

/// Header field by which the response to a request is told from late responses to
/// earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct Correlation<'a> {
    /// Name of the field, in lower case.
    pub name: &'a str,
    /// Value in the response to this request. Responses with another value are
    /// skipped.
    pub value: &'a str,
    /// Whether a response without the field is skipped too.
    pub required: bool,
}

impl Correlation<'_> {
    /// Whether a response whose field has this value, or that lacks the field, may
    /// be the one to this request.
    pub(super) fn matches(self, value: Option<&str>) -> bool {
        value.map_or(!self.required, |value| value == self.value)
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header fields, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Complete body, without transfer encoding.
    pub body: Bytes,
    /// Late responses to earlier requests that were skipped before this one.
    pub late: u64,
}

/// Why there is no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was established, so nothing was sent.
    NotSent(String),
    /// The request may have been sent; whether it ran is unknown.
    Sent(Loss),
    /// The response body exceeds the limit.
    TooLarge,
    /// There is no memory for the response body.
    NoMemory,
}

impl Error {
    /// How the response is broken, with a description, if there is one.
    pub fn defect(&self) -> Option<(Defect, &str)> {
        match self {
            Self::Sent(loss) => Some((loss.defect?, &loss.detail)),
            Self::NotSent(_) | Self::TooLarge | Self::NoMemory => None,
        }
    }

    /// No response to a request that may have been sent.
    pub(super) fn no_response(detail: impl Into<String>) -> Self {
        Self::Sent(Loss {
            defect: None,
            detail: detail.into(),
        })
    }

    /// A broken response.
    pub(super) fn broken(defect: Defect, detail: impl Into<String>) -> Self {
        Self::Sent(Loss {
            defect: Some(defect),
            detail: detail.into(),
        })
    }
}

/// Why there is no whole response to a request that may have been sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// How the response is broken; `None` if none began.
    pub defect: Option<Defect>,
    /// Description for operators and callers.
    pub detail: String,
}

/// How a response is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// The status line or a line of the head is malformed.
    Head,
    /// The head does not tell where the body ends, or in more ways than one.
    Length,
    /// The framing of a chunked body is malformed.
    Chunk,
    /// The head, or the framing of a chunked body, exceeds its limit.
    Oversized,
    /// The connection ended or failed before the end of the response was certain.
    Truncated,
    /// All responses are to other requests.
    Unmatched,
    /// The status needs a mark that shows whether the request ran, and it is missing.
    Unmarked,
}

impl Defect {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Length => "length",
            Self::Chunk => "chunk",
            Self::Oversized => "oversized",
            Self::Truncated => "truncated",
            Self::Unmatched => "unmatched",
            Self::Unmarked => "unmarked",
        }
    }
}
