//! The daemon's account of memory, and buffers whose growth is reserved in it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_policy::memory::{Account, Kind, Limits};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::sync::lock;

/// Reserved bytes of a buffer whose final length is not known, per byte by which they
/// grow, once it has an allocation of [`MAPPED_CAPACITY`].
const GROWTH_DIVISOR: usize = 4;
/// Length from which a buffer is allocated with [`MAPPED_CAPACITY`], in bytes.
const MAPPED_BYTES: usize = 2 * 1024 * 1024;
/// Capacity that the C library's allocator always maps on its own and unmaps when it is
/// freed, in bytes. Bodies of some MiB in its heap leave gaps that took up to twice the
/// reserved memory. Only pages that are written take memory.
const MAPPED_CAPACITY: usize = 33 * 1024 * 1024;
/// Smallest growth of such a buffer, in bytes.
const MIN_GROWTH: usize = 1024;

/// Handle of an account that the whole daemon shares. The default has no limits.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    account: Mutex<Account>,
    /// Wakes those that wait for memory.
    released: Notify,
}

impl Default for Memory {
    fn default() -> Self {
        Self::new(Limits::UNLIMITED)
    }
}

impl Memory {
    /// Creates an account.
    pub fn new(limits: Limits) -> Self {
        Self(Arc::new(Shared {
            account: Mutex::new(Account::new(limits)),
            released: Notify::new(),
        }))
    }

    /// Applies a function to the account.
    pub fn with<R>(&self, apply: impl FnOnce(&mut Account) -> R) -> R {
        apply(&mut lock(&self.0.account))
    }

    /// Whether new requests are to be refused.
    pub fn is_full(&self) -> bool {
        self.with(|account| account.is_full())
    }

    /// Whether [`Self::reserve`] would find room for so many bytes. Reserves nothing.
    pub fn would_fit(&self, kind: Kind, bytes: usize) -> bool {
        // The copy takes the reservation.
        self.with(|account| account.clone().reserve(kind, bytes))
    }

    /// Reserves bytes, or returns `None` if there is no room for them.
    pub fn reserve(&self, kind: Kind, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.empty(kind);
        reservation.grow(bytes).then_some(reservation)
    }

    /// Reservation of no bytes.
    pub fn empty(&self, kind: Kind) -> Reservation {
        Reservation {
            memory: self.clone(),
            kind,
            bytes: 0,
        }
    }
}

/// Reserved bytes, which are released on drop.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    kind: Kind,
    bytes: usize,
}

impl Reservation {
    /// Reserves more bytes. Returns whether there was room for them.
    fn grow(&mut self, bytes: usize) -> bool {
        let has_room = self
            .memory
            .with(|account| account.reserve(self.kind, bytes));
        if has_room {
            self.bytes += bytes;
        }
        has_room
    }

    /// Reserves or releases bytes, so that `bytes` are reserved. Returns whether there
    /// was room for them; if not, nothing changes.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes >= self.bytes {
            return bytes == self.bytes || self.grow(bytes - self.bytes);
        }
        let released = self.bytes - bytes;
        self.bytes = bytes;
        self.memory
            .with(|account| account.release(self.kind, released));
        self.memory.0.released.notify_waiters();
        true
    }

    /// Returns the bytes of a body with the reservation, which is released once no part
    /// of the body is referenced.
    pub fn attach(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(Owned {
            body,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// A body with its reservation.
struct Owned<B> {
    body: B,
    _reservation: Reservation,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for Owned<B> {
    fn as_ref(&self) -> &[u8] {
        self.body.as_ref()
    }
}

/// Bytes of a body that arrives in parts.
#[derive(Debug)]
pub struct Buffer {
    /// At most as long as `room`, which its capacity may exceed.
    data: Vec<u8>,
    /// Reserved bytes.
    room: usize,
    /// Largest length that is expected, in bytes.
    expected: usize,
    reservation: Reservation,
}

impl Buffer {
    /// Creates an empty buffer, for which nothing is reserved. At most `expected` bytes
    /// are to be appended.
    pub fn new(memory: &Memory, kind: Kind, expected: usize) -> Self {
        Self {
            data: Vec::new(),
            room: 0,
            expected,
            reservation: memory.empty(kind),
        }
    }

    /// Largest length that is expected, in bytes.
    pub const fn expected(&self) -> usize {
        self.expected
    }

    /// Length in bytes.
    pub const fn len(&self) -> usize {
        self.data.len()
    }

    /// Whether there are no bytes.
    pub const fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Makes room for exactly `additional` bytes. Returns `false` if there is no memory.
    pub fn reserve_exact(&mut self, additional: usize) -> bool {
        let room = self.data.len() + additional;
        let missing = room.saturating_sub(self.room);
        if !self.reservation.grow(missing) {
            return false;
        }
        self.room += missing;
        if room <= self.data.capacity() {
            return true;
        }
        let mapped = MAPPED_CAPACITY.max(room) - self.data.len();
        if room < MAPPED_BYTES || self.data.try_reserve_exact(mapped).is_err() {
            self.data.reserve_exact(additional);
        }
        true
    }

    /// Appends bytes. Returns `false` and appends nothing if there is no memory.
    pub fn extend(&mut self, part: &[u8]) -> bool {
        let missing = (self.data.len() + part.len()).saturating_sub(self.room);
        if missing > 0 {
            let growth = if self.room < MAPPED_BYTES {
                self.room.max(MIN_GROWTH)
            } else {
                self.room / GROWTH_DIVISOR
            };
            let growth = growth.min(self.expected.saturating_sub(self.room));
            let grown = growth > missing && self.reserve_exact(part.len() + growth - missing);
            if !grown && !self.reserve_exact(part.len()) {
                return false;
            }
        }
        self.data.extend_from_slice(part);
        true
    }

    /// As [`Self::reserve_exact`], but waits for memory, at most until `until`.
    pub async fn reserve_exact_until(&mut self, additional: usize, until: Instant) -> bool {
        let memory = self.reservation.memory.clone();
        loop {
            let released = memory.0.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            if self.reserve_exact(additional) {
                return true;
            }
            if timeout_at(until, released).await.is_err() {
                return false;
            }
        }
    }

    /// As [`Self::extend`], but waits for memory, at most for `limit`.
    pub async fn extend_within(&mut self, part: &[u8], limit: Duration) -> bool {
        self.extend(part)
            || self
                .reserve_exact_until(part.len(), Instant::now() + limit)
                .await
                && self.extend(part)
    }

    /// Place for bytes to be read into, up to the reserved room.
    pub const fn data(&mut self) -> &mut Vec<u8> {
        &mut self.data
    }

    /// The bytes, whose reservation is released once no part of them is referenced.
    pub fn freeze(self) -> Bytes {
        if self.data.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Owned {
            body: self.data,
            _reservation: self.reservation,
        })
    }
}
