//! Membership by gossip, after SWIM: probe, indirect probe, suspicion and
//! incarnation numbers.
//!
//! Each daemon probes one other a period, whatever the size of the fleet,
//! and every packet carries a bounded number of changes, so the cost of a
//! daemon does not grow with the fleet. A failed member is remembered and
//! probed now and then, so that two parts of a cut fleet find each other
//! again without a store.

mod packet;
mod probe;
mod record;
mod spread;
mod tell;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;

pub use packet::{Packet, Payload};
use probe::{Probe, Relay};
pub use record::{Profile, Record, State};
use spread::Spread;

use crate::moment::Moment;

/// Settings of a [`Fleet`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time between two probes.
    pub period: Duration,
    /// Wait for a direct answer before others are asked to probe.
    pub direct: Duration,
    /// Members asked to probe in turn.
    pub indirect: usize,
    /// Time from suspicion to failure.
    pub suspicion: Duration,
    /// Time for which a failed member is remembered.
    pub remember: Duration,
    /// Records in one packet.
    pub records: usize,
    /// Members told at once of an urgent change.
    pub fanout: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            direct: Duration::from_millis(350),
            indirect: 3,
            suspicion: Duration::from_secs(4),
            remember: Duration::from_hours(1),
            records: 7,
            fanout: 4,
        }
    }
}

/// Differing digests in a row after which an exchange is due.
const OUT_OF_STEP: u32 = 4;
/// Shortest time between two exchanges.
const EXCHANGE_PAUSE: Duration = Duration::from_secs(3);
/// Groups of members, by name, whose digests an exchange compares.
const GROUPS: usize = 64;

/// A packet to be sent.
#[derive(Clone, Debug)]
pub struct Send {
    /// Address of the receiver.
    pub to: std::net::SocketAddr,
    /// The packet.
    pub packet: Packet,
}

/// A change in another member, for the log and for routing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member as it is now.
    pub record: Record,
    /// Its state before, `None` for one that was unknown.
    pub before: Option<State>,
}

/// What a call of [`Fleet`] brought about.
#[derive(Debug, Default)]
pub struct Output {
    /// Packets to be sent.
    pub sends: Vec<Send>,
    /// Changes in other members.
    pub changes: Vec<Change>,
    /// A member that says it has a newer release note than this one.
    pub newer_note: Option<Arc<str>>,
    /// When a member with the same release note knew it to be the newest.
    pub confirmed: Option<Moment>,
    /// A member that knows other members than this one for some time; it
    /// should be asked for those that differ.
    pub out_of_step: Option<Arc<str>>,
}

#[derive(Debug)]
struct Member {
    record: Record,
    /// When its state changed last.
    since: Moment,
    /// When it was asked itself whether it lives, while it is suspect.
    asked: Option<Moment>,
}

/// The fleet as one daemon sees it.
#[derive(Debug)]
pub struct Fleet {
    config: Config,
    own: Record,
    /// Every other member by name. Never holds `own.name`.
    members: IndexMap<Arc<str>, Member>,
    /// Revision of the newest release note in force here.
    head: u64,
    /// When `head` was last known to be the newest.
    confirmed: Moment,
    now: Moment,
    order: Vec<Arc<str>>,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    sequence: u64,
    probes: u32,
    next_probe: Moment,
    spread: Spread,
    /// Combined digests of the members that take part, without this one.
    digest: u64,
    /// Packets in a row whose digest differed.
    differing: u32,
    /// When a difference last led to an exchange.
    exchanged: Moment,
}

impl Fleet {
    /// A fleet of one. `incarnation` must exceed that of any earlier process
    /// with this name; the wall clock at the start in milliseconds serves,
    /// and a member that finds itself outdated raises its own.
    pub fn new(config: Config, name: Arc<str>, incarnation: u64, profile: Profile) -> Self {
        Self {
            config,
            own: Record {
                name,
                incarnation,
                state: State::Alive,
                profile,
            },
            members: IndexMap::new(),
            head: 0,
            confirmed: Moment::ZERO,
            now: Moment::ZERO,
            order: Vec::new(),
            probe: None,
            relays: Vec::new(),
            sequence: 0,
            probes: 0,
            next_probe: Moment::ZERO,
            spread: Spread::default(),
            digest: 0,
            differing: 0,
            exchanged: Moment::ZERO,
        }
    }

    /// This daemon's own record.
    pub const fn own(&self) -> &Record {
        &self.own
    }

    /// Every other member.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|member| &member.record)
    }

    /// One other member.
    pub fn get(&self, name: &str) -> Option<&Record> {
        self.members.get(name).map(|member| &member.record)
    }

    /// Members that take part, this one among them.
    pub fn live(&self) -> usize {
        let others = self.members().filter(|record| record.state.takes_part());
        others.count() + 1
    }

    /// Changes this daemon's own profile and tells others at once. Every
    /// member of the own failure domain hears directly of a change of lender
    /// slots, so that two do not hold one slot for long.
    pub fn set_profile(&mut self, profile: Profile, random: &mut impl Rng) -> Output {
        let lends_changed = profile.lends != self.own.profile.lends;
        self.own.profile = profile;
        let mut output = self.announce(random);
        if lends_changed {
            let records = vec![self.own.clone()];
            output.sends.extend(self.to_domain(records));
        }
        output
    }

    /// Announces that this daemon has left.
    pub fn leave(&mut self, random: &mut impl Rng) -> Output {
        self.own.state = State::Left;
        self.announce(random)
    }

    /// Sets the newest release note in force here and tells others at once.
    pub fn set_head(&mut self, head: u64, random: &mut impl Rng) -> Output {
        if head <= self.head {
            return Output::default();
        }
        self.head = head;
        self.push(random)
    }

    /// Notes when the newest release note in force was last known to be the
    /// newest.
    pub fn confirm(&mut self, confirmed: Moment) {
        self.confirmed = self.confirmed.max(confirmed);
    }

    /// Takes in records from the platform's rows or from a full exchange.
    pub fn learn(&mut self, records: Vec<Record>, now: Moment) -> Output {
        let mut output = Output::default();
        for record in records {
            self.merge(record, now, &mut output);
        }
        output
    }

    /// Digests of the members that take part, by group of names.
    pub fn group_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; GROUPS];
        for record in self.members().chain([&self.own]) {
            if record.state.takes_part() {
                digests[group_of(record)] ^= record.digest();
            }
        }
        digests
    }

    /// Records of the groups whose digests differ from those of another
    /// member; all records where it tells none.
    pub fn differing(&self, digests: &[u64]) -> Vec<Record> {
        let own = self.group_digests();
        let differs = |record: &&Record| {
            let group = group_of(record);
            digests.get(group) != Some(&own[group])
        };
        let records = self.members().chain([&self.own]).filter(differs);
        records.cloned().collect()
    }

    /// Lets time pass: probes, suspicions and what is forgotten.
    pub fn tick(&mut self, random: &mut impl Rng, now: Moment) -> Output {
        let mut output = Output::default();
        self.now = now;
        self.ask_suspects(now, &mut output);
        self.expire(now, &mut output);
        self.ask_others(random, now, &mut output);
        if now >= self.next_probe {
            self.next_probe = now + self.config.period;
            self.end_probe(now, &mut output);
            self.start_probe(random, now, &mut output);
        }
        output
    }

    /// Takes in a packet that arrived from `from`.
    pub fn receive(&mut self, packet: Packet, from: std::net::SocketAddr, now: Moment) -> Output {
        let mut output = Output::default();
        self.compare(&packet, now, &mut output);
        let told = match packet.payload {
            Payload::Tell => packet.records.clone(),
            _ => Vec::new(),
        };
        for record in packet.records {
            self.merge(record, now, &mut output);
        }
        self.now = now;
        if packet.head > self.head {
            output.newer_note = Some(Arc::clone(&packet.sender));
        } else if packet.head == self.head {
            let age = Duration::from_millis(u64::from(packet.confirmed_ms));
            let seen = now.since(Moment::ZERO).saturating_sub(age);
            output.confirmed = Some(Moment::ZERO + seen);
        }
        match packet.payload {
            Payload::Ping { sequence } => {
                let answer = self.packet(Payload::Ack { sequence });
                output.sends.push(Send {
                    to: from,
                    packet: answer,
                });
            }
            Payload::PingFor { sequence, about } => {
                self.relay(sequence, &about, from, now, &mut output);
            }
            Payload::Ack { sequence } => {
                self.acknowledge(sequence, &mut output);
            }
            Payload::Push => {}
            Payload::Tell => {
                output.sends.extend(self.tell_on(&packet.sender, &told));
            }
        }
        output
    }

    /// Digest of the members that take part, this one among them.
    fn full_digest(&self) -> u64 {
        self.digest ^ self.own.digest()
    }

    /// Notices that the sender knows other members.
    fn compare(&mut self, packet: &Packet, now: Moment, output: &mut Output) {
        if packet.digest == self.full_digest() {
            self.differing = 0;
            return;
        }
        self.differing += 1;
        let rested = now.since(self.exchanged) >= EXCHANGE_PAUSE;
        if self.differing >= OUT_OF_STEP && rested {
            self.differing = 0;
            self.exchanged = now;
            output.out_of_step = Some(Arc::clone(&packet.sender));
        }
    }

    fn announce(&mut self, random: &mut impl Rng) -> Output {
        self.own.incarnation += 1;
        self.spread.add(Arc::clone(&self.own.name));
        self.push(random)
    }

    /// Tells a few members at once.
    fn push(&mut self, random: &mut impl Rng) -> Output {
        let mut output = Output::default();
        let chosen = self.draw(self.config.fanout, None, random);
        for to in chosen {
            let packet = self.packet(Payload::Push);
            output.sends.push(Send { to, packet });
        }
        output
    }

    fn merge(&mut self, record: Record, now: Moment, output: &mut Output) {
        if record.name == self.own.name {
            self.refute(&record);
            return;
        }
        let before = match self.members.get_mut(&record.name) {
            Some(member) if !record.supersedes(&member.record) => return,
            Some(member) => {
                if member.record.state.takes_part() {
                    self.digest ^= member.record.digest();
                }
                let before = member.record.state;
                member.record = record.clone();
                member.since = now;
                member.asked = None;
                Some(before)
            }
            None => {
                let name = Arc::clone(&record.name);
                let member = Member {
                    record: record.clone(),
                    since: now,
                    asked: None,
                };
                self.members.insert(name, member);
                None
            }
        };
        if record.state.takes_part() {
            self.digest ^= record.digest();
        }
        self.spread.add(Arc::clone(&record.name));
        output.changes.push(Change { record, before });
    }

    /// Overrules what others say of this daemon.
    fn refute(&mut self, record: &Record) {
        let outdated = record.incarnation > self.own.incarnation
            || (record.incarnation == self.own.incarnation && record.state > self.own.state);
        if outdated {
            self.own.incarnation = record.incarnation + 1;
            self.spread.add(Arc::clone(&self.own.name));
        }
    }

    fn set_state(&mut self, name: &str, state: State, now: Moment, output: &mut Output) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let record = Record {
            state,
            ..member.record.clone()
        };
        self.merge(record, now, output);
    }

    fn expire(&mut self, now: Moment, output: &mut Output) {
        let config = self.config;
        let overdue = |member: &&Member| {
            member.record.state == State::Suspect && now.since(member.since) >= config.suspicion
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
            member.record.state.takes_part() || now.since(member.since) < config.remember
        });
        self.relays
            .retain(|relay| now.since(relay.started) < config.period * 2);
    }

    /// Addresses of `count` members drawn at random.
    fn draw(
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
            let place = random.random_range(0..self.members.len());
            let record = &self.members[place].record;
            let address = record.profile.gossip;
            let fits = record.state.takes_part()
                && Some(&*record.name) != except
                && !chosen.contains(&address);
            if fits {
                chosen.push(address);
            }
            if chosen.len() == count {
                break;
            }
        }
        chosen
    }

    fn packet(&mut self, payload: Payload) -> Packet {
        let names = self.spread.take(self.config.records, self.members.len());
        let mut records = Vec::with_capacity(names.len() + 1);
        let own = matches!(
            payload,
            Payload::Push | Payload::Ping { .. } | Payload::Ack { .. }
        );
        if own {
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

    /// A packet without records.
    fn status(&self, payload: Payload) -> Packet {
        Packet {
            sender: Arc::clone(&self.own.name),
            head: self.head,
            confirmed_ms: self.now.since(self.confirmed).as_millis() as u32,
            digest: self.full_digest(),
            payload,
            records: Vec::new(),
        }
    }
}

fn group_of(record: &Record) -> usize {
    record.name_hash() as usize % GROUPS
}
