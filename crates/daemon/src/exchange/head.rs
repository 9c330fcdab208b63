//! Syntax of HTTP/1.1 responses: heads, and the lines of chunked bodies.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::message::{Defect, Error};

/// Largest number of header fields in a response.
const MAX_HEADERS: usize = 64;
/// Statuses that a response may have (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;
const LINE_END: &[u8] = b"\r\n";
/// Time for which an idle connection is kept if the target sends no `keep-alive`
/// timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Fraction of the target's `keep-alive` timeout for which a connection is kept.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug)]
pub(super) enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A parsed response head.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) status: u16,
    /// Header fields, with names in lower case.
    pub(super) headers: Vec<(String, String)>,
    pub(super) framing: Framing,
    /// Whether the target keeps the connection open after the response.
    pub(super) keep_alive: bool,
    /// Time for which the idle connection may be kept.
    pub(super) keep_for: Duration,
}

impl Head {
    /// Value of the first header field with this name, in lower case.
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.get_all(name).next()
    }

    /// Values of the header fields with this name, in lower case.
    fn get_all(&self, name: &str) -> impl Iterator<Item = &str> {
        let fields = self.headers.iter();
        let found = fields.filter(move |(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Parses a head and returns it with its length in bytes, or `None` if the
/// buffer holds only a part of it.
///
/// # Errors
///
/// [`Defect::Head`] or [`Defect::Length`].
pub(super) fn parse(buffer: &[u8]) -> Result<Option<(Head, usize)>, Error> {
    let broken = |defect, detail: &str| {
        let detail = format!("invalid response: {detail}");
        Error::broken(defect, detail)
    };
    let invalid = |detail: &str| broken(Defect::Head, detail);
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(invalid(&error.to_string())),
    };
    let status = response.code.unwrap_or_default();
    if !STATUSES.contains(&status) {
        return Err(invalid("status out of range"));
    }
    if !ends_like_lines(&buffer[..length]) {
        return Err(invalid("empty line without carriage return"));
    }
    let mut headers = Vec::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        // The parser has removed the white space around the value.
        let value = std::str::from_utf8(field.value).map_err(|_| invalid(field.name))?;
        headers.push((field.name.to_ascii_lowercase(), value.to_owned()));
    }
    let mut head = Head {
        status,
        headers,
        framing: Framing::UntilClose,
        keep_alive: response.version == Some(1),
        keep_for: DEFAULT_KEEP_ALIVE,
    };
    let version = response.version.unwrap_or_default();
    head.framing = framing(&head, version).map_err(|detail| broken(Defect::Length, detail))?;
    if let Some(connection) = head.get("connection") {
        let is_closing = connection.to_ascii_lowercase().contains("close");
        head.keep_alive &= !is_closing;
    }
    if let Some(seconds) = head.get("keep-alive").and_then(idle_seconds) {
        head.keep_for = Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION);
    }
    Ok(Some((head, length)))
}

/// Whether the empty line at the end of a head ends like the other lines do. In a head
/// with carriage returns, a bare line feed is a damaged line.
fn ends_like_lines(head: &[u8]) -> bool {
    head.ends_with(LINE_END) || !head.windows(2).any(|pair| pair == LINE_END)
}

/// Framing of a body by its header fields (RFC 9112, section 6).
///
/// # Errors
///
/// What is wrong with the fields.
fn framing(head: &Head, minor_version: u8) -> Result<Framing, &'static str> {
    let mut lengths = head.get_all("content-length");
    let mut codings = head.get_all("transfer-encoding");
    if let Some(coding) = codings.next() {
        if codings.next().is_some() || !coding.eq_ignore_ascii_case("chunked") {
            return Err("transfer coding other than chunked");
        }
        if lengths.next().is_some() {
            return Err("length beside a transfer coding");
        }
        if minor_version == 0 {
            return Err("transfer coding in HTTP/1.0");
        }
        return Ok(Framing::Chunked);
    }
    let Some(length) = lengths.next() else {
        return Ok(Framing::UntilClose);
    };
    let length = parse_length(length).ok_or("length that is no number")?;
    if lengths.any(|other| parse_length(other) != Some(length)) {
        return Err("conflicting lengths");
    }
    Ok(Framing::Length(length))
}

/// Number of bytes in a `content-length` field, which has digits only.
fn parse_length(value: &str) -> Option<usize> {
    let is_number = value.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| value.parse().ok())?
}

/// Timeout in seconds of a `keep-alive` field such as `timeout=5, max=100`.
fn idle_seconds(field: &str) -> Option<u64> {
    let parameters = field
        .split(',')
        .filter_map(|parameter| parameter.split_once('='));
    let timeout = parameters
        .into_iter()
        .find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    timeout?.1.trim().parse().ok()
}

/// Parses the line before a chunk. Returns its length and the size of the chunk, both in
/// bytes, or `None` if the buffer holds only a part of it.
///
/// # Errors
///
/// [`Defect::Chunk`].
pub(super) fn parse_chunk_size(buffer: &[u8]) -> Result<Option<(usize, usize)>, Error> {
    let invalid = || Error::broken(Defect::Chunk, "invalid chunk size");
    // The parser takes a missing size for zero.
    if buffer.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(invalid());
    }
    match httparse::parse_chunk_size(buffer).map_err(|_| invalid())? {
        httparse::Status::Complete((end, size)) => {
            // The parser takes any byte for a part of an extension.
            let mut line = buffer[..end - LINE_END.len()].iter();
            if line.any(|byte| byte.is_ascii_control() && *byte != b'\t') {
                return Err(Error::broken(Defect::Chunk, "invalid chunk extension"));
            }
            Ok(Some((end, usize::try_from(size).unwrap_or(usize::MAX))))
        }
        httparse::Status::Partial => Ok(None),
    }
}

/// Whether a line, without its end, is a header or trailer field.
pub(super) fn is_field(line: &[u8]) -> bool {
    let section = [line, LINE_END, LINE_END].concat();
    let mut fields = [httparse::EMPTY_HEADER; 1];
    let parsed = httparse::parse_headers(&section, &mut fields);
    matches!(parsed, Ok(httparse::Status::Complete((length, [_]))) if length == section.len())
}
