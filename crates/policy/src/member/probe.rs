//! Direct and indirect probes, and probes of failed members.
//!
//! The acknowledgement of a probe also relates the clocks of the two processes,
//! see [`Offset`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use super::offset::Offset;
use super::{Fleet, Output, Packet, Payload, Send, State};
use crate::confirmation::Date;
use crate::moment::Moment;

/// One probe in this many is sent to a failed member.
const PROBES_PER_FAILED_PROBE: u32 = 10;

/// Direct probes of a suspect before its suspicion expires.
const SUSPECT_PROBES: u32 = 2;
/// Largest number of suspects probed in one tick.
const MAX_SUSPECTS_PER_TICK: usize = 16;

/// Age of the own confirmation from which those of others are of use.
const MIN_UNCONFIRMED: Duration = Duration::from_secs(1);
/// Age at which the offset to another clock is measured again, since drift
/// loosens its bound.
const MAX_OFFSET_AGE: Duration = Duration::from_secs(30);
/// Shortest interval between two pings of one member to measure its clock.
const MIN_CALIBRATION_INTERVAL: Duration = Duration::from_millis(250);

/// A ping that was sent recently.
#[derive(Clone, Debug)]
pub(super) struct Ping {
    /// Member that was pinged. Another one may answer at its address.
    subject: Arc<str>,
    pub(super) sent_at: Moment,
}

/// Probe of the current interval.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) sequence: u64,
    pub(super) subject: Arc<str>,
    pub(super) started_at: Moment,
    pub(super) indirect: bool,
}

/// Indirect probe on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct Forwarded {
    pub(super) sequence: u64,
    pub(super) origin: std::net::SocketAddr,
    pub(super) origin_sequence: u64,
    pub(super) started_at: Moment,
}

impl Fleet {
    /// Probes suspects directly before their suspicion expires. After many changes
    /// at once, a refutation takes long to reach every member by gossip.
    pub(super) fn probe_suspects(&mut self, now: Moment, output: &mut Output) {
        let interval = self.config.direct_timeout * 2;
        let start = self
            .config
            .suspicion_timeout
            .saturating_sub(interval * SUSPECT_PROBES);
        let due = self.members.values_mut().filter(|member| {
            member.record.state == State::Suspect
                && now.since(member.changed_at) >= start
                && member
                    .probed_at
                    .is_none_or(|probed_at| now.since(probed_at) >= interval)
        });
        let mut suspects = Vec::new();
        for member in due.take(MAX_SUSPECTS_PER_TICK) {
            member.probed_at = Some(now);
            suspects.push(member.record.clone());
        }
        for record in suspects {
            let sequence = self.next_ping(&record.name, now);
            let to = record.profile.gossip;
            let packet = Packet {
                records: vec![self.own.clone(), record],
                ..self.status(Payload::Ping { sequence })
            };
            output.sends.push(Send { to, packet });
        }
    }

    /// Requests indirect probes if the direct probe is not acknowledged in time.
    pub(super) fn probe_indirectly(
        &mut self,
        random: &mut impl Rng,
        now: Moment,
        output: &mut Output,
    ) {
        let Some(mut probe) = self.probe.clone() else {
            return;
        };
        if probe.indirect || now.since(probe.started_at) < self.config.direct_timeout {
            return;
        }
        probe.indirect = true;
        for to in self.sample(self.config.indirect_probes, Some(&probe.subject), random) {
            let packet = self.packet(Payload::PingRequest {
                sequence: probe.sequence,
                about: Arc::clone(&probe.subject),
            });
            output.sends.push(Send { to, packet });
        }
        self.probe = Some(probe);
    }

    /// Marks the probed member as suspect if the probe is still open.
    pub(super) fn end_probe(&mut self, now: Moment, output: &mut Output) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let alive = self
            .get(&probe.subject)
            .is_some_and(|record| record.state == State::Alive);
        if alive {
            self.set_state(&probe.subject, State::Suspect, now, output);
        }
    }

    pub(super) fn start_probe(&mut self, random: &mut impl Rng, now: Moment, output: &mut Output) {
        self.probe_count = self.probe_count.wrapping_add(1);
        let chosen = if self.probe_count.is_multiple_of(PROBES_PER_FAILED_PROBE) {
            self.sample_failed(random)
                .or_else(|| self.next_in_round(random))
        } else {
            self.next_in_round(random)
        };
        let Some(subject) = chosen else {
            return;
        };
        self.probe_member(subject, now, output);
    }

    fn probe_member(&mut self, subject: Arc<str>, now: Moment, output: &mut Output) {
        let Some(to) = self.get(&subject).map(|record| record.profile.gossip) else {
            return;
        };
        // A member that is suspect or failed here needs that record to refute it.
        let disputed = self.get(&subject).cloned();
        let disputed = disputed.filter(|record| record.state != State::Alive);
        let sequence = self.next_ping(&subject, now);
        self.probe = Some(Probe {
            sequence,
            subject,
            started_at: now,
            indirect: false,
        });
        let mut packet = self.packet(Payload::Ping { sequence });
        packet.records.extend(disputed);
        output.sends.push(Send { to, packet });
    }

    /// Probes a member that did not answer a message before those whose turn it is,
    /// at most once per probe interval. An open probe of another member is not
    /// abandoned, or several unresponsive members would never be suspected.
    pub fn verify(&mut self, name: &str, now: Moment) -> Output {
        let mut output = Output::default();
        let interval = self.config.probe_interval;
        let Some(member) = self.members.get_mut(name) else {
            return output;
        };
        let is_recent = member
            .verified_at
            .is_some_and(|verified_at| now.since(verified_at) < interval);
        if is_recent || member.record.state != State::Alive {
            return output;
        }
        member.verified_at = Some(now);
        let subject = Arc::clone(&member.record.name);
        if let Some(probe) = &self.probe {
            if probe.subject != subject {
                self.probe_order.push(subject);
            }
            return output;
        }
        self.next_probe_at = now + interval;
        self.probe_member(subject, now, &mut output);
        output
    }

    /// Next member of a shuffled round over all active members.
    fn next_in_round(&mut self, random: &mut impl Rng) -> Option<Arc<str>> {
        for _ in 0..2 {
            while let Some(name) = self.probe_order.pop() {
                if self
                    .get(&name)
                    .is_some_and(|record| record.state.is_active())
                {
                    return Some(name);
                }
            }
            self.probe_order = self
                .members()
                .filter(|record| record.state.is_active())
                .map(|record| Arc::clone(&record.name))
                .collect();
            self.probe_order.shuffle(random);
        }
        None
    }

    fn sample_failed(&self, random: &mut impl Rng) -> Option<Arc<str>> {
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

    /// Probes a member on behalf of `origin`.
    pub(super) fn forward_probe(
        &mut self,
        origin_sequence: u64,
        about: &Arc<str>,
        origin: SocketAddr,
        now: Moment,
        output: &mut Output,
    ) {
        let Some(to) = self.get(about).map(|record| record.profile.gossip) else {
            return;
        };
        let sequence = self.next_ping(about, now);
        self.forwarded.push(Forwarded {
            sequence,
            origin,
            origin_sequence,
            started_at: now,
        });
        let packet = self.packet(Payload::Ping { sequence });
        output.sends.push(Send { to, packet });
    }

    /// Sequence number of a ping that is sent now.
    pub(super) fn next_ping(&mut self, subject: &Arc<str>, now: Moment) -> u64 {
        self.sequence += 1;
        let ping = Ping {
            subject: Arc::clone(subject),
            sent_at: now,
        };
        self.pings.insert(self.sequence, ping);
        self.sequence
    }

    /// Pings a few random members. Their acknowledgements carry when they last knew
    /// the release note in force to be the newest.
    pub(super) fn request_confirmations(&mut self, random: &mut impl Rng) -> Output {
        let mut output = Output::default();
        for to in self.sample(self.config.fanout, None, random) {
            let Some(subject) = self.by_address.get(&to).cloned() else {
                continue;
            };
            let sequence = self.next_ping(&subject, self.now);
            let packet = self.packet(Payload::Ping { sequence });
            output.sends.push(Send { to, packet });
        }
        output
    }

    /// Pings the sender of a packet to relate its clock to the local one, unless that was done
    /// recently or the ping would confirm nothing new.
    pub(super) fn calibrate(&mut self, packet: &Packet, now: Moment, output: &mut Output) {
        let is_recent = |confirmed: Date| confirmed.age(now) < MIN_UNCONFIRMED;
        if self.confirmed.is_some_and(is_recent) {
            return;
        }
        let Some(member) = self.members.get_mut(&packet.sender) else {
            return;
        };
        let is_current = member.offset.is_some_and(|offset| {
            offset.process == packet.process && now.since(offset.local) < MAX_OFFSET_AGE
        });
        let is_recent = member
            .calibrated_at
            .is_some_and(|at| now.since(at) < MIN_CALIBRATION_INTERVAL);
        if is_current || is_recent {
            return;
        }
        member.calibrated_at = Some(now);
        let to = member.record.profile.gossip;
        let sequence = self.next_ping(&packet.sender, now);
        let packet = self.status(Payload::Ping { sequence });
        output.sends.push(Send { to, packet });
    }

    /// Relates the clock of the sender of an acknowledgement to the local one.
    /// An acknowledgement of an unknown ping, such as one of an earlier process
    /// with this name, is ignored.
    pub(super) fn record_offset(&mut self, packet: &Packet, sequence: u64, clock_us: u64) {
        let Some(ping) = self.pings.get(&sequence) else {
            return;
        };
        let sent = ping.sent_at;
        let Some(member) = self.members.get_mut(&packet.sender) else {
            return;
        };
        let offset = Offset {
            process: packet.process,
            local: sent,
            remote: Moment::from_micros(clock_us),
        };
        if member.offset.is_none_or(|known| offset.is_tighter(&known)) {
            member.offset = Some(offset);
        }
    }

    /// Ends the direct or forwarded probe that an acknowledgement belongs to, unless another
    /// member than the one that was pinged sent it.
    pub(super) fn acknowledge(
        &mut self,
        sender: &str,
        sequence: u64,
        now: Moment,
        output: &mut Output,
    ) {
        // The acknowledgement of an indirect probe comes from the forwarding member
        // and bears the sequence number of the direct one.
        let address = |name: &str| self.get(name).map(|record| record.profile.gossip);
        let is_indirect = self.probe.as_ref().is_some_and(|probe| {
            let is_answer = probe.sequence == sequence && probe.indirect;
            is_answer && address(sender) != address(&probe.subject)
        });
        let ping = self.pings.swap_remove(&sequence);
        let is_subject = ping.is_some_and(|ping| *ping.subject == *sender);
        if !is_subject && !is_indirect {
            return;
        }
        if let Some(index) = self
            .forwarded
            .iter()
            .position(|probe| probe.sequence == sequence)
        {
            let forwarded = self.forwarded.swap_remove(index);
            let packet = self.packet(Payload::Ack {
                sequence: forwarded.origin_sequence,
                clock_us: now.as_micros(),
            });
            output.sends.push(Send {
                to: forwarded.origin,
                packet,
            });
            return;
        }
        // An acknowledgement only ends the probe. A suspicion is refuted by the
        // member itself, with a higher incarnation.
        let _ = self.probe.take_if(|probe| probe.sequence == sequence);
    }
}
