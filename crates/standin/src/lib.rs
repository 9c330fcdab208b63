//! Stand-ins for what surrounds the system: the platform's services, the
//! targets, and the naive baseline that experiments compare with.
//!
//! Everything speaks the published protocols over loopback, so the daemons
//! under test run unchanged. Each stand-in has a thread of its own and ends
//! when its handle is dropped.

pub mod capacity;
pub mod client;
pub mod experiment;
pub mod fleet;
pub mod naive;
pub mod peer;
pub mod platform;
pub mod shape;
pub mod target;
pub mod thread;
