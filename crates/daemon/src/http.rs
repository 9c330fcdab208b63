//! HTTP listeners and handlers for callers, the local target, the platform and
//! operators.

mod access;
pub mod admin;
pub mod announce;
pub mod closing;
pub mod connection;
pub mod connection_table;
pub mod control;
pub mod head;
pub mod ingress;
mod open;
pub mod outbound;
pub mod preview;
pub mod problem;
mod receive;
mod reservation;
pub mod server;
