//! Lifecycle state of a daemon.

use std::sync::atomic::{AtomicBool, Ordering};

/// Lifecycle flags of a daemon.
#[derive(Debug, Default)]
pub struct Lifecycle {
    leaving: AtomicBool,
    closing: AtomicBool,
}

impl Lifecycle {
    /// Marks the daemon as closing: the process is about to end and new requests are
    /// refused.
    pub fn set_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Whether the daemon is closing.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Marks the daemon as leaving the fleet.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the daemon is leaving the fleet.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
