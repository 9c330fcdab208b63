//! A load on a service most of whose targets reject half of their calls.

use std::time::Duration;

use cardamomshed_policy::gate::Load;
use cardamomshed_policy::route::{Balancer, Outcome, Query, Tier};
use cardamomshed_policy::{Moment, RegionKey, TargetKey};
use rand::Rng;

use crate::random;

const CALLERS: usize = 24;
const TARGETS: usize = 40;
/// Targets that reject no call. They can serve 800 calls a second.
const SOUND: usize = 5;
const SLOTS: u32 = 8;
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Calls of all callers per millisecond; three quarters of what the sound targets
/// can serve.
const CALLS_PER_MS: f64 = 0.6;
/// Share of calls that the other targets reject.
const REJECTION: f64 = 0.5;
/// Largest share of calls that may be repeated, `retry-budget-ratio` of the users'
/// installations.
const RETRY_RATIO: f64 = 0.2;

/// A call in progress.
struct Running {
    caller: usize,
    target: usize,
    ends_at: Moment,
}

/// Callers with a balancer each, and their targets.
struct Play {
    balancers: Vec<Balancer>,
    /// Keys of the targets, the same in every balancer.
    keys: Vec<TargetKey>,
    running: Vec<Running>,
    /// Share of rejected calls that each target's daemon reports.
    rejections: Vec<f64>,
    /// Calls that found all slots of their target in use.
    queued: u32,
    rejected: u32,
    calls: u32,
}

impl Play {
    fn new() -> Self {
        let mut balancers = Vec::new();
        let mut keys = Vec::new();
        for _ in 0..CALLERS {
            let mut balancer = Balancer::default();
            let insert = |_| balancer.insert(Tier::Domain, RegionKey(0), SLOTS, Moment::ZERO);
            keys = (0..TARGETS).map(insert).collect();
            balancers.push(balancer);
        }
        Self {
            balancers,
            keys,
            running: Vec::new(),
            rejections: vec![0.0; TARGETS],
            queued: 0,
            rejected: 0,
            calls: 0,
        }
    }

    fn load(&self, target: usize) -> Load {
        let calls = self.running.iter().filter(|call| call.target == target);
        let calls = calls.count() as u32;
        Load {
            running: calls.min(SLOTS),
            waiting: calls.saturating_sub(SLOTS),
            limit: SLOTS,
            service_time: SERVICE_TIME,
            rejection: self.rejections[target],
        }
    }

    fn end(&mut self, caller: usize, target: usize, outcome: Outcome, now: Moment) {
        let load = Some(self.load(target));
        self.balancers[caller].record_end(self.keys[target], outcome, load, now);
    }

    fn call(&mut self, random: &mut impl Rng, now: Moment) {
        let caller = random.random_range(0..CALLERS);
        let choice = self.balancers[caller].choose(&Query::default(), random, now);
        let key = choice.expect("a target").target;
        self.balancers[caller].record_start(key, now);
        let target = self.keys.iter().position(|known| *known == key);
        let target = target.expect("a known target");
        let is_rejected = target >= SOUND && random.random_bool(REJECTION);
        self.calls += 1;
        self.rejections[target] +=
            0.1 * (f64::from(u8::from(is_rejected)) - self.rejections[target]);
        if is_rejected {
            self.rejected += 1;
            self.end(caller, target, Outcome::Neutral, now);
            return;
        }
        let load = self.load(target);
        self.queued += u32::from(load.running == SLOTS);
        let ends_at = now + SERVICE_TIME.mul_f64(f64::from(1 + load.waiting / SLOTS));
        self.running.push(Running {
            caller,
            target,
            ends_at,
        });
    }

    fn step(&mut self, random: &mut impl Rng, now: Moment) {
        let ended = self.running.extract_if(.., |call| call.ends_at <= now);
        for call in ended.collect::<Vec<_>>() {
            self.end(call.caller, call.target, Outcome::Answered, now);
        }
        if random.random_bool(CALLS_PER_MS) {
            self.call(random, now);
        }
    }
}

#[test]
fn sound_targets_preferred() {
    let mut random = random();
    let mut play = Play::new();
    for millis in 1..=16_000 {
        if millis == 4_000 {
            // From here on, every caller has called most targets.
            (play.calls, play.rejected, play.queued) = (0, 0, 0);
        }
        play.step(&mut random, Moment::from_millis(millis));
    }
    let share = |count: u32| f64::from(count) / f64::from(play.calls);
    assert!(
        share(play.rejected) <= RETRY_RATIO,
        "{:.3} of the calls were rejected",
        share(play.rejected)
    );
    assert!(
        share(play.queued) <= RETRY_RATIO,
        "{:.3} of the calls found their target full",
        share(play.queued)
    );
}
