//! Order of the gate: no slot stays idle while calls wait that may use it, and no
//! call starts before a queued call of a higher priority.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use cardamomshed_policy::gate::{Change, Config, Decision, Gate, Offer, Shed, Ticket};
use cardamomshed_policy::{AccountKey, Moment, Priority};

use crate::{check, offer};

/// One step of a generated case: action, account or depth, priority, and time.
/// Actions by remainder modulo six: 0 completes the running call with the
/// lowest ticket, or is a tick if there is none, 1 cancels a call, others offer one.
type Step = (u8, u8, u8, u16);

fn generated(ticket: u64, step: Step, now: Moment) -> Offer {
    Offer {
        account: AccountKey(u32::from(step.1 % 5)),
        priority: Priority::ALL[usize::from(step.2) % 4],
        depth: step.1 % 3,
        ..offer(
            ticket,
            now + Duration::from_millis(20 + u64::from(step.3 % 400)),
        )
    }
}

/// Reference model of the reserve: the slots that the calls of each priority need
/// by Little's law, from their arrivals.
#[derive(Default)]
struct Demand {
    /// Service time in seconds of the calls that arrived since `since`.
    arrived: [f64; 4],
    smoothed: [f64; 4],
    since: Moment,
}

impl Demand {
    fn record(&mut self, priority: Priority, service_time: Duration, now: Moment) {
        if now.since(self.since) >= Duration::from_millis(200) {
            self.smoothed = Priority::ALL.map(|priority| self.estimate(priority, now));
            self.arrived = [0.0; 4];
            self.since = now;
        }
        self.arrived[priority.index()] += service_time.as_secs_f64();
    }

    fn estimate(&self, priority: Priority, now: Moment) -> f64 {
        let windows = now.since(self.since).as_secs_f64() / 0.2;
        let smoothed = self.smoothed[priority.index()];
        if windows < 1.0 {
            return smoothed;
        }
        let kept = 0.75f64.powf(windows);
        kept * smoothed + (1.0 - kept) * self.arrived[priority.index()] / (0.2 * windows)
    }

    /// Slots that a call of `priority` leaves free: the mean demand of the higher
    /// priorities and one standard deviation, less the slots they use, and at most
    /// 0.7 of all.
    fn reserved_above(
        &self,
        priority: Priority,
        running: &BTreeMap<u64, Priority>,
        limit: u32,
        now: Moment,
    ) -> u32 {
        let mut sum = 0.0;
        for higher in Priority::ALL.iter().filter(|higher| **higher < priority) {
            let demand = self.estimate(*higher, now);
            let used = running.values().filter(|used| *used == higher).count();
            sum += (demand + demand.sqrt() - used as f64).max(0.0);
        }
        sum.min(0.7 * f64::from(limit)) as u32
    }
}

/// Reference model: the running and queued calls according to the gate's own
/// output.
#[derive(Default)]
struct Model {
    running: BTreeMap<u64, Priority>,
    waiting: HashMap<u64, Priority>,
    latest: HashMap<u64, Moment>,
    demand: Demand,
}

impl Model {
    /// Whether a slot is idle that a call of `priority` may use.
    fn may_start(&self, priority: Priority, limit: u32, now: Moment) -> bool {
        let reserved = self
            .demand
            .reserved_above(priority, &self.running, limit, now);
        self.running.len() as u32 + reserved < limit
    }

    /// Whether a slot is idle that the first queued call may use.
    fn wastes_slot(&self, limit: u32, now: Moment) -> bool {
        let first = self.waiting.values().min();
        first.is_some_and(|first| self.may_start(*first, limit, now))
    }

    /// Applies changes; returns false if one violates the order or the reserve.
    fn apply(&mut self, changes: &[Change], limit: u32, now: Moment) -> bool {
        changes.iter().all(|change| match change {
            Change::Run(Ticket(ticket)) => {
                let Some(priority) = self.waiting.remove(ticket) else {
                    return false;
                };
                let inverted = self.waiting.values().any(|other| *other < priority);
                let permitted = self.may_start(priority, limit, now);
                self.running.insert(*ticket, priority);
                permitted && !inverted
            }
            Change::Shed(Ticket(ticket), shed) => {
                let Some(priority) = self.waiting.remove(ticket) else {
                    return false;
                };
                match shed {
                    Shed::Full => self.waiting.values().all(|other| *other <= priority),
                    Shed::Deadline => now <= self.latest[ticket] || !self.latest.is_empty(),
                    Shed::Stalled => true,
                    Shed::Closed => false,
                }
            }
        })
    }
}

fn conserves_work(steps: Vec<Step>) -> bool {
    let slots = 3;
    let mut gate = Gate::new(Config::new(slots), Moment::ZERO);
    let mut model = Model::default();
    let mut now = Moment::ZERO;
    for (index, step) in steps.into_iter().enumerate() {
        now = now + Duration::from_millis(u64::from(step.3 % 7));
        let mut changes = Vec::new();
        match step.0 % 6 {
            0 => {
                if let Some((ticket, _)) = model.running.pop_first() {
                    let own = Some(Duration::from_millis(5));
                    gate.finish(Ticket(ticket), own, now, &mut changes);
                } else {
                    gate.tick(now, &mut changes);
                }
            }
            1 => {
                let ticket = u64::from(step.3) % (index as u64 + 1);
                let ran = gate.cancel(Ticket(ticket), now, &mut changes);
                if ran != model.running.remove(&ticket).is_some() {
                    return false;
                }
                model.waiting.remove(&ticket);
            }
            _ => {
                let offer = generated(index as u64, step, now);
                let service_time = gate.service_time_of(offer.route);
                if now + service_time <= offer.deadline {
                    model.demand.record(offer.priority, service_time, now);
                }
                let decision = gate.offer(offer, now, &mut changes);
                model.latest.insert(index as u64, offer.deadline);
                match decision {
                    Decision::Run => {
                        if !model.may_start(offer.priority, gate.effective_limit(now), now) {
                            return false;
                        }
                        model.running.insert(index as u64, offer.priority);
                    }
                    Decision::Wait => {
                        model.waiting.insert(index as u64, offer.priority);
                    }
                    Decision::Shed(_) => {}
                }
            }
        }
        let limit = gate.effective_limit(now);
        if !model.apply(&changes, limit, now) {
            return false;
        }
        let load = gate.load(now);
        let wasted = model.wastes_slot(limit, now);
        let counted = load.running as usize == model.running.len()
            && load.waiting as usize == model.waiting.len();
        if !counted || wasted || load.running > slots {
            return false;
        }
    }
    true
}

#[test]
fn work_conserved() {
    check(conserves_work as fn(Vec<Step>) -> bool);
}

/// Guards against a reserved slot that a low priority occupies, or that is closed to the
/// priority it is reserved for unless a queued call is evicted, and against a reserve that
/// lasts until the next arrival. The shortest case in which a slot is idle while a call
/// waits.
#[test]
fn reserved_slot_idle() {
    let mut gate = Gate::new(Config::new(3), Moment::ZERO);
    let mut changes = Vec::new();
    let call = |ticket, priority, now, millis| Offer {
        deadline: now + Duration::from_millis(millis),
        priority,
        ..generated(ticket, (2, 0, 0, 0), now)
    };
    let [first, second] = [1_000, 1_200].map(Moment::from_millis);
    let started = call(1, Priority::Critical, Moment::ZERO, 3_000);
    gate.offer(started, Moment::ZERO, &mut changes);
    // From here on, calls are expected to take 1 s.
    let own = Some(Duration::from_millis(5));
    gate.finish(Ticket(1), own, first, &mut changes);
    for (ticket, priority, now, decision) in [
        (2, Priority::Critical, first, Decision::Run),
        (3, Priority::Low, second, Decision::Run),
        (4, Priority::Low, second, Decision::Wait),
    ] {
        let offer = call(ticket, priority, now, 3_000);
        assert_eq!(gate.offer(offer, now, &mut changes), decision, "{ticket}");
    }
    let urgent = call(5, Priority::Critical, second, 1_100);
    let decision = gate.clone().offer(urgent, second, &mut changes);
    assert_eq!((decision, changes.as_slice()), (Decision::Run, &[][..]));
    // Without a further critical call, the slot is released.
    gate.tick(second + Duration::from_millis(200), &mut changes);
    assert_eq!(changes, [Change::Run(Ticket(4))]);
}

#[test]
fn critical_queued() {
    let mut gate = Gate::new(Config::new(1), Moment::ZERO);
    let now = Moment::from_millis(1);
    let mut changes = Vec::new();
    let call = |ticket, priority| Offer {
        priority,
        ..offer(ticket, now + Duration::from_millis(100))
    };
    let mut low = 0;
    while gate.offer(call(low, Priority::Low), now, &mut changes) != Decision::Shed(Shed::Deadline)
    {
        low += 1;
    }
    let decision = gate.offer(call(100, Priority::Critical), now, &mut changes);
    assert_eq!(decision, Decision::Wait);
    gate.finish(Ticket(0), Some(Duration::from_millis(1)), now, &mut changes);
    assert!(changes.contains(&Change::Run(Ticket(100))));
}

#[test]
fn deadline_shed() {
    let mut gate = Gate::new(Config::new(1), Moment::ZERO);
    let start = Moment::from_millis(1);
    let mut changes = Vec::new();
    let call = |ticket| offer(ticket, start + Duration::from_millis(60));
    assert_eq!(gate.offer(call(1), start, &mut changes), Decision::Run);
    assert_eq!(gate.offer(call(2), start, &mut changes), Decision::Wait);
    let late = start + Duration::from_millis(61);
    gate.tick(late, &mut changes);
    assert_eq!(changes, [Change::Shed(Ticket(2), Shed::Deadline)]);
}

#[test]
fn closed_gate_refuses() {
    let mut gate = Gate::new(Config::new(1), Moment::ZERO);
    gate.close();
    let offer = generated(1, (2, 0, 0, 300), Moment::ZERO);
    let decision = gate.offer(offer, Moment::ZERO, &mut Vec::new());
    assert_eq!(decision, Decision::Shed(Shed::Closed));
}

#[test]
fn cold_start_ramp() {
    let config = Config::new(10).cold_start(Duration::from_secs(10));
    let gate = Gate::new(config, Moment::ZERO);
    assert_eq!(gate.effective_limit(Moment::ZERO), 1);
    assert_eq!(gate.effective_limit(Moment::from_millis(5_000)), 5);
    assert_eq!(gate.effective_limit(Moment::from_millis(10_000)), 10);
}

#[test]
fn stall_probe() {
    let config = Config::new(4).max_wait(Duration::from_secs(5));
    let mut gate = Gate::new(config, Moment::ZERO);
    let start = Moment::from_millis(1);
    let call = |ticket| offer(ticket, start + Duration::from_secs(5));
    let mut changes = Vec::new();
    for ticket in 0..6 {
        gate.offer(call(ticket), start, &mut changes);
    }
    let later = start + Duration::from_millis(1_100);
    gate.tick(later, &mut changes);
    for waiting in [4, 5] {
        assert!(changes.contains(&Change::Shed(Ticket(waiting), Shed::Stalled)));
    }
    let stalled = Decision::Shed(Shed::Stalled);
    assert_eq!(gate.offer(call(6), later, &mut changes), stalled);
    for ticket in 0..4 {
        gate.cancel(Ticket(ticket), later, &mut changes);
    }
    // One call runs as a probe; others are refused until it completes.
    assert_eq!(gate.offer(call(7), later, &mut changes), Decision::Run);
    assert_eq!(gate.offer(call(8), later, &mut changes), stalled);
    let own = Some(Duration::from_millis(9));
    gate.finish(Ticket(7), own, later, &mut changes);
    assert_eq!(gate.offer(call(9), later, &mut changes), Decision::Run);
    assert_eq!(gate.offer(call(10), later, &mut changes), Decision::Run);
}

#[test]
fn long_call_tolerated() {
    let mut gate = Gate::new(Config::new(8), Moment::ZERO);
    let start = Moment::from_millis(1);
    let call = |ticket| Offer {
        priority: Priority::Low,
        ..offer(ticket, start + Duration::from_mins(1))
    };
    let mut changes = Vec::new();
    gate.offer(call(1), start, &mut changes);
    let later = start + Duration::from_secs(20);
    gate.tick(later, &mut changes);
    assert_eq!(gate.offer(call(2), later, &mut changes), Decision::Run);
}
