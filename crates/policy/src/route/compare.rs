//! Comparison of targets and tiers by estimated load and wait.

use std::time::Duration;

use rand::Rng;

use super::{
    Balancer, Choice, REGION_BACKLOG_RATIO, REJECTION_LOAD, REMOTE_ROUND_TRIP, REMOTE_SPILL_ABOVE,
    SOUND_REJECTION, SPILL_ABOVE, SPILL_BELOW, Tier,
};
use crate::gate::Load;
use crate::key::TargetKey;
use crate::moment::Moment;

/// Weight of one report in the mean service time.
const TIME_WEIGHT: f64 = 0.02;
/// Gain over the slow link from which every call that gains so much is sent over it.
/// Of those that gain less, a share in proportion to the gain is sent.
const LINK_COST: Duration = Duration::from_millis(10);
/// Mean share of slots in use below which a tier has slots to spare. Above it, reports
/// differ enough for a new target to be chosen by them, and a call from each daemon at once
/// would queue there.
const SPARE_USE: f64 = 0.5;
/// Failure rate below which a target counts as one that has not failed lately.
const SOUND_FAILURES: f64 = 0.05;

impl Balancer {
    /// Updates what is known of a tier as a whole with the report of one target.
    pub(super) fn observe_load(&mut self, tier: Tier, key: TargetKey, load: Load, now: Moment) {
        self.recent[tier as usize].record(key);
        self.means[tier as usize].observe_load(load, now);
        if tier != Tier::Remote {
            self.region_mean.observe_load(load, now);
        }
        self.spills[1].update_load(self.region_mean, self.means[Tier::Remote as usize], now);
        let time = load.service_time.as_secs_f64();
        if self.mean_time == 0.0 {
            self.mean_time = time;
        }
        self.mean_time += TIME_WEIGHT * (time - self.mean_time);
    }

    /// Records the price of a call on a target itself, without its outbound calls, as a
    /// reply reported it.
    pub fn record_price(&mut self, key: TargetKey, price: f64, now: Moment) {
        let Some(target) = self.get_mut(key) else {
            return;
        };
        target.price = price;
        let tier = target.tier;
        self.means[tier as usize].observe_price(price, now);
        if tier != Tier::Remote {
            self.region_mean.observe_price(price, now);
        }
        let [domain, region, remote] = self.means;
        self.spills[0].update(domain, region, now);
        self.spills[1].update(self.region_mean, remote, now);
    }

    /// Whether this call belongs to the share that leaves the nearer tiers because they
    /// stay full.
    pub(super) fn draw_spill(&self, tier: Tier, random: &mut impl Rng, now: Moment) -> bool {
        let Some(index) = (tier as usize).checked_sub(1) else {
            return false;
        };
        let share = self.spills[index].share(now);
        share > 0.0 && random.random::<f64>() < share
    }

    /// Whether the wait at the nearer target justifies the farther one. The slow link
    /// takes calls for a long queue at once if they gain more than its round trip.
    pub(super) fn shortens_wait(
        &self,
        near: Choice,
        far: Choice,
        random: &mut impl Rng,
        now: Moment,
    ) -> bool {
        let (here, there) = self.backlogs((near.target, near.load), (far.target, far.load), now);
        if far.tier != Tier::Remote {
            return near.load > SPILL_ABOVE && there < here * REGION_BACKLOG_RATIO;
        }
        if near.load <= REMOTE_SPILL_ABOVE || far.load >= SPILL_BELOW {
            return false;
        }
        // Each backlog includes the service time of the call itself.
        let gain = here - there - REMOTE_ROUND_TRIP.as_secs_f64();
        gain > 0.0 && random.random::<f64>() * LINK_COST.as_secs_f64() < gain
    }

    /// Backlogs of two targets in seconds, each computed as load times service
    /// time. Targets of one service differ in speed. A target whose service time
    /// is unknown or was reported too long ago is assumed to be as fast as the
    /// other.
    fn backlogs(&self, one: (TargetKey, f64), other: (TargetKey, f64), now: Moment) -> (f64, f64) {
        const UNKNOWN_S: f64 = 1.0;
        let (first, second) = (self.time(one.0, now), self.time(other.0, now));
        let of = |own: Option<f64>, beside: Option<f64>| own.or(beside).unwrap_or(UNKNOWN_S);
        (one.1 * of(first, second), other.1 * of(second, first))
    }

    /// Rank of a target with this load among the targets of a tier; the smallest is
    /// chosen. Up to one call per slot it is the share of slots in use, so that targets
    /// get load in proportion to their speed, and beyond it grows with the wait. Work at
    /// a target that is slower than usual counts for as many times more. Equal targets
    /// are ranked by their service time.
    pub(super) fn rank(&self, key: TargetKey, load: f64, now: Moment) -> (f64, f64) {
        let target = self.targets[key.0 as usize].as_ref();
        let slowdown = target.map_or(1.0, |target| target.estimate.slowdown(now));
        // The usual time of this target relative to that of the others.
        let slowness = self.time(key, now).map(|time| time / self.mean_time);
        let slowness = slowness.filter(|slowness| slowness.is_finite());
        let slowness = slowness.unwrap_or(1.0) / slowdown;
        let work = load * slowdown;
        let waiting = (work - 1.0).max(0.0);
        (work.min(1.0) + waiting * slowness, slowness)
    }

    fn time(&self, key: TargetKey, now: Moment) -> Option<f64> {
        let target = self.targets[key.0 as usize].as_ref()?;
        target.estimate.service_time(now)
    }

    pub(super) fn age(&self, key: TargetKey, now: Moment) -> Option<Duration> {
        self.targets[key.0 as usize].as_ref()?.estimate.age(now)
    }

    /// Load of a target as a multiple of its limit, scaled up by its failure
    /// rate so that a target that fails fast does not appear idle.
    pub(super) fn load(&self, key: TargetKey, now: Moment) -> f64 {
        let Some(target) = &self.targets[key.0 as usize] else {
            return f64::INFINITY;
        };
        if target.health.is_ejected() {
            // The ejection has ended; zero load lets the probe call through.
            return 0.0;
        }
        let unknown = self.means[target.tier as usize].used();
        let busy = target.estimate.load(unknown, now);
        let rejection = target.estimate.rejection(now);
        let penalty = rejection.unwrap_or(self.mean_rejection) * REJECTION_LOAD;
        busy / (1.0 - target.health.failure_rate()).max(0.05) + penalty
    }

    /// Whether nothing is known of a target that has not failed lately, and no call to it
    /// is in flight, in a tier with slots to spare. It gets its part of the calls then, one
    /// at a time: the best of the targets with a report would always be preferred to it.
    pub(super) fn is_untried(&self, key: TargetKey, now: Moment) -> bool {
        let target = self.targets[key.0 as usize].as_ref();
        target.is_some_and(|target| {
            let is_calm = self.means[target.tier as usize].used() < SPARE_USE;
            let is_sound = target.health.failure_rate() < SOUND_FAILURES;
            is_calm && is_sound && target.estimate.is_untried(now)
        })
    }

    /// Whether a target recently reported that it rejects few calls.
    pub(super) fn is_sound(&self, key: TargetKey, now: Moment) -> bool {
        let target = self.targets[key.0 as usize].as_ref();
        let rejection = target.and_then(|target| target.estimate.rejection(now));
        rejection.is_some_and(|rejection| rejection < SOUND_REJECTION)
    }
}
