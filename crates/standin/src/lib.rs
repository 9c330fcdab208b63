//! Test doubles of the daemons' environment: the platform's services, the
//! targets, callers, and the naive baseline for experiments.
//!
//! All of them use the real protocols over loopback, so the daemons under test
//! run unmodified. Each server runs on its own thread, which stops when its
//! handle is dropped.

pub mod capacity;
pub mod client;
pub mod experiment;
pub mod fleet;
pub mod naive;
pub mod peer;
pub mod platform;
pub mod shape;
pub mod soak;
pub mod target;
pub mod thread;
