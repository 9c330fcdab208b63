//! Encoding of frames as bytes.

use bytes::Bytes;
use cardamomshed_code::{Code, Failure};

use crate::Frame;

/// Initial buffer capacity for the CBOR item of a frame, in bytes; most frames
/// fit without a reallocation.
const ITEM_CAPACITY: usize = 256;

/// Encodes a frame as a CBOR item, followed by the chunk as raw bytes.
pub fn encode(frame: &Frame, chunk: &[u8]) -> Bytes {
    let mut buffer = Vec::with_capacity(ITEM_CAPACITY + chunk.len());
    if let Err(error) = ciborium::into_writer(frame, &mut buffer) {
        unreachable!("writing CBOR to memory cannot fail: {error}");
    }
    buffer.extend_from_slice(chunk);
    Bytes::from(buffer)
}

/// Decodes a frame. The bytes after its CBOR item are its chunk, which shares
/// the memory of `message`.
///
/// # Errors
///
/// [`Code::FrameInvalid`] where the message does not start with a valid frame.
pub fn decode(message: &Bytes) -> Result<(Frame, Bytes), Failure> {
    let mut rest: &[u8] = message;
    let frame = ciborium::from_reader(&mut rest)
        .map_err(|error| Failure::new(Code::FrameInvalid, error.to_string()))?;
    let chunk = message.slice(message.len() - rest.len()..);
    Ok((frame, chunk))
}
