//! A play of many choosers against the targets of a service, without I/O.
//!
//! Each target has a real gate and each chooser a balancer of its own, which hears of a
//! target only in the replies to its own calls. Shared by the tests and the example
//! `balance`.

mod chooser;
mod window;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cardamomshed_policy::gate::{Change, Config, Decision, Gate, Load, Offer, Ticket};
use cardamomshed_policy::price::{Pricer, Table};
use cardamomshed_policy::route::{Outcome, Query, Tier};
use cardamomshed_policy::window::Window;
use cardamomshed_policy::{AccountKey, Moment, Priority, RegionKey, RouteKey, TargetKey};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub use chooser::Chooser;

/// One way between daemons of a region.
const NEAR_DELAY: Duration = Duration::from_millis(1);
/// One way between daemons of two regions.
const FAR_DELAY: Duration = Duration::from_millis(20);
/// Interval of the gates' timers and of the phases.
pub const TICK: Duration = Duration::from_millis(10);
/// Length of a window of the slow link's share.
pub const WINDOW: Duration = Duration::from_millis(100);
/// Time of a call until its deadline.
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Further targets that a call is sent to after a gate refused it.
const MAX_REROUTES: usize = 2;
/// Mean lengths of slow and of normal phases in milliseconds: slow for a share of 0.15.
const PHASES_MS: [f64; 2] = [3_400.0, 600.0];
/// Factor by which work takes longer in a slow phase.
const SLOWDOWN: f64 = 2.5;

/// Region of the targets. No call is restricted to regions.
pub const REGION: RegionKey = RegionKey(0);

/// Query without excluded targets and regions.
pub const fn unrestricted(remote: bool) -> Query<'static> {
    Query {
        exclude: &[],
        regions: None,
        remote,
    }
}

/// Parameters of a play.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent options")]
pub struct Setup {
    pub seed: u64,
    /// Choosers and targets in each region.
    pub choosers: usize,
    pub targets: usize,
    pub slots: u32,
    /// Mean time of a call on a target of speed 1.
    pub service: Duration,
    /// Calls that each region's callers ask for, as a share of its targets' capacity.
    pub demand: &'static [f64],
    /// Whether targets have slow phases.
    pub phases: bool,
    /// Whether targets report them to their gates with each response.
    pub reported: bool,
    pub length: Duration,
    /// Calls before this moment are not counted.
    pub warm_up: Duration,
    /// Share of the calls that have low priority. The others have normal priority.
    pub low: f64,
    /// Whether the ingress refuses calls by price.
    pub priced: bool,
    /// Whether each caller has a window for its calls, see `policy::window`.
    pub windowed: bool,
    /// When a target starts anew without calls, if one does.
    pub restart: Option<Duration>,
}

impl Setup {
    /// 70 choosers and 26 targets of 8 slots in each region for 20 seconds.
    pub const fn new(seed: u64, demand: &'static [f64]) -> Self {
        Self {
            seed,
            choosers: 70,
            targets: 26,
            slots: 8,
            service: Duration::from_millis(60),
            demand,
            phases: false,
            reported: true,
            length: Duration::from_secs(20),
            warm_up: Duration::from_secs(5),
            low: 0.0,
            priced: false,
            windowed: false,
            restart: None,
        }
    }

    /// Calls of 5 ms from 4 choosers in each region, which reach 2 targets there through
    /// windows.
    pub const fn windowed(seed: u64, demand: &'static [f64]) -> Self {
        Self {
            choosers: 4,
            targets: 2,
            slots: 16,
            service: Duration::from_millis(5),
            length: Duration::from_secs(12),
            priced: true,
            windowed: true,
            ..Self::new(seed, demand)
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Offer(usize),
    Finish(usize),
    Reply(usize),
    Tick,
}

struct Call {
    chooser: usize,
    priority: Priority,
    arrived: Moment,
    /// When the call had passed the window of its caller.
    entered: Moment,
    target: usize,
    excluded: Vec<TargetKey>,
    started: Moment,
    load: Load,
    price: f64,
    is_shed: bool,
}

struct Target {
    gate: Gate,
    pricer: Pricer,
    speed: f64,
    is_slow: bool,
    /// Time for which the slots were in use, in seconds.
    busy: f64,
}

/// What was measured.
#[derive(Debug)]
pub struct Figures {
    /// Time from the arrival of a call to its start, in microseconds.
    pub waits: Histogram<u64>,
    /// Time from the arrival of a call to its end, in microseconds.
    pub totals: Histogram<u64>,
    pub calls: u64,
    /// Calls that the ingress refused by price.
    pub priced_out: u64,
    /// Calls that gates refused on every try, or that a window refused.
    pub refused: u64,
    /// Calls that started later than the bound on waits.
    pub late: u64,
    /// Largest and smallest share of a target's slots in use over the play.
    pub utilization: (f64, f64),
    /// Standard deviation of the targets' calls per slot at one moment, mean over time.
    pub spread: f64,
    /// Calls sent and calls sent over the slow link by the first region, by window.
    pub windows: Vec<(u32, u32)>,
    /// Calls per slot at the target that started anew, from its start by [`TICK`].
    pub restarted: Vec<f64>,
}

/// A play in progress.
pub struct Play<C> {
    setup: Setup,
    random: StdRng,
    choosers: Vec<(C, Table, Window)>,
    targets: Vec<Target>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Moment, Event)>>,
    changes: Vec<Change>,
    samples: f64,
    figures: Figures,
}

impl<C: Chooser> Play<C> {
    /// Plays to the end and returns what was measured.
    pub fn run(setup: Setup) -> Figures {
        let regions = setup.demand.len();
        let speed = |index: usize| 0.55 + 1.05 * index as f64 / (setup.targets - 1) as f64;
        let target = |index: usize| Target {
            gate: Gate::new(Config::new(setup.slots).fixed(), Moment::ZERO),
            pricer: Pricer::default(),
            speed: speed(index % setup.targets),
            is_slow: false,
            busy: 0.0,
        };
        let mut play = Self {
            setup,
            random: StdRng::seed_from_u64(setup.seed),
            choosers: Vec::new(),
            targets: (0..regions * setup.targets).map(target).collect(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            changes: Vec::new(),
            samples: 0.0,
            figures: Figures {
                waits: Histogram::new(3).expect("a valid precision"),
                totals: Histogram::new(3).expect("a valid precision"),
                calls: 0,
                priced_out: 0,
                refused: 0,
                late: 0,
                utilization: (0.0, 1.0),
                spread: 0.0,
                windows: Vec::new(),
                restarted: Vec::new(),
            },
        };
        for index in 0..regions * setup.choosers {
            let mut chooser = C::default();
            for target in 0..regions * setup.targets {
                let is_near = target / setup.targets == index / setup.choosers;
                let tier = if is_near { Tier::Domain } else { Tier::Remote };
                chooser.insert(tier, setup.slots, Moment::ZERO);
            }
            let window = Window::new(Moment::ZERO);
            play.choosers.push((chooser, Table::default(), window));
        }
        (0..regions).for_each(|region| play.push(Moment::ZERO, Event::Arrive(region)));
        play.push(Moment::ZERO, Event::Tick);
        while let Some(Reverse((now, event))) = play.events.pop() {
            if now.since(Moment::ZERO) >= setup.length {
                break;
            }
            play.step(event, now);
        }
        play.finish()
    }

    fn finish(mut self) -> Figures {
        let counted = self.setup.length.saturating_sub(self.setup.warm_up);
        let counted = counted.as_secs_f64();
        for target in &self.targets {
            let share = target.busy / counted / f64::from(self.setup.slots);
            let (most, least) = self.figures.utilization;
            self.figures.utilization = (most.max(share), least.min(share));
        }
        self.figures.spread /= self.samples;
        self.figures
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn step(&mut self, event: Event, now: Moment) {
        match event {
            Event::Arrive(region) => self.arrive(region, now),
            Event::Offer(id) => self.offer(id, now),
            Event::Finish(id) => {
                let (target, started) = (self.calls[id].target, self.calls[id].started);
                if now.since(Moment::ZERO) >= self.setup.warm_up {
                    let total = now.since(self.calls[id].arrived).as_micros() as u64;
                    self.figures.totals.record(total).expect("resizes itself");
                }
                let is_slow = self.targets[target].is_slow;
                let gate = &mut self.targets[target].gate;
                if self.setup.reported && self.setup.phases {
                    gate.record_slowdown(if is_slow { SLOWDOWN } else { 1.0 }, now);
                }
                gate.finish(
                    Ticket(id as u64),
                    Some(now.since(started)),
                    now,
                    &mut self.changes,
                );
                self.reply(id, false, now);
                self.apply(target, now);
            }
            Event::Reply(id) => self.receive(id, now),
            Event::Tick => self.tick(now),
        }
    }

    fn arrive(&mut self, region: usize, now: Moment) {
        let targets = self.targets[..self.setup.targets].iter();
        let speeds = targets.map(|target| target.speed).sum::<f64>();
        let slow = if self.setup.phases {
            1.0 + 0.15 * (SLOWDOWN - 1.0)
        } else {
            1.0
        };
        let capacity =
            speeds * f64::from(self.setup.slots) / slow / self.setup.service.as_secs_f64();
        let mean = 1.0 / (capacity * self.setup.demand[region]);
        let gap = -mean * (1.0 - self.random.random::<f64>()).ln();
        self.push(now + Duration::from_secs_f64(gap), Event::Arrive(region));
        let chooser =
            region * self.setup.choosers + self.random.random_range(0..self.setup.choosers);
        let is_low = self.random.random_bool(self.setup.low);
        let priority = if is_low {
            Priority::Low
        } else {
            Priority::Normal
        };
        let is_counted = now.since(Moment::ZERO) >= self.setup.warm_up;
        self.figures.calls += u64::from(is_counted);
        let share = self.choosers[chooser]
            .1
            .share(RouteKey(0), priority, 1.0, now);
        if self.setup.priced && self.random.random::<f64>() >= share {
            self.figures.priced_out += u64::from(is_counted);
            return;
        }
        self.calls.push(Call {
            chooser,
            priority,
            arrived: now,
            entered: now,
            target: 0,
            excluded: Vec::new(),
            started: now,
            load: Load::default(),
            price: 0.0,
            is_shed: false,
        });
        self.enter(self.calls.len() - 1, now);
    }

    fn delay(&self, id: usize) -> Duration {
        let call = &self.calls[id];
        let is_near = call.target / self.setup.targets == call.chooser / self.setup.choosers;
        if is_near { NEAR_DELAY } else { FAR_DELAY }
    }

    fn send(&mut self, id: usize, now: Moment) {
        let call = &mut self.calls[id];
        let chooser = &mut self.choosers[call.chooser].0;
        call.target = chooser.start(&call.excluded, &mut self.random, now).0 as usize;
        let in_first = call.chooser < self.setup.choosers;
        let delay = self.delay(id);
        if in_first {
            let window = now.since(Moment::ZERO).div_duration_f64(WINDOW) as usize;
            self.figures.windows.resize(window + 1, (0, 0));
            self.figures.windows[window].0 += 1;
            self.figures.windows[window].1 += u32::from(delay == FAR_DELAY);
        }
        self.push(now + delay, Event::Offer(id));
    }

    fn offer_of(&self, id: usize) -> Offer {
        Offer {
            ticket: Ticket(id as u64),
            account: AccountKey(0),
            route: RouteKey(0),
            priority: self.calls[id].priority,
            depth: 0,
            deadline: self.calls[id].arrived + TIMEOUT,
        }
    }

    fn offer(&mut self, id: usize, now: Moment) {
        let offer = self.offer_of(id);
        let index = self.calls[id].target;
        let target = &mut self.targets[index];
        target.pricer.record_arrival();
        let decision = target.gate.offer(offer, now, &mut self.changes);
        match decision {
            Decision::Run => self.run_call(id, now),
            Decision::Wait => {}
            Decision::Shed(_) => self.reply(id, true, now),
        }
        self.apply(index, now);
    }

    fn apply(&mut self, target: usize, now: Moment) {
        for change in std::mem::take(&mut self.changes) {
            match change {
                Change::Run(ticket) => self.run_call(ticket.0 as usize, now),
                Change::Shed(ticket, _) => self.reply(ticket.0 as usize, true, now),
            }
        }
        let target = &mut self.targets[target];
        let load = target.gate.load(now);
        target.pricer.tick(load.pressure(), load.service_time, now);
    }

    fn run_call(&mut self, id: usize, now: Moment) {
        let call = &mut self.calls[id];
        call.started = now;
        let target = &mut self.targets[call.target];
        let noise = 0.5 - 0.5 * (1.0 - self.random.random::<f64>()).ln();
        let slow = if target.is_slow { SLOWDOWN } else { 1.0 };
        let length = self.setup.service.mul_f64(noise * slow / target.speed);
        if now.since(Moment::ZERO) >= self.setup.warm_up {
            let wait = now.since(call.arrived);
            target.busy += length.as_secs_f64();
            self.figures
                .waits
                .record(wait.as_micros() as u64)
                .expect("resizes itself");
            self.figures.late += u64::from(wait > Duration::from_millis(500));
        }
        self.push(now + length, Event::Finish(id));
    }

    fn reply(&mut self, id: usize, is_shed: bool, now: Moment) {
        let call = &mut self.calls[id];
        let target = &mut self.targets[call.target];
        call.is_shed = is_shed;
        call.load = target.gate.load(now);
        call.price = target.pricer.price() * call.load.service_time.as_secs_f64();
        if is_shed {
            target.pricer.record_shed();
        }
        let delay = self.delay(id);
        self.push(now + delay, Event::Reply(id));
    }

    fn receive(&mut self, id: usize, now: Moment) {
        let call = &mut self.calls[id];
        let (chooser, table, _) = &mut self.choosers[call.chooser];
        let key = TargetKey(call.target as u32);
        let outcome = if call.is_shed {
            Outcome::Neutral
        } else {
            Outcome::Answered
        };
        chooser.end(key, outcome, (call.load, call.price), now);
        table.observe(RouteKey(0), call.price, now);
        if call.is_shed && call.excluded.len() < MAX_REROUTES {
            call.excluded.push(key);
            self.send(id, now);
            return;
        }
        if call.is_shed {
            self.refuse(now);
        }
        self.leave(id, now);
    }

    fn refuse(&mut self, now: Moment) {
        let is_counted = now.since(Moment::ZERO) >= self.setup.warm_up;
        self.figures.refused += u64::from(is_counted);
    }

    fn tick(&mut self, now: Moment) {
        self.push(now + TICK, Event::Tick);
        self.tick_windows(now);
        let elapsed = now.since(Moment::ZERO);
        let restart = self.setup.restart;
        if restart.is_some_and(|at| elapsed >= at && elapsed < at + TICK) {
            let (slots, region) = (self.setup.slots, self.setup.choosers);
            self.targets[0].gate = Gate::new(Config::new(slots).fixed(), now);
            for (chooser, ..) in &mut self.choosers[..region] {
                chooser.replace(TargetKey(0), Tier::Domain, slots, now);
            }
        }
        for index in 0..self.targets.len() {
            let target = &mut self.targets[index];
            let mean = PHASES_MS[usize::from(target.is_slow)];
            let ends = self.random.random_bool(TICK.as_secs_f64() * 1_000.0 / mean);
            target.is_slow ^= self.setup.phases && ends;
            target.gate.tick(now, &mut self.changes);
            self.apply(index, now);
        }
        let loads = self.targets[..self.setup.targets].iter();
        let loads = loads
            .map(|target| target.gate.load(now).pressure())
            .collect::<Vec<_>>();
        if restart.is_some_and(|at| elapsed >= at) {
            self.figures.restarted.push(loads[0]);
        }
        if elapsed >= self.setup.warm_up {
            let count = loads.len() as f64;
            let mean = loads.iter().sum::<f64>() / count;
            let squares = loads.iter().map(|load| (load - mean).powi(2)).sum::<f64>();
            self.figures.spread += (squares / count).sqrt();
            self.samples += 1.0;
        }
    }
}
