//! Lifecycle state of a daemon and the memory used by request bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use cardamomshed_code::Code;

/// Lifecycle flags of a daemon and a counter of reserved body bytes.
#[derive(Debug, Default)]
pub struct Lifecycle {
    leaving: AtomicBool,
    closing: AtomicBool,
    body_bytes: Arc<AtomicUsize>,
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

    /// Reserves `bytes` for a body until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// [`Code::MemoryShed`] if more than `limit` bytes would be reserved in total.
    pub fn reserve(&self, bytes: usize, limit: usize) -> Result<Reservation, Code> {
        let before = self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        let reservation = Reservation {
            body_bytes: Arc::clone(&self.body_bytes),
            bytes,
        };
        if before + bytes > limit {
            return Err(Code::MemoryShed);
        }
        Ok(reservation)
    }
}

/// Guard that releases reserved body bytes on drop.
#[derive(Debug)]
pub struct Reservation {
    body_bytes: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.body_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
