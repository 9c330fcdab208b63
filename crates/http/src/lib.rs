//! HTTP/1.1 client whose responses are whole or fail.
//!
//! The client library takes the end of a connection for the end of a body, whatever length
//! the response has, and a response without a length for an empty one. This client reads
//! each body to its end and checks it against the head (RFC 9112, section 6).

mod body;
mod client;
mod error;
mod transport;

pub use client::{Client, Config, Response};
pub use error::Error;
