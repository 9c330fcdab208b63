//! Bodies of responses.

use std::io::ErrorKind;

use awc::ClientResponse;
use awc::error::PayloadError;
use awc::http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use awc::http::{StatusCode, Version};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use crate::error::Error;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Reads the whole body of up to `limit` bytes. `head_only` is whether the response has
/// none, as for `HEAD`.
///
/// # Errors
///
/// [`Error`].
pub async fn read(
    response: &mut ClientResponse,
    head_only: bool,
    limit: usize,
) -> Result<Bytes, Error> {
    let status = response.status();
    if !(200..600).contains(&status.as_u16()) {
        return Err(Error::Broken("status of no final response"));
    }
    let framing = framing(response.headers(), response.version())?;
    if head_only || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Ok(Bytes::new());
    }
    if framing == Framing::UntilClose && response.version() != Version::HTTP_10 {
        // The client library does not read the body.
        return Err(Error::Broken("no length"));
    }
    let mut body = BytesMut::new();
    let mut connection_ended = false;
    while let Some(part) = response.next().await {
        match part {
            Ok(part) if part.len() > limit - body.len() => return Err(Error::TooLarge),
            Ok(part) => body.extend_from_slice(&part),
            Err(PayloadError::Incomplete(Some(error)))
                if error.kind() == ErrorKind::UnexpectedEof =>
            {
                connection_ended = true;
                break;
            }
            Err(error) => return Err(Error::Failed(error.to_string())),
        }
    }
    let is_whole = match framing {
        Framing::Length(length) => body.len() == length,
        Framing::Chunked => !connection_ended,
        Framing::UntilClose => connection_ended,
    };
    if !is_whole {
        return Err(Error::Broken("connection ended within the body"));
    }
    Ok(body.freeze())
}

/// Framing of a body by its header fields.
///
/// # Errors
///
/// [`Error::Broken`].
fn framing(headers: &HeaderMap, version: Version) -> Result<Framing, Error> {
    let length = headers.get(CONTENT_LENGTH);
    // The client library rejects fields that are repeated.
    if let Some(coding) = headers.get(TRANSFER_ENCODING) {
        let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        if !is_chunked || length.is_some() || version == Version::HTTP_10 {
            return Err(Error::Broken("unsupported transfer coding"));
        }
        return Ok(Framing::Chunked);
    }
    let Some(length) = length else {
        return Ok(Framing::UntilClose);
    };
    let digits = length.as_bytes().iter().all(u8::is_ascii_digit);
    let length = length.to_str().ok().filter(|_| digits);
    let length = length.and_then(|length| length.parse().ok());
    length
        .map(Framing::Length)
        .ok_or(Error::Broken("length that is no number"))
}
