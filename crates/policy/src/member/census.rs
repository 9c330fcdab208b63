//! Size of the fleet.
//!
//! A process that starts knows only the members that it has met. It takes the size of
//! each failure domain from the rows of the store, or from a peer, and expects that many
//! members until it has met them. Expected members count as not live, so that what a
//! daemon may lend does not depend on the order in which members meet.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Fleet, State};
use crate::moment::Moment;

/// Number of members of a failure domain.
///
/// A row of the store has the active ones, since failed ones of replaced VMs never
/// return. A peer passes on all that have not left, since those that it takes for failed
/// may be cut off.
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

/// Members that are expected.
#[derive(Debug, Default)]
pub(super) struct Census {
    /// When the sizes were received; `None` before that.
    received_at: Option<Moment>,
    /// Size of each failure domain of which fewer members have been met. Once they have
    /// been met, their departures and failures are known, and the domain is removed.
    expected: IndexMap<Arc<str>, u32>,
}

impl Fleet {
    /// Whether sizes have been received since the start. Before that, the fleet may
    /// have any number of members that are not known here.
    pub const fn is_counted(&self) -> bool {
        self.census.received_at.is_some()
    }

    /// Expects as many members as `sizes` say. Only the first call has an effect; later
    /// changes are learned from the members. Returns whether this was the first call.
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

    /// Number of members of each failure domain that have not left, expected ones and
    /// this one included.
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

    /// Number of all members that have not left, expected ones and this one included.
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

    /// Removes the failure domains of which as many members are known as were expected.
    /// Members that were never met count as gone after the time for which failed ones
    /// are remembered.
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

    /// Number of known members of each failure domain that have not left, this one
    /// included. Those that have failed count as met.
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
