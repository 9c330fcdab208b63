//! Convergence of gossip membership under starts, failures, loss and partitions.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_policy::Moment;
use cardamomshed_policy::member::{Config, Fleet, Output, Profile, Record, Send, State};
use rand::Rng;
use rand::rngs::StdRng;

use crate::{random, started_member};

const STEP: Duration = Duration::from_millis(50);

/// Simulated lossy network of members with a manual clock.
struct Network {
    fleets: Vec<Fleet>,
    down: HashSet<usize>,
    /// Whether members of even and odd index are partitioned from each other.
    partitioned: bool,
    loss: f64,
    random: StdRng,
    now: Moment,
    packets: u64,
    records: usize,
    /// Members that requested records of another failure domain.
    foreign_exchanges: HashSet<usize>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

/// View of a member that has just started, at the address of number `index`.
fn fleet(number: usize, index: usize, incarnation: u64) -> Fleet {
    let port = address(index).port();
    started_member("domain", &name(number), port, incarnation)
}

fn name(index: usize) -> Arc<str> {
    format!("node-{index}").into()
}

impl Network {
    /// Creates members that have joined and exchanged records as daemons do.
    fn new(count: usize) -> Self {
        let mut network = Self::started(count);
        // A joining daemon requests all records from another member a few times.
        for _ in 0..3 {
            network.run(Duration::from_secs(2));
            for index in 1..count {
                network.exchange(index, &name(0));
            }
        }
        network
    }

    /// Creates members that have exchanged records and gossiped for 20 s.
    fn settled(count: usize) -> Self {
        let mut network = Self::new(count);
        network.run(Duration::from_secs(20));
        network
    }

    /// Creates members that have just started.
    fn started(count: usize) -> Self {
        let make = |index| fleet(index, index, 1);
        let mut network = Self {
            fleets: (0..count).map(make).collect(),
            down: HashSet::new(),
            partitioned: false,
            loss: 0.0,
            random: random(),
            now: Moment::from_millis(1),
            packets: 0,
            records: 0,
            foreign_exchanges: HashSet::new(),
        };
        // Every member knows the first one, as from the platform's rows.
        let first = network.fleets[0].own().clone();
        for index in 1..count {
            let output = network.fleets[index].merge_all(vec![first.clone()], network.now);
            network.deliver(index, output);
        }
        network
    }

    fn deliver(&mut self, from: usize, output: Output) {
        let mut queue = output
            .sends
            .into_iter()
            .map(|send| (from, send))
            .collect::<Vec<_>>();
        while let Some((from, Send { to, packet })) = queue.pop() {
            self.packets += 1;
            self.records += packet.records.len();
            let index = usize::from(to.port()) - 10_000;
            let blocked = self.partitioned && from % 2 != index % 2;
            if blocked || self.down.contains(&index) || self.random.random::<f64>() < self.loss {
                continue;
            }
            let output = self.fleets[index].receive(packet, address(from), self.now);
            if let Some(other) = &output.diverged {
                self.exchange(index, &other.clone());
            }
            queue.extend(output.sends.into_iter().map(|send| (index, send)));
        }
    }

    /// Requests differing records from `other`, as daemons do over a peer link.
    fn exchange(&mut self, index: usize, other: &str) {
        let responder = self
            .fleets
            .iter()
            .find(|fleet| &*fleet.own().name == other)
            .expect("a member");
        if responder.own().profile.domain != self.fleets[index].own().profile.domain {
            self.foreign_exchanges.insert(index);
        }
        let records = responder.differing(&self.fleets[index].group_digests());
        self.fleets[index].merge_all(records, self.now);
    }

    fn run(&mut self, length: Duration) {
        let until = self.now + length;
        while self.now < until {
            self.now = self.now + STEP;
            for index in 0..self.fleets.len() {
                if !self.down.contains(&index) {
                    let output = self.fleets[index].tick(&mut self.random, self.now);
                    self.deliver(index, output);
                }
            }
        }
    }

    /// Asserts that every member regards all members as live.
    fn assert_complete(&self) {
        for fleet in &self.fleets {
            let name = &fleet.own().name;
            assert_eq!(fleet.live(), self.fleets.len(), "by {name}");
        }
    }

    /// Number of members that record `subject` in a state.
    fn count_in_state(&self, subject: usize, state: State) -> usize {
        let matches = |fleet: &&Fleet| {
            fleet
                .get(&name(subject))
                .is_some_and(|record| record.state == state)
        };
        self.fleets.iter().filter(matches).count()
    }
}

#[test]
fn all_members_join() {
    let network = Network::settled(32);
    network.assert_complete();
}

#[test]
fn simultaneous_start_converges() {
    let mut network = Network::started(64);
    network.run(Duration::from_secs(15));
    network.assert_complete();
}

#[test]
fn steady_packets_empty() {
    // Once every member has every record, packets carry none.
    let mut network = Network::new(16);
    network.run(Duration::from_secs(30));
    network.records = 0;
    network.run(Duration::from_secs(10));
    assert_eq!(network.records, 0);
}

#[test]
fn domains_exchange_by_relay() {
    // Two failure domains know nothing of each other but for one member of each.
    // Only the relays request records of the other domain, and all members learn
    // them.
    const COUNT: usize = 24;
    let domain = |index: usize| if index < COUNT / 2 { "first" } else { "second" };
    let make = |index: usize| {
        let profile = Profile {
            domain: domain(index).into(),
            ..fleet(index, index, 1).own().profile.clone()
        };
        Fleet::new(Config::default(), name(index), 1, profile)
    };
    let mut network = Network::started(COUNT);
    network.fleets = (0..COUNT).map(make).collect();
    let records = (0..COUNT).map(|index| network.fleets[index].own().clone());
    let records = records.collect::<Vec<_>>();
    for index in 0..COUNT {
        let local = records
            .iter()
            .filter(|record| record.profile.domain == domain(index).into());
        let known = local.chain([&records[0]]).cloned().collect();
        network.fleets[index].merge_all(known, network.now);
    }
    network.foreign_exchanges.clear();
    for _ in 0..30 {
        network.run(Duration::from_secs(1));
        // Pollers, the first of which is the relay, broadcast to their domain.
        for index in 0..COUNT {
            if network.fleets[index].is_relay() {
                let output = network.fleets[index].broadcast(network.now);
                network.deliver(index, output);
            }
        }
    }
    for (index, fleet) in network.fleets.iter().enumerate() {
        assert_eq!(fleet.live(), COUNT, "member {index}");
    }
    let relays = (0..COUNT).filter(|index| network.fleets[*index].is_relay());
    let relays = relays.collect::<HashSet<_>>();
    assert_eq!(relays.len(), 2, "one relay in each domain");
    assert!(
        network.foreign_exchanges.is_subset(&relays),
        "{:?} exchanged across domains, relays are {relays:?}",
        network.foreign_exchanges
    );
}

#[test]
fn failure_disseminated() {
    let mut network = Network::settled(24);
    network.down.insert(7);
    network.run(Duration::from_secs(20));
    assert_eq!(network.count_in_state(7, State::Failed), 23);
}

#[test]
fn packet_loss_tolerated() {
    let mut network = Network::settled(24);
    network.loss = 0.05;
    network.run(Duration::from_mins(5));
    for index in 0..24 {
        assert_eq!(
            network.count_in_state(index, State::Failed),
            0,
            "member {index}"
        );
    }
}

#[test]
fn partition_heals() {
    let mut network = Network::settled(16);
    network.partitioned = true;
    network.run(Duration::from_mins(1));
    assert_eq!(network.count_in_state(1, State::Failed), 8);
    network.partitioned = false;
    network.run(Duration::from_mins(2));
    network.assert_complete();
}

#[test]
fn paused_member_recovers() {
    let mut network = Network::settled(12);
    network.down.insert(3);
    network.run(Duration::from_mins(1));
    assert_eq!(network.count_in_state(3, State::Failed), 11);
    network.down.remove(&3);
    network.run(Duration::from_mins(2));
    assert_eq!(network.count_in_state(3, State::Alive), 11);
}

#[test]
fn restarted_member_supersedes() {
    let mut network = Network::settled(12);
    // A new process has the same name and address and a higher incarnation.
    let mut restarted = fleet(5, 5, 1_000);
    let first = network.fleets[0].own().clone();
    restarted.merge_all(vec![first], network.now);
    network.fleets[5] = restarted;
    network.run(Duration::from_secs(20));
    let newer = network
        .fleets
        .iter()
        .filter_map(|fleet| fleet.get(&name(5)))
        .filter(|record| record.incarnation >= 1_000);
    assert_eq!(newer.count(), 11);
}

#[test]
fn departure_disseminated() {
    let mut network = Network::settled(16);
    let output = network.fleets[2].leave(&mut random());
    network.deliver(2, output);
    network.down.insert(2);
    network.run(Duration::from_secs(3));
    assert_eq!(network.count_in_state(2, State::Left), 15);
}

#[test]
fn packet_rate_bounded() {
    let mut network = Network::settled(32);
    network.packets = 0;
    network.run(Duration::from_mins(1));
    let per_member = network.packets as f64 / 32.0 / 60.0;
    assert!(
        per_member <= 2.1,
        "{per_member} packets per second and member"
    );
}

#[test]
fn lender_change_broadcast() {
    let start = |index| fleet(index, index, 1);
    // Without and with members that receive the broadcast by forwarding.
    for count in [30, 400] {
        let mut fleets = (0..count).map(start).collect::<Vec<_>>();
        let all = fleets.iter().map(|fleet| fleet.own().clone());
        let all = all.collect::<Vec<_>>();
        for (index, fleet) in fleets.iter_mut().enumerate() {
            let others = all.iter().enumerate();
            let others = others.filter(|(other, _)| *other != index);
            fleet.merge_all(
                others.map(|(_, record)| record.clone()).collect(),
                Moment::ZERO,
            );
        }
        let mut profile = fleets[4].own().profile.clone();
        profile.lender_slots = vec![0];
        let mut informed = HashSet::new();
        let mut sends = fleets[4].set_profile(profile, &mut random()).sends;
        while !sends.is_empty() {
            assert!(sends.len() <= 400, "the broadcast repeats packets");
            let mut next = Vec::new();
            for send in sends {
                let from = address(4);
                let index = usize::from(send.to.port()) - 10_000;
                let own = |record: &Record| *record.name == *name(4);
                if send.packet.records.iter().any(own) {
                    informed.insert(index);
                }
                let output = fleets[index].receive(send.packet, from, Moment::ZERO);
                assert!(
                    output.sends.len() <= 48,
                    "{} packets from one member",
                    output.sends.len()
                );
                next.extend(output.sends);
            }
            sends = next;
        }
        assert_eq!(
            informed.len(),
            count - 1,
            "the whole failure domain receives the change"
        );
    }
}

#[test]
fn suspect_probed_directly() {
    let start = |index| fleet(index, index, 1);
    let (mut fleet, mut suspect) = (start(0), start(1));
    let mut random = random();
    // With many members, the regular probe of the suspect comes too late.
    let others = (2..200).map(|index| start(index).own().clone());
    fleet.merge_all(others.collect(), Moment::ZERO);
    let suspicion = Record {
        state: State::Suspect,
        ..suspect.own().clone()
    };
    fleet.merge_all(vec![suspicion], Moment::ZERO);
    let mut now = Moment::ZERO;
    while now < Moment::ZERO + Config::default().suspicion_timeout + STEP {
        now = now + STEP;
        let sends = fleet.tick(&mut random, now).sends.into_iter();
        for send in sends.filter(|send| send.to == address(1)) {
            for answer in suspect.receive(send.packet, address(0), now).sends {
                fleet.receive(answer.packet, address(1), now);
            }
        }
    }
    let record = fleet.get(&name(1)).expect("a member");
    assert_eq!(record.state, State::Alive);
}

#[test]
fn reused_address_distinguished() {
    let mut network = Network::settled(12);
    // The machine of member 5 is lost and another member starts at its address,
    // which also knows the lost member, as from the platform's rows.
    let lost = network.fleets[5].own().clone();
    let mut successor = fleet(50, 5, 1_000);
    let first = network.fleets[0].own().clone();
    successor.merge_all(vec![first, lost], network.now);
    network.fleets[5] = successor;
    network.run(Duration::from_secs(20));
    assert_eq!(network.count_in_state(5, State::Failed), 12);
    assert_eq!(network.count_in_state(50, State::Alive), 11);
}

#[test]
fn stale_record_at_reused_address() {
    // After a restart of the whole fleet, rows of the platform still list a member
    // whose address another one has by now.
    let mut network = Network::started(8);
    network.run(Duration::from_secs(10));
    let mut ghost = network.fleets[3].own().clone();
    ghost.name = name(90);
    ghost.incarnation = 0;
    for index in 0..8 {
        let output = network.fleets[index].merge_all(vec![ghost.clone()], network.now);
        network.deliver(index, output);
    }
    network.run(Duration::from_secs(2));
    let is_active = |fleet: &&Fleet| {
        fleet
            .get(&name(90))
            .is_some_and(|record| record.state.is_active())
    };
    assert_eq!(network.fleets.iter().filter(is_active).count(), 0);
    network.assert_complete();
}

#[test]
fn unresponsive_members_verified() {
    // Two members do not answer messages, sent to them in turn, and nobody else can
    // tell. Both fail within one probe each and the suspicion.
    let mut network = Network::settled(3);
    network.down.extend([1, 2]);
    let config = Config::default();
    let until = network.now + config.probe_interval * 3 + config.suspicion_timeout;
    for index in [1, 2].into_iter().cycle() {
        if network.now >= until {
            break;
        }
        let output = network.fleets[0].verify(&name(index), network.now);
        network.deliver(0, output);
        network.run(config.probe_interval / 2 + STEP);
    }
    for index in [1, 2] {
        let state = network.fleets[0]
            .get(&name(index))
            .map(|record| record.state);
        assert_eq!(state, Some(State::Failed), "member {index}");
    }
}

#[test]
fn verification_limited() {
    let mut network = Network::settled(8);
    network.down.insert(7);
    let verify = |network: &mut Network| {
        let output = network.fleets[0].verify(&name(7), network.now);
        let count = output.sends.len();
        network.deliver(0, output);
        count
    };
    assert_eq!(verify(&mut network), 1);
    assert_eq!(verify(&mut network), 0, "verified twice at once");
}
