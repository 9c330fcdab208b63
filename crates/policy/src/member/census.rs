//! Size of the fleet.
//!
//! A process that starts knows only the members that it has met. It takes the size of
//! each failure domain from the rows of the store, or from a peer, and expects that many
//! members until it has met them. Expected members count as not live, so that what a
//! daemon may lend does not depend on the order in which members meet.
//!
//! Failed members count as well, since they may be cut off and lend on their side of a
//! partition. Partitions separate whole failure domains, and a daemon that is cut off
//! alone stops to accept keys, so that failed members of a domain that is otherwise
//! reachable are lost. They, and expected members that were not met, are released after
//! [`RELEASE_AFTER`].
//!
//! A process that starts also learns of members that failed before, from peers which
//! remember them for long after their release. The sizes include those that may still
//! lend, so that these members are not added to them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Fleet, Member, State};
use crate::moment::Moment;

/// Time after which a failed member of a reachable failure domain no longer counts. When
/// a domain is cut off, its members fail one by one. Most of them have failed this long
/// after the first, so that the domain no longer counts as reachable.
const RELEASE_AFTER: Duration = Duration::from_secs(12);

/// Time between two failures up to which they count as one event. The members of a domain
/// that is cut off are detected as failed within a few seconds.
const EVENT_WINDOW: Duration = Duration::from_secs(6);

/// Number of members of a failure domain.
///
/// A row of the store leaves out the failed ones of a reachable domain at once, a peer
/// those that have been released.
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
    /// Failure domains whose size was received.
    sized: HashSet<Arc<str>>,
}

/// Members of one failure domain, this one included.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    /// Those that acknowledge probes. Suspect ones may be cut off.
    alive: u32,
    /// Failed ones that have not been released.
    failed: u32,
    /// Active ones, and failed ones that have not been released.
    counted: u32,
    /// Those that have been met and have not left.
    known: u32,
    /// Those that are expected and have not been met.
    missing: u32,
}

impl Tally {
    fn add(&mut self, state: State, is_released: bool) {
        if state == State::Left {
            return;
        }
        self.known += 1;
        self.counted += u32::from(!is_released);
        self.alive += u32::from(state == State::Alive);
        self.failed += u32::from(state == State::Failed && !is_released);
    }

    /// Whether the failure domain is reachable, and members that are not alive are
    /// therefore lost and not cut off.
    const fn is_reachable(self) -> bool {
        self.alive > self.failed + self.missing
    }

    /// Whether more members are alive than failed in one event with a failure at `at`, so
    /// that those that failed then are lost. `times` are all failures in order. Earlier and
    /// later losses do not count: a domain may lose more members one by one than it has.
    fn outnumbers(self, times: &[Moment], at: Moment) -> bool {
        let before = times.partition_point(|time| *time + EVENT_WINDOW <= at);
        let until = times.partition_point(|time| *time < at + EVENT_WINDOW);
        self.alive as usize > until - before + self.missing as usize
    }
}

impl Member {
    /// Whether this is a failed member whose release is due if its failure domain is
    /// reachable.
    fn is_overdue(&self, now: Moment) -> bool {
        self.record.state == State::Failed
            && !self.is_released
            && now.since(self.changed_at) >= RELEASE_AFTER
    }
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
            self.census.sized.insert(Arc::clone(&size.domain));
            let expected = self.census.expected.entry(size.domain).or_default();
            *expected = size.members.max(*expected);
        }
        self.review_census(now);
        true
    }

    /// Number of members of each failure domain that have neither left nor been
    /// released, expected ones and this one included.
    pub fn sizes(&self) -> Vec<Size> {
        let tallies = self.tallies().into_iter();
        tallies
            .map(|(domain, tally)| Size {
                domain,
                members: tally.counted + tally.missing,
            })
            .collect()
    }

    /// Number of all members that have neither left nor been released, expected ones
    /// and this one included.
    pub fn size(&self) -> u32 {
        if self.census.expected.is_empty() {
            let counted = self
                .tracked()
                .filter(|member| member.record.state != State::Left && !member.is_released);
            return counted.count() as u32 + 1;
        }
        self.sizes().iter().map(|size| size.members).sum()
    }

    /// Number of members of the local failure domain for its row in the store, this one
    /// included: the active ones, and the failed ones as well if this daemon may be cut
    /// off from them.
    pub fn local_size(&self) -> u32 {
        let mut tally = Tally::default();
        let local = self.tracked();
        let local = local.filter(|member| self.is_local(&member.record));
        for member in local {
            tally.add(member.record.state, member.is_released);
        }
        tally.add(State::Alive, false);
        if tally.is_reachable() {
            tally.counted - tally.failed
        } else {
            tally.counted
        }
    }

    /// Members, without those that failed before this process started if the size of their
    /// failure domain was received, since it includes them.
    fn tracked(&self) -> impl Iterator<Item = &Member> {
        let is_included = |member: &&Member| {
            let domain = &member.record.profile.domain;
            member.is_inherited && self.census.sized.contains(domain)
        };
        self.members
            .values()
            .filter(move |member| !is_included(member))
    }

    /// Whether more members are expected in the local failure domain than have been
    /// met.
    pub fn awaits_local_members(&self) -> bool {
        self.census.expected.contains_key(&self.own.profile.domain)
    }

    /// Removes the failure domains of which as many members are known as were expected,
    /// and releases the lost members of reachable ones. Members that were never met count
    /// as gone after the time for which failed ones are remembered.
    pub(super) fn review_census(&mut self, now: Moment) {
        let received_at = self.census.received_at.unwrap_or_default();
        let age = now.since(received_at);
        if age >= self.config.retention {
            self.census.expected.clear();
        }
        let is_overdue = |member: &Member| member.is_overdue(now);
        if self.census.expected.is_empty() && !self.members.values().any(is_overdue) {
            return;
        }
        let tallies = self.tallies();
        let is_reachable = |domain: &Arc<str>| {
            tallies
                .get(domain)
                .is_some_and(|tally| tally.is_reachable())
        };
        self.census.expected.retain(|domain, _| {
            let is_met = tallies.get(domain).is_some_and(|tally| tally.missing == 0);
            !is_met && (age < RELEASE_AFTER || !is_reachable(domain))
        });
        let failures = self.failures();
        for member in self.members.values_mut() {
            let domain = &member.record.profile.domain;
            let (Some(tally), Some(times)) = (tallies.get(domain), failures.get(domain)) else {
                continue;
            };
            if member.is_overdue(now) && tally.outnumbers(times, member.changed_at) {
                member.is_released = true;
            }
        }
    }

    /// Times of the failures in each failure domain, in order, without released members.
    fn failures(&self) -> IndexMap<Arc<str>, Vec<Moment>> {
        let mut failures = IndexMap::<_, Vec<Moment>>::new();
        for member in self.tracked() {
            if member.record.state == State::Failed && !member.is_released {
                let domain = Arc::clone(&member.record.profile.domain);
                failures.entry(domain).or_default().push(member.changed_at);
            }
        }
        for times in failures.values_mut() {
            times.sort_unstable();
        }
        failures
    }

    fn tallies(&self) -> IndexMap<Arc<str>, Tally> {
        let mut tallies = IndexMap::<_, Tally>::new();
        let others = self.tracked();
        let others = others.map(|member| (&member.record, member.is_released));
        for (record, is_released) in others.chain([(&self.own, false)]) {
            let domain = &record.profile.domain;
            if let Some(tally) = tallies.get_mut(domain) {
                tally.add(record.state, is_released);
            } else {
                let mut tally = Tally::default();
                tally.add(record.state, is_released);
                tallies.insert(Arc::clone(domain), tally);
            }
        }
        for (domain, expected) in &self.census.expected {
            let tally = tallies.entry(Arc::clone(domain)).or_default();
            tally.missing = expected.saturating_sub(tally.known);
        }
        tallies
    }
}
