//! Policies of the overload control layer, free of I/O.
//!
//! A daemon passes events and the current [`Moment`] to a policy and acts on
//! the result. No policy reads a clock, a socket or a global random source, so
//! the same code runs in daemons, in benchmarks and in tests with simulated
//! time.

pub mod admission;
pub mod claim;
pub mod confirmation;
pub mod evacuation;
pub mod gate;
pub mod key;
pub mod member;
pub mod memory;
pub mod moment;
pub mod pipeline;
pub mod price;
pub mod quota;
pub mod registration;
pub mod reservation;
pub mod retry;
pub mod rotation;
pub mod route;
pub mod warmup;
pub mod window;

pub use key::{AccountKey, Priority, RegionKey, RouteKey, ServiceKey, TargetKey};
pub use moment::Moment;
