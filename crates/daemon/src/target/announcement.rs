//! Announcements of the local target.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Registration of a target with the daemon on its VM, sent by the target itself
/// or, on the platform, derived from its heartbeats and health checks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the target serves.
    pub service: Arc<str>,
    /// Address on this VM at which the target accepts HTTP requests.
    pub address: SocketAddr,
    /// Calls that the target runs concurrently, 1 or more.
    pub slots: u32,
    /// Connections that the target accepts concurrently, 1 or more.
    pub connections: u32,
    /// Ramp-up time after a start, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// Whether the target is about to stop and accepts no new calls.
    #[serde(default)]
    pub leaving: bool,
    /// Identity of the incarnation. Only instances of the platform have one.
    #[serde(default)]
    pub instance: Option<Arc<str>>,
}

/// Effect of an announcement on the registered target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The announced target was registered. It replaces an earlier one, if any.
    New,
    /// The registered target started to leave.
    Leaving,
    /// Only the time of the last announcement was updated.
    Unchanged,
}
