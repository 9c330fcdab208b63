//! The platform's table service and object store behind one client.
//!
//! Everything that must last lives there. The client speaks the service's
//! HTTP interface: rows with entity tags, conditional writes and small
//! transactions. A write whose answer is lost may or may not have taken
//! effect; callers settle that by reading, so every row that this project
//! writes carries the identity of its writer.

mod client;
mod row;

pub use client::Client;
pub use row::{Expect, Operation, Row};
