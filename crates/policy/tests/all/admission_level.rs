//! Levels cut what a target cannot serve, from the right requests, and open
//! again.

use std::time::Duration;

use cardamomshed_policy::admission::{
    ADMIT_ALL, Admission, Controller, Level, Method, Rank, Request,
};
use cardamomshed_policy::{AccountKey, Moment, Priority, RouteKey};
use rand::Rng;

use crate::random;

const ROUTE: RouteKey = RouteKey(0);

/// An ingress and a target that serves `capacity` requests a tick of 10 ms;
/// `loads` gives each account's requests a tick. Returns, by account, the
/// requests served in the last second of `seconds`.
struct Loop {
    admission: Admission,
    steering: Controller,
    now: Moment,
    queue: u32,
}

impl Loop {
    fn new() -> Self {
        Self {
            admission: Admission::new(Method::Levels),
            steering: Controller::default(),
            now: Moment::from_millis(1),
            queue: 0,
        }
    }

    /// Runs for a while; gives admitted requests by load.
    fn run(&mut self, loads: &[(u32, Priority)], capacity: u32, ticks: u32) -> Vec<u32> {
        let mut random = random();
        let mut admitted = vec![0; loads.len()];
        for _ in 0..ticks {
            self.now = self.now + Duration::from_millis(10);
            for (place, (count, priority)) in loads.iter().enumerate() {
                for _ in 0..*count {
                    let request = Request {
                        route: ROUTE,
                        account: AccountKey(place as u32),
                        priority: *priority,
                        draw: random.random(),
                    };
                    if let Some(rank) = self.admission.admit(&request, self.now) {
                        admitted[place] += 1;
                        self.queue += 1;
                        self.steering.record_arrival(rank);
                    }
                }
            }
            let served = self.queue.min(capacity);
            for _ in 0..served {
                self.steering.record_start(self.queue > capacity * 2);
                let level = self.steering.level();
                self.admission.observe(ROUTE, Some(level), false, self.now);
            }
            self.queue -= served;
            // What waits too long is shed.
            if self.queue > capacity * 20 {
                self.queue = capacity * 20;
                self.steering.record_shed();
            }
            self.steering.tick(self.now);
        }
        admitted
    }
}

#[test]
fn calm_stays_open() {
    let mut system = Loop::new();
    let admitted = system.run(&[(4, Priority::Normal)], 10, 500);
    assert_eq!(admitted, [2_000]);
    assert_eq!(system.steering.level(), ADMIT_ALL);
}

#[test]
fn surge_cut_to_capacity() {
    let mut system = Loop::new();
    system.run(&[(100, Priority::Normal)], 10, 200);
    let admitted = system.run(&[(100, Priority::Normal)], 10, 500);
    let share = f64::from(admitted[0]) / 5_000.0;
    assert!(
        (0.9..1.15).contains(&share),
        "admitted {share} of the capacity"
    );
}

#[test]
fn important_never_cut() {
    let mut system = Loop::new();
    let loads = [(80, Priority::Low), (5, Priority::Critical)];
    system.run(&loads, 10, 100);
    let admitted = system.run(&loads, 10, 500);
    assert_eq!(admitted[1], 2_500);
}

#[test]
fn light_account_kept() {
    let mut system = Loop::new();
    let loads = [
        (90, Priority::Normal),
        (2, Priority::Normal),
        (2, Priority::Normal),
    ];
    system.run(&loads, 10, 200);
    let admitted = system.run(&loads, 10, 500);
    for light in &admitted[1..] {
        let share = f64::from(*light) / 1_000.0;
        assert!(share >= 0.95, "a light account had {share} of its requests");
    }
}

#[test]
fn opens_after_surge() {
    let mut system = Loop::new();
    system.run(&[(100, Priority::Normal)], 10, 300);
    system.run(&[(8, Priority::Normal)], 10, 200);
    let admitted = system.run(&[(8, Priority::Normal)], 10, 100);
    assert_eq!(
        admitted,
        [800],
        "two seconds after the surge all is admitted"
    );
}

#[test]
fn silence_opens() {
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
fn ranks_ordered() {
    let critical = Rank::new(Priority::Critical, 1e9);
    let low = Rank::new(Priority::Low, 1e-9);
    assert!(critical < low);
    assert!(Rank::new(Priority::High, 0.5) < Rank::new(Priority::High, 2.0));
}
