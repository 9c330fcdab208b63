//! Calls that make five downstream calls each, of a service with less capacity
//! than they ask for: the window keeps that service busy and few calls break off
//! midway.
//!
//! The model has callers, each with a gate and a window, in front of the gates of
//! the downstream targets. Time advances in steps.

use std::time::Duration;

use cardamomshed_policy::gate::{Change, Config, Decision, Gate, Offer, Ticket};
use cardamomshed_policy::window::Window;
use cardamomshed_policy::{Moment, Priority, RouteKey};
use rand::Rng;
use rand::rngs::StdRng;

use crate::random;

const STEP: Duration = Duration::from_millis(5);
const SLOTS: u32 = 46;
const CALLERS: usize = 4;
/// Downstream calls of one parent call, in turn.
const LOOKUPS: u32 = 5;
const LOOKUP_TIME: Duration = Duration::from_millis(75);
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(700);
const PARENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// State of one parent call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Waits for the window.
    Window,
    /// Waits for a slot of a downstream target.
    Queue(usize),
    /// Runs on a downstream target until the given moment.
    Runs(usize, Moment),
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Parent {
    caller: usize,
    stage: Stage,
    done: u32,
    deadline: Moment,
    lookup_started_at: Moment,
}

#[derive(Debug)]
struct Model {
    targets: Vec<Gate>,
    windows: Vec<Window>,
    /// Whether calls pass the windows.
    limited: bool,
    parents: Vec<Parent>,
    now: Moment,
    random: StdRng,
    completed: u32,
    /// Parents that made a downstream call and then failed.
    broken: u32,
}

impl Model {
    fn new(targets: usize, limited: bool) -> Self {
        let now = Moment::from_millis(10);
        let config = Config::new(SLOTS).fixed();
        Self {
            targets: (0..targets).map(|_| Gate::new(config, now)).collect(),
            windows: (0..CALLERS).map(|_| Window::new(now)).collect(),
            limited,
            parents: Vec::new(),
            now,
            random: random(),
            completed: 0,
            broken: 0,
        }
    }

    /// Parents a second that the downstream service can complete.
    fn capacity(&self) -> f64 {
        let slots = f64::from(SLOTS) * self.targets.len() as f64;
        slots / (LOOKUP_TIME.as_secs_f64() * f64::from(LOOKUPS))
    }

    /// Drops all state, as a restart of every daemon does.
    fn restart(&mut self) {
        let fresh = Self::new(self.targets.len(), self.limited);
        self.targets = fresh.targets;
        self.windows = fresh.windows;
        for parent in &mut self.parents {
            parent.stage = Stage::Ended;
        }
    }

    /// Runs for some time with this many parents a second. Returns the completed
    /// ones a second, and the share of the others among those that made a
    /// downstream call.
    fn run(&mut self, length: Duration, rate: f64) -> (f64, f64) {
        (self.completed, self.broken) = (0, 0);
        let until = self.now + length;
        while self.now < until {
            self.now = self.now + STEP;
            let mut due = rate * STEP.as_secs_f64();
            while self.random.random::<f64>() < due {
                due -= 1.0;
                self.arrive();
            }
            self.finish_lookups();
            for caller in 0..CALLERS {
                let mut changes = Vec::new();
                self.windows[caller].tick(self.now, &mut changes);
                self.apply_window(&changes);
            }
            for target in 0..self.targets.len() {
                let mut changes = Vec::new();
                self.targets[target].tick(self.now, &mut changes);
                self.apply_target(target, &changes);
            }
        }
        let completed = f64::from(self.completed);
        let started = completed + f64::from(self.broken);
        (
            completed / length.as_secs_f64(),
            f64::from(self.broken) / started.max(1.0),
        )
    }

    fn arrive(&mut self) {
        let index = self.parents.len();
        let caller = self.random.random_range(0..CALLERS);
        let deadline = self.now + PARENT_TIMEOUT;
        self.parents.push(Parent {
            caller,
            stage: Stage::Window,
            done: 0,
            deadline,
            lookup_started_at: self.now,
        });
        if !self.limited {
            self.look_up(index);
            return;
        }
        let mut changes = Vec::new();
        let offer = offer(index, 0, deadline);
        match self.windows[caller].offer(offer, self.now, &mut changes) {
            Decision::Run => self.look_up(index),
            Decision::Wait => {}
            Decision::Shed(_) => self.parents[index].stage = Stage::Ended,
        }
        self.apply_window(&changes);
    }

    fn apply_window(&mut self, changes: &[Change]) {
        for change in changes {
            match *change {
                Change::Run(Ticket(index)) => self.look_up(index as usize),
                Change::Shed(Ticket(index), _) => {
                    self.parents[index as usize].stage = Stage::Ended;
                }
            }
        }
    }

    /// Sends the next downstream call of a parent to the less loaded of two
    /// targets.
    fn look_up(&mut self, index: usize) {
        let pick = |random: &mut StdRng, count: usize| random.random_range(0..count);
        let one = pick(&mut self.random, self.targets.len());
        let other = pick(&mut self.random, self.targets.len());
        let pressure = |target: usize| self.targets[target].load(self.now).pressure();
        let target = if pressure(other) < pressure(one) {
            other
        } else {
            one
        };
        self.parents[index].lookup_started_at = self.now;
        let deadline = self.parents[index].deadline.min(self.now + LOOKUP_TIMEOUT);
        let mut changes = Vec::new();
        let offer = offer(index, 1, deadline);
        match self.targets[target].offer(offer, self.now, &mut changes) {
            Decision::Run => self.start(index, target),
            Decision::Wait => self.parents[index].stage = Stage::Queue(target),
            Decision::Shed(_) => self.fail(index, target),
        }
        self.apply_target(target, &changes);
    }

    fn start(&mut self, index: usize, target: usize) {
        let spread = 0.5 + self.random.random::<f64>();
        let until = self.now + LOOKUP_TIME.mul_f64(spread);
        self.parents[index].stage = Stage::Runs(target, until);
    }

    fn apply_target(&mut self, target: usize, changes: &[Change]) {
        for change in changes {
            match *change {
                Change::Run(Ticket(index)) => self.start(index as usize, target),
                Change::Shed(Ticket(index), _) => self.fail(index as usize, target),
            }
        }
    }

    fn finish_lookups(&mut self) {
        for index in 0..self.parents.len() {
            let Stage::Runs(target, until) = self.parents[index].stage else {
                continue;
            };
            if until > self.now {
                continue;
            }
            let mut changes = Vec::new();
            let ticket = Ticket(index as u64);
            self.targets[target].finish(ticket, Some(LOOKUP_TIME), self.now, &mut changes);
            self.report(index, target, false);
            self.parents[index].done += 1;
            let parent = self.parents[index];
            if parent.done == LOOKUPS {
                self.end(index);
                self.completed += 1;
            } else if parent.deadline <= self.now {
                self.end(index);
                self.broken += 1;
            } else {
                self.look_up(index);
            }
            self.apply_target(target, &changes);
        }
    }

    fn report(&mut self, index: usize, target: usize, refused: bool) {
        let parent = self.parents[index];
        let pressure = self.targets[target].load(self.now).pressure();
        let latency = self.now.since(parent.lookup_started_at);
        self.windows[parent.caller].observe(pressure, refused, latency);
    }

    fn fail(&mut self, index: usize, target: usize) {
        self.report(index, target, true);
        self.end(index);
        self.broken += 1;
    }

    fn end(&mut self, index: usize) {
        self.parents[index].stage = Stage::Ended;
        let mut changes = Vec::new();
        let caller = self.parents[index].caller;
        self.windows[caller].finish(Ticket(index as u64), self.now, &mut changes);
        self.apply_window(&changes);
    }
}

fn offer(index: usize, depth: u8, deadline: Moment) -> Offer {
    Offer {
        route: RouteKey(u32::from(depth)),
        priority: Priority::High,
        depth,
        ..crate::offer(index as u64, deadline)
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn twice_the_capacity() {
    for limited in [false, true] {
        let mut model = Model::new(2, limited);
        let capacity = model.capacity();
        model.run(SECOND * 3, capacity * 2.0);
        let (completed, broken) = model.run(SECOND * 10, capacity * 2.0);
        let share = completed / capacity;
        let holds = share > 0.9 && broken < 0.05;
        assert_eq!(limited, holds, "{share} of the capacity, {broken} broken");
    }
}

#[test]
fn restart_with_half_the_targets() {
    for limited in [false, true] {
        let mut model = Model::new(2, limited);
        let rate = model.capacity() * 1.8;
        model.run(SECOND * 5, rate);
        model.restart();
        let (completed, broken) = model.run(SECOND * 3, rate);
        let share = completed / model.capacity();
        let holds = share > 0.8 && broken < 0.15;
        assert_eq!(limited, holds, "{share} of the capacity, {broken} broken");
    }
}

#[test]
fn spare_capacity_unused() {
    let mut model = Model::new(2, true);
    let rate = model.capacity() * 0.7;
    model.run(SECOND * 3, rate);
    let (completed, broken) = model.run(SECOND * 10, rate);
    assert!(completed > rate * 0.97 && broken < 0.001);
    // The window gives the capacity back after an overload.
    model.run(SECOND * 5, rate * 3.0);
    model.run(SECOND, rate);
    let (completed, broken) = model.run(SECOND * 5, rate);
    assert!(
        completed > rate * 0.97 && broken < 0.001,
        "{completed} {broken}"
    );
}
