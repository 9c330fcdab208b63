//! Slopes behind docs/CAPACITY.md: cost of each role per member, account, link,
//! change and call. Each is fitted to at least four sizes.

#[path = "slopes/decision.rs"]
mod decision;
#[path = "slopes/fit.rs"]
mod fit;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cardamomshed_daemon::Options;
use cardamomshed_note::{
    Account, Config, Digest, Evacuations, Grant, Interner, Lookup, Note, Rate, Section,
};
use cardamomshed_policy::member::{self, Fleet as Members, Profile, Record, State};
use cardamomshed_policy::quota::{Bound, Lease, Lender, RAISE_AFTER, Wallet};
use cardamomshed_policy::{AccountKey, Moment};
use cardamomshed_standin::experiment::{Bound as Target, Experiment, cpu_time, resident_memory};
use cardamomshed_standin::fleet::{Fleet, Kind, name};
use cardamomshed_standin::peer::Dialler;
use cardamomshed_standin::shape::Shape;
use cardamomshed_standin::thread;
use cardamomshed_wire::{Secret, seal};
use rand::SeedableRng;
use rand::rngs::StdRng;

use decision::{decisions, frames};
use fit::{Points, add_line, time_of};

fn record(index: usize) -> Record {
    let [high, low] = [(index >> 8) as u8, index as u8];
    let address = SocketAddr::from(([10, 0, high, low], 7_000));
    Record {
        name: format!("service-{:04}-{index:05}", index % 1_100).into(),
        incarnation: 1_700_000_000_000,
        state: State::Alive,
        profile: Profile {
            domain: format!("domain-{}", index % 6).into(),
            region: format!("region-{}", index % 3).into(),
            gossip: address,
            peer: address,
            admin: address,
            service: Some(format!("service-{:04}", index % 1_100).into()),
            slots: 50,
            open: true,
            lender_slots: Vec::new(),
            departure: None,
        },
    }
}

fn members(experiment: &mut Experiment) {
    let sizes = [1_000, 2_500, 5_000, 9_900];
    let (mut memory, mut ticks, mut bytes) = (Points::new(), Points::new(), Points::new());
    let secret = Secret::new("a secret for loopback only").expect("a secret of sufficient length");
    let mut retained = Vec::new();
    for size in sizes {
        let before = resident_memory();
        let config = member::Config::default();
        let own = record(size);
        let mut fleet = Members::new(config, own.name, own.incarnation, own.profile);
        let records = (0..size).map(record).collect();
        let mut now = Moment::from_millis(1);
        fleet.merge_all(records, now);
        memory.push((size as f64, resident_memory() - before));
        // Ordinary operation: ten ticks per second, every probe is answered, and
        // the merged records are gossiped.
        let mut random = StdRng::seed_from_u64(experiment.seed);
        let mut sent = 0;
        let seconds = 200;
        let start = Instant::now();
        for _ in 0..seconds {
            for _ in 0..10 {
                now = now + Duration::from_millis(100);
                for send in fleet.tick(&mut random, now).sends {
                    sent += seal(&secret, &send.packet).len();
                    let answer = answer_to(&send.packet);
                    // The bytes of the answer represent the answers that
                    // this member sends to the probes of others.
                    sent += seal(&secret, &answer).len();
                    fleet.receive(answer, send.to, now);
                }
            }
        }
        ticks.push((
            size as f64,
            start.elapsed().as_secs_f64() * 1e6 / f64::from(seconds),
        ));
        bytes.push((size as f64, sent as f64 / f64::from(seconds)));
        retained.push(fleet);
    }
    drop(retained);
    add_line(experiment, "member records, memory", "B", "member", &memory);
    add_line(
        experiment,
        "gossip, processor time a second",
        "us",
        "member",
        &ticks,
    );
    add_line(
        experiment,
        "gossip probes, bytes sent a second",
        "B",
        "member",
        &bytes,
    );
    let packet = seal(&secret, &packet_of(5)).len() - seal(&secret, &packet_of(0)).len();
    experiment.add(
        "gossip, bytes of one record",
        "B",
        None,
        packet as f64 / 5.0,
        Target::None,
    );
}

/// Acknowledgement of a probe without member records.
fn answer_to(packet: &member::Packet) -> member::Packet {
    let sequence = match packet.payload {
        member::Payload::Ping { sequence } => sequence,
        _ => 0,
    };
    member::Packet {
        payload: member::Payload::Ack {
            sequence,
            clock_us: 0,
        },
        records: Vec::new(),
        ..packet.clone()
    }
}

fn packet_of(records: usize) -> member::Packet {
    member::Packet {
        sender: "service-0001-00001".into(),
        revision: 1_000_000,
        process: 1,
        confirmed_us: 500_000,
        digest: u64::MAX,
        evacuations: None,
        store_era: None,
        payload: member::Payload::Ping { sequence: 100_000 },
        records: (0..records).map(record).collect(),
    }
}

fn accounts_note(from: usize, count: usize) -> Note {
    let entries = from..from + count;
    let accounts = entries.clone().map(|index| Account {
        unlimited: false,
        priority: None,
        regions: None,
        name: name(&format!("account-{index}")),
        rate: Rate::try_from("50/s".to_owned()).expect("a valid rate"),
        burst: 100,
    });
    let keys = entries.map(|index| Grant {
        name: name(&format!("key-{index}")),
        account: name(&format!("account-{index}")),
        digest: Digest::of(&format!("key-{index}")),
    });
    Note {
        note: name(&format!("note-{from}")),
        author: "bench".into(),
        summary: "".into(),
        routes: Section::default(),
        accounts: Section {
            add: accounts.collect(),
            ..Section::default()
        },
        keys: Section {
            add: keys.collect(),
            ..Section::default()
        },
        evacuations: Evacuations::default(),
        limits: None,
    }
}

fn configuration(experiment: &mut Experiment) {
    let (mut memory, mut change) = (Points::new(), Points::new());
    let mut retained = Vec::new();
    for size in [1_000, 2_000, 5_000, 10_000] {
        let before = resident_memory();
        let config = Config::default()
            .apply(&accounts_note(0, size))
            .expect("it fits");
        let names = Interner::default();
        let lookup = Lookup::new(config, &names);
        memory.push((size as f64, resident_memory() - before));
        let next = accounts_note(size, 1);
        let micros = time_of(10, |_| {
            let config = lookup.config.apply(&next).expect("it fits");
            drop(Lookup::new(config, &names));
        });
        change.push((size as f64, micros));
        retained.push((lookup, names));
    }
    drop(retained);
    add_line(
        experiment,
        "configuration, memory",
        "B",
        "account with a key",
        &memory,
    );
    add_line(
        experiment,
        "one change in force, processor time",
        "us",
        "account with a key",
        &change,
    );
    let note = serde_json::to_vec(&accounts_note(0, 1)).expect("a note is JSON");
    experiment.add(
        "one change, bytes",
        "B",
        None,
        note.len() as f64,
        Target::None,
    );
}

fn quota(experiment: &mut Experiment) {
    let (mut memory, mut lend) = (Points::new(), Points::new());
    let bound = Bound {
        rate: 100.0,
        burst: 200.0,
    };
    let now = Moment::from_millis(1);
    let mut retained = Vec::new();
    for size in [1_000u32, 2_000, 5_000, 10_000] {
        let before = resident_memory();
        let mut lender = Lender::default();
        lender.set_lease(Lease::granted(now, Duration::from_hours(1)));
        let mut wallet = Wallet::default();
        for account in 0..size {
            lender.set_share(AccountKey(account), bound, RAISE_AFTER, now);
            wallet.record_use(AccountKey(account), now);
        }
        memory.push((f64::from(size), resident_memory() - before));
        let micros = time_of(100_000, |index| {
            lender.lend(AccountKey(index % size), 1, now);
        });
        lend.push((f64::from(size), micros));
        retained.push((lender, wallet));
    }
    drop(retained);
    add_line(
        experiment,
        "quota, memory of lender and wallet",
        "B",
        "account",
        &memory,
    );
    add_line(
        experiment,
        "quota, time of one loan",
        "us",
        "account",
        &lend,
    );
}

/// Memory of the links that one daemon accepts, including their dialling ends.
fn links(experiment: &mut Experiment) {
    let fleet = Fleet::start(
        Shape::chain(1, 1, 8, Duration::from_millis(1)),
        Kind::Daemon(Options::default()),
    );
    let to = fleet.daemons[0].node.settings.peers;
    let secret = Arc::clone(&fleet.daemons[0].node.settings.fleet_secret);
    let points = thread::run(move || async move {
        let mut points = Points::new();
        let mut retained = Vec::new();
        let before = resident_memory();
        for size in [250usize, 500, 1_000, 2_000] {
            while retained.len() < size {
                let boot = retained.len() as u64 + 1;
                let link = Dialler::dial(to, &format!("fake-{boot}"), boot, &secret).await;
                retained.push(link.expect("a link"));
            }
            points.push((size as f64, resident_memory() - before));
        }
        points
    });
    add_line(
        experiment,
        "peer link, memory of both ends",
        "B",
        "link",
        &points,
    );
}

/// Cost of control in idle daemons that all run in this process.
fn daemons(experiment: &mut Experiment) {
    let mut points: HashMap<&str, Points> = HashMap::new();
    for size in [8usize, 16, 32, 64] {
        let mut shape = Shape::mwakilema(1);
        shape.services.truncate(1);
        shape.services[0].calls.clear();
        shape.services[0].targets = size;
        let before = resident_memory();
        let mut fleet = Fleet::start(shape, Kind::Daemon(Options::default()));
        std::thread::sleep(Duration::from_secs(15));
        let sent = |fleet: &Fleet| {
            let gossip = |daemon: &cardamomshed_standin::fleet::Member| {
                daemon
                    .node
                    .metrics
                    .bytes
                    .with_label_values(&["gossip"])
                    .get() as f64
            };
            fleet.daemons.iter().map(gossip).sum::<f64>()
        };
        // The figures of processor time and memory include the targets and
        // their announcements, because all run in this process.
        let (bytes, cpu, counts) = (
            sent(&fleet),
            cpu_time().as_secs_f64(),
            fleet.platform.counts(),
        );
        let length = Duration::from_secs(10);
        std::thread::sleep(length);
        let seconds = length.as_secs_f64();
        let each = size as f64 * seconds;
        let now = fleet.platform.counts();
        let mut push = |what, figure| points.entry(what).or_default().push((size as f64, figure));
        push("bytes", (sent(&fleet) - bytes) / each);
        push("cpu", (cpu_time().as_secs_f64() - cpu) / each * 100.0);
        push("reads", (now.reads - counts.reads) as f64 / seconds);
        push("writes", (now.writes - counts.writes) as f64 / seconds);
        push("memory", (resident_memory() - before) / size as f64);
        for daemon in &mut fleet.daemons {
            daemon.leave();
        }
    }
    let mut line = |what: &str, label: &str, unit: &str| {
        add_line(experiment, label, unit, "daemon", &points[what]);
    };
    line("bytes", "idle daemon, gossip bytes sent a second", "B");
    line(
        "cpu",
        "idle daemon and its target, processor time",
        "% of a core",
    );
    line("reads", "platform reads a second, fleet", "1/s");
    line("writes", "platform writes a second, fleet", "1/s");
    line("memory", "idle daemon and its target, memory", "B");
}

fn main() {
    let mut experiment = Experiment::from_arguments("slopes");
    if experiment.selects("members") {
        members(&mut experiment);
    }
    if experiment.selects("configuration") {
        configuration(&mut experiment);
    }
    if experiment.selects("decisions") {
        decisions(&mut experiment);
    }
    if experiment.selects("quota") {
        quota(&mut experiment);
    }
    if experiment.selects("frames") {
        frames(&mut experiment);
    }
    if experiment.selects("links") {
        links(&mut experiment);
    }
    if experiment.selects("daemons") {
        daemons(&mut experiment);
    }
    experiment.finish();
}
