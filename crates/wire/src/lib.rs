//! Messages between cardamomshed daemons.
//!
//! A peer link is one WebSocket connection; each binary message is a
//! [`Frame`] in CBOR, followed by the bytes of a body chunk where the frame
//! has one. Keeping the chunk outside the CBOR item spares a copy of every
//! body. Gossip datagrams carry a CBOR packet behind an authentication tag.
//! Both come from libraries; this crate adds the message types, the proof
//! of the fleet secret and nothing else.

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
