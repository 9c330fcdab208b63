//! The daemon that stands beside each target.
//!
//! It is the ingress of whatever callers send to it, the only way in to its
//! target, and one member of a fleet that agrees on nothing but what the
//! platform's table service keeps. The policies decide; the modules here
//! carry out. Long-lived parts are actors under one supervisor, and the
//! request path is asynchronous functions over the shared [`node::Node`].

pub mod actor;
pub mod beside;
pub mod claim;
pub mod clock;
pub mod configuration;
pub mod context;
pub mod daemon;
pub mod departure;
pub mod directory;
pub mod dispatch;
pub mod exchange;
pub mod history;
pub mod http;
pub mod job;
pub mod lifecycle;
pub mod link;
pub mod logging;
pub mod members;
pub mod metrics;
pub mod node;
pub mod parts;
pub mod quota;
pub mod reload;
pub mod reply;
pub mod routing;
pub mod runner;
pub mod service;
mod sync;
pub mod tls;
pub mod trace;

pub use daemon::Daemon;
pub use node::Options;
