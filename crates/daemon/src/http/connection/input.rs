//! Input of a connection that has not been decoded, and the memory that is reserved for
//! it.
//!
//! An allocation is charged with its whole capacity before it is made. A head is copied
//! out of the buffer and charged with its length until its request has been answered.
//! Parts of a body share the buffer's allocation, which stays charged as long as one of
//! them exists.

use std::mem;
use std::sync::{Arc, Mutex};
use std::task::Context;

use bytes::{Buf, Bytes, BytesMut};
use cardamomshed_policy::memory::Kind;
use futures_util::task::AtomicWaker;

use crate::memory::{Memory, Reservation};
use crate::sync::lock;

/// Smallest size of the buffer, in bytes. Most heads are shorter.
pub const HEAD_BYTES: usize = 4 * 1024;
/// Size of the buffer into which bodies are read if there is memory for it, in bytes.
const BODY_BYTES: usize = 32 * 1024;
/// Free bytes of a buffer below which it is not read into, unless it has its full size.
const MIN_FREE_BYTES: usize = 1024;

/// Buffer into which a connection reads.
pub struct Input {
    data: BytesMut,
    /// Charge for the allocation of `data`, if there is one.
    allocation: Option<Arc<Charge>>,
    allowance: Arc<Allowance>,
}

/// What is read next.
#[derive(Clone, Copy, Debug)]
pub enum Part {
    /// A head of at most this length, in bytes.
    Head(usize),
    Body,
}

/// Result of searching for a head.
pub enum Head {
    /// The head up to its empty line, without what follows it.
    Whole(BytesMut, Charge),
    Partial,
    TooLarge,
    /// There is no memory for the copy.
    Unreserved,
}

impl Input {
    /// Empty buffer. `included` is the number of bytes that the reservation of the
    /// connection covers.
    pub fn new(memory: &Memory, included: usize) -> Self {
        Self {
            data: BytesMut::new(),
            allocation: None,
            allowance: Arc::new(Allowance {
                included,
                state: Mutex::new(State {
                    used: 0,
                    extra: memory.empty(Kind::Connection),
                }),
                waker: AtomicWaker::new(),
            }),
        }
    }

    /// Bytes that have not been decoded, to which as many may be appended as the
    /// capacity allows.
    pub const fn data(&mut self) -> &mut BytesMut {
        &mut self.data
    }

    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Drops the content and the allocation.
    pub fn clear(&mut self) {
        self.data = BytesMut::new();
        self.allocation = None;
    }

    /// Drops the allocation if nothing is buffered and it is larger than `kept` bytes.
    pub fn shrink(&mut self, kept: usize) {
        if self.data.is_empty() && self.size() > kept {
            self.clear();
        }
    }

    /// Whether there is room to read into. If not, the task is woken when parts of a
    /// body have been dropped.
    pub fn has_room(&mut self, part: Part, cx: &Context<'_>) -> bool {
        let largest = match part {
            Part::Head(limit) => limit.max(HEAD_BYTES),
            Part::Body => BODY_BYTES,
        };
        let capacity = self.data.capacity();
        let free = capacity - self.data.len();
        if free >= MIN_FREE_BYTES || free > 0 && capacity >= largest {
            return true;
        }
        let size = match part {
            Part::Head(_) => (self.data.len() * 2).clamp(HEAD_BYTES, largest),
            Part::Body => BODY_BYTES,
        };
        // The existing allocation if it is large enough, else a new one, else the existing
        // one whatever its size. The waker is registered before the parts are counted, so
        // that no drop is missed.
        self.allowance.waker.register(cx.waker());
        self.size() >= size && self.reuse() || self.replace(size) || self.reuse()
    }

    /// Size of the allocation in bytes.
    fn size(&self) -> usize {
        self.allocation.as_ref().map_or(0, |charge| charge.bytes)
    }

    /// Moves the content to the start of the allocation, unless a part of a body refers
    /// to it. Returns whether there is room then.
    fn reuse(&mut self) -> bool {
        let size = self.size();
        let is_shared = self
            .allocation
            .as_ref()
            .is_some_and(|charge| Arc::strong_count(charge) > 1);
        if is_shared || self.data.len() >= size {
            return false;
        }
        if !(self.data.is_empty() && self.data.try_reclaim(size)) {
            self.reallocate(size);
        }
        true
    }

    /// Moves the content to a new allocation. Returns `false` if there is no memory.
    fn replace(&mut self, size: usize) -> bool {
        if self.data.len() >= size {
            return false;
        }
        let Some(charge) = self.allowance.charge(size) else {
            return false;
        };
        self.reallocate(size);
        self.allocation = Some(Arc::new(charge));
        true
    }

    fn reallocate(&mut self, size: usize) {
        let content = mem::take(&mut self.data);
        self.data = BytesMut::with_capacity(size);
        self.data.extend_from_slice(&content);
    }

    /// Takes a head of at most `limit` bytes. Empty lines before it are dropped.
    pub fn take_head(&mut self, limit: usize) -> Head {
        loop {
            match *self.data {
                [b'\r', b'\n', ..] => self.data.advance(2),
                [b'\n', ..] => self.data.advance(1),
                _ => break,
            }
        }
        if self.data.is_empty() {
            return Head::Partial;
        }
        let searched = &self.data[..limit.min(self.data.len())];
        let Some(length) = head_length(searched) else {
            return if self.data.len() >= limit {
                Head::TooLarge
            } else {
                Head::Partial
            };
        };
        let Some(charge) = self.allowance.charge(length) else {
            return Head::Unreserved;
        };
        let mut head = BytesMut::with_capacity(length);
        head.extend_from_slice(&self.data[..length]);
        self.data.advance(length);
        Head::Whole(head, charge)
    }

    /// Part of a body that was taken from the buffer, with the charge for its
    /// allocation.
    pub fn attach(&self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(Owned {
            body,
            allocation: self.allocation.clone(),
        })
    }
}

/// Length of a head with the empty line that ends it.
fn head_length(bytes: &[u8]) -> Option<usize> {
    let mut lines = bytes.iter().enumerate();
    lines.find_map(|(index, byte)| match bytes[index + 1..] {
        [b'\n', ..] if *byte == b'\n' => Some(index + 2),
        [b'\r', b'\n', ..] if *byte == b'\n' => Some(index + 3),
        _ => None,
    })
}

/// Memory that the input of one connection may take.
struct Allowance {
    /// Bytes that the reservation of the connection covers.
    included: usize,
    state: Mutex<State>,
    /// Wakes the task of the connection when a part of a body has been dropped.
    waker: AtomicWaker,
}

struct State {
    /// Bytes of all charges.
    used: usize,
    /// Reservation of what exceeds the included bytes.
    extra: Reservation,
}

impl Allowance {
    /// Charges bytes, or returns `None` if they cannot be reserved.
    fn charge(self: &Arc<Self>, bytes: usize) -> Option<Charge> {
        let mut state = lock(&self.state);
        let used = state.used + bytes;
        if !state.extra.resize(used.saturating_sub(self.included)) {
            return None;
        }
        state.used = used;
        Some(Charge {
            allowance: Arc::clone(self),
            bytes,
        })
    }
}

/// Bytes for which memory is reserved until this is dropped.
pub struct Charge {
    allowance: Arc<Allowance>,
    bytes: usize,
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut state = lock(&self.allowance.state);
        state.used -= self.bytes;
        let extra = state.used.saturating_sub(self.allowance.included);
        state.extra.resize(extra);
    }
}

/// Part of a body that shares the allocation of the buffer.
struct Owned {
    body: Bytes,
    allocation: Option<Arc<Charge>>,
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for Owned {
    fn drop(&mut self) {
        drop(mem::take(&mut self.body));
        if let Some(charge) = self.allocation.take() {
            let allowance = Arc::clone(&charge.allowance);
            drop(charge);
            allowance.waker.wake();
        }
    }
}
