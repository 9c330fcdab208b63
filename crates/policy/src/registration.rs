//! Registration of the local target.
//!
//! Determines the current incarnation of the target beside a daemon from
//! heartbeats that may be late, repeated or sent by an incarnation that has been
//! replaced.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::moment::Moment;

/// Replaced incarnations that are kept to reject their late heartbeats.
const MAX_REPLACED: usize = 32;

/// One run of a target process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Identity of the instance. It may stay the same over a restart.
    pub instance: Arc<str>,
    /// Start of the process, in milliseconds of the target's wall clock. Zero if
    /// unknown.
    pub born_ms: u64,
}

/// Classification of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// From an incarnation that was unknown and is now the current one.
    New {
        /// Whether it takes no new calls.
        leaving: bool,
    },
    /// From the current incarnation.
    Current {
        /// Whether it takes no new calls.
        leaving: bool,
    },
    /// Superseded by a later heartbeat, or from an older or replaced incarnation.
    Stale,
    /// Reports a target that accepts calls, while it is not known whether that
    /// target announced its departure to an earlier process.
    Deferred,
}

#[derive(Clone, Debug)]
struct Entry {
    incarnation: Incarnation,
    sequence: u64,
    /// Once set, stays set: an incarnation that leaves does not return.
    leaving: bool,
    /// The instance is known from a health check only, which does not report its
    /// start.
    start_unknown: bool,
}

/// Current and replaced incarnations of the target beside a daemon.
#[derive(Debug, Default)]
pub struct Registration {
    current: Option<Entry>,
    /// Replaced incarnations, oldest first.
    replaced: VecDeque<Incarnation>,
    /// Time until which heartbeats are deferred because the stored departure has
    /// not been read yet.
    deferred_until: Option<Moment>,
}

impl Registration {
    /// Defers heartbeats of targets that accept calls until the stored departure
    /// was read, at most until `deadline`. A late heartbeat would otherwise readmit
    /// a target whose departure an earlier process acknowledged.
    pub const fn defer_until(&mut self, deadline: Moment) {
        self.deferred_until = Some(deadline);
    }

    /// Ends the deferral, once the stored departure was read.
    pub const fn end_deferral(&mut self) {
        self.deferred_until = None;
    }

    /// Processes a heartbeat. `sequence` increases with each heartbeat of one
    /// incarnation.
    pub fn heartbeat(
        &mut self,
        incarnation: &Incarnation,
        sequence: u64,
        draining: bool,
        now: Moment,
    ) -> Verdict {
        let is_deferred = self.deferred_until.is_some_and(|until| now < until);
        if is_deferred && !draining {
            return Verdict::Deferred;
        }
        if let Some(entry) = &mut self.current
            && entry.start_unknown
            && entry.incarnation.instance == incarnation.instance
        {
            entry.incarnation.born_ms = incarnation.born_ms;
            entry.sequence = sequence;
            entry.leaving |= draining;
            entry.start_unknown = false;
            return Verdict::Current {
                leaving: entry.leaving,
            };
        }
        if let Some(entry) = &mut self.current
            && entry.incarnation == *incarnation
        {
            if sequence <= entry.sequence {
                return Verdict::Stale;
            }
            entry.sequence = sequence;
            entry.leaving |= draining;
            return Verdict::Current {
                leaving: entry.leaving,
            };
        }
        let older = self
            .current
            .as_ref()
            .is_some_and(|entry| incarnation.born_ms < entry.incarnation.born_ms);
        if older || self.replaced.contains(incarnation) {
            return Verdict::Stale;
        }
        self.replace(incarnation, sequence, draining);
        Verdict::New { leaving: draining }
    }

    /// Registers an instance that answered a health check. Returns whether it may
    /// receive calls, which requires that no heartbeat or deregistration was
    /// processed before, except the deregistration of another instance: the one that
    /// answers has replaced it.
    pub fn adopt(&mut self, instance: &Arc<str>) -> bool {
        let is_replaced = |entry: &Entry| entry.leaving && entry.incarnation.instance != *instance;
        if !self.current.as_ref().is_none_or(is_replaced) {
            return false;
        }
        let incarnation = Incarnation {
            instance: Arc::clone(instance),
            born_ms: 0,
        };
        self.replace(&incarnation, 0, false);
        if let Some(entry) = &mut self.current {
            entry.start_unknown = true;
        }
        true
    }

    /// The current incarnation if it is leaving.
    pub fn leaving(&self) -> Option<&Incarnation> {
        let entry = self.current.as_ref().filter(|entry| entry.leaving);
        entry.map(|entry| &entry.incarnation)
    }

    /// Marks an incarnation as leaving. Returns whether it is the current one, or
    /// the first that is registered. Without `born_ms` only the instance is
    /// compared.
    pub fn deregister(&mut self, instance: &Arc<str>, born_ms: Option<u64>) -> bool {
        let Some(entry) = &mut self.current else {
            let incarnation = Incarnation {
                instance: Arc::clone(instance),
                born_ms: born_ms.unwrap_or(0),
            };
            self.replace(&incarnation, 0, true);
            return true;
        };
        let is_current = entry.incarnation.instance == *instance
            && (entry.start_unknown
                || born_ms.is_none_or(|born_ms| born_ms == entry.incarnation.born_ms));
        if is_current
            && entry.start_unknown
            && let Some(born_ms) = born_ms
        {
            // A later run of the same instance is told from this one by its start.
            entry.incarnation.born_ms = born_ms;
            entry.start_unknown = false;
        }
        entry.leaving |= is_current;
        is_current
    }

    fn replace(&mut self, incarnation: &Incarnation, sequence: u64, leaving: bool) {
        let next = Entry {
            incarnation: incarnation.clone(),
            sequence,
            leaving,
            start_unknown: false,
        };
        if let Some(previous) = self.current.replace(next) {
            if self.replaced.len() == MAX_REPLACED {
                self.replaced.pop_front();
            }
            self.replaced.push_back(previous.incarnation);
        }
    }
}
