//! Sidecar daemon of a target.
//!
//! A daemon is the ingress for the requests that callers send to it, the only
//! entry point to its local target, and a member of the fleet. The state that
//! the fleet agrees on is stored in the platform's table service only; all other
//! state may differ between daemons. The policy crate takes the decisions, and
//! the modules here do the I/O. Long-running tasks are actors under one
//! supervisor. The request path consists of asynchronous functions over the
//! shared [`node::Node`].

pub mod actor;
pub mod backpressure;
pub mod claim;
pub mod clock;
pub mod configuration;
pub mod context;
pub mod daemon;
pub mod departure;
pub mod directory;
pub mod dispatch;
pub mod evacuation;
pub mod exchange;
mod health_check;
pub mod history;
pub mod http;
pub mod job;
pub mod lifecycle;
pub mod link;
pub mod logging;
pub mod members;
pub mod memory;
pub mod metrics;
pub mod node;
mod outcome;
pub mod quota;
pub mod reload;
pub mod reply;
pub mod request;
pub mod routing;
pub mod runner;
pub mod service;
mod shed;
mod sync;
pub mod target;
pub mod tls;
pub mod trace;
pub mod warmth;

pub use daemon::Daemon;
pub use node::Options;
