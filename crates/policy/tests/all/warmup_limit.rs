//! A target that is cold, or may be, gets no more calls than it sustains.

use std::time::Duration;

use cardamomshed_policy::gate::{Change, Config, Decision, Gate, Offer, Shed, Ticket};
use cardamomshed_policy::warmup::Report;
use cardamomshed_policy::{AccountKey, Moment, Priority};
use indexmap::IndexMap;
use rand::Rng;

use crate::{check, random};

/// Multiple of the sustained rate, and calls beyond it, that the bound allows in a
/// second.
const OVER: f64 = 1.5;
const SLACK: f64 = 8.0;
const SECOND: Duration = Duration::from_secs(1);
/// Calls per second that the cold target of the simulation sustains.
const RATE: f64 = 14.0;
/// Interval at which the daemon ticks its gate.
const TICK: Duration = Duration::from_millis(200);
const MAX_WAIT: Duration = Duration::from_millis(500);

fn offer(ticket: u64, priority: Priority, now: Moment) -> Offer {
    Offer {
        account: AccountKey(ticket as u32 % 3),
        priority,
        ..crate::offer(ticket, now + Duration::from_secs(2))
    }
}

fn heartbeat(left: Duration, restarted: bool) -> Report {
    Report::Heartbeat { left, restarted }
}

fn checked(left: Duration, requested_at: Moment) -> Report {
    Report::Check { left, requested_at }
}

/// Largest number of starts in a second that ends with a start.
fn peak(starts: &[Moment]) -> usize {
    let in_second = |end: &Moment| {
        let recent = |start: &&Moment| **start <= *end && end.since(**start) < SECOND;
        starts.iter().filter(recent).count()
    };
    starts.iter().map(in_second).max().unwrap_or(0)
}

/// Offers calls, changes the rate and reports cold, warm and unknown states in any
/// order. The bound of a second is that of the highest rate in force within it.
#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn starts_bounded(steps: Vec<(u8, u16)>) -> bool {
    let mut gate = Gate::new(Config::new(1_000).fixed(), Moment::ZERO);
    let mut now = Moment::ZERO;
    let mut changes = Vec::new();
    let mut rate = 2.0;
    gate.warmup_mut().set_limit(rate, SLACK, now);
    let mut starts = Vec::<(Moment, f64)>::new();
    for (index, (action, value)) in steps.iter().enumerate() {
        let left = Duration::from_millis(u64::from(*value) % 3_000);
        let requested_at = now;
        changes.clear();
        match action % 16 {
            0 => {
                rate = 1.0 + f64::from(value % 4);
                gate.warmup_mut().set_limit(rate, SLACK, now);
            }
            1 => now = now + left / (1 + 15 * u32::from(value % 2)),
            2 => gate.warmup_mut().record(heartbeat(left, true), now),
            3 => gate
                .warmup_mut()
                .record(heartbeat(Duration::ZERO, value % 2 == 0), now),
            4 => gate.warmup_mut().record(checked(left, requested_at), now),
            5 => gate.warmup_mut().suspect(now),
            6 => gate.tick(now, &mut changes),
            7 => {
                // A new process of the target, whose gate takes over the bucket.
                let mut warmup = *gate.warmup();
                warmup.reset_reports();
                gate = Gate::new(Config::new(1_000).fixed(), now);
                *gate.warmup_mut() = warmup;
            }
            _ => {
                for call in 0..=value % 8 {
                    let ticket = index as u64 * 8 + u64::from(call);
                    let offer = offer(ticket, Priority::Normal, now);
                    if gate.offer(offer, now, &mut changes) == Decision::Run {
                        changes.push(Change::Run(offer.ticket));
                    }
                }
                now = now + Duration::from_millis(u64::from(*value) % 23);
            }
        }
        let started = changes.iter().filter(|c| matches!(c, Change::Run(_)));
        if gate.warmup().is_in_force(now) {
            starts.extend(started.map(|_| (now, rate)));
        }
    }
    starts.iter().all(|(end, _)| {
        let window = starts
            .iter()
            .filter(|(start, _)| start <= end && end.since(*start) < SECOND);
        let (count, highest) = window.fold((0.0, 0.0_f64), |(count, highest), (_, rate)| {
            (count + 1.0, highest.max(*rate))
        });
        count <= highest * OVER + SLACK
    })
}

/// Guards against a burst at each change of the rate and at each report.
#[test]
fn second_bounded() {
    check(starts_bounded as fn(Vec<(u8, u16)>) -> bool);
}

/// One target and the calls offered to it.
struct Simulation {
    gate: Gate,
    now: Moment,
    ticked_at: Moment,
    offered: IndexMap<u64, (Moment, Priority)>,
    ends: IndexMap<Ticket, Moment>,
    starts: Vec<Moment>,
    waits: Vec<Duration>,
    /// Calls that were shed, by priority.
    shed: IndexMap<Priority, usize>,
}

impl Simulation {
    fn new(rate: f64) -> Self {
        let mut gate = Gate::new(Config::new(8).fixed(), Moment::ZERO);
        gate.warmup_mut().set_limit(rate, SLACK, Moment::ZERO);
        let left = Duration::from_secs(3);
        gate.warmup_mut()
            .record(heartbeat(left, true), Moment::ZERO);
        Self {
            gate,
            now: Moment::ZERO,
            ticked_at: Moment::ZERO,
            offered: IndexMap::new(),
            ends: IndexMap::new(),
            starts: Vec::new(),
            waits: Vec::new(),
            shed: IndexMap::new(),
        }
    }

    fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            match *change {
                Change::Run(ticket) => {
                    let (offered_at, _) = self.offered[&ticket.0];
                    self.waits.push(self.now.since(offered_at));
                    self.starts.push(self.now);
                    let end = self.now + Duration::from_millis(200);
                    self.ends.insert(ticket, end);
                }
                Change::Shed(ticket, shed) => {
                    assert!(matches!(shed, Shed::Deadline | Shed::Full), "{shed:?}");
                    let (_, priority) = self.offered[&ticket.0];
                    *self.shed.entry(priority).or_default() += 1;
                }
            }
        }
    }

    fn offer(&mut self, priority: Priority) {
        let ticket = self.offered.len() as u64;
        self.offered.insert(ticket, (self.now, priority));
        let mut changes = Vec::new();
        let offer = offer(ticket, priority, self.now);
        match self.gate.offer(offer, self.now, &mut changes) {
            Decision::Run => changes.push(Change::Run(offer.ticket)),
            Decision::Shed(shed) => changes.push(Change::Shed(offer.ticket, shed)),
            Decision::Wait => {}
        }
        self.apply(&changes);
    }

    /// Runs for `length` with `demand` calls a second, of which one in six is
    /// important.
    fn run(&mut self, length: Duration, demand: f64, random: &mut impl Rng) {
        let until = self.now + length;
        while self.now < until {
            self.now = self.now + Duration::from_millis(1);
            let now = self.now;
            let mut changes = Vec::new();
            let ended = self.ends.extract_if(.., |_, end| *end <= now);
            for (ticket, _) in ended.collect::<Vec<_>>() {
                let own_time = Some(Duration::from_millis(200));
                self.gate.finish(ticket, own_time, now, &mut changes);
            }
            if now.since(self.ticked_at) >= TICK {
                self.ticked_at = now;
                self.gate.tick(now, &mut changes);
            }
            self.apply(&changes);
            if random.random_bool(demand / 1_000.0) {
                let important = random.random_bool(1.0 / 6.0);
                self.offer(if important {
                    Priority::Critical
                } else {
                    Priority::Normal
                });
            }
        }
    }
}

/// Guards against targets that all become cold at once and get what they sustain when
/// warm: they would crash again. Guards as well against important calls that lose their
/// tokens to others, and against a backlog that outlasts the cold time.
#[test]
fn cold_service_protected() {
    let mut random = random();
    let bound = RATE * OVER + SLACK;
    for _ in 0..6 {
        let mut target = Simulation::new(RATE);
        target.run(Duration::from_millis(2_999), 3.0 * RATE, &mut random);
        let peak = peak(&target.starts);
        assert!(peak as f64 <= bound, "{peak} calls in a second");
        assert!(target.starts.len() as f64 > 0.9 * RATE * 3.0, "tokens lost");
        let shed = |priority| target.shed.get(&priority).copied().unwrap_or(0);
        assert_eq!(shed(Priority::Critical), 0, "important calls shed");
        assert!(shed(Priority::Normal) > 0);
        let load = target.gate.load(target.now);
        assert_eq!(load.limit, 3, "14 a second for 200 ms");
        target.run(SECOND, RATE, &mut random);
        let load = target.gate.load(target.now);
        assert_eq!((load.waiting, load.limit), (0, 8), "warm");
        let longest = target.waits.iter().max().expect("calls");
        assert!(*longest <= MAX_WAIT, "waited for {longest:?}");
    }
    let mut unlimited = Simulation::new(0.0);
    unlimited.run(Duration::from_secs(3), 3.0 * RATE, &mut random);
    let peak = peak(&unlimited.starts);
    assert!(peak as f64 > bound, "the demand must exceed the bound");
}

/// Starts of calls that are offered every 10 ms for a second.
fn starts_in_second(gate: &mut Gate, now: &mut Moment, next_ticket: &mut u64) -> usize {
    let mut started = 0;
    for _ in 0..100 {
        *now = *now + Duration::from_millis(10);
        *next_ticket += 1;
        let mut changes = Vec::new();
        let offer = offer(*next_ticket, Priority::Normal, *now);
        if gate.offer(offer, *now, &mut changes) == Decision::Run {
            changes.push(Change::Run(offer.ticket));
        }
        while let Some(change) = changes.pop() {
            if let Change::Run(ticket) = change {
                started += 1;
                gate.finish(ticket, None, *now, &mut changes);
            }
        }
    }
    started
}

/// Guards against a target whose state is unknown being treated as warm, and against
/// reports from before a suspicion that lift the limit.
#[test]
fn unknown_limited() {
    let (mut now, mut ticket) = (Moment::ZERO, 0);
    let mut gate = Gate::new(Config::new(8).fixed(), now);
    gate.warmup_mut().set_limit(RATE, SLACK, now);
    let limited = RATE as usize - 1..=(RATE + SLACK / 2.0) as usize;
    assert!(limited.contains(&starts_in_second(&mut gate, &mut now, &mut ticket)));
    gate.warmup_mut().record(checked(Duration::ZERO, now), now);
    assert!(starts_in_second(&mut gate, &mut now, &mut ticket) >= 100);

    let before = now;
    now = now + Duration::from_millis(50);
    gate.warmup_mut().suspect(now);
    gate.warmup_mut()
        .record(checked(Duration::ZERO, before), now);
    gate.warmup_mut()
        .record(heartbeat(Duration::ZERO, false), now);
    assert!(gate.warmup().needs_check());
    assert!(limited.contains(&starts_in_second(&mut gate, &mut now, &mut ticket)));
    // The first heartbeat of a new process cannot have been sent by the earlier one.
    gate.warmup_mut()
        .record(heartbeat(Duration::ZERO, true), now);
    assert!(starts_in_second(&mut gate, &mut now, &mut ticket) >= 100);
}

/// Guards against a late heartbeat that ends the cold time which a health check found.
#[test]
fn late_heartbeat_ignored() {
    let mut gate = Gate::new(Config::new(8), Moment::ZERO);
    let warmup = gate.warmup_mut();
    warmup.set_limit(RATE, SLACK, Moment::ZERO);
    warmup.record(checked(Duration::from_secs(3), Moment::ZERO), Moment::ZERO);
    let at = Moment::from_millis;
    warmup.record(heartbeat(Duration::ZERO, false), at(100));
    assert!(warmup.is_in_force(at(2_999)) && !warmup.is_in_force(at(3_000)));
    // A health check after the heartbeat is newer than both.
    warmup.record(checked(Duration::from_millis(200), at(200)), at(210));
    assert!(warmup.is_in_force(at(409)) && !warmup.is_in_force(at(410)));
}

/// Guards against a change in behaviour where the configuration sets no rate.
#[test]
fn without_rate_unlimited() {
    let (mut now, mut ticket) = (Moment::ZERO, 0);
    let mut gate = Gate::new(Config::new(8).fixed(), now);
    gate.warmup_mut()
        .record(heartbeat(Duration::from_secs(9), true), now);
    gate.warmup_mut().suspect(now);
    assert!(!gate.warmup().needs_check());
    assert_eq!(starts_in_second(&mut gate, &mut now, &mut ticket), 100);
    assert_eq!(gate.load(now).limit, 8);
}
