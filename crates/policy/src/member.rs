//! Gossip membership after SWIM, with direct and indirect probes, suspicion and
//! incarnation numbers.
//!
//! Each daemon probes one member per interval, whatever the size of the fleet,
//! and every packet carries a bounded number of records, so the cost per daemon
//! does not grow with the fleet. Failed members are retained and probed
//! occasionally, so that the two sides of a network partition merge again
//! without an external store.

mod broadcast;
mod census;
mod contact;
mod departure;
mod evacuation;
mod exchange;
mod merge;
mod offset;
mod output;
mod packet;
mod probe;
mod record;
mod store_era;
mod updates;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::time::Duration;

use census::Census;
use indexmap::IndexMap;
use merge::Source;
use offset::Offset;
use rand::Rng;

pub use census::Size;
pub use output::{Change, Output, Send};
pub use packet::{Packet, Payload};
use probe::{Forwarded, Ping, Probe};
pub use record::{Departure, Profile, Record, State, rank_key};
use updates::Updates;

use crate::confirmation::Date;
use crate::evacuation::Evacuations;
use crate::moment::Moment;

/// Settings of a [`Fleet`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Interval between two probes.
    pub probe_interval: Duration,
    /// Time without an acknowledgement after which indirect probes are requested.
    pub direct_timeout: Duration,
    /// Members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time for which a member is suspect before it counts as failed.
    pub suspicion_timeout: Duration,
    /// Time for which a failed or departed member is retained.
    pub retention: Duration,
    /// Largest number of queued updates in one packet.
    pub max_records: usize,
    /// Members to which an urgent change is pushed immediately.
    pub fanout: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(350),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_millis(2_500),
            retention: Duration::from_hours(1),
            max_records: 7,
            fanout: 4,
        }
    }
}

/// Time after a change of the own record in which probes carry it.
const OWN_RECORD_TIME: Duration = Duration::from_secs(5);
/// Bits of a ping's sequence number that count the pings of one process.
const SEQUENCE_BITS: u32 = 22;

#[derive(Debug)]
struct Member {
    record: Record,
    /// When the record last changed.
    changed_at: Moment,
    /// Whether it is a failed member that no longer counts as part of the fleet.
    is_released: bool,
    /// Whether it is known as failed only, and started before this process.
    is_inherited: bool,
    /// When it was last probed directly because it is suspect.
    probed_at: Option<Moment>,
    /// Relation of its clock to the local one, once it acknowledged a ping.
    offset: Option<Offset>,
    /// When it was last pinged to measure its clock.
    calibrated_at: Option<Moment>,
    /// When it was last probed because it did not answer a message.
    verified_at: Option<Moment>,
}

/// Local view of the fleet.
#[derive(Debug)]
pub struct Fleet {
    config: Config,
    own: Record,
    /// When `own` last changed.
    own_changed_at: Moment,
    /// Every other member by name. Never contains `own.name`.
    members: IndexMap<Arc<str>, Member>,
    /// Names of the other active members by gossip address. No two of them, nor
    /// this daemon, have the same one.
    by_address: HashMap<SocketAddr, Arc<str>>,
    /// Revision of the newest release note in force here.
    revision: u64,
    /// When `revision` was last known to be the newest; `None` before the first
    /// confirmation that this process received.
    confirmed: Option<Date>,
    now: Moment,
    probe_order: Vec<Arc<str>>,
    probe: Option<Probe>,
    forwarded: Vec<Forwarded>,
    /// Identity of this process.
    process: u64,
    /// Sequence number of the last ping. Those of two processes with one name
    /// differ, since their numbers start at the process's identity.
    sequence: u64,
    /// Recent pings by sequence number.
    pings: IndexMap<u64, Ping>,
    /// Time of the last tick.
    ticked_at: Moment,
    probe_count: u32,
    next_probe_at: Moment,
    queue: Updates,
    /// XOR of the digests of the other active members.
    others_digest: u64,
    /// Consecutive packets whose digest differed.
    differing_packets: u32,
    /// When an exchange was last requested.
    exchanged_at: Moment,
    /// Size of the fleet as counted before this process started.
    census: Census,
    /// Evacuations of failure domains.
    evacuations: Evacuations,
    /// Highest known era of the store; `None` until it first returns from an old copy.
    store_era: Option<NonZeroU64>,
}

impl Fleet {
    /// Creates a fleet of which only this daemon is known.
    ///
    /// `incarnation` must exceed that of any earlier process with this name. The
    /// wall clock at process start, in milliseconds, meets this. A member that
    /// receives a record of itself with a higher incarnation raises its own.
    pub fn new(config: Config, name: Arc<str>, incarnation: u64, profile: Profile) -> Self {
        Self {
            config,
            own: Record {
                name,
                incarnation,
                state: State::Alive,
                profile,
            },
            own_changed_at: Moment::ZERO,
            members: IndexMap::new(),
            by_address: HashMap::new(),
            revision: 0,
            confirmed: None,
            now: Moment::ZERO,
            probe_order: Vec::new(),
            probe: None,
            forwarded: Vec::new(),
            process: incarnation,
            sequence: incarnation << SEQUENCE_BITS,
            pings: IndexMap::new(),
            ticked_at: Moment::ZERO,
            probe_count: 0,
            next_probe_at: Moment::ZERO,
            queue: Updates::default(),
            others_digest: 0,
            differing_packets: 0,
            exchanged_at: Moment::ZERO,
            census: Census::default(),
            evacuations: Evacuations::default(),
            store_era: None,
        }
    }

    /// Record of this daemon.
    pub const fn own(&self) -> &Record {
        &self.own
    }

    /// Records of every other member, whatever its state.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|member| &member.record)
    }

    /// Record of another member.
    pub fn get(&self, name: &str) -> Option<&Record> {
        self.members.get(name).map(|member| &member.record)
    }

    /// Number of active members, including this one.
    pub fn live(&self) -> usize {
        let others = self.members().filter(|record| record.state.is_active());
        others.count() + 1
    }

    /// Replaces the profile of this daemon and pushes it to a few members. A change
    /// of lender slots is broadcast to the whole failure domain, so that two
    /// members do not hold the same slot for long.
    pub fn set_profile(&mut self, profile: Profile, random: &mut impl Rng) -> Output {
        let slots_changed = profile.lender_slots != self.own.profile.lender_slots;
        self.own.profile = profile;
        let mut output = self.announce(random);
        if slots_changed {
            let records = vec![self.own.clone()];
            output.sends.extend(self.domain_sends(records));
        }
        output
    }

    /// Marks this daemon as departed and pushes its record to a few members.
    pub fn leave(&mut self, random: &mut impl Rng) -> Output {
        self.own.state = State::Left;
        self.announce(random)
    }

    /// Sets the revision of the newest release note in force and pushes it to a few
    /// members. Before the first confirmation, these are asked for theirs. Older
    /// revisions are ignored.
    pub fn set_revision(&mut self, revision: u64, random: &mut impl Rng) -> Output {
        if revision <= self.revision {
            return Output::default();
        }
        self.revision = revision;
        if self.confirmed.is_none() {
            return self.request_confirmations(random);
        }
        self.push(random)
    }

    /// Records when the release note in force was last known to be the newest.
    pub fn confirm(&mut self, confirmed: Date) {
        self.confirmed = self.confirmed.max(Some(confirmed));
    }

    /// Advances the time to `now`: sends due probes, expires suspicions and evicts
    /// members whose retention has ended.
    pub fn tick(&mut self, random: &mut impl Rng, now: Moment) -> Output {
        let mut output = Output::default();
        self.now = now;
        if now.since(self.ticked_at) > self.config.probe_interval {
            self.resume(now);
        }
        self.ticked_at = now;
        self.probe_suspects(now, &mut output);
        self.expire(now, &mut output);
        self.probe_indirectly(random, now, &mut output);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.config.probe_interval;
            self.review_census(now);
            self.end_probe(now, &mut output);
            self.start_probe(random, now, &mut output);
            self.probe_departed(random, now, &mut output);
        }
        output
    }

    /// Processes a packet received from the address `from`.
    pub fn receive(&mut self, packet: Packet, from: std::net::SocketAddr, now: Moment) -> Output {
        let mut output = Output::default();
        self.compare(&packet, now, &mut output);
        self.merge_evacuations(&packet, now, &mut output);
        self.merge_store_era(&packet, now, &mut output);
        for record in &packet.records {
            self.merge(record.clone(), Source::Gossip, now, &mut output);
        }
        self.now = now;
        if let Payload::Ack { sequence, clock_us } = packet.payload {
            self.record_offset(&packet, sequence, clock_us);
        }
        if packet.revision > self.revision {
            output.newer_note = Some(Arc::clone(&packet.sender));
        } else if packet.revision == self.revision {
            self.merge_confirmation(&packet, now, &mut output);
        }
        let mut returned = self.returned_record(&packet);
        match packet.payload {
            Payload::Ping { sequence } => {
                let mut answer = self.packet(Payload::Ack {
                    sequence,
                    clock_us: now.as_micros(),
                });
                answer.records.extend(returned.take());
                output.sends.push(Send {
                    to: from,
                    packet: answer,
                });
            }
            Payload::PingRequest { sequence, about } => {
                self.forward_probe(sequence, &about, from, now, &mut output);
            }
            Payload::Ack { sequence, .. } => {
                self.acknowledge(&packet.sender, sequence, now, &mut output);
            }
            Payload::Push => {}
            Payload::Broadcast => {
                output.sends.extend(self.forward(&packet));
            }
        }
        if let Some(record) = returned {
            let packet = Packet {
                records: vec![record],
                ..self.status(Payload::Push)
            };
            output.sends.push(Send { to: from, packet });
        }
        output
    }

    /// Takes over the confirmation of a member with the same release note. The
    /// packet may have been delayed, or queued while this process was paused, so
    /// only the sender's clock dates it.
    fn merge_confirmation(&mut self, packet: &Packet, now: Moment, output: &mut Output) {
        let Some(confirmed) = packet.confirmed() else {
            return;
        };
        let member = self.members.get(&packet.sender);
        let offset = member
            .and_then(|member| member.offset)
            .filter(|offset| offset.process == packet.process);
        if let Some(offset) = offset {
            // A remote clock that runs too fast must not confirm the future.
            let confirmed = offset.local_date(confirmed).min(Date::of(now));
            self.confirm(confirmed);
            output.confirmed = Some(confirmed);
        }
        let is_sent_to_many = matches!(packet.payload, Payload::Broadcast | Payload::Push);
        if is_sent_to_many || self.confirmed.is_none() {
            self.calibrate(packet, now, output);
        }
    }

    /// Restarts probe and suspicions after a pause of this process, in which
    /// others could not reach it.
    fn resume(&mut self, now: Moment) {
        self.probe = None;
        self.forwarded.clear();
        self.next_probe_at = now;
        for member in self.members.values_mut() {
            if member.record.state == State::Suspect {
                member.changed_at = now;
                member.probed_at = None;
            }
        }
    }

    fn announce(&mut self, random: &mut impl Rng) -> Output {
        self.own.incarnation += 1;
        self.own_changed_at = self.now;
        self.queue.add(Arc::clone(&self.own.name));
        self.push(random)
    }

    /// Sends queued updates to a few random members.
    fn push(&mut self, random: &mut impl Rng) -> Output {
        let mut output = Output::default();
        let chosen = self.sample(self.config.fanout, None, random);
        for to in chosen {
            let packet = self.packet(Payload::Push);
            output.sends.push(Send { to, packet });
        }
        output
    }

    fn expire(&mut self, now: Moment, output: &mut Output) {
        let config = self.config;
        let overdue = |member: &&Member| {
            member.record.state == State::Suspect
                && now.since(member.changed_at) >= config.suspicion_timeout
        };
        let failed = self
            .members
            .values()
            .filter(overdue)
            .map(|member| Arc::clone(&member.record.name))
            .collect::<Vec<_>>();
        for name in failed {
            self.set_state(&name, State::Failed, now, output);
        }
        self.members.retain(|_, member| {
            member.record.state.is_active() || now.since(member.changed_at) < config.retention
        });
        let is_recent = |sent: Moment| now.since(sent) < config.probe_interval * 2;
        self.forwarded.retain(|probe| is_recent(probe.started_at));
        self.pings.retain(|_, ping| is_recent(ping.sent_at));
    }

    /// Gossip addresses of up to `count` random active members.
    fn sample(
        &self,
        count: usize,
        except: Option<&str>,
        random: &mut impl Rng,
    ) -> Vec<std::net::SocketAddr> {
        let mut chosen = Vec::new();
        if self.members.is_empty() {
            return chosen;
        }
        for _ in 0..count * 4 {
            let index = random.random_range(0..self.members.len());
            let record = &self.members[index].record;
            let address = record.profile.gossip;
            let eligible = record.state.is_active()
                && Some(&*record.name) != except
                && !chosen.contains(&address);
            if eligible {
                chosen.push(address);
            }
            if chosen.len() == count {
                break;
            }
        }
        chosen
    }

    fn packet(&mut self, payload: Payload) -> Packet {
        let names = self.queue.take(self.config.max_records, self.members.len());
        let mut records = Vec::with_capacity(names.len() + 1);
        let carries_own = match payload {
            Payload::Push => true,
            Payload::Ping { .. } | Payload::Ack { .. } => self.own_record_is_news(),
            Payload::PingRequest { .. } | Payload::Broadcast => false,
        };
        if carries_own {
            records.push(self.own.clone());
        }
        for name in names {
            if name == self.own.name {
                if records.is_empty() {
                    records.push(self.own.clone());
                }
            } else if let Some(record) = self.get(&name) {
                records.push(record.clone());
            }
        }
        Packet {
            records,
            ..self.status(payload)
        }
    }

    /// Whether others may not have the own record yet.
    fn own_record_is_news(&self) -> bool {
        self.differing_packets > 0 || self.now.since(self.own_changed_at) < OWN_RECORD_TIME
    }

    /// Creates a packet without records.
    fn status(&self, payload: Payload) -> Packet {
        Packet {
            sender: Arc::clone(&self.own.name),
            revision: self.revision,
            process: self.process,
            confirmed_us: self
                .confirmed
                .and_then(Date::moment)
                .map_or(0, Moment::as_micros),
            digest: self.full_digest(),
            evacuations: self.evacuations.state().cloned(),
            store_era: self.store_era,
            payload,
            records: Vec::new(),
        }
    }
}
