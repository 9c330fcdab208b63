//! Every decision of the overload control layer, free of I/O.
//!
//! A daemon feeds events and the current [`Moment`] in and carries out what
//! comes back. Nothing here reads a clock, a socket or a global random
//! source, so the same code runs in a daemon, in a benchmark and in a test
//! that moves time by hand.

pub mod admission;
pub mod gate;
pub mod key;
pub mod member;
pub mod moment;
pub mod price;
pub mod quota;
pub mod registration;
pub mod retry;
pub mod rotation;
pub mod route;

pub use key::{AccountKey, Priority, RouteKey, ServiceKey, TargetKey};
pub use moment::Moment;
