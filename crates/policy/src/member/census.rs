//! Size of the fleet, as far as it is known from before the start.
//!
//! A process that starts knows the members that it has met. Others may live that it
//! has not met yet, or cannot reach. Earlier processes have counted them, and a daemon
//! takes their count for the size of the fleet until it has met as many.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Fleet, State};
use crate::moment::Moment;

/// Number of members of a failure domain. Rows of the store have those that are
/// active there, and a peer passes on all that have not left.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Size {
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: Arc<str>,
    /// Members, at least.
    #[serde(rename = "n")]
    pub members: u32,
}

/// Count that this process received.
#[derive(Debug, Default)]
pub(super) struct Census {
    /// When it was received; `None` before that.
    received_at: Option<Moment>,
    /// Members of each failure domain. A domain is removed once as many of its
    /// members have been met: what happens to them is known from then on.
    expected: IndexMap<Arc<str>, u32>,
}

impl Fleet {
    /// Whether the size of the fleet has been received since the start. Before that,
    /// it may have any number of members that are not known here.
    pub const fn is_counted(&self) -> bool {
        self.census.received_at.is_some()
    }

    /// Takes over the count of an earlier process, or of a member that has one. Later
    /// counts are ignored. Returns whether it was the first.
    pub fn receive_sizes(&mut self, sizes: Vec<Size>, now: Moment) -> bool {
        if self.is_counted() {
            return false;
        }
        self.census.received_at = Some(now);
        for size in sizes {
            let expected = self.census.expected.entry(size.domain).or_default();
            *expected = size.members.max(*expected);
        }
        self.review_census(now);
        true
    }

    /// Number of members that have not left, this one included, in each failure
    /// domain.
    pub fn sizes(&self) -> Vec<Size> {
        let mut sizes = self.known_by_domain();
        for (domain, expected) in &self.census.expected {
            let members = sizes.entry(Arc::clone(domain)).or_default();
            *members = (*members).max(*expected);
        }
        let sizes = sizes.into_iter();
        sizes
            .map(|(domain, members)| Size { domain, members })
            .collect()
    }

    /// Number of members that have not left, this one included.
    pub fn size(&self) -> u32 {
        if self.census.expected.is_empty() {
            let known = self.members().filter(|record| record.state != State::Left);
            return known.count() as u32 + 1;
        }
        self.sizes().iter().map(|size| size.members).sum()
    }

    /// Number of active members of the local failure domain, this one included.
    pub fn live_in_domain(&self) -> u32 {
        let peers = self
            .members()
            .filter(|record| record.state.is_active() && self.is_local(record));
        peers.count() as u32 + 1
    }

    /// Whether more members are expected in the local failure domain than have been
    /// met.
    pub fn awaits_local_members(&self) -> bool {
        self.census.expected.contains_key(&self.own.profile.domain)
    }

    /// Drops what the known members meet. A member that was never met counts as gone
    /// after the time for which a failed one is remembered.
    pub(super) fn review_census(&mut self, now: Moment) {
        if self.census.expected.is_empty() {
            return;
        }
        let received_at = self.census.received_at.unwrap_or_default();
        if now.since(received_at) >= self.config.retention {
            self.census.expected.clear();
            return;
        }
        let known = self.known_by_domain();
        self.census
            .expected
            .retain(|domain, expected| known.get(domain).is_none_or(|known| known < expected));
    }

    fn known_by_domain(&self) -> IndexMap<Arc<str>, u32> {
        let mut known = IndexMap::<_, u32>::new();
        for record in self.members().chain([&self.own]) {
            if record.state == State::Left {
                continue;
            }
            let domain = &record.profile.domain;
            match known.get_mut(domain) {
                Some(members) => *members += 1,
                None => {
                    known.insert(Arc::clone(domain), 1);
                }
            }
        }
        known
    }
}
