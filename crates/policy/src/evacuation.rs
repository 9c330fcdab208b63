//! Which failure domains are evacuated, according to reads of the store by many
//! daemons.
//!
//! Every read carries a stamp, and the read with the greatest stamp counts, so the
//! order in which daemons learn of reads does not matter. A store that was restored
//! from an old copy may lack rows until their writers write them again. For some time
//! after a rise of the store's era, reads therefore begin evacuations but end none
//! that was in force before.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::moment::Moment;

/// Time after a rise of the store's era from which a read without a row ends the
/// evacuation.
pub const HOLD: Duration = Duration::from_secs(10);

/// Position of a read in the history of the store. Versions go back when the era
/// rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Era of the store, zero if the store reports none.
    #[serde(rename = "e")]
    pub era: u64,
    /// Version of the store in that era.
    #[serde(rename = "v")]
    pub version: u64,
}

/// Result of one read: the failure domains that have a row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Reading {
    /// When it was read, in the history of the store.
    #[serde(rename = "t")]
    pub stamp: Stamp,
    /// Names of the domains.
    #[serde(rename = "d")]
    pub domains: BTreeSet<Arc<str>>,
}

impl Reading {
    /// Takes over the reading with the greater stamp. Two with equal stamps differ
    /// only if their readers know different domains; both sets then count.
    fn merge(&mut self, other: &Self) {
        if other.stamp > self.stamp {
            self.clone_from(other);
        } else if other.stamp == self.stamp {
            self.domains.extend(other.domains.iter().cloned());
        }
    }
}

/// Evacuations as daemons pass them on. Merging is commutative, associative and
/// idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct State {
    /// Newest reading that ends evacuations.
    #[serde(rename = "s")]
    settled: Reading,
    /// Newest reading of each era within [`HOLD`] after its start. Sorted by era; all
    /// stamps exceed that of `settled`.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    recent: Vec<Reading>,
}

impl State {
    /// Merges the state of another daemon.
    pub fn merge(&mut self, other: &Self) {
        self.settled.merge(&other.settled);
        for reading in &other.recent {
            self.merge_recent(reading);
        }
        let settled = self.settled.stamp;
        self.recent.retain(|reading| reading.stamp > settled);
    }

    /// Names of the evacuated domains.
    pub fn domains(&self) -> BTreeSet<Arc<str>> {
        let readings = [&self.settled].into_iter().chain(&self.recent);
        let domains = readings.flat_map(|reading| &reading.domains);
        domains.cloned().collect()
    }

    fn merge_recent(&mut self, reading: &Reading) {
        let era = |known: &Reading| known.stamp.era;
        match self.recent.binary_search_by_key(&era(reading), era) {
            Ok(index) => self.recent[index].merge(reading),
            Err(index) => self.recent.insert(index, reading.clone()),
        }
    }
}

/// Evacuations as one daemon knows them.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// `None` until the first evacuation that this process learned of.
    state: Option<State>,
    /// Domains of `state`.
    domains: BTreeSet<Arc<str>>,
    /// Greatest era that this process has read.
    era: u64,
    /// When it first read in that era.
    era_began: Moment,
}

impl Evacuations {
    /// Records a read that this daemon sent at `sent`. Returns whether the set of
    /// evacuated domains changed.
    pub fn record(&mut self, reading: Reading, sent: Moment) -> bool {
        let era = reading.stamp.era;
        if era > self.era {
            self.era = era;
            self.era_began = sent;
        }
        if self.state.is_none() && reading.domains.is_empty() {
            return false;
        }
        // Era 0 is that of a store that was never restored. The first era that a
        // process reads may have begun just before.
        let is_settled = era == 0 || sent.since(self.era_began) >= HOLD;
        let read = if is_settled {
            State {
                settled: reading,
                recent: Vec::new(),
            }
        } else {
            State {
                settled: Reading::default(),
                recent: vec![reading],
            }
        };
        self.merge(&read)
    }

    /// Merges the state of another daemon. Returns whether the set of evacuated
    /// domains changed.
    pub fn merge(&mut self, other: &State) -> bool {
        let state = self.state.get_or_insert_default();
        state.merge(other);
        let domains = state.domains();
        let changed = domains != self.domains;
        self.domains = domains;
        changed
    }

    /// State to pass on, `None` until the first evacuation.
    pub const fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// Names of the evacuated domains.
    pub const fn domains(&self) -> &BTreeSet<Arc<str>> {
        &self.domains
    }
}
