//! Which incarnation of a target stands beside a daemon, from heartbeats
//! that may be late, repeated or sent by an incarnation that has ended.

use std::collections::VecDeque;
use std::sync::Arc;

/// Incarnations that ended and are remembered.
const REMEMBERED: usize = 32;

/// One start of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Identity of the instance; a restart may keep it.
    pub instance: Arc<str>,
    /// Its start, in milliseconds of the target's wall clock.
    pub born_ms: u64,
}

/// What a heartbeat changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An incarnation that was not known.
    New {
        /// Whether it takes no new calls.
        leaving: bool,
    },
    /// The current incarnation.
    Current {
        /// Whether it takes no new calls.
        leaving: bool,
    },
    /// The heartbeat was overtaken, or its sender has ended.
    Late,
}

#[derive(Clone, Debug)]
struct Known {
    incarnation: Incarnation,
    sequence: u64,
    /// Never falls back to false: a target that leaves does not return.
    leaving: bool,
    /// The instance answered a health check, which does not tell its start.
    start_unknown: bool,
}

/// The incarnation beside a daemon.
#[derive(Debug, Default)]
pub struct Registration {
    known: Option<Known>,
    /// Incarnations that were replaced, the oldest first.
    ended: VecDeque<Incarnation>,
}

impl Registration {
    /// Takes in a heartbeat.
    pub fn heartbeat(
        &mut self,
        incarnation: &Incarnation,
        sequence: u64,
        draining: bool,
    ) -> Verdict {
        if let Some(known) = &mut self.known
            && known.start_unknown
            && known.incarnation.instance == incarnation.instance
        {
            known.incarnation.born_ms = incarnation.born_ms;
            known.sequence = sequence;
            known.leaving |= draining;
            known.start_unknown = false;
            return Verdict::Current {
                leaving: known.leaving,
            };
        }
        if let Some(known) = &mut self.known
            && known.incarnation == *incarnation
        {
            if sequence <= known.sequence {
                return Verdict::Late;
            }
            known.sequence = sequence;
            known.leaving |= draining;
            return Verdict::Current {
                leaving: known.leaving,
            };
        }
        let older = self
            .known
            .as_ref()
            .is_some_and(|known| incarnation.born_ms < known.incarnation.born_ms);
        if older || self.ended.contains(incarnation) {
            return Verdict::Late;
        }
        self.replace(incarnation, sequence, draining);
        Verdict::New { leaving: draining }
    }

    /// Takes in an instance that answered a health check; says whether it may
    /// get calls, which is so only where no heartbeat or notice came first.
    pub fn adopt(&mut self, instance: &Arc<str>) -> bool {
        if self.known.is_some() {
            return false;
        }
        let incarnation = Incarnation {
            instance: Arc::clone(instance),
            born_ms: 0,
        };
        self.replace(&incarnation, 0, false);
        if let Some(known) = &mut self.known {
            known.start_unknown = true;
        }
        true
    }

    /// The current incarnation where it is leaving.
    pub fn leaving(&self) -> Option<&Incarnation> {
        let known = self.known.as_ref().filter(|known| known.leaving);
        known.map(|known| &known.incarnation)
    }

    /// Takes in the notice that an incarnation ends; says whether it is the
    /// current one, or one that no heartbeat came from.
    pub fn deregister(&mut self, instance: &Arc<str>, born_ms: Option<u64>) -> bool {
        let Some(known) = &mut self.known else {
            let incarnation = Incarnation {
                instance: Arc::clone(instance),
                born_ms: born_ms.unwrap_or(0),
            };
            self.replace(&incarnation, 0, true);
            return true;
        };
        let same = known.incarnation.instance == *instance
            && (known.start_unknown
                || born_ms.is_none_or(|born_ms| born_ms == known.incarnation.born_ms));
        known.leaving |= same;
        same
    }

    fn replace(&mut self, incarnation: &Incarnation, sequence: u64, leaving: bool) {
        let next = Known {
            incarnation: incarnation.clone(),
            sequence,
            leaving,
            start_unknown: false,
        };
        if let Some(before) = self.known.replace(next) {
            if self.ended.len() == REMEMBERED {
                self.ended.pop_front();
            }
            self.ended.push_back(before.incarnation);
        }
    }
}
