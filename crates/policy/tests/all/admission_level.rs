//! Admission levels under overload: the admitted load follows the target's
//! capacity, important requests and light accounts are not refused, and the
//! level rises again after the overload.

use std::time::Duration;

use cardamomshed_policy::admission::{
    ADMIT_ALL, Admission, Controller, Level, Method, Rank, Request,
};
use cardamomshed_policy::{AccountKey, Moment, Priority, RouteKey};
use rand::Rng;

use crate::random;

const ROUTE: RouteKey = RouteKey(0);

/// An ingress, and a target with a queue, in steps of 10 ms.
struct Simulation {
    admission: Admission,
    controller: Controller,
    now: Moment,
    queue: u32,
}

impl Simulation {
    fn new() -> Self {
        Self {
            admission: Admission::new(Method::Levels),
            controller: Controller::default(),
            now: Moment::from_millis(1),
            queue: 0,
        }
    }

    /// Simulates `ticks` steps and returns the admitted requests by entry of
    /// `loads`. Each entry is the number of requests per step of one account,
    /// and their priority. The target serves `capacity` requests per step.
    fn run(&mut self, loads: &[(u32, Priority)], capacity: u32, ticks: u32) -> Vec<u32> {
        let mut random = random();
        let mut admitted = vec![0; loads.len()];
        for _ in 0..ticks {
            self.now = self.now + Duration::from_millis(10);
            for (index, (count, priority)) in loads.iter().enumerate() {
                for _ in 0..*count {
                    let request = Request {
                        route: ROUTE,
                        account: AccountKey(index as u32),
                        priority: *priority,
                        draw: random.random(),
                    };
                    if let Some(rank) = self.admission.admit(&request, self.now) {
                        admitted[index] += 1;
                        self.queue += 1;
                        self.controller.record_arrival(rank);
                    }
                }
            }
            let served = self.queue.min(capacity);
            for _ in 0..served {
                self.controller.record_start(self.queue > capacity * 2);
                let level = self.controller.level();
                self.admission.observe(ROUTE, Some(level), false, self.now);
            }
            self.queue -= served;
            // The queue is bounded; overflow is shed.
            if self.queue > capacity * 20 {
                self.queue = capacity * 20;
                self.controller.record_shed();
            }
            self.controller.tick(self.now);
        }
        admitted
    }
}

#[test]
fn no_overload_open() {
    let mut simulation = Simulation::new();
    let admitted = simulation.run(&[(4, Priority::Normal)], 10, 500);
    assert_eq!(admitted, [2_000]);
    assert_eq!(simulation.controller.level(), ADMIT_ALL);
}

#[test]
fn surge_limited() {
    let mut simulation = Simulation::new();
    simulation.run(&[(100, Priority::Normal)], 10, 200);
    let admitted = simulation.run(&[(100, Priority::Normal)], 10, 500);
    let share = f64::from(admitted[0]) / 5_000.0;
    assert!(
        (0.9..1.15).contains(&share),
        "admitted {share} of the capacity"
    );
}

/// Guards against a rise of the level while the queue grows, as the first calls of the
/// window still found it empty.
#[test]
fn growing_queue_held() {
    let mut controller = Controller::default();
    let rank = |index: u32| Rank::new(Priority::Normal, f64::from(index + 1) / 100.0);
    let mut window = |arrived, short, long, millis| {
        (0..arrived).for_each(|index| controller.record_arrival(rank(index)));
        (0..short).for_each(|_| controller.record_start(false));
        (0..long).for_each(|_| controller.record_start(true));
        controller.tick(Moment::from_millis(millis));
        controller.level()
    };
    let lowered = window(100, 0, 20, 100);
    assert!(lowered < ADMIT_ALL);
    assert_eq!(window(40, 5, 15, 200), lowered);
    assert!(window(20, 20, 0, 300) > lowered);
}

#[test]
fn critical_admitted() {
    let mut simulation = Simulation::new();
    let loads = [(80, Priority::Low), (5, Priority::Critical)];
    simulation.run(&loads, 10, 100);
    let admitted = simulation.run(&loads, 10, 500);
    assert_eq!(admitted[1], 2_500);
}

#[test]
fn light_account_admitted() {
    let mut simulation = Simulation::new();
    let loads = [
        (90, Priority::Normal),
        (2, Priority::Normal),
        (2, Priority::Normal),
    ];
    simulation.run(&loads, 10, 200);
    let admitted = simulation.run(&loads, 10, 500);
    for light in &admitted[1..] {
        let share = f64::from(*light) / 1_000.0;
        assert!(share >= 0.95, "a light account got {share} of its requests");
    }
}

#[test]
fn surge_recovery() {
    let mut simulation = Simulation::new();
    simulation.run(&[(100, Priority::Normal)], 10, 300);
    simulation.run(&[(8, Priority::Normal)], 10, 200);
    let admitted = simulation.run(&[(8, Priority::Normal)], 10, 100);
    assert_eq!(admitted, [800], "requests are refused 2 s after the surge");
}

#[test]
fn stale_level_rises() {
    let mut admission = Admission::new(Method::Levels);
    let request = Request {
        route: ROUTE,
        account: AccountKey(1),
        priority: Priority::Low,
        draw: 0.9,
    };
    let start = Moment::from_millis(1);
    admission.admit(&request, start);
    for _ in 0..50 {
        admission.observe(ROUTE, Some(Level(0.0)), false, start);
    }
    assert_eq!(admission.admit(&request, start), None);
    let later = start + Duration::from_secs(10);
    assert!(admission.admit(&request, later).is_some());
}

#[test]
fn rank_order() {
    let critical = Rank::new(Priority::Critical, 1e9);
    let low = Rank::new(Priority::Low, 1e-9);
    assert!(critical < low);
    assert!(Rank::new(Priority::High, 0.5) < Rank::new(Priority::High, 2.0));
}
