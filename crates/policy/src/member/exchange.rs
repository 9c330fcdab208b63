//! Comparison of digests, and the exchange of the records that differ.
//!
//! Failure domains exchange records through one relay each.

use std::sync::Arc;
use std::time::Duration;

use super::{Fleet, Output, Packet, Record, rank_key};
use crate::moment::Moment;

/// Consecutive differing digests after which an exchange is requested.
const MIN_DIFFERING_PACKETS: u32 = 4;
/// Number of packets that one differing packet between a relay and a member that
/// exchanges records with it counts for.
const RELAY_WEIGHT: u32 = 4;
/// Shortest interval between two exchanges.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_secs(3);
/// Number of groups, by hash of the name, whose digests an exchange compares.
const DIGEST_GROUPS: usize = 64;

impl Fleet {
    /// Whether this member exchanges records with other failure domains on behalf
    /// of its own.
    pub fn is_relay(&self) -> bool {
        self.domain_relay() == &*self.own.name
    }

    /// First active member of the local failure domain by [`rank_key`].
    fn domain_relay(&self) -> &str {
        let peers = self
            .members()
            .filter(|record| record.state.is_active() && self.is_local(record));
        let names = peers.chain([&self.own]).map(|record| &*record.name);
        let first = names.min_by_key(|name| rank_key(name));
        first.unwrap_or(&self.own.name)
    }

    /// Whether a member belongs to the failure domain of this one.
    pub(super) fn is_local(&self, record: &Record) -> bool {
        record.profile.domain == self.own.profile.domain
    }

    /// Digests of the active members, this one included, by group of names.
    pub fn group_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; DIGEST_GROUPS];
        for record in self.members().chain([&self.own]) {
            if record.state.is_active() {
                digests[group_of(record)] ^= record.digest();
            }
        }
        digests
    }

    /// Records of the groups whose digest differs from the given one. A group for
    /// which no digest is given counts as differing.
    pub fn differing(&self, digests: &[u64]) -> Vec<Record> {
        let own = self.group_digests();
        let differs = |record: &&Record| {
            let group = group_of(record);
            digests.get(group) != Some(&own[group])
        };
        let records = self.members().chain([&self.own]).filter(differs);
        records.cloned().collect()
    }

    /// XOR of the digests of all active members, including this one.
    pub(super) fn full_digest(&self) -> u64 {
        self.others_digest ^ self.own.digest()
    }

    /// Requests an exchange after repeated differences from the digests of others.
    /// Members compare themselves with their failure domain, and above all with its
    /// relay; only the relay compares itself with other domains.
    pub(super) fn compare(&mut self, packet: &Packet, now: Moment, output: &mut Output) {
        if packet.digest == self.full_digest() {
            self.differing_packets = 0;
            return;
        }
        let is_local = self
            .get(&packet.sender)
            .is_some_and(|sender| self.is_local(sender));
        let relay = self.domain_relay();
        if !is_local && relay != &*self.own.name {
            return;
        }
        // The other local members may all lack what the relay, or the other domain,
        // has learned.
        let is_decisive = !is_local || *packet.sender == *relay;
        self.differing_packets += if is_decisive { RELAY_WEIGHT } else { 1 };
        let interval_elapsed = now.since(self.exchanged_at) >= MIN_EXCHANGE_INTERVAL;
        if self.differing_packets >= MIN_DIFFERING_PACKETS && interval_elapsed {
            self.differing_packets = 0;
            self.exchanged_at = now;
            output.diverged = Some(Arc::clone(&packet.sender));
        }
    }
}

fn group_of(record: &Record) -> usize {
    rank_key(&record.name) as usize % DIGEST_GROUPS
}
