//! The slopes under docs/CAPACITY.md: what each role costs per member,
//! entry, account, link, change and call, by at least four sizes each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cardamomshed_daemon::Options;
use cardamomshed_note::{Account, Config, Digest, Grant, Lookup, Names, Note, PerSecond, Section};
use cardamomshed_policy::admission::{Admission, Level, Method, Rank, Request, Steering};
use cardamomshed_policy::gate::{self, Gate, Offer, Ticket};
use cardamomshed_policy::member::{self, Fleet as Members, Profile, Record, State};
use cardamomshed_policy::quota::{Bound, Lease, Lender, Wallet};
use cardamomshed_policy::route::{Balancer, Outcome, Tier};
use cardamomshed_policy::{AccountKey, Moment, Priority, RouteKey};
use cardamomshed_standin::experiment::{Bound as Target, Experiment};
use cardamomshed_standin::fleet::{Fleet, Kind, name};
use cardamomshed_standin::shape::Shape;
use cardamomshed_wire::{Call, Frame, Secret, decode, encode, seal};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Points of one slope: size and figure.
type Points = Vec<(f64, f64)>;

/// Adds a line through the points: its slope, its figure at zero and the
/// largest residual over the largest figure.
fn add_line(experiment: &mut Experiment, what: &str, unit: &str, per: &str, points: &Points) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let over = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum::<f64>();
    let under = points
        .iter()
        .map(|(x, _)| (x - mean_x).powi(2))
        .sum::<f64>();
    let slope = over / under;
    let base = mean_y - slope * mean_x;
    let residual = points.iter().map(|(x, y)| (y - base - slope * x).abs());
    let most = points
        .iter()
        .map(|(_, y)| y.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let residual = residual.fold(0.0, f64::max) / most;
    experiment.add(
        &format!("{what}: per {per}"),
        unit,
        None,
        slope,
        Target::None,
    );
    experiment.add(&format!("{what}: at zero"), unit, None, base, Target::None);
    experiment.add(
        &format!("{what}: residual"),
        "share",
        None,
        residual,
        Target::None,
    );
}

fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0
}

fn cpu_time() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|field| field.parse::<f64>().ok())
        .sum::<f64>()
        / 100.0
}

/// Mean time of one call of `work` in microseconds.
fn time_of(count: u32, mut work: impl FnMut(u32)) -> f64 {
    for place in 0..count / 10 {
        work(place);
    }
    let start = Instant::now();
    for place in 0..count {
        work(place);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

fn record(place: usize) -> Record {
    let [high, low] = [(place >> 8) as u8, place as u8];
    let address = SocketAddr::from(([10, 0, high, low], 7_000));
    Record {
        name: format!("service-{:04}-{place:05}", place % 1_100).into(),
        incarnation: 1_700_000_000_000,
        state: State::Alive,
        profile: Profile {
            domain: format!("domain-{}", place % 6).into(),
            region: format!("region-{}", place % 3).into(),
            gossip: address,
            peer: address,
            admin: address,
            service: Some(format!("service-{:04}", place % 1_100).into()),
            slots: 50,
            open: true,
            lends: Vec::new(),
        },
    }
}

fn members(experiment: &mut Experiment) {
    let sizes = [1_000, 2_500, 5_000, 9_900];
    let (mut memory, mut ticks, mut bytes) = (Points::new(), Points::new(), Points::new());
    let secret = Secret::new("a secret for loopback only").expect("a long secret");
    let mut kept = Vec::new();
    for size in sizes {
        let before = resident();
        let config = member::Config::default();
        let own = record(size);
        let mut fleet = Members::new(config, own.name, own.incarnation, own.profile);
        let records = (0..size).map(record).collect();
        let mut now = Moment::from_millis(1);
        fleet.learn(records, now);
        memory.push((size as f64, resident() - before));
        // One second of an ordinary period with one change that spreads.
        let mut random = StdRng::seed_from_u64(experiment.seed);
        let mut sent = 0;
        let seconds = 200;
        let start = Instant::now();
        for _ in 0..seconds {
            for _ in 0..10 {
                now = now + Duration::from_millis(100);
                for send in fleet.tick(&mut random, now).sends {
                    sent += seal(&secret, &send.packet).len();
                }
            }
        }
        ticks.push((
            size as f64,
            start.elapsed().as_secs_f64() * 1e6 / f64::from(seconds),
        ));
        bytes.push((size as f64, sent as f64 / f64::from(seconds)));
        kept.push(fleet);
    }
    drop(kept);
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

fn packet_of(records: usize) -> member::Packet {
    member::Packet {
        sender: "service-0001-00001".into(),
        head: 1_000_000,
        confirmed_ms: 500,
        digest: u64::MAX,
        payload: member::Payload::Ping { sequence: 100_000 },
        records: (0..records).map(record).collect(),
    }
}

fn accounts_note(from: usize, count: usize) -> Note {
    let entries = from..from + count;
    let accounts = entries.clone().map(|place| Account {
        name: name(&format!("account-{place}")),
        rate: PerSecond::try_from("50/s".to_owned()).expect("a valid rate"),
        burst: 100,
    });
    let keys = entries.map(|place| Grant {
        name: name(&format!("key-{place}")),
        account: name(&format!("account-{place}")),
        digest: Digest::of(&format!("key-{place}")),
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
        limits: None,
    }
}

fn configuration(experiment: &mut Experiment) {
    let (mut memory, mut change) = (Points::new(), Points::new());
    let mut kept = Vec::new();
    for size in [1_000, 2_000, 5_000, 10_000] {
        let before = resident();
        let config = Config::default()
            .apply(&accounts_note(0, size))
            .expect("it fits");
        let names = Names::default();
        let lookup = Lookup::new(config, &names);
        memory.push((size as f64, resident() - before));
        let next = accounts_note(size, 1);
        let micros = time_of(10, |_| {
            let config = lookup.config.apply(&next).expect("it fits");
            drop(Lookup::new(config, &names));
        });
        change.push((size as f64, micros));
        kept.push((lookup, names));
    }
    drop(kept);
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

fn decisions(experiment: &mut Experiment) {
    let mut route = Points::new();
    for size in [16u32, 64, 250, 1_000] {
        let mut balancer = Balancer::default();
        let mut random = StdRng::seed_from_u64(experiment.seed);
        for _ in 0..size {
            balancer.insert(Tier::Domain, 50, Moment::ZERO);
        }
        let now = Moment::from_millis(5);
        let micros = time_of(200_000, |_| {
            if let Some(choice) = balancer.choose(&[], true, &mut random, now) {
                balancer.started(choice.target, now);
                balancer.finished(choice.target, Outcome::Answered, None, now);
            }
        });
        route.push((f64::from(size), micros));
        if size == 1_000 {
            experiment.add(
                "routing decision, 1000 targets",
                "us",
                None,
                micros,
                Target::AtMost(2.0),
            );
        }
    }
    add_line(experiment, "routing decision", "us", "target", &route);
    let (mut admit, mut offer) = (Points::new(), Points::new());
    for size in [8, 100, 1_000, 10_000] {
        let mut admission = Admission::new(Method::Levels);
        let micros = time_of(200_000, |place| {
            let request = Request {
                route: RouteKey(0),
                account: AccountKey(place % size),
                priority: Priority::Normal,
                draw: f64::from(place % 97) / 97.0,
            };
            admission.admit(&request, Moment::from_micros(u64::from(place)));
        });
        admit.push((f64::from(size), micros));
        let gate = gate_turn(size);
        offer.push((f64::from(size), gate));
        if size == 10_000 {
            experiment.add(
                "admission at the ingress, 10000 accounts",
                "us",
                None,
                micros,
                Target::AtMost(2.0),
            );
            experiment.add(
                "admission beside the target, 10000 accounts",
                "us",
                None,
                gate,
                Target::AtMost(2.0),
            );
        }
    }
    add_line(
        experiment,
        "admission at the ingress",
        "us",
        "account",
        &admit,
    );
    add_line(
        experiment,
        "admission beside the target",
        "us",
        "account",
        &offer,
    );
}

/// Time of one offer with the finish that makes room for it.
fn gate_turn(accounts: u32) -> f64 {
    let config = gate::Config::new(50).max_wait(Duration::from_hours(1));
    let mut gate = Gate::new(config, Moment::ZERO);
    let mut steering = Steering::default();
    let mut running = std::collections::VecDeque::new();
    let mut changes = Vec::new();
    time_of(100_000, |place| {
        let now = Moment::from_micros(u64::from(place) * 20);
        changes.clear();
        let offer = Offer {
            ticket: Ticket(u64::from(place)),
            account: AccountKey(place % accounts),
            priority: Priority::Normal,
            depth: 0,
            deadline: Moment::from_millis(100_000_000),
        };
        steering.arrived(Rank(300.0));
        steering.tick(now);
        if gate.offer(offer, now, &mut changes) == gate::Verdict::Run {
            running.push_back(offer.ticket);
        }
        // As many end as arrive, once as many wait as there are accounts.
        if gate.load(now).waiting > accounts.min(2_000)
            && let Some(ticket) = running.pop_front()
        {
            gate.finish(ticket, Some(Duration::from_millis(1)), now, &mut changes);
        }
        for change in &changes {
            if let gate::Change::Run(ticket) = change {
                running.push_back(*ticket);
            }
        }
    })
}

fn quota(experiment: &mut Experiment) {
    let (mut memory, mut lend) = (Points::new(), Points::new());
    let bound = Bound {
        rate: 100.0,
        burst: 200.0,
    };
    let now = Moment::from_millis(1);
    let mut kept = Vec::new();
    for size in [1_000u32, 2_000, 5_000, 10_000] {
        let before = resident();
        let mut lender = Lender::default();
        lender.set_lease(Lease::granted(now, Duration::from_hours(1)));
        let mut wallet = Wallet::default();
        for account in 0..size {
            lender.set_share(AccountKey(account), bound, now);
            wallet.count(AccountKey(account), now);
        }
        memory.push((f64::from(size), resident() - before));
        let micros = time_of(100_000, |place| {
            lender.lend(AccountKey(place % size), 1, now);
        });
        lend.push((f64::from(size), micros));
        kept.push((lender, wallet));
    }
    drop(kept);
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

fn frames(experiment: &mut Experiment) {
    let mut points = Points::new();
    for size in [256, 1_024, 4_096, 32_768] {
        let body = vec![b'x'; size];
        let call = Call {
            id: 1_000_000,
            request: cardamomshed_wire::Request::random(),
            account: "account".into(),
            priority: Priority::Normal,
            rank: Rank(300.0),
            timeout_ms: 1_000,
            tokens: 2,
            depth: 3,
            service: "service-0001".into(),
            method: "POST".to_owned(),
            path: "/service-0001/things?page=2".to_owned(),
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            length: size as u64,
        };
        let frame = Frame::Call(Box::new(call));
        let micros = time_of(20_000, |_| {
            decode(&encode(&frame, &body)).expect("a frame");
        });
        points.push((size as f64, micros));
    }
    add_line(
        experiment,
        "call frame, encode and decode",
        "us",
        "byte",
        &points,
    );
    let mut admission = Admission::new(Method::Levels);
    let micros = time_of(100_000, |place| {
        let level = Some(Level(f32::from(place as u16 % 512)));
        admission.observe(RouteKey(0), level, false, Moment::from_millis(5));
    });
    experiment.add(
        "answer taken in at the ingress",
        "us",
        None,
        micros,
        Target::None,
    );
}

/// Whole daemons in this process, idle: what control costs them.
fn daemons(experiment: &mut Experiment) {
    let mut points: HashMap<&str, Points> = HashMap::new();
    for size in [8usize, 16, 32, 64] {
        let mut shape = Shape::mwakilema(1);
        shape.services.truncate(1);
        shape.services[0].calls.clear();
        shape.services[0].upstreams = size;
        let before = resident();
        let mut fleet = Fleet::start(shape, Kind::Ours(Options::default()));
        std::thread::sleep(Duration::from_secs(15));
        let sent = |fleet: &Fleet| {
            let gossip = |daemon: &cardamomshed_standin::fleet::Running| {
                daemon
                    .node
                    .metrics
                    .bytes
                    .with_label_values(&["gossip"])
                    .get() as f64
            };
            fleet.daemons.iter().map(gossip).sum::<f64>()
        };
        // The targets' announcements would count as control; they end here,
        // and the daemons' memory of them is kept by a long lapse.
        let (bytes, cpu, counts) = (sent(&fleet), cpu_time(), fleet.platform.counts());
        let length = Duration::from_secs(10);
        std::thread::sleep(length);
        let seconds = length.as_secs_f64();
        let each = size as f64 * seconds;
        let now = fleet.platform.counts();
        let mut push = |what, figure| points.entry(what).or_default().push((size as f64, figure));
        push("bytes", (sent(&fleet) - bytes) / each);
        push("cpu", (cpu_time() - cpu) / each * 100.0);
        push("reads", (now.reads - counts.reads) as f64 / seconds);
        push("writes", (now.writes - counts.writes) as f64 / seconds);
        push("memory", (resident() - before) / size as f64);
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
    if experiment.wants("members") {
        members(&mut experiment);
    }
    if experiment.wants("configuration") {
        configuration(&mut experiment);
    }
    if experiment.wants("decisions") {
        decisions(&mut experiment);
    }
    if experiment.wants("quota") {
        quota(&mut experiment);
    }
    if experiment.wants("frames") {
        frames(&mut experiment);
    }
    if experiment.wants("daemons") {
        daemons(&mut experiment);
    }
    experiment.finish();
}
