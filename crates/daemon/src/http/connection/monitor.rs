//! State of a connection that is visible from outside it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use cardamomshed_policy::Moment;
use tokio::sync::Notify;

use crate::http::connection_table::Entry;

/// Progress of one connection, and the means to close it.
#[derive(Debug)]
pub struct Monitor {
    /// Bytes of responses that wait to be written.
    waiting_bytes: AtomicUsize,
    /// Microseconds of the moment at which the client last accepted bytes, or at which
    /// the connection was opened.
    written_at: AtomicU64,
    closed: Notify,
    /// Place in the table of open connections, if the listener has one.
    entry: Option<Arc<Entry>>,
}

impl Monitor {
    /// Monitor of a connection that is opened `now`.
    pub fn new(now: Moment, entry: Option<Arc<Entry>>) -> Arc<Self> {
        Arc::new(Self {
            waiting_bytes: AtomicUsize::new(0),
            written_at: AtomicU64::new(now.as_micros()),
            closed: Notify::new(),
            entry,
        })
    }

    /// Bytes of responses that wait to be written: the encoded ones, and bodies of
    /// known length that have not been encoded.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes.load(Ordering::Relaxed)
    }

    /// Moment of the last successful write, or at which the connection was opened.
    pub fn written_at(&self) -> Moment {
        Moment::from_micros(self.written_at.load(Ordering::Relaxed))
    }

    /// Closes the connection at once. Its open requests are cancelled.
    pub fn close(&self) {
        self.closed.notify_one();
    }

    pub(super) async fn closed(&self) {
        let Some(entry) = &self.entry else {
            return self.closed.notified().await;
        };
        tokio::select! {
            () = self.closed.notified() => {}
            () = entry.closed() => {}
        }
    }

    pub(super) fn set_waiting_bytes(&self, bytes: usize) {
        self.waiting_bytes.store(bytes, Ordering::Relaxed);
    }

    pub(super) fn record_write(&self, bytes: usize, now: Moment) {
        if let Some(entry) = &self.entry {
            entry.record_written(bytes);
        }
        self.written_at.store(now.as_micros(), Ordering::Relaxed);
    }
}
