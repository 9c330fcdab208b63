//! Load balancing over the targets of a service.
//!
//! Two random targets of the nearest tier are compared with the few that
//! reported last, and the one with most free slots, or else the shortest wait,
//! is chosen. While targets reject calls, one that does not is compared with
//! them. The local failure domain is preferred to the rest of the region, and
//! the region to the slow link between regions. The slow link is used only
//! within its byte budget.

mod compare;
mod estimate;
mod health;
mod link;
mod preview;
mod query;
mod recent;
mod spill;

use std::time::Duration;

use rand::Rng;

use estimate::Estimate;
use health::Health;
pub use link::ByteBudget;
pub use preview::{Availability, Candidate, Exclusion, Preview};
pub use query::Query;
use recent::Recent;
use spill::{Mean, Spill};

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
/// link is considered at once. The link is billed by volume, so for a shorter
/// queue it is used only if the nearer targets stay full.
const REMOTE_SPILL_ABOVE: f64 = 4.0;
/// Time that the slow link adds to a call and its reply.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(40);
/// Load of a target in a farther tier, as a multiple of its limit, below which
/// it is chosen over a full nearer target.
const SPILL_BELOW: f64 = 0.8;
/// Load that is added to a target that rejects every call. A rejected call costs a
/// retry, of which there are few, so calls rather queue for as long at a target
/// that accepts them.
const REJECTION_LOAD: f64 = 2.0;
/// Share of rejected calls below which a target is sound, and mean share over the
/// targets from which sound ones are sought.
const SOUND_REJECTION: f64 = 0.05;
/// Interval between two computations of that mean.
const REJECTION_INTERVAL: Duration = Duration::from_millis(250);

/// Local view of one target.
#[derive(Debug)]
struct Target {
    tier: Tier,
    region: RegionKey,
    /// Index in the list of its tier; `by_tier[tier][index]` is this target.
    index: usize,
    estimate: Estimate,
    open: bool,
    health: Health,
    /// Price of a call that it reported last.
    price: f64,
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
    /// Estimated load of the target as a multiple of its limit.
    pub load: f64,
    /// Age of the report that the estimate rests on, if there is a recent one.
    pub age: Option<Duration>,
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
    /// Targets with the newest reports, by tier.
    recent: [Recent; TIERS],
    /// Means over the reports of the targets, by tier.
    means: [Mean; TIERS],
    /// Mean over the reports of the targets in this region.
    region_mean: Mean,
    /// Smoothed service time over all reports, in seconds; zero before the first.
    mean_time: f64,
    /// Share of the calls that go beyond the failure domain and beyond the region.
    spills: [Spill; TIERS - 1],
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
            estimate: Estimate::new(slots, now),
            open: true,
            health: Health::default(),
            price: 0.0,
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
            target.estimate.set_limit(slots);
        }
    }

    /// Removes a target. Does nothing if the key is unknown.
    pub fn remove(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key.0 as usize).and_then(Option::take) else {
            return;
        };
        let keys = &mut self.by_tier[target.tier as usize];
        self.recent[target.tier as usize].remove(key);
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
            // Short waits do not send a call farther, but a tier that stays full does.
            let is_drawn = self.draw_spill(tier, random, now);
            if best.is_some_and(|near| near.load <= SPILL_ABOVE) && !is_drawn {
                continue;
            }
            let Some(found) = self.choose_in_tier(tier, query, random, now) else {
                continue;
            };
            let spills = |near: Choice| {
                let has_room = found.load <= SPILL_ABOVE;
                is_drawn && has_room || self.shortens_wait(near, found, random, now)
            };
            if best.is_none_or(spills) {
                best = Some(found);
            }
        }
        best
    }

    /// Records that a call was sent.
    pub fn record_start(&mut self, key: TargetKey, now: Moment) {
        if let Some(target) = self.get_mut(key) {
            target.estimate.record_start();
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
        target.estimate.record_end();
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
        let used = self.means.map(Mean::used);
        if let Some(target) = self.get_mut(key) {
            let tier = target.tier;
            target.estimate.record_load(load, used[tier as usize], now);
            self.observe_load(tier, key, load, now);
        }
        self.update_mean_rejection(now);
    }

    fn update_mean_rejection(&mut self, now: Moment) {
        if now.since(self.rejection_updated) < REJECTION_INTERVAL {
            return;
        }
        self.rejection_updated = now;
        let reported = self.targets.iter().flatten();
        let reported = reported.filter_map(|target| target.estimate.rejection(now));
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
            age: self.age(first, now),
            rejected: None,
        };
        if self.is_untried(first, now) {
            return Some(choice);
        }
        let second = self.sample(tier, query, random, now, |key| key != first);
        // Where many targets reject calls, two samples rarely find one that does not.
        let is_sought = self.mean_rejection >= SOUND_REJECTION;
        let sound = is_sought
            .then(|| self.sample(tier, query, random, now, |key| self.is_sound(key, now)))
            .flatten();
        let recent = self.recent[tier as usize].iter();
        let recent = recent.filter(|key| self.is_eligible(*key, query, now));
        for other in [second, sound].into_iter().flatten().chain(recent) {
            if other != choice.target {
                choice = self.better_of(choice, other, now);
            }
        }
        Some(choice)
    }

    /// The one of two targets with more free slots or the shorter wait, and of two
    /// equals the faster one.
    fn better_of(&self, choice: Choice, other: TargetKey, now: Moment) -> Choice {
        let load = self.load(other, now);
        let (here, there) = (
            self.rank(choice.target, choice.load, now),
            self.rank(other, load, now),
        );
        if there < here {
            return Choice {
                target: other,
                load,
                age: self.age(other, now),
                rejected: Some((choice.target, choice.load)),
                ..choice
            };
        }
        Choice {
            rejected: Some((other, load)),
            ..choice
        }
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
        let eligible = |key: TargetKey| condition(key) && self.is_eligible(key, query, now);
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

    /// Whether the query permits a target and the target accepts calls.
    fn is_eligible(&self, key: TargetKey, query: &Query<'_>, now: Moment) -> bool {
        let target = self.targets[key.0 as usize].as_ref();
        target.is_some_and(|target| {
            target.open && query.permits(key, target.region) && target.health.accepts_calls(now)
        })
    }
}
