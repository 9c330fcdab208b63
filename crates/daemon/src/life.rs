//! Whether a daemon takes requests, and the bytes of bodies that it holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use cardamomshed_code::Code;

/// Whether a daemon takes requests, and the bytes of bodies that it holds.
#[derive(Debug, Default)]
pub struct Life {
    leaving: AtomicBool,
    closing: AtomicBool,
    bodies: Arc<AtomicUsize>,
}

impl Life {
    /// Refuses new requests from now on; the process is about to end.
    pub fn set_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Whether new requests are refused.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Announces that the daemon is leaving.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Counts body bytes held, for as long as the guard lives.
    ///
    /// # Errors
    ///
    /// [`Code::MemoryShed`] where more than `limit` bytes would be held.
    pub fn hold(&self, bytes: usize, limit: usize) -> Result<Held, Code> {
        let before = self.bodies.fetch_add(bytes, Ordering::Relaxed);
        let held = Held {
            bodies: Arc::clone(&self.bodies),
            bytes,
        };
        if before + bytes > limit {
            return Err(Code::MemoryShed);
        }
        Ok(held)
    }
}

/// Body bytes that are counted while this lives.
#[derive(Debug)]
pub struct Held {
    bodies: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.bodies.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
