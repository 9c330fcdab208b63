//! Frames as bytes.

use bytes::Bytes;
use cardamomshed_code::{Code, Failure};

use crate::Frame;

/// Room for the CBOR item of an ordinary frame, in bytes.
const HEAD_ROOM: usize = 256;

/// Encodes a frame with the chunk that follows it.
pub fn encode(frame: &Frame, chunk: &[u8]) -> Bytes {
    let mut buffer = Vec::with_capacity(HEAD_ROOM + chunk.len());
    if let Err(error) = ciborium::into_writer(frame, &mut buffer) {
        unreachable!("writing CBOR to memory cannot fail: {error}");
    }
    buffer.extend_from_slice(chunk);
    Bytes::from(buffer)
}

/// Decodes a frame; the bytes behind its CBOR item are its chunk.
///
/// # Errors
///
/// [`Code::FrameInvalid`] where the bytes do not start with a frame.
pub fn decode(message: &Bytes) -> Result<(Frame, Bytes), Failure> {
    let mut rest: &[u8] = message;
    let frame = ciborium::from_reader(&mut rest)
        .map_err(|error| Failure::new(Code::FrameInvalid, error.to_string()))?;
    let chunk = message.slice(message.len() - rest.len()..);
    Ok((frame, chunk))
}
