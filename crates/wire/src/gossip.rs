//! Gossip datagrams: a truncated authentication tag, followed by the packet.

use cardamomshed_code::{Code, Failure};
use cardamomshed_policy::member::Packet;
use hmac::Mac;

use crate::Secret;

/// Length of the authentication tag in bytes.
const TAG_LENGTH: usize = 16;

/// Encodes a packet as an authenticated datagram.
pub fn seal(secret: &Secret, packet: &Packet) -> Vec<u8> {
    let mut body = Vec::new();
    if let Err(error) = ciborium::into_writer(packet, &mut body) {
        unreachable!("writing CBOR to memory cannot fail: {error}");
    }
    let tag = secret.tag(&body).finalize().into_bytes();
    let mut datagram = Vec::with_capacity(TAG_LENGTH + body.len());
    datagram.extend_from_slice(&tag[..TAG_LENGTH]);
    datagram.extend_from_slice(&body);
    datagram
}

/// Verifies and decodes a datagram.
///
/// # Errors
///
/// [`Code::LinkRejected`] where the tag was not made with the fleet secret,
/// [`Code::FrameInvalid`] where the datagram is shorter than a tag or its
/// contents are not a packet.
pub fn open(secret: &Secret, datagram: &[u8]) -> Result<Packet, Failure> {
    let (tag, body) = datagram
        .split_at_checked(TAG_LENGTH)
        .ok_or_else(|| Failure::new(Code::FrameInvalid, "the datagram is too short"))?;
    secret
        .tag(body)
        .verify_truncated_left(tag)
        .map_err(|_| Failure::new(Code::LinkRejected, "the datagram's tag is invalid"))?;
    ciborium::from_reader(body).map_err(|error| Failure::new(Code::FrameInvalid, error.to_string()))
}
