//! Telling a whole failure domain at once, the larger part of it at second
//! hand.

use super::{Fleet, Output, Packet, Payload, Record, Send};
use crate::moment::Moment;

/// Members of a failure domain that are told directly; each of them tells an
/// equal part of the others.
const DIRECT: usize = 40;

impl Fleet {
    /// Tells every member of the own failure domain what is in force here
    /// and when it was known to be the newest.
    pub fn tell_domain(&mut self, now: Moment) -> Output {
        self.now = self.now.max(now);
        Output {
            sends: self.to_domain(Vec::new()),
            ..Output::default()
        }
    }

    /// Packets that bring these records, and what is in force here, to every
    /// member of the own failure domain: straight to the first of them by
    /// name, which tell the others.
    pub(super) fn to_domain(&self, records: Vec<Record>) -> Vec<Send> {
        let packet = Packet {
            records,
            ..self.status(Payload::Tell)
        };
        let near = self.near_but(&self.own.name);
        let sends = near.iter().take(DIRECT).map(|record| Send {
            to: record.profile.gossip,
            packet: packet.clone(),
        });
        sends.collect()
    }

    /// Tells this member's part of the failure domain what `sender` told.
    pub(super) fn tell_on(&self, sender: &str, records: &[Record]) -> Vec<Send> {
        let near = self.near_but(sender);
        let own = near
            .iter()
            .position(|record| record.name == self.own.name)
            .filter(|place| *place < DIRECT);
        let Some(place) = own else {
            return Vec::new();
        };
        let packet = Packet {
            records: records.to_vec(),
            ..self.status(Payload::Push)
        };
        let part = near.iter().skip(DIRECT + place).step_by(DIRECT);
        let sends = part.map(|record| Send {
            to: record.profile.gossip,
            packet: packet.clone(),
        });
        sends.collect()
    }

    /// Live members of the own failure domain, this one among them, without
    /// one, in an order that is the same at each.
    fn near_but(&self, name: &str) -> Vec<&Record> {
        let near = self.members().chain([&self.own]).filter(|record| {
            record.state.takes_part()
                && record.profile.domain == self.own.profile.domain
                && *record.name != *name
        });
        let mut near = near.collect::<Vec<_>>();
        near.sort_unstable_by_key(|record| record.name_hash());
        near
    }
}
