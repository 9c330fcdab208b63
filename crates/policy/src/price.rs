//! Load shedding at the ingress by the price of a request's whole call chain.
//!
//! The scheme is for call graphs in which a deep service is the bottleneck,
//! requests of different routes put very different load on it, and calls do not
//! identify the request that they belong to. Each daemon raises the price of
//! one second of its target while calls queue there. The price of a call is its
//! time on the target at that price, plus the prices of its outbound calls,
//! weighted by a ratio that is fitted to call counts. Responses carry prices
//! hop by hop, so an ingress receives the cost of a request at the bottlenecks
//! without a model of the graph. It admits requests whose worth, given by their
//! priority, exceeds their price.
//!
//! The scheme follows congestion pricing in network utility maximization
//! (Kelly, Maulloo and Tan, 1998).

use std::time::Duration;

use indexmap::IndexMap;

use crate::key::{Priority, RouteKey};
use crate::moment::Moment;

/// Minimum time between two updates of a price.
const WINDOW: Duration = Duration::from_millis(100);
/// Smallest price above zero, per second of a target.
const MIN_PRICE: f64 = 0.05;
/// Price of a call at which even the most important requests are refused. A
/// higher price would only take longer to fall.
const MAX_CALL_PRICE: f64 = 24.0;
/// Calls per slot, running or waiting, above which the price rises.
const HIGH_LOAD: f64 = 1.0;
/// Calls per slot below which the price falls.
const LOW_LOAD: f64 = 0.85;
/// Upper bound of the relative growth of the price in one window.
const MAX_GROWTH: f64 = 0.25;
/// Relative growth for each call per slot beyond [`HIGH_LOAD`].
const GROWTH: f64 = 0.15;
/// Relative growth if every call is shed; proportional to the share of shed
/// calls.
const SHED_GROWTH: f64 = 0.25;
/// Fraction of the price that an idle target loses in one window.
const IDLE_DECAY: f64 = 0.25;

/// Sets the price per second of one target.
#[derive(Clone, Debug, Default)]
pub struct Pricer {
    /// Zero while the target has spare capacity.
    price: f64,
    window_start: Moment,
    arrived: u32,
    shed: u32,
}

impl Pricer {
    /// Records a call that arrived.
    pub const fn record_arrival(&mut self) {
        self.arrived += 1;
    }

    /// Records a call that was shed for lack of capacity.
    pub const fn record_shed(&mut self) {
        self.shed += 1;
    }

    /// Price of one second on the target.
    pub const fn price(&self) -> f64 {
        self.price
    }

    /// Updates the price if the current window has ended. `load` is the number
    /// of running and waiting calls per slot, `service_time` the mean time of a
    /// call on the target.
    pub fn tick(&mut self, load: f64, service_time: Duration, now: Moment) {
        if now.since(self.window_start) < WINDOW {
            return;
        }
        let shed = f64::from(self.shed) / f64::from(self.arrived.max(1));
        if load > HIGH_LOAD || self.shed > 0 {
            let growth = GROWTH * (load - HIGH_LOAD).max(0.0) + SHED_GROWTH * shed.min(1.0);
            let growth = growth.min(MAX_GROWTH);
            let most = MAX_CALL_PRICE / service_time.as_secs_f64().max(1e-3);
            self.price = (self.price.max(MIN_PRICE) * (1.0 + growth)).min(most);
        } else if load < LOW_LOAD {
            self.price *= 1.0 - IDLE_DECAY * (LOW_LOAD - load) / LOW_LOAD;
            if self.price < MIN_PRICE {
                self.price = 0.0;
            }
        }
        self.window_start = now;
        self.arrived = 0;
        self.shed = 0;
    }
}

/// Minimum interval over which inbound and outbound calls are counted for the
/// fit.
const FIT_WINDOW: Duration = Duration::from_millis(500);
/// Decay factor of the sums per window; gives a memory of about 16 s.
const RETENTION: f64 = 0.97;
/// Sum below which an entry is evicted.
const MIN_SUM: f64 = 0.01;
/// Coordinate descent sweeps per window.
const SWEEPS: usize = 8;

/// Outbound calls per inbound call of one target, by route.
///
/// The ratios are a non-negative least squares fit of the outbound to the
/// inbound calls of each window, found by coordinate descent.
#[derive(Clone, Debug, Default)]
pub struct Fanout {
    /// Calls that started on the target in this window, by route.
    inbound: IndexMap<RouteKey, f64>,
    /// Calls that the target made in this window, by route.
    outbound: IndexMap<RouteKey, f64>,
    /// Decaying sums of the products of two routes' inbound counts.
    products: IndexMap<(RouteKey, RouteKey), f64>,
    /// Decaying sums of the products of one route's inbound and another's
    /// outbound counts.
    responses: IndexMap<(RouteKey, RouteKey), f64>,
    /// Outbound calls per inbound call, not negative.
    ratios: IndexMap<(RouteKey, RouteKey), f64>,
    window_start: Moment,
}

impl Fanout {
    /// Records a call that started on the target.
    pub fn record_inbound(&mut self, route: RouteKey) {
        *self.inbound.entry(route).or_default() += 1.0;
    }

    /// Records a call that the target made.
    pub fn record_outbound(&mut self, route: RouteKey) {
        *self.outbound.entry(route).or_default() += 1.0;
    }

    /// Fits the ratios if the current window has ended.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.window_start) < FIT_WINDOW {
            return;
        }
        self.window_start = now;
        self.update_sums();
        let from = self.products.keys().filter(|(one, other)| one == other);
        let from = from.map(|(route, _)| *route).collect::<Vec<_>>();
        let mut to = self.responses.keys().map(|(_, to)| *to).collect::<Vec<_>>();
        to.sort_unstable();
        to.dedup();
        for outbound in &to {
            for _ in 0..SWEEPS {
                self.sweep(&from, *outbound);
            }
        }
        self.ratios
            .retain(|(one, outbound), _| from.contains(one) && to.contains(outbound));
    }

    /// Routes on which calls on `from` make calls, with their number per call.
    pub fn ratios(&self, from: RouteKey) -> impl Iterator<Item = (RouteKey, f64)> {
        let ratios = self.ratios.iter();
        let outbound = ratios.filter(move |((route, _), _)| *route == from);
        outbound.map(|((_, to), ratio)| (*to, *ratio))
    }

    /// Calls on `to` per call on `from`.
    pub fn ratio(&self, from: RouteKey, to: RouteKey) -> f64 {
        self.ratios.get(&(from, to)).copied().unwrap_or(0.0)
    }

    /// Routes on which a call on `from` makes at least `min` calls.
    pub fn outbound(&self, from: RouteKey, min: f64) -> Vec<RouteKey> {
        let outbound = self.ratios(from).filter(|(_, ratio)| *ratio >= min);
        outbound.map(|(to, _)| to).collect()
    }

    /// Price of the outbound calls of one call on `from`.
    pub fn price(&self, from: RouteKey, price_of: impl Fn(RouteKey) -> f64) -> f64 {
        let outbound = self.ratios(from);
        outbound.map(|(to, ratio)| ratio * price_of(to)).sum()
    }

    /// Adds this window to the sums and resets its counts.
    fn update_sums(&mut self) {
        for sum in self
            .products
            .values_mut()
            .chain(self.responses.values_mut())
        {
            *sum *= RETENTION;
        }
        for (one, count) in &self.inbound {
            for (other, other_count) in &self.inbound {
                *self.products.entry((*one, *other)).or_default() += count * other_count;
            }
            for (outbound, calls) in &self.outbound {
                *self.responses.entry((*one, *outbound)).or_default() += count * calls;
            }
        }
        self.products.retain(|_, sum| *sum > MIN_SUM);
        self.responses.retain(|_, sum| *sum > MIN_SUM);
        self.inbound.clear();
        self.outbound.clear();
    }

    /// Fits the ratio of each inbound route to `outbound`, with the other
    /// ratios fixed.
    fn sweep(&mut self, from: &[RouteKey], outbound: RouteKey) {
        for one in from {
            let others = from.iter().filter(|other| *other != one);
            let explained = others
                .map(|other| self.product(*one, *other) * self.ratio(*other, outbound))
                .sum::<f64>();
            let response = self
                .responses
                .get(&(*one, outbound))
                .copied()
                .unwrap_or(0.0);
            let ratio = (response - explained) / self.product(*one, *one);
            self.ratios.insert((*one, outbound), ratio.max(0.0));
        }
    }

    fn product(&self, one: RouteKey, other: RouteKey) -> f64 {
        self.products.get(&(one, other)).copied().unwrap_or(0.0)
    }
}

/// Time constant over which reported prices are smoothed, in seconds.
const SMOOTHING_S: f64 = 0.4;
/// Smallest weight of a newly reported price.
const MIN_WEIGHT: f64 = 0.1;
/// Time without a response after which a price decays without reports. An
/// ingress that refuses a route receives no reports, and would otherwise refuse
/// it even after its services have recovered.
const STALE_AFTER: Duration = Duration::from_millis(500);
/// Half-life of a stale price, in seconds.
const HALF_LIFE_S: f64 = 0.5;
/// Rate at which prices are expected to fall once the load falls, in natural
/// logarithms per second.
const DECAY_PER_S: f64 = 1.5;
/// Shortest mean delay until a refused request should be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Share of a route's requests that is admitted at any price, so that no route
/// starves.
const MIN_SHARE: f64 = 0.12;
/// Bounds of the factor by which an account's load scales the worth of its
/// requests.
const FAIRNESS_BOUNDS: std::ops::RangeInclusive<f64> = 0.6..=1.6;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    price: f64,
    updated: Moment,
}

/// Prices of routes as reported to one daemon.
#[derive(Clone, Debug, Default)]
pub struct Table {
    routes: IndexMap<RouteKey, Estimate>,
}

impl Table {
    /// Records the price that the response to a call carried.
    pub fn observe(&mut self, route: RouteKey, price: f64, now: Moment) {
        let current = self.price(route, now);
        let last = self.routes.get(&route);
        let since = last.map_or(f64::MAX, |last| now.since(last.updated).as_secs_f64());
        let weight = (1.0 - (-since / SMOOTHING_S).exp()).max(MIN_WEIGHT);
        let estimate = Estimate {
            price: current + weight * (price.min(MAX_CALL_PRICE) - current),
            updated: now,
        };
        self.routes.insert(route, estimate);
    }

    /// Price of a request on `route`, zero if unknown.
    pub fn price(&self, route: RouteKey, now: Moment) -> f64 {
        self.routes.get(&route).map_or(0.0, |estimate| {
            let stale = now.since(estimate.updated).saturating_sub(STALE_AFTER);
            estimate.price * 0.5f64.powf(stale.as_secs_f64() / HALF_LIFE_S)
        })
    }

    /// Expected time until the price of a route falls to the worth of its
    /// requests, scaled by 0.7 to 1.3 according to `draw`, uniform in 0..1.
    pub fn retry_after(
        &self,
        route: RouteKey,
        priority: Priority,
        draw: f64,
        now: Moment,
    ) -> Duration {
        let excess = (self.price(route, now) / worth(priority)).max(1.0).ln();
        let spread = 0.7 + 0.6 * draw;
        (MIN_RETRY_AFTER + Duration::from_secs_f64(excess / DECAY_PER_S)).mul_f64(spread)
    }

    /// Share of the requests to admit, at least 0.12. `load` is the
    /// account's load relative to the mean over accounts.
    pub fn share(&self, route: RouteKey, priority: Priority, load: f64, now: Moment) -> f64 {
        let price = self.price(route, now);
        if price <= 0.0 {
            return 1.0;
        }
        let fairness = load.max(1e-3).powf(-0.5);
        let worth =
            worth(priority) * fairness.clamp(*FAIRNESS_BOUNDS.start(), *FAIRNESS_BOUNDS.end());
        // The worth is multiplied by a random factor whose logarithm is
        // uniform over -1..1; the share is the probability that the product
        // exceeds the price.
        let share = f64::midpoint((worth / price).ln(), 1.0);
        share.clamp(MIN_SHARE, 1.0)
    }
}

/// Worth of a request of this priority, in the unit of prices.
const fn worth(priority: Priority) -> f64 {
    match priority {
        Priority::Critical => 8.0,
        Priority::High => 4.0,
        Priority::Normal => 1.0,
        Priority::Low => 0.5,
    }
}
