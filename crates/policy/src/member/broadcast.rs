//! Two-level broadcast to a failure domain.
//!
//! The sender reaches a bounded number of members directly. In larger domains
//! these forward the records to the others.

use super::{Fleet, Output, Packet, Payload, Record, Send, rank_key};
use crate::moment::Moment;

/// Members that receive a broadcast directly. Each of them forwards it to an equal
/// part of the remaining members.
const DIRECT_RECEIVERS: usize = 40;

impl Fleet {
    /// Broadcasts to the local failure domain which release note is in force and
    /// when it was last known to be the newest.
    pub fn broadcast(&mut self, now: Moment) -> Output {
        self.now = self.now.max(now);
        Output {
            sends: self.domain_sends(Vec::new()),
            ..Output::default()
        }
    }

    /// Packets that broadcast these records and the revision in force to the local
    /// failure domain, addressed to the direct receivers.
    pub(super) fn domain_sends(&self, records: Vec<Record>) -> Vec<Send> {
        let packet = Packet {
            records,
            ..self.status(Payload::Broadcast)
        };
        let peers = self.domain_members_except(&self.own.name);
        let sends = peers.iter().take(DIRECT_RECEIVERS).map(|record| Send {
            to: record.profile.gossip,
            packet: packet.clone(),
        });
        sends.collect()
    }

    /// Packets that forward a broadcast to this member's part of the failure
    /// domain. Empty if this member is not a direct receiver.
    pub(super) fn forward(&self, broadcast: &Packet) -> Vec<Send> {
        let peers = self.domain_members_except(&broadcast.sender);
        let own_index = peers
            .iter()
            .position(|record| record.name == self.own.name)
            .filter(|index| *index < DIRECT_RECEIVERS);
        let Some(index) = own_index else {
            return Vec::new();
        };
        let packet = Packet {
            records: broadcast.records.clone(),
            ..self.status(Payload::Push)
        };
        let receivers = peers
            .iter()
            .skip(DIRECT_RECEIVERS + index)
            .step_by(DIRECT_RECEIVERS);
        let sends = receivers.map(|record| Send {
            to: record.profile.gossip,
            packet: packet.clone(),
        });
        sends.collect()
    }

    /// Active members of the local failure domain, including this one but not
    /// `name`, in an order that is the same at every member.
    fn domain_members_except(&self, name: &str) -> Vec<&Record> {
        let peers = self.members().chain([&self.own]).filter(|record| {
            record.state.is_active()
                && record.profile.domain == self.own.profile.domain
                && *record.name != *name
        });
        let mut peers = peers.collect::<Vec<_>>();
        peers.sort_unstable_by_key(|record| rank_key(&record.name));
        peers
    }
}
