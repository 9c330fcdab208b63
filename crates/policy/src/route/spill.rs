//! Share of the calls that leave a tier for the next one.
//!
//! At the load at which targets raise their prices, calls hardly wait, so the expected
//! wait alone would keep every call in the nearer tier until the ingress refuses requests
//! for their price. A share of the calls therefore leaves a tier as soon as its prices
//! stay above the cost of the way. It grows with the logarithm of the price. Targets
//! change that logarithm in proportion to their excess load, so the share settles where
//! the load is normal, and does not alternate between none and all.
//!
//! The price of a short call may stay below that cost while windows at its callers
//! (`crate::window`) keep requests waiting and refuse them. So a share of the calls also
//! leaves a region whose targets stay full, see [`Overflow`].

use std::time::Duration;

use crate::gate::Load;
use crate::moment::Moment;

/// Price of a call in the nearer tier above which a share of the calls leaves it. The
/// ingress refuses the first requests, of low priority, at twice this price.
const LINK_PRICE: f64 = 0.05;
/// Multiple of the farther tier's price that the nearer one must exceed, so that two
/// tiers do not send each other calls.
const PRICE_RATIO: f64 = 1.5;
/// Growth of the share for each e-fold of the price.
const SHARE_PER_E_FOLD: f64 = 0.4;
/// Mean shares of slots in use up to which no call leaves a tier for its price, and from
/// which the whole share does. A price stays high for seconds after an overload, while the
/// tier has capacity again.
const PRICED_USE: [f64; 2] = [0.75, 0.85];
/// Mean share of slots in use from which the targets of a region are full, if calls wait.
const FULL_USE: f64 = 0.95;
/// Mean share of slots in use up to which calls return to their region. It is lower than
/// [`FULL_USE`], as the targets are less full once calls have left.
const HELD_USE: f64 = 0.9;
/// Waiting calls per slot from which calls count as waiting.
const MIN_WAITING: f64 = 0.05;
/// Mean share of slots in use in the other region below which its targets have room.
const ROOM_USE: f64 = 0.8;
/// Growth of the share of a full region's calls in one second for each limit below
/// [`ROOM_USE`] in the other one, and decline for each limit above.
const ROOM_RATE: f64 = 2.0;
/// Part of that share which it loses in one second in any case. Without it the callers of a
/// region keep unlike shares: those that send more calls over the link see less load in
/// their replies, so their windows grow and fill the region's targets for the others.
const LEAK: f64 = 0.4;
/// Decline of that share in one second while the region has slots to spare.
const SPARE_DECLINE: f64 = 1.0;
/// Longest time for which one report changes that share.
const MAX_STEP: Duration = Duration::from_millis(200);
/// Share up to which calls leave a full region while no reply tells the load in the other
/// one.
const ASKING_SHARE: f64 = 0.05;
/// Largest share by price or load, so that reports of the nearer tier keep coming.
const MAX_SHARE: f64 = 0.9;
/// Time for which the price must be above its bound, or targets full, before calls leave
/// the tier.
const STANDING: Duration = Duration::from_millis(500);
/// Age from which the prices of a tier are ignored.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Time constant of the means over the reports of a tier.
const MEMORY: Duration = Duration::from_millis(300);
/// Largest weight of one report in a mean that has settled.
const MAX_WEIGHT: f64 = 0.05;
/// Gap between two reports after which a mean of loads starts anew.
const MAX_GAP: Duration = Duration::from_secs(1);
/// Reports without a gap after which a mean of loads has settled. Before, it is their
/// plain average.
const SETTLED_REPORTS: u32 = 20;
/// Reports without a gap from which the mean shows that a region is full. A single one
/// often finds every slot of a target in use at a normal load.
const MIN_REPORTS: u32 = 10;
/// Time constant with which the known load of the other region fades without reports. If
/// all its slots were in use, calls are tried there again after 2.2 s.
const FADING: Duration = Duration::from_secs(10);

/// Means over the reports of several targets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    /// Share of slots in use, within 0..=1.
    used: f64,
    /// Waiting calls per slot, within 0..=1.
    waiting: f64,
    /// Price of a call.
    price: f64,
    /// Reports of load without a gap, at most [`SETTLED_REPORTS`].
    reports: u32,
    used_updated: Moment,
    price_updated: Moment,
}

impl Mean {
    pub(super) fn observe_load(&mut self, load: Load, now: Moment) {
        if now.since(self.used_updated) >= MAX_GAP {
            self.reports = 0;
        }
        let weight = if self.reports < SETTLED_REPORTS {
            self.reports += 1;
            1.0 / f64::from(self.reports)
        } else {
            weight(self.used_updated, now)
        };
        let share = |calls: u32| (f64::from(calls) / f64::from(load.limit.max(1))).min(1.0);
        self.used += weight * (share(load.running) - self.used);
        self.waiting += weight * (share(load.waiting) - self.waiting);
        self.used_updated = now;
    }

    pub(super) fn observe_price(&mut self, price: f64, now: Moment) {
        self.price += weight(self.price_updated, now) * (price - self.price);
        self.price_updated = now;
    }

    pub(super) const fn used(self) -> f64 {
        self.used
    }

    /// Part of the share by price that leaves a tier with these slots in use, within 0..=1.
    /// A tier without reports of load counts as used.
    fn price_weight(self) -> f64 {
        let [none, whole] = PRICED_USE;
        if self.reports == 0 {
            return 1.0;
        }
        ((self.used - none) / (whole - none)).clamp(0.0, 1.0)
    }

    /// Whether nearly all slots are in use and calls wait.
    fn is_full(self, now: Moment) -> bool {
        let is_known = self.reports >= MIN_REPORTS && self.is_recent(now);
        is_known && self.used >= FULL_USE && self.waiting >= MIN_WAITING
    }

    /// How full the targets are, within -1..=1; negative while they have slots to spare.
    fn fullness(self, now: Moment) -> f64 {
        let used = if self.is_recent(now) { self.used } else { 0.0 };
        ((used - HELD_USE) / (FULL_USE - HELD_USE)).clamp(-1.0, 1.0)
    }

    fn is_recent(self, now: Moment) -> bool {
        self.reports > 0 && now.since(self.used_updated) < MAX_GAP
    }

    /// Share of slots below the bound up to which the targets have room; negative above it.
    fn room(self, now: Moment) -> f64 {
        let age = now.since(self.used_updated);
        ROOM_USE - self.used * (-age.div_duration_f64(FADING)).exp()
    }

    fn price(self, now: Moment) -> f64 {
        let is_recent = now.since(self.price_updated) < MAX_AGE;
        if is_recent { self.price } else { 0.0 }
    }
}

/// Weight of a report in a mean that was updated last at `updated`.
fn weight(updated: Moment, now: Moment) -> f64 {
    let elapsed = now.since(updated).div_duration_f64(MEMORY);
    (1.0 - (-elapsed).exp()).min(MAX_WEIGHT)
}

/// Share of the calls that leave a region whose targets stay full.
///
/// The share grows in proportion to the free part of the other region's targets and
/// declines once the region has slots to spare or the other one has no more room, so it
/// settles between these. Only replies to calls tell the load of the other region. Without
/// any it counts as idle, and a small share of the calls asks.
#[derive(Clone, Copy, Debug, Default)]
struct Overflow {
    /// Share of the calls, within 0..=[`MAX_SHARE`].
    share: f64,
    /// Since when the targets of the region have been full.
    full_since: Option<Moment>,
    updated: Moment,
}

impl Overflow {
    /// Updates the share with the loads of the region and of the other ones.
    fn update(&mut self, near: Mean, far: Mean, now: Moment) {
        let elapsed = now.since(self.updated).min(MAX_STEP).as_secs_f64();
        self.updated = now;
        if near.is_full(now) {
            self.full_since.get_or_insert(now);
        } else {
            self.full_since = None;
        }
        let is_standing = |since| now.since(since) >= STANDING;
        let (fullness, room) = (near.fullness(now), far.room(now));
        let may_grow = if self.share > 0.0 {
            self.share < ASKING_SHARE || far.is_recent(now)
        } else {
            self.full_since.is_some_and(is_standing)
        };
        let rate = if fullness <= 0.0 {
            SPARE_DECLINE * fullness
        } else if room <= 0.0 {
            ROOM_RATE * room
        } else if may_grow {
            ROOM_RATE * room * fullness
        } else {
            0.0
        };
        let rate = rate - LEAK * self.share;
        self.share = (self.share + rate * elapsed).clamp(0.0, MAX_SHARE);
    }

    fn share(&self, now: Moment) -> f64 {
        let is_recent = now.since(self.updated) < MAX_AGE;
        if is_recent { self.share } else { 0.0 }
    }
}

/// Share of the calls that leave one tier.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spill {
    overflow: Overflow,
    /// Share by price once that stands; zero while it is below its bound or
    /// the tier has slots to spare.
    share: f64,
    /// Since when the price has been above its bound.
    above_since: Option<Moment>,
    updated: Moment,
}

impl Spill {
    /// Updates the share by load.
    pub(super) fn update_load(&mut self, near: Mean, far: Mean, now: Moment) {
        self.overflow.update(near, far, now);
    }

    /// Updates the share by price with the prices of the nearer and the farther tier.
    pub(super) fn update(&mut self, near: Mean, far: Mean, now: Moment) {
        let bound = LINK_PRICE.max(PRICE_RATIO * far.price(now));
        let excess = (near.price / bound).max(f64::MIN_POSITIVE).ln();
        let share = (SHARE_PER_E_FOLD * excess).clamp(0.0, MAX_SHARE);
        self.share = share * near.price_weight();
        self.updated = now;
        if share == 0.0 {
            self.above_since = None;
        } else {
            self.above_since.get_or_insert(now);
        }
    }

    /// Share of the calls that go to the farther tier.
    pub(super) fn share(&self, now: Moment) -> f64 {
        let is_standing = |since| now.since(since) >= STANDING;
        let is_recent = now.since(self.updated) < MAX_AGE;
        let by_price = if is_recent && self.above_since.is_some_and(is_standing) {
            self.share
        } else {
            0.0
        };
        by_price.max(self.overflow.share(now))
    }
}
