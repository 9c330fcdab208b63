//! Probes: direct, through others, and of members that failed.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::seq::SliceRandom;

use super::{Fleet, Output, Packet, Payload, Send, State};
use crate::moment::Moment;

/// Probes between two probes of a failed member.
const FAILED_PROBE_EVERY: u32 = 10;

/// Times that a suspect is asked itself.
const ASKS: u32 = 2;
/// Suspects that are asked at one tick.
const MAX_ASKED: usize = 16;

/// The probe of the current period.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) sequence: u64,
    pub(super) about: Arc<str>,
    pub(super) started: Moment,
    pub(super) asked_others: bool,
}

/// A probe made for another member.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) sequence: u64,
    pub(super) origin: std::net::SocketAddr,
    pub(super) origin_sequence: u64,
    pub(super) started: Moment,
}

impl Fleet {
    /// Asks suspects themselves before they are taken for failed: after many
    /// changes at once what they say against it takes long to spread.
    pub(super) fn ask_suspects(&mut self, now: Moment, output: &mut Output) {
        let pause = self.config.direct * 2;
        let from = self.config.suspicion.saturating_sub(pause * ASKS);
        let due = self.members.values_mut().filter(|member| {
            member.record.state == State::Suspect
                && now.since(member.since) >= from
                && member.asked.is_none_or(|asked| now.since(asked) >= pause)
        });
        let mut asked = Vec::new();
        for member in due.take(MAX_ASKED) {
            member.asked = Some(now);
            asked.push(member.record.clone());
        }
        for record in asked {
            self.sequence += 1;
            let sequence = self.sequence;
            let to = record.profile.gossip;
            let packet = Packet {
                records: vec![self.own.clone(), record],
                ..self.status(Payload::Ping { sequence })
            };
            output.sends.push(Send { to, packet });
        }
    }

    pub(super) fn ask_others(&mut self, random: &mut impl Rng, now: Moment, output: &mut Output) {
        let Some(mut probe) = self.probe.clone() else {
            return;
        };
        if probe.asked_others || now.since(probe.started) < self.config.direct {
            return;
        }
        probe.asked_others = true;
        for to in self.draw(self.config.indirect, Some(&probe.about), random) {
            let packet = self.packet(Payload::PingFor {
                sequence: probe.sequence,
                about: Arc::clone(&probe.about),
            });
            output.sends.push(Send { to, packet });
        }
        self.probe = Some(probe);
    }

    pub(super) fn end_probe(&mut self, now: Moment, output: &mut Output) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let alive = self
            .get(&probe.about)
            .is_some_and(|record| record.state == State::Alive);
        if alive {
            self.set_state(&probe.about, State::Suspect, now, output);
        }
    }

    pub(super) fn start_probe(&mut self, random: &mut impl Rng, now: Moment, output: &mut Output) {
        self.probes = self.probes.wrapping_add(1);
        let chosen = if self.probes.is_multiple_of(FAILED_PROBE_EVERY) {
            self.draw_failed(random)
                .or_else(|| self.next_in_order(random))
        } else {
            self.next_in_order(random)
        };
        let Some(about) = chosen else {
            return;
        };
        let Some(to) = self.get(&about).map(|record| record.profile.gossip) else {
            return;
        };
        // The member's own record goes along, so that one that is taken for
        // suspect or failed learns of it and overrules it.
        self.spread.add(Arc::clone(&about));
        self.sequence += 1;
        let sequence = self.sequence;
        self.probe = Some(Probe {
            sequence,
            about,
            started: now,
            asked_others: false,
        });
        let packet = self.packet(Payload::Ping { sequence });
        output.sends.push(Send { to, packet });
    }

    /// Next member of a shuffled round over all that take part.
    fn next_in_order(&mut self, random: &mut impl Rng) -> Option<Arc<str>> {
        for _ in 0..2 {
            while let Some(name) = self.order.pop() {
                if self
                    .get(&name)
                    .is_some_and(|record| record.state.takes_part())
                {
                    return Some(name);
                }
            }
            self.order = self
                .members()
                .filter(|record| record.state.takes_part())
                .map(|record| Arc::clone(&record.name))
                .collect();
            self.order.shuffle(random);
        }
        None
    }

    fn draw_failed(&self, random: &mut impl Rng) -> Option<Arc<str>> {
        let failed = self
            .members()
            .filter(|record| record.state == State::Failed)
            .map(|record| &record.name)
            .collect::<Vec<_>>();
        if failed.is_empty() {
            return None;
        }
        Some(Arc::clone(failed[random.random_range(0..failed.len())]))
    }

    pub(super) fn relay(
        &mut self,
        origin_sequence: u64,
        about: &str,
        origin: SocketAddr,
        now: Moment,
        output: &mut Output,
    ) {
        let Some(to) = self.get(about).map(|record| record.profile.gossip) else {
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        self.relays.push(Relay {
            sequence,
            origin,
            origin_sequence,
            started: now,
        });
        let packet = self.packet(Payload::Ping { sequence });
        output.sends.push(Send { to, packet });
    }

    pub(super) fn acknowledge(&mut self, sequence: u64, output: &mut Output) {
        if let Some(place) = self
            .relays
            .iter()
            .position(|relay| relay.sequence == sequence)
        {
            let relay = self.relays.swap_remove(place);
            let packet = self.packet(Payload::Ack {
                sequence: relay.origin_sequence,
            });
            output.sends.push(Send {
                to: relay.origin,
                packet,
            });
            return;
        }
        // Only the member itself can overrule a suspicion, by a new
        // incarnation; an acknowledgement just ends the probe.
        let _ = self.probe.take_if(|probe| probe.sequence == sequence);
    }
}
