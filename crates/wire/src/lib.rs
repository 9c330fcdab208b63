//! Messages between cardamomshed daemons.
//!
//! A peer link is one WebSocket connection; each binary message is a
//! [`Frame`] in CBOR, followed by the bytes of a body chunk where the frame
//! has one. The chunk is outside the CBOR item, which avoids a copy of every
//! body. A gossip datagram is an authentication tag followed by a CBOR packet.
//! WebSocket and CBOR are implemented by libraries; this crate defines the
//! message types and the proof of the fleet secret.

mod codec;
mod frame;
mod gossip;
mod proof;
mod request;

pub use codec::{decode, encode};
pub use frame::{Answer, Call, Frame, Grant, Hello, Load, Refusal, VERSION, Welcome};
pub use gossip::{open, seal};
pub use proof::{Secret, Side};
pub use request::Request;
