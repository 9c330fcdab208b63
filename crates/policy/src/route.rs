//! Choosing a target for a call.
//!
//! Two targets of the nearest tier are drawn at random and the less loaded
//! one is taken, by the load that its daemon attached to its last answers
//! and by the calls that this daemon has sent since. The own failure domain
//! goes before the region, and the region before the slow link between
//! regions, which is used only within its byte budget.

mod health;
mod link;

use std::time::Duration;

use rand::Rng;

use health::Health;
pub use link::ByteBudget;

use crate::gate::Load;
use crate::key::TargetKey;
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
/// Draws made to find two available targets before a scan.
const DRAWS: usize = 6;
/// Load of a target, in limits, above which a farther tier is considered:
/// calls wait there.
const SPILL_ABOVE: f64 = 1.0;
/// Part of the nearer target's backlog, in time, that a target of another
/// failure domain may have at most to be taken instead.
const SPILL_SHARE: f64 = 0.6;
/// The same for the slow link, which is paid by volume: not for a burst, only
/// for a queue that the nearer targets cannot serve soon.
const REMOTE_ABOVE: f64 = 4.0;
/// Load of a target over the slow link, in limits, below which it is taken
/// instead.
const SPILL_BELOW: f64 = 0.8;
/// Age at which a reported load says nothing any more.
const LOAD_AGE: Duration = Duration::from_secs(5);

/// One target as this daemon sees it.
#[derive(Debug)]
struct Target {
    tier: Tier,
    /// Place in the list of its tier; `members[tier][place]` is this target.
    place: usize,
    load: Load,
    load_at: Moment,
    /// Calls sent from here that are not answered.
    in_flight: u32,
    open: bool,
    health: Health,
}

/// Outcome of a call for the health of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered,
    /// The target failed, or answered that it failed.
    Failed,
    /// The call says nothing about the target.
    Neutral,
}

/// Change in the standing of a target, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It receives no calls for this time.
    Ejected(Duration),
    /// It receives calls again.
    Restored,
}

/// A chosen target and the options that were weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The target to call.
    pub target: TargetKey,
    /// Its tier.
    pub tier: Tier,
    /// Its load, in limits.
    pub load: f64,
    /// The option that was rejected, with its load.
    pub rejected: Option<(TargetKey, f64)>,
}

/// The targets of one service.
#[derive(Debug, Default)]
pub struct Balancer {
    targets: Vec<Option<Target>>,
    /// Keys of removed targets, for reuse.
    free: Vec<TargetKey>,
    /// Targets of each tier.
    members: [Vec<TargetKey>; TIERS],
    ejected: usize,
    service: Health,
}

impl Balancer {
    /// Adds a target that can take calls.
    pub fn insert(&mut self, tier: Tier, slots: u32, now: Moment) -> TargetKey {
        let members = &mut self.members[tier as usize];
        let target = Target {
            tier,
            place: members.len(),
            load: Load {
                limit: slots,
                ..Load::default()
            },
            load_at: now,
            in_flight: 0,
            open: true,
            health: Health::default(),
        };
        let key = self.free.pop().unwrap_or_else(|| {
            self.targets.push(None);
            TargetKey(self.targets.len() as u32 - 1)
        });
        members.push(key);
        self.targets[key.0 as usize] = Some(target);
        key
    }

    /// Removes a target.
    pub fn remove(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key.0 as usize).and_then(Option::take) else {
            return;
        };
        let members = &mut self.members[target.tier as usize];
        members.swap_remove(target.place);
        if let Some(moved) = members.get(target.place).copied()
            && let Some(moved) = self.targets[moved.0 as usize].as_mut()
        {
            moved.place = target.place;
        }
        self.ejected -= usize::from(target.health.is_ejected());
        self.free.push(key);
    }

    /// Says whether a target takes new calls: it is not leaving and can be
    /// reached.
    pub fn set_open(&mut self, key: TargetKey, open: bool) {
        if let Some(target) = self.get_mut(key) {
            target.open = open;
        }
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.members.iter().map(Vec::len).sum()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of ejected targets.
    pub const fn ejected(&self) -> usize {
        self.ejected
    }

    /// Chooses a target other than those in `exclude`. `remote` says whether
    /// the slow link may carry the call.
    pub fn choose(
        &self,
        exclude: &[TargetKey],
        remote: bool,
        random: &mut impl Rng,
        now: Moment,
    ) -> Option<Choice> {
        let mut best: Option<Choice> = None;
        let tiers = [Tier::Domain, Tier::Region, Tier::Remote];
        for tier in tiers.into_iter().take(if remote { 3 } else { 2 }) {
            let Some(found) = self.choose_in(tier, exclude, random, now) else {
                continue;
            };
            let spills = |near: Choice| match tier {
                Tier::Remote => near.load > REMOTE_ABOVE && found.load < SPILL_BELOW,
                Tier::Domain | Tier::Region => {
                    let (here, there) =
                        self.backlogs((near.target, near.load), (found.target, found.load), now);
                    near.load > SPILL_ABOVE && there < here * SPILL_SHARE
                }
            };
            let taken = best.is_none_or(spills);
            if taken {
                best = Some(found);
            }
            if best.is_some_and(|near| near.load <= SPILL_ABOVE) {
                break;
            }
        }
        best
    }

    /// Notes that a call was sent.
    pub fn started(&mut self, key: TargetKey, now: Moment) {
        if let Some(target) = self.get_mut(key) {
            target.in_flight += 1;
            target.health.note_probe(now);
        }
    }

    /// Notes the end of a call, the load that came with it, and what it says
    /// of the target. Gives the change in the target's standing, if any.
    pub fn finished(
        &mut self,
        key: TargetKey,
        outcome: Outcome,
        load: Option<Load>,
        now: Moment,
    ) -> Option<Standing> {
        let total = self.len();
        let ejected = self.ejected;
        let target = self.targets.get_mut(key.0 as usize)?.as_mut()?;
        target.in_flight = target.in_flight.saturating_sub(1);
        if let Some(load) = load {
            target.load = load;
            target.load_at = now;
        }
        if outcome == Outcome::Neutral {
            return None;
        }
        let failed = outcome == Outcome::Failed;
        target.health.observe(failed);
        self.service.observe(failed);
        if !failed {
            let restored = target.health.restore();
            self.ejected -= usize::from(restored);
            return restored.then_some(Standing::Restored);
        }
        // More than half ejected would say that the service is sick, not a
        // target; ejecting on would empty it.
        let room = target.health.is_ejected() || (ejected + 1) * 2 <= total;
        if !room || !target.health.is_outlier(&self.service) {
            return None;
        }
        self.ejected += usize::from(!target.health.is_ejected());
        Some(Standing::Ejected(target.health.eject(now)))
    }

    fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.targets.get_mut(key.0 as usize)?.as_mut()
    }

    fn choose_in(
        &self,
        tier: Tier,
        exclude: &[TargetKey],
        random: &mut impl Rng,
        now: Moment,
    ) -> Option<Choice> {
        let first = self.draw(tier, exclude, None, random, now)?;
        let first_load = self.load_of(first, now);
        let single = Choice {
            target: first,
            tier,
            load: first_load,
            rejected: None,
        };
        let Some(second) = self.draw(tier, exclude, Some(first), random, now) else {
            return Some(single);
        };
        let second_load = self.load_of(second, now);
        let (one, other) = self.backlogs((first, first_load), (second, second_load), now);
        if other < one {
            return Some(Choice {
                target: second,
                load: second_load,
                rejected: Some((first, first_load)),
                ..single
            });
        }
        Some(Choice {
            rejected: Some((second, second_load)),
            ..single
        })
    }

    /// Backlogs of two targets with their loads, in seconds: the time in which
    /// each would serve the calls that it has. Targets of one service differ
    /// in speed; one whose speed is not known, or was told long ago, is taken
    /// to be as fast as the other.
    fn backlogs(&self, one: (TargetKey, f64), other: (TargetKey, f64), now: Moment) -> (f64, f64) {
        let time = |key: TargetKey| {
            let target = self.targets[key.0 as usize].as_ref();
            let target = target.filter(|target| now.since(target.load_at) < LOAD_AGE);
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

    /// Draws an available target of a tier.
    fn draw(
        &self,
        tier: Tier,
        exclude: &[TargetKey],
        other_than: Option<TargetKey>,
        random: &mut impl Rng,
        now: Moment,
    ) -> Option<TargetKey> {
        let members = &self.members[tier as usize];
        if members.is_empty() {
            return None;
        }
        let fits = |key: TargetKey| {
            Some(key) != other_than && !exclude.contains(&key) && self.is_available(key, now)
        };
        for _ in 0..DRAWS {
            let key = members[random.random_range(0..members.len())];
            if fits(key) {
                return Some(key);
            }
        }
        let start = random.random_range(0..members.len());
        let order = members[start..].iter().chain(&members[..start]);
        order.copied().find(|key| fits(*key))
    }

    fn is_available(&self, key: TargetKey, now: Moment) -> bool {
        self.targets[key.0 as usize]
            .as_ref()
            .is_some_and(|target| target.open && target.health.takes_calls(now))
    }

    /// Load of a target in limits, weighed by its failures so that a target
    /// that fails at once does not look idle.
    fn load_of(&self, key: TargetKey, now: Moment) -> f64 {
        let Some(target) = &self.targets[key.0 as usize] else {
            return f64::INFINITY;
        };
        if target.health.is_ejected() {
            // It is due for the one call that finds out how it is.
            return 0.0;
        }
        let reported = if now.since(target.load_at) < LOAD_AGE {
            target.load.running + target.load.waiting
        } else {
            0
        };
        let calls = f64::from(reported.max(target.in_flight)) + 1.0;
        let busy = calls / f64::from(target.load.limit.max(1));
        busy / (1.0 - target.health.failure_share()).max(0.05)
    }
}
