//! Shedding at the ingress by the price of a request's whole chain.
//!
//! Answers the load in which a service deep in a call graph is the tightest
//! and requests of different routes cost it very different amounts, while
//! calls carry no mark of the request that they belong to. Each daemon
//! raises a price for a second of its target while calls queue there. The
//! price of a call is its time on the target at that price, plus the prices
//! of the calls that it makes in turn, by a ratio learned from counts. Prices
//! travel with answers, hop by hop, so that an ingress knows what a request
//! costs where it is tight without knowing the graph. It admits requests
//! whose worth, by priority, exceeds their price.
//!
//! The form is that of congestion prices in network utility maximization
//! (Kelly, Maulloo and Tan, 1998).

use std::time::Duration;

use indexmap::IndexMap;

use crate::key::{Priority, RouteKey};
use crate::moment::Moment;

/// Time between two changes of a price.
const WINDOW: Duration = Duration::from_millis(100);
/// Smallest price above zero, for one second of a target.
const FLOOR: f64 = 0.05;
/// Price of a call at which even the most important requests are refused;
/// higher ones would only take time to fall.
const CEILING: f64 = 24.0;
/// Calls per slot, running or waiting, above which the price rises.
const PRESSED: f64 = 1.0;
/// Calls per slot below which it falls.
const RELAXED: f64 = 0.85;
/// Largest growth of the price in one window.
const MAX_GROWTH: f64 = 0.25;
/// Growth for each call per slot beyond [`PRESSED`].
const GROWTH: f64 = 0.15;
/// Growth for the share of calls that had to be shed.
const SHED_GROWTH: f64 = 0.25;
/// Part of the price that an idle target loses in one window.
const DECAY: f64 = 0.25;

/// Price of a second of one target.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Zero while the target has room.
    price: f64,
    window_start: Moment,
    arrived: u32,
    shed: u32,
}

impl Meter {
    /// Counts a call that arrived.
    pub const fn arrived(&mut self) {
        self.arrived += 1;
    }

    /// Counts a call that was shed for want of room.
    pub const fn shed(&mut self) {
        self.shed += 1;
    }

    /// Price of a second.
    pub const fn price(&self) -> f64 {
        self.price
    }

    /// Changes the price once a window has passed. `load` is the number of
    /// calls per slot that run or wait, `service_time` the mean time of a
    /// call on the target.
    pub fn tick(&mut self, load: f64, service_time: Duration, now: Moment) {
        if now.since(self.window_start) < WINDOW {
            return;
        }
        let shed = f64::from(self.shed) / f64::from(self.arrived.max(1));
        if load > PRESSED || self.shed > 0 {
            let growth = GROWTH * (load - PRESSED).max(0.0) + SHED_GROWTH * shed.min(1.0);
            let growth = growth.min(MAX_GROWTH);
            let most = CEILING / service_time.as_secs_f64().max(1e-3);
            self.price = (self.price.max(FLOOR) * (1.0 + growth)).min(most);
        } else if load < RELAXED {
            self.price *= 1.0 - DECAY * (RELAXED - load) / RELAXED;
            if self.price < FLOOR {
                self.price = 0.0;
            }
        }
        self.window_start = now;
        self.arrived = 0;
        self.shed = 0;
    }
}

/// Time over which calls and the calls that they make are compared.
const CHAIN_WINDOW: Duration = Duration::from_millis(500);
/// What the sums over earlier windows keep with each further one; the memory
/// is about sixteen seconds.
const MEMORY: f64 = 0.97;
/// Sum below which a route is forgotten.
const FORGET: f64 = 0.01;
/// Sweeps over the ratios in one window.
const SWEEPS: usize = 8;

/// Calls that the calls on one target make in turn, by route.
///
/// The ratios are the non-negative least squares fit of the calls made to
/// the calls started, window by window, found by coordinate descent.
#[derive(Clone, Debug, Default)]
pub struct Chain {
    /// Calls that started here in this window, by route.
    started: IndexMap<RouteKey, f64>,
    /// Calls that the target made in this window, by route.
    made: IndexMap<RouteKey, f64>,
    /// Remembered products of the numbers of two routes' started calls.
    products: IndexMap<(RouteKey, RouteKey), f64>,
    /// The same of a route's started calls and of another's made calls.
    responses: IndexMap<(RouteKey, RouteKey), f64>,
    /// Calls made for each started one; not below zero.
    ratios: IndexMap<(RouteKey, RouteKey), f64>,
    window_start: Moment,
}

impl Chain {
    /// Counts a call that started on the target.
    pub fn started(&mut self, route: RouteKey) {
        *self.started.entry(route).or_default() += 1.0;
    }

    /// Counts a call that the target made.
    pub fn made(&mut self, route: RouteKey) {
        *self.made.entry(route).or_default() += 1.0;
    }

    /// Fits the ratios once a window has passed.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.window_start) < CHAIN_WINDOW {
            return;
        }
        self.window_start = now;
        self.remember();
        let from = self.products.keys().filter(|(one, other)| one == other);
        let from = from.map(|(route, _)| *route).collect::<Vec<_>>();
        let mut to = self.responses.keys().map(|(_, to)| *to).collect::<Vec<_>>();
        to.sort_unstable();
        to.dedup();
        for made in &to {
            for _ in 0..SWEEPS {
                self.sweep(&from, *made);
            }
        }
        self.ratios
            .retain(|(one, made), _| from.contains(one) && to.contains(made));
    }

    /// Calls on `to` that one call on `from` makes.
    pub fn ratio(&self, from: RouteKey, to: RouteKey) -> f64 {
        self.ratios.get(&(from, to)).copied().unwrap_or(0.0)
    }

    /// Price of the calls that one call on `from` makes.
    pub fn price(&self, from: RouteKey, price_of: impl Fn(RouteKey) -> f64) -> f64 {
        let own = self.ratios.iter().filter(|((route, _), _)| *route == from);
        own.map(|((_, to), ratio)| ratio * price_of(*to)).sum()
    }

    /// Takes this window into the sums.
    fn remember(&mut self) {
        for sum in self
            .products
            .values_mut()
            .chain(self.responses.values_mut())
        {
            *sum *= MEMORY;
        }
        for (one, count) in &self.started {
            for (other, beside) in &self.started {
                *self.products.entry((*one, *other)).or_default() += count * beside;
            }
            for (made, calls) in &self.made {
                *self.responses.entry((*one, *made)).or_default() += count * calls;
            }
        }
        self.products.retain(|_, sum| *sum > FORGET);
        self.responses.retain(|_, sum| *sum > FORGET);
        self.started.clear();
        self.made.clear();
    }

    /// Fits the ratio of each route to `made`, the others held.
    fn sweep(&mut self, from: &[RouteKey], made: RouteKey) {
        for one in from {
            let others = from.iter().filter(|other| *other != one);
            let explained = others
                .map(|other| self.product(*one, *other) * self.ratio(*other, made))
                .sum::<f64>();
            let response = self.responses.get(&(*one, made)).copied().unwrap_or(0.0);
            let ratio = (response - explained) / self.product(*one, *one);
            self.ratios.insert((*one, made), ratio.max(0.0));
        }
    }

    fn product(&self, one: RouteKey, other: RouteKey) -> f64 {
        self.products.get(&(one, other)).copied().unwrap_or(0.0)
    }
}

/// Time over which told prices are smoothed, in seconds.
const SMOOTHING: f64 = 0.4;
/// Smallest weight of a newly told price.
const LEAST_WEIGHT: f64 = 0.1;
/// Time without an answer after which a price falls by itself, so that an
/// ingress that refuses a route finds out when its services are well.
const SILENCE: Duration = Duration::from_millis(500);
/// Time in which it then halves.
const HALVING: f64 = 0.5;
/// Rate, in natural logarithms a second, at which prices fall once the load
/// does.
const FALL_PER_SECOND: f64 = 1.5;
/// Shortest time after which a refused request should come back.
const SOONEST: Duration = Duration::from_millis(250);
/// Share of a route's requests that is admitted whatever the price, so that
/// no route starves.
const LEAST_SHARE: f64 = 0.12;
/// Bounds of the factor by which an account's load changes the worth of its
/// requests.
const FAIRNESS: std::ops::RangeInclusive<f64> = 0.6..=1.6;

#[derive(Clone, Copy, Debug)]
struct Known {
    price: f64,
    told: Moment,
}

/// Prices of routes as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct Book {
    routes: IndexMap<RouteKey, Known>,
}

impl Book {
    /// Takes in the price that came with the end of a call.
    pub fn learn(&mut self, route: RouteKey, price: f64, now: Moment) {
        let current = self.price(route, now);
        let known = self.routes.get(&route);
        let since = known.map_or(f64::MAX, |known| now.since(known.told).as_secs_f64());
        let weight = (1.0 - (-since / SMOOTHING).exp()).max(LEAST_WEIGHT);
        let known = Known {
            price: current + weight * (price.min(CEILING) - current),
            told: now,
        };
        self.routes.insert(route, known);
    }

    /// Price of a request on a route.
    pub fn price(&self, route: RouteKey, now: Moment) -> f64 {
        self.routes.get(&route).map_or(0.0, |known| {
            let silent = now.since(known.told).saturating_sub(SILENCE);
            known.price * 0.5f64.powf(silent.as_secs_f64() / HALVING)
        })
    }

    /// Time until the price of a route is expected to have fallen to the worth
    /// of its requests, spread by `draw`, uniform in 0..1.
    pub fn room_after(
        &self,
        route: RouteKey,
        priority: Priority,
        draw: f64,
        now: Moment,
    ) -> Duration {
        let excess = (self.price(route, now) / worth(priority)).max(1.0).ln();
        let spread = 0.7 + 0.6 * draw;
        (SOONEST + Duration::from_secs_f64(excess / FALL_PER_SECOND)).mul_f64(spread)
    }

    /// Share of the requests that is admitted. `load` is the account's load
    /// as a multiple of the mean.
    pub fn share(&self, route: RouteKey, priority: Priority, load: f64, now: Moment) -> f64 {
        let price = self.price(route, now);
        if price <= 0.0 {
            return 1.0;
        }
        let fairness = load.max(1e-3).powf(-0.5);
        let worth = worth(priority) * fairness.clamp(*FAIRNESS.start(), *FAIRNESS.end());
        // Worth times a factor spread evenly, by its logarithm, over e^-1..e.
        let share = f64::midpoint((worth / price).ln(), 1.0);
        share.clamp(LEAST_SHARE, 1.0)
    }
}

/// Worth of a request by its priority, in the unit of prices.
const fn worth(priority: Priority) -> f64 {
    match priority {
        Priority::Critical => 8.0,
        Priority::High => 4.0,
        Priority::Normal => 1.0,
        Priority::Low => 0.5,
    }
}
