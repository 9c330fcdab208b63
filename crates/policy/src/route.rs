//! Load balancing over the targets of a service.
//!
//! Two random targets of the nearest tier are compared and the one with the
//! smaller backlog is chosen. While targets reject calls, one that does not is
//! compared with them. Load is the larger of the load that the target's
//! daemon reported with its last response and the calls from this daemon that
//! are in flight. The local failure domain is preferred to the rest of the
//! region, and the region to the slow link between regions. The slow link is
//! used only within its byte budget.

mod health;
mod link;
mod query;

use std::time::Duration;

use rand::Rng;

use health::Health;
pub use link::ByteBudget;
pub use query::Query;

use crate::gate::Load;
use crate::key::{RegionKey, TargetKey};
use crate::moment::Moment;

/// Distance from this daemon to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tier {
    /// In the same failure domain.
    Domain,
    /// In another failure domain of the same region.
    Region,
    /// In another region, over the slow link.
    Remote,
}

/// Number of tiers.
const TIERS: usize = 3;
/// Random samples taken to find an available target before a linear scan.
const MAX_SAMPLES: usize = 6;
/// Load of a target, as a multiple of its limit, above which a farther tier is
/// considered. Calls queue above this load.
const SPILL_ABOVE: f64 = 1.0;
/// Largest backlog of a target in another failure domain, as a fraction of the
/// nearer target's backlog in time, at which it is chosen instead.
const REGION_BACKLOG_RATIO: f64 = 0.6;
/// Load of the nearer target, as a multiple of its limit, above which the slow
/// link is considered. The link is billed by volume, so it is not used for a
/// short burst, only for a queue that the nearer targets cannot drain soon.
const REMOTE_SPILL_ABOVE: f64 = 4.0;
/// Load of a target in another region, as a multiple of its limit, below which
/// it is chosen over an overloaded nearer target.
const REMOTE_SPILL_BELOW: f64 = 0.8;
/// Load that is added to a target that rejects every call. A rejected call costs a
/// retry, of which there are few, so calls rather queue for as long at a target
/// that accepts them.
const REJECTION_LOAD: f64 = 2.0;
/// Share of rejected calls below which a target is sound, and mean share over the
/// targets from which sound ones are sought.
const SOUND_REJECTION: f64 = 0.05;
/// Interval between two computations of that mean.
const REJECTION_INTERVAL: Duration = Duration::from_millis(250);
/// Age from which a reported load is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(5);

/// Local view of one target.
#[derive(Debug)]
struct Target {
    tier: Tier,
    region: RegionKey,
    /// Index in the list of its tier; `by_tier[tier][index]` is this target.
    index: usize,
    load: Load,
    load_reported_at: Moment,
    /// Whether `load` was reported by the target's daemon.
    is_reported: bool,
    /// Calls from this daemon that are not answered yet.
    in_flight: u32,
    open: bool,
    health: Health,
}

/// Outcome of a call, as evidence of the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered,
    /// The target failed or responded with a failure.
    Failed,
    /// The call gives no evidence about the target.
    Neutral,
}

/// Change in the ejection state of a target, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The target receives no calls for this duration.
    Ejected(Duration),
    /// The target receives calls again.
    Restored,
}

/// Chosen target and the alternative it was compared with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The target to call.
    pub target: TargetKey,
    /// Its tier.
    pub tier: Tier,
    /// Load of the target as a multiple of its limit.
    pub load: f64,
    /// Alternative that was rejected, with its load.
    pub rejected: Option<(TargetKey, f64)>,
}

/// Targets of one service.
#[derive(Debug, Default)]
pub struct Balancer {
    targets: Vec<Option<Target>>,
    /// Keys of removed targets, reused by later inserts.
    free: Vec<TargetKey>,
    /// Keys of the targets, by tier.
    by_tier: [Vec<TargetKey>; TIERS],
    ejected: usize,
    service_health: Health,
    /// Mean share of rejected calls over the targets with a recent report, assumed
    /// of the others.
    mean_rejection: f64,
    /// When that mean was computed.
    rejection_updated: Moment,
}

impl Balancer {
    /// Adds an open target with a limit of `slots` concurrent calls.
    pub fn insert(&mut self, tier: Tier, region: RegionKey, slots: u32, now: Moment) -> TargetKey {
        let keys = &mut self.by_tier[tier as usize];
        let target = Target {
            tier,
            region,
            index: keys.len(),
            load: Load {
                limit: slots,
                ..Load::default()
            },
            load_reported_at: now,
            is_reported: false,
            in_flight: 0,
            open: true,
            health: Health::default(),
        };
        let key = self.free.pop().unwrap_or_else(|| {
            self.targets.push(None);
            TargetKey(self.targets.len() as u32 - 1)
        });
        keys.push(key);
        self.targets[key.0 as usize] = Some(target);
        key
    }

    /// Sets the limit of a target to the number of slots that its daemon advertises
    /// anew, until the next load report.
    pub fn set_slots(&mut self, target: TargetKey, slots: u32) {
        if let Some(target) = self.get_mut(target) {
            target.load.limit = slots;
        }
    }

    /// Removes a target. Does nothing if the key is unknown.
    pub fn remove(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key.0 as usize).and_then(Option::take) else {
            return;
        };
        let keys = &mut self.by_tier[target.tier as usize];
        keys.swap_remove(target.index);
        if let Some(moved) = keys.get(target.index).copied()
            && let Some(moved) = self.targets[moved.0 as usize].as_mut()
        {
            moved.index = target.index;
        }
        self.ejected -= usize::from(target.health.is_ejected());
        self.free.push(key);
    }

    /// Sets whether a target accepts new calls, that is, whether it is reachable
    /// and not leaving.
    pub fn set_open(&mut self, key: TargetKey, open: bool) {
        if let Some(target) = self.get_mut(key) {
            target.open = open;
        }
    }

    /// Number of targets, ejected and closed ones included.
    pub fn len(&self) -> usize {
        self.by_tier.iter().map(Vec::len).sum()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of ejected targets.
    pub const fn ejected(&self) -> usize {
        self.ejected
    }

    /// Whether any target, available or not, is in one of these regions.
    pub fn has_target_in(&self, regions: &[RegionKey]) -> bool {
        let mut targets = self.targets.iter().flatten();
        targets.any(|target| regions.contains(&target.region))
    }

    /// Chooses a target that the query permits. Returns `None` if no such target
    /// is available.
    pub fn choose(&self, query: &Query<'_>, random: &mut impl Rng, now: Moment) -> Option<Choice> {
        let mut best: Option<Choice> = None;
        let tiers = [Tier::Domain, Tier::Region, Tier::Remote];
        for tier in tiers.into_iter().take(if query.remote { 3 } else { 2 }) {
            let Some(found) = self.choose_in_tier(tier, query, random, now) else {
                continue;
            };
            let spills = |near: Choice| match tier {
                Tier::Remote => near.load > REMOTE_SPILL_ABOVE && found.load < REMOTE_SPILL_BELOW,
                Tier::Domain | Tier::Region => {
                    let (here, there) =
                        self.backlogs((near.target, near.load), (found.target, found.load), now);
                    near.load > SPILL_ABOVE && there < here * REGION_BACKLOG_RATIO
                }
            };
            let replaces = best.is_none_or(spills);
            if replaces {
                best = Some(found);
            }
            if best.is_some_and(|near| near.load <= SPILL_ABOVE) {
                break;
            }
        }
        best
    }

    /// Records that a call was sent.
    pub fn record_start(&mut self, key: TargetKey, now: Moment) {
        if let Some(target) = self.get_mut(key) {
            target.in_flight += 1;
            target.health.record_probe(now);
        }
    }

    /// Records the end of a call, its outcome and the load that the response
    /// reported. Returns the change in the target's ejection state, if any.
    pub fn record_end(
        &mut self,
        key: TargetKey,
        outcome: Outcome,
        load: Option<Load>,
        now: Moment,
    ) -> Option<Transition> {
        if let Some(load) = load {
            self.record_load(key, load, now);
        }
        let total = self.len();
        let ejected = self.ejected;
        let target = self.targets.get_mut(key.0 as usize)?.as_mut()?;
        target.in_flight = target.in_flight.saturating_sub(1);
        if outcome == Outcome::Neutral {
            return None;
        }
        let failed = outcome == Outcome::Failed;
        target.health.observe(failed);
        self.service_health.observe(failed);
        if !failed {
            let restored = target.health.restore();
            self.ejected -= usize::from(restored);
            return restored.then_some(Transition::Restored);
        }
        // At most half of the targets are ejected. Beyond that the service as a
        // whole is failing, and further ejections would leave it without targets.
        let may_eject = target.health.is_ejected() || (ejected + 1) * 2 <= total;
        if !may_eject || !target.health.is_outlier(&self.service_health) {
            return None;
        }
        self.ejected += usize::from(!target.health.is_ejected());
        Some(Transition::Ejected(target.health.eject(now)))
    }

    fn record_load(&mut self, key: TargetKey, load: Load, now: Moment) {
        if let Some(target) = self.get_mut(key) {
            target.load = load;
            target.load_reported_at = now;
            target.is_reported = true;
        }
        self.update_mean_rejection(now);
    }

    fn update_mean_rejection(&mut self, now: Moment) {
        if now.since(self.rejection_updated) < REJECTION_INTERVAL {
            return;
        }
        self.rejection_updated = now;
        let reported = self.targets.iter().flatten();
        let reported = reported.filter_map(|target| target.reported_rejection(now));
        let (sum, count) = reported.fold((0.0, 0.0), |(sum, count), rejection| {
            (sum + rejection, count + 1.0)
        });
        self.mean_rejection = sum / f64::max(count, 1.0);
    }

    fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.targets.get_mut(key.0 as usize)?.as_mut()
    }

    fn choose_in_tier(
        &self,
        tier: Tier,
        query: &Query<'_>,
        random: &mut impl Rng,
        now: Moment,
    ) -> Option<Choice> {
        let first = self.sample(tier, query, random, now, |_| true)?;
        let mut choice = Choice {
            target: first,
            tier,
            load: self.load(first, now),
            rejected: None,
        };
        let second = self.sample(tier, query, random, now, |key| key != first);
        // Where many targets reject calls, two samples rarely find one that does not.
        let is_sought = self.mean_rejection >= SOUND_REJECTION;
        let sound = is_sought
            .then(|| self.sample(tier, query, random, now, |key| self.is_sound(key, now)))
            .flatten();
        for other in [second, sound].into_iter().flatten() {
            if other != choice.target {
                choice = self.better_of(choice, other, now);
            }
        }
        Some(choice)
    }

    /// The one of two targets with the smaller backlog.
    fn better_of(&self, choice: Choice, other: TargetKey, now: Moment) -> Choice {
        let load = self.load(other, now);
        let (here, there) = self.backlogs((choice.target, choice.load), (other, load), now);
        if there < here {
            return Choice {
                target: other,
                load,
                rejected: Some((choice.target, choice.load)),
                ..choice
            };
        }
        Choice {
            rejected: Some((other, load)),
            ..choice
        }
    }

    /// Backlogs of two targets in seconds, each computed as load times service
    /// time. Targets of one service differ in speed. A target whose service time
    /// is unknown or was reported too long ago is assumed to be as fast as the
    /// other.
    fn backlogs(&self, one: (TargetKey, f64), other: (TargetKey, f64), now: Moment) -> (f64, f64) {
        let time = |key: TargetKey| {
            let target = self.targets[key.0 as usize].as_ref();
            let target = target.filter(|target| now.since(target.load_reported_at) < MAX_LOAD_AGE);
            let time = target.map(|target| target.load.service_time);
            time.filter(|time| !time.is_zero())
        };
        let (first, second) = (time(one.0), time(other.0));
        let fallback = Duration::from_secs(1);
        let of = |own: Option<Duration>, beside: Option<Duration>| {
            own.or(beside).unwrap_or(fallback).as_secs_f64()
        };
        (one.1 * of(first, second), other.1 * of(second, first))
    }

    /// Samples an available target of a tier that the query permits and that meets a
    /// condition.
    fn sample(
        &self,
        tier: Tier,
        query: &Query<'_>,
        random: &mut impl Rng,
        now: Moment,
        condition: impl Fn(TargetKey) -> bool,
    ) -> Option<TargetKey> {
        let keys = &self.by_tier[tier as usize];
        if keys.is_empty() {
            return None;
        }
        let eligible = |key: TargetKey| condition(key) && self.is_available(key, query, now);
        for _ in 0..MAX_SAMPLES {
            let key = keys[random.random_range(0..keys.len())];
            if eligible(key) {
                return Some(key);
            }
        }
        let start = random.random_range(0..keys.len());
        let order = keys[start..].iter().chain(&keys[..start]);
        order.copied().find(|key| eligible(*key))
    }

    fn is_available(&self, key: TargetKey, query: &Query<'_>, now: Moment) -> bool {
        self.targets[key.0 as usize].as_ref().is_some_and(|target| {
            target.open && query.permits(key, target.region) && target.health.accepts_calls(now)
        })
    }

    /// Load of a target as a multiple of its limit, scaled up by its failure
    /// rate so that a target that fails fast does not appear idle.
    fn load(&self, key: TargetKey, now: Moment) -> f64 {
        let Some(target) = &self.targets[key.0 as usize] else {
            return f64::INFINITY;
        };
        if target.health.is_ejected() {
            // The ejection has ended; zero load lets the probe call through.
            return 0.0;
        }
        let reported = if now.since(target.load_reported_at) < MAX_LOAD_AGE {
            target.load.running + target.load.waiting
        } else {
            0
        };
        let calls = f64::from(reported.max(target.in_flight)) + 1.0;
        let busy = calls / f64::from(target.load.limit.max(1));
        let rejection = target.reported_rejection(now);
        let penalty = rejection.unwrap_or(self.mean_rejection) * REJECTION_LOAD;
        busy / (1.0 - target.health.failure_rate()).max(0.05) + penalty
    }

    /// Whether a target recently reported that it rejects few calls.
    fn is_sound(&self, key: TargetKey, now: Moment) -> bool {
        let target = self.targets[key.0 as usize].as_ref();
        let rejection = target.and_then(|target| target.reported_rejection(now));
        rejection.is_some_and(|rejection| rejection < SOUND_REJECTION)
    }
}

impl Target {
    /// Share of rejected calls, if it was reported recently.
    fn reported_rejection(&self, now: Moment) -> Option<f64> {
        let is_recent = self.is_reported && now.since(self.load_reported_at) < MAX_LOAD_AGE;
        is_recent.then_some(self.load.rejection)
    }
}
