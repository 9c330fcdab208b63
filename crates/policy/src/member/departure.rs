//! Departures of targets, which members keep for each other.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::merge::Source;
use super::{Departure, Fleet, Output, Packet, Payload, Record, Send};
use crate::moment::Moment;

/// Time after a member became inactive in which it is probed more often if its target
/// had left, so that a new process receives the departure back.
const RETURN_PERIOD: Duration = Duration::from_secs(30);
/// Such probes of one member per probe interval, over its whole failure domain.
const RETURN_PROBES: f64 = 4.0;
/// Largest number of such members that one member probes in an interval.
const MAX_RETURNS: usize = 8;

impl Fleet {
    /// Records the departure of the local target. Broadcasts it to the failure domain
    /// if it is new, and pings a few members, which return the record that they hold.
    pub fn announce_departure(&mut self, departure: &Departure, random: &mut impl Rng) -> Output {
        let mut output = Output::default();
        if self.own.profile.departure.as_ref() != Some(departure) {
            self.own.profile.departure = Some(departure.clone());
            output = self.announce(random);
            let records = vec![self.own.clone()];
            output.sends.extend(self.domain_sends(records));
        }
        for to in self.sample(self.config.fanout, None, random) {
            let Some(subject) = self.by_address.get(&to).cloned() else {
                continue;
            };
            let sequence = self.next_ping(&subject, self.now);
            let packet = Packet {
                records: vec![self.own.clone()],
                ..self.status(Payload::Ping { sequence })
            };
            output.sends.push(Send { to, packet });
        }
        output
    }

    /// Takes the departure from a record of this member that another one holds.
    pub(super) fn take_departure(&mut self, record: &Record, output: &mut Output) {
        let held = &record.profile.departure;
        let own = &mut self.own.profile.departure;
        if held.is_none() || *held < *own {
            return;
        }
        output.held_departure.clone_from(held);
        if *held > *own {
            own.clone_from(held);
            self.own.incarnation += 1;
            self.own_changed_at = self.now;
            self.queue.add(Arc::clone(&self.own.name));
        }
    }

    /// Keeps the later one of the departure in a record and the one that is known,
    /// whichever of the records takes precedence.
    pub(super) fn keep_departure(&mut self, record: &mut Record, source: Source) {
        let Some(member) = self.members.get_mut(&record.name) else {
            return;
        };
        let known = &mut member.record.profile.departure;
        if *known > record.profile.departure {
            record.profile.departure.clone_from(known);
        } else if *known < record.profile.departure {
            known.clone_from(&record.profile.departure);
            if source == Source::Gossip {
                self.queue.add(Arc::clone(&record.name));
            }
        }
    }

    /// Record of the sender of a packet, to be returned to it: if it sent its own and
    /// lacks the departure that is known here, or asks whether it is known.
    pub(super) fn returned_record(&self, packet: &Packet) -> Option<Record> {
        let mut records = packet.records.iter();
        let sent = records.find(|record| record.name == packet.sender)?;
        let known = self.get(&packet.sender)?;
        let departure = known.profile.departure.as_ref()?;
        let is_ping = matches!(packet.payload, Payload::Ping { .. });
        let is_missing = sent.profile.departure.as_ref() != Some(departure);
        (is_ping || is_missing).then(|| known.clone())
    }

    /// Record of a member whose target has left.
    pub fn departed(&self, name: &str) -> Option<&Record> {
        self.get(name)
            .filter(|record| record.profile.departure.is_some())
    }

    /// Pings members of the local failure domain that became inactive after the
    /// departure of their target, with the record that is known of them.
    pub(super) fn probe_departed(
        &mut self,
        random: &mut impl Rng,
        now: Moment,
        output: &mut Output,
    ) {
        let departed = self.members.values().filter(|member| {
            let record = &member.record;
            record.profile.departure.is_some()
                && !record.state.is_active()
                && record.profile.domain == self.own.profile.domain
                && now.since(member.changed_at) < RETURN_PERIOD
        });
        let records = departed
            .map(|member| member.record.clone())
            .take(MAX_RETURNS)
            .collect::<Vec<_>>();
        if records.is_empty() {
            return;
        }
        let others = self.members().filter(|record| {
            record.state.is_active() && record.profile.domain == self.own.profile.domain
        });
        let share = (RETURN_PROBES / (others.count() + 1) as f64).min(1.0);
        for record in records {
            if !random.random_bool(share) {
                continue;
            }
            let sequence = self.next_ping(&record.name, now);
            let to = record.profile.gossip;
            let packet = Packet {
                records: vec![self.own.clone(), record],
                ..self.status(Payload::Ping { sequence })
            };
            output.sends.push(Send { to, packet });
        }
    }
}
