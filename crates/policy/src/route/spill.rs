//! Share of the calls that leave an expensive tier for the next one.
//!
//! At the load at which targets raise their prices, calls hardly wait, so the expected
//! wait alone would keep every call in the nearer tier until the ingress refuses requests
//! for their price. A share of the calls therefore leaves a tier as soon as its prices
//! stay above the cost of the way. It grows with the logarithm of the price. Targets
//! change that logarithm in proportion to their excess load, so the share settles where
//! the load is normal, and does not alternate between none and all.

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
/// Largest share, so that reports of the nearer tier keep coming.
const MAX_SHARE: f64 = 0.9;
/// Time for which the price must be above its bound before calls leave the tier.
const STANDING: Duration = Duration::from_millis(500);
/// Age from which the prices of a tier are ignored.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Time constant of the means over the reports of a tier.
const MEMORY: Duration = Duration::from_millis(300);
/// Largest weight of one report in a mean.
const MAX_WEIGHT: f64 = 0.05;

/// Means over the reports of several targets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    /// Share of slots in use, within 0..=1.
    used: f64,
    /// Price of a call.
    price: f64,
    used_updated: Moment,
    price_updated: Moment,
}

impl Mean {
    pub(super) fn observe_load(&mut self, load: Load, now: Moment) {
        let used = f64::from(load.running) / f64::from(load.limit.max(1));
        self.used += weight(self.used_updated, now) * (used.min(1.0) - self.used);
        self.used_updated = now;
    }

    pub(super) fn observe_price(&mut self, price: f64, now: Moment) {
        self.price += weight(self.price_updated, now) * (price - self.price);
        self.price_updated = now;
    }

    pub(super) const fn used(self) -> f64 {
        self.used
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

/// Share of the calls that leave one tier.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spill {
    /// Share once the price stands; zero while it is below its bound.
    share: f64,
    /// Since when the price has been above its bound.
    above_since: Option<Moment>,
    updated: Moment,
}

impl Spill {
    /// Updates the share with the prices of the nearer and the farther tier.
    pub(super) fn update(&mut self, near: Mean, far: Mean, now: Moment) {
        let bound = LINK_PRICE.max(PRICE_RATIO * far.price(now));
        let excess = (near.price / bound).max(f64::MIN_POSITIVE).ln();
        self.share = (SHARE_PER_E_FOLD * excess).clamp(0.0, MAX_SHARE);
        self.updated = now;
        if self.share == 0.0 {
            self.above_since = None;
        } else {
            self.above_since.get_or_insert(now);
        }
    }

    /// Share of the calls that go to the farther tier.
    pub(super) fn share(&self, now: Moment) -> f64 {
        let is_standing = |since| now.since(since) >= STANDING;
        let is_recent = now.since(self.updated) < MAX_AGE;
        if is_recent && self.above_since.is_some_and(is_standing) {
            self.share
        } else {
            0.0
        }
    }
}
