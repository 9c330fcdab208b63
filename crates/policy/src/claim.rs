//! Claims of idempotency keys that a daemon writes again after the platform's store has
//! returned from an old copy.
//!
//! The copy holds everything that was written up to some moment and nothing later. A
//! daemon keeps its last rows in the order of their writes and checks them from the
//! newest on. The first row that the copy holds as it was written ends the check.

mod grace;
mod repair;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::moment::Moment;

pub use grace::Grace;
pub use repair::{Found, Repair};

/// Time for which a row is kept, counted up to the newest row. A copy is some seconds
/// old. Time without writes does not count, so rows are kept through an outage of the
/// store.
pub const RETENTION: Duration = Duration::from_mins(1);
/// Rows that are tried with one transaction first. If the store holds some of them, they
/// are read one by one; a daemon's part of the store's reads is small.
const SMALL_BATCH: usize = 16;
/// Rows in a transaction after one for which the store held none.
const LARGE_BATCH: usize = 64;

/// Bound on the rows that are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of rows.
    pub rows: usize,
    /// Bytes of all rows.
    pub bytes: usize,
}

impl Default for Limits {
    /// At the target size a daemon writes 1.2 claims a second: 72 rows in 60 s, or 4.5 MiB
    /// if every answer has the largest body that is stored. The rows are outside the
    /// memory account, which leaves 34 MB free on the smallest machine.
    fn default() -> Self {
        Self {
            rows: 10_000,
            bytes: 8 * 1024 * 1024,
        }
    }
}

/// Progress of a claim as its row shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The request may be running.
    Open,
    /// The outcome is recorded.
    Settled,
    /// The request did not run, and the row was removed.
    Removed,
}

/// A row as this daemon wrote it last.
#[derive(Clone, Debug)]
pub struct Written<V> {
    /// Key of the row.
    pub key: Arc<str>,
    /// Random id of the claim.
    pub claim: u64,
    /// Progress of the claim.
    pub stage: Stage,
    /// Contents; `None` if the row was removed.
    pub value: Option<V>,
    /// Memory that the row takes.
    pub bytes: usize,
    /// Era of the store as known before the write was sent; the write may have taken
    /// effect in a later one.
    pub era: u64,
    /// Whether the response reported the same era.
    pub is_same_era: bool,
}

/// The last rows that a daemon wrote, and the progress of writing them again.
#[derive(Debug)]
pub struct Journal<V> {
    limits: Limits,
    /// Rows in the order of their writes, each key once, with the time of the write.
    rows: BTreeMap<u64, (Moment, Written<V>)>,
    /// Position in `rows` by key.
    positions: IndexMap<Arc<str>, u64>,
    /// Position of the next row.
    next: u64,
    /// Bytes of all rows; within `limits` between calls.
    bytes: usize,
    /// Rows dropped for the limits and not yet reported.
    dropped: u64,
    /// Era of the check that started last.
    era: u64,
    /// Positions of the rows to check, the newest first.
    pending: VecDeque<u64>,
    /// Positions of rows in whose place another daemon holds an open claim.
    blocked: Vec<u64>,
    /// Number of rows in the next batch.
    batch: usize,
    /// Whether the store has lacked all rows of this check so far.
    may_grow: bool,
}

impl<V> Journal<V> {
    /// Creates a state without rows.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            rows: BTreeMap::new(),
            positions: IndexMap::new(),
            next: 0,
            bytes: 0,
            dropped: 0,
            era: 0,
            pending: VecDeque::new(),
            blocked: Vec::new(),
            batch: SMALL_BATCH,
            may_grow: true,
        }
    }

    /// Keeps a row that was written. Drops rows whose retention has ended, and the oldest
    /// beyond the limits. A row written in an era before the current one is checked.
    pub fn record(&mut self, written: Written<V>, now: Moment) {
        self.remove(&Arc::clone(&written.key));
        if written.era < self.era {
            self.pending.push_front(self.next);
        }
        self.bytes += written.bytes;
        self.positions.insert(Arc::clone(&written.key), self.next);
        self.rows.insert(self.next, (now, written));
        self.next += 1;
        while let Some((_, (at, oldest))) = self.rows.first_key_value() {
            if now.since(*at) <= RETENTION {
                break;
            }
            let key = Arc::clone(&oldest.key);
            self.remove(&key);
        }
        self.drop_excess();
    }

    /// Replaces the contents of a row that is still to be checked; its check then writes
    /// the new ones. Returns them if the row is not to be checked.
    pub fn amend(&mut self, changed: Written<V>) -> Option<Written<V>> {
        let position = self.positions.get(&changed.key).copied();
        let is_due = |at: &u64| self.pending.contains(at) || self.blocked.contains(at);
        let Some(position) = position.filter(is_due) else {
            return Some(changed);
        };
        match self.rows.get_mut(&position) {
            Some((_, row)) if row.claim == changed.claim => {
                self.bytes = self.bytes + changed.bytes - row.bytes;
                *row = Written {
                    era: row.era,
                    is_same_era: row.is_same_era,
                    ..changed
                };
                self.drop_excess();
                None
            }
            _ => Some(changed),
        }
    }

    /// Number of rows that were dropped for the limits since the last call.
    pub const fn take_dropped(&mut self) -> u64 {
        std::mem::replace(&mut self.dropped, 0)
    }

    /// Starts to check the rows that were written before `era`, in which the store is now.
    pub fn start(&mut self, era: u64) {
        self.era = era;
        let written_before = |(position, (_, row)): (&u64, &(Moment, Written<V>))| {
            (row.era < era).then_some(*position)
        };
        self.pending = self.rows.iter().rev().filter_map(written_before).collect();
        self.blocked.clear();
        (self.batch, self.may_grow) = (SMALL_BATCH, true);
    }

    /// Whether rows are still to be checked.
    pub fn is_rewriting(&self) -> bool {
        !self.pending.is_empty() || !self.blocked.is_empty()
    }

    /// Whether only rows in whose place another daemon holds an open claim are left.
    pub fn is_blocked(&self) -> bool {
        self.pending.is_empty() && !self.blocked.is_empty()
    }

    /// Checks again the rows in whose place another daemon held an open claim.
    pub fn retry_blocked(&mut self) {
        self.pending.extend(self.blocked.drain(..));
    }

    /// Whether rows can be checked now.
    pub fn is_due(&self) -> bool {
        !self.pending.is_empty()
    }

    /// A row that is kept.
    pub fn get(&self, key: &str) -> Option<&Written<V>> {
        let position = self.positions.get(key)?;
        self.rows.get(position).map(|(_, row)| row)
    }

    /// The newest rows to check.
    pub fn batch(&self) -> impl Iterator<Item = &Written<V>> {
        let positions = self.pending.iter().take(self.batch);
        positions.filter_map(|position| self.rows.get(position).map(|(_, row)| row))
    }

    /// Takes a larger batch next, since the store lacked all rows of this one.
    pub const fn grow_batch(&mut self) {
        if self.may_grow {
            self.batch = LARGE_BATCH;
        }
    }

    /// Takes a smaller batch next, since the store holds some rows of this one. Returns
    /// whether it was larger than the smallest.
    pub const fn shrink_batch(&mut self) -> bool {
        let is_large = self.batch > SMALL_BATCH;
        (self.batch, self.may_grow) = (SMALL_BATCH, false);
        is_large
    }

    /// Records that a row was written again, in the era known before that write.
    pub fn record_rewrite(&mut self, key: &str, era: u64, is_same_era: bool, now: Moment) {
        if let Some(row) = self.remove(key) {
            let written = Written {
                era,
                is_same_era,
                ..row
            };
            self.record(written, now);
        }
    }

    /// Records that a row needs no write. If the copy holds it as it was written, it holds
    /// all that was written before as well, and the check ends.
    pub fn record_found(&mut self, key: &str, is_intact: bool) {
        let Some(position) = self.positions.get(key).copied() else {
            return;
        };
        let is_proof = is_intact
            && self
                .rows
                .get(&position)
                .is_some_and(|row| row.1.is_same_era);
        self.pending
            .retain(|pending| *pending != position && !(is_proof && *pending < position));
    }

    /// Records that another daemon holds an open claim in the place of a row. That daemon
    /// removes it soon if it learned of the new era by writing it.
    pub fn record_blocked(&mut self, key: &str) {
        if let Some(position) = self.positions.get(key).copied() {
            self.pending.retain(|pending| *pending != position);
            self.blocked.push(position);
        }
    }

    /// Drops a row in whose place another daemon has written one.
    pub fn forget(&mut self, key: &str) {
        self.remove(key);
    }

    /// Number of rows that are kept.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no row is kept.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn drop_excess(&mut self) {
        while self.rows.len() > self.limits.rows || self.bytes > self.limits.bytes {
            let Some((_, (_, oldest))) = self.rows.first_key_value() else {
                return;
            };
            let key = Arc::clone(&oldest.key);
            self.remove(&key);
            self.dropped += 1;
        }
    }

    fn remove(&mut self, key: &str) -> Option<Written<V>> {
        let position = self.positions.swap_remove(key)?;
        let (_, row) = self.rows.remove(&position)?;
        self.bytes -= row.bytes;
        if self.is_rewriting() {
            self.pending.retain(|pending| *pending != position);
            self.blocked.retain(|blocked| *blocked != position);
        }
        Some(row)
    }
}
