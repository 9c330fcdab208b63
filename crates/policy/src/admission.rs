//! Shedding at the ingress, steered by marks from the services below.
//!
//! The daemon beside a pressed target marks the answers that waited too
//! long; a mark travels up the chain with the answer. The ingress keeps one
//! admitted rate per route and lowers it by the share of marked answers, as
//! DCTCP lowers its window. Which requests make up that rate is decided by
//! rank: priority first, then the client account's use, so that the cut
//! falls on the heaviest accounts of the lowest priority.

mod rate;
mod usage;

use std::collections::HashMap;
use std::time::Duration;

pub use rate::{Config, Rate};
use usage::Usage;

use crate::key::{AccountKey, Priority, RouteKey};
use crate::moment::Moment;

/// Steps within one priority. Eight steps double an account's weight.
const STEPS: usize = 128;
/// Steps that double the weight.
const STEPS_PER_OCTAVE: f64 = 8.0;
/// Step of a request with the weight one.
const MIDDLE_STEP: f64 = 64.0;
/// Ranks over all priorities.
const RANKS: usize = STEPS * Priority::ALL.len();
/// Share of the histogram kept from one window to the next.
const KEEP: f64 = 0.8;

/// How the ingress sheds; the alternatives stay for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Admitted rate steered by marks, cut by rank.
    Marks,
    /// Probability from the ratio of accepted to offered requests, as in
    /// the Google SRE book's client-side throttling.
    AcceptRatio,
    /// Everything is admitted.
    None,
}

/// Requests offered and accepted by the services below, halved with time.
#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    offered: f64,
    accepted: f64,
}

/// One route's admission at this ingress.
#[derive(Debug)]
struct Route {
    rate: Rate,
    /// Offered requests by rank over the recent windows.
    histogram: Box<[f64; RANKS]>,
    /// Ranks below it are admitted.
    cut: usize,
    /// Share of the requests of rank `cut` that is admitted.
    cut_share: f64,
    ratio: Ratio,
}

/// Admission at the ingress, for every route.
#[derive(Debug)]
pub struct Admission {
    method: Method,
    config: Config,
    routes: HashMap<RouteKey, Route>,
    usage: Usage,
}

/// A request at the ingress.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Route that it matched.
    pub route: RouteKey,
    /// Client account whose key came with it.
    pub account: AccountKey,
    /// Priority of the route.
    pub priority: Priority,
    /// Uniform in 0..1; spreads an account's requests over its steps.
    pub draw: f64,
}

impl Admission {
    /// Admits everything until marks arrive.
    pub fn new(method: Method, config: Config) -> Self {
        Self {
            method,
            config,
            routes: HashMap::new(),
            usage: Usage::default(),
        }
    }

    /// Decides on a request.
    pub fn admit(&mut self, request: &Request, now: Moment) -> bool {
        let weight = self.usage.count(request.account, now) * request.draw;
        let route = self.routes.entry(request.route).or_insert_with(Route::new);
        match self.method {
            Method::None => true,
            Method::AcceptRatio => route.admit_by_ratio(request.draw),
            Method::Marks => {
                let rank = rank_of(request.priority, weight);
                route.histogram[rank] += 1.0;
                route.turn_window(&self.config, now);
                route.admit_by_rank(rank, request.draw)
            }
        }
    }

    /// Takes in the outcome of an admitted request: whether a service below
    /// marked or shed it.
    pub fn observe(&mut self, route: RouteKey, marked: bool, shed: bool, now: Moment) {
        let route = self.routes.entry(route).or_insert_with(Route::new);
        route.ratio.accepted += f64::from(u8::from(!shed));
        route.rate.observe(marked || shed);
        route.turn_window(&self.config, now);
    }

    /// Requests a second that a route admits, `None` while it is open.
    pub fn limit(&self, route: RouteKey) -> Option<f64> {
        self.routes.get(&route)?.rate.limit()
    }

    /// Wait before a refused caller should come back, spread by `draw`.
    pub fn retry_after(&self, route: RouteKey, draw: f64) -> Duration {
        let pressed = self.limit(route).is_some();
        let base = if pressed { 2.0 } else { 0.5 };
        Duration::from_secs_f64(base * (0.5 + draw))
    }
}

impl Route {
    fn new() -> Self {
        Self {
            rate: Rate::default(),
            histogram: Box::new([0.0; RANKS]),
            cut: RANKS,
            cut_share: 1.0,
            ratio: Ratio::default(),
        }
    }

    fn admit_by_ratio(&mut self, draw: f64) -> bool {
        const MULTIPLIER: f64 = 1.5;
        const HALVE_AT: f64 = 2_000.0;
        self.ratio.offered += 1.0;
        if self.ratio.offered > HALVE_AT {
            self.ratio.offered *= 0.5;
            self.ratio.accepted *= 0.5;
        }
        let excess = self.ratio.offered - MULTIPLIER * self.ratio.accepted;
        draw >= excess / (self.ratio.offered + 1.0)
    }

    fn admit_by_rank(&mut self, rank: usize, draw: f64) -> bool {
        let admitted = match rank.cmp(&self.cut) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => (draw * 1024.0).fract() < self.cut_share,
            std::cmp::Ordering::Greater => false,
        };
        if admitted {
            self.rate.count_admitted();
        }
        admitted
    }

    fn turn_window(&mut self, config: &Config, now: Moment) {
        if !self.rate.turn_window(config, now) {
            return;
        }
        self.place_cut(config);
        self.histogram.iter_mut().for_each(|count| *count *= KEEP);
    }

    /// Sets the cut where the offered requests below it make up the limit.
    fn place_cut(&mut self, config: &Config) {
        self.cut = RANKS;
        let Some(limit) = self.rate.limit() else {
            return;
        };
        // The histogram is a geometric sum of windows.
        let windows = 1.0 / (1.0 - KEEP);
        let mut left = limit * config.window.as_secs_f64() * windows;
        for (rank, count) in self.histogram.iter().enumerate() {
            if *count > left {
                self.cut = rank;
                self.cut_share = left / *count;
                return;
            }
            left -= count;
        }
    }
}

/// Rank of a request: the smaller, the later it is shed. Admitting the
/// weights below a threshold gives each account the lesser of its load and
/// one common bound, which is max-min fairness.
fn rank_of(priority: Priority, weight: f64) -> usize {
    let octaves = weight.max(1e-9).log2();
    let step = (MIDDLE_STEP + STEPS_PER_OCTAVE * octaves).clamp(0.0, (STEPS - 1) as f64);
    priority.index() * STEPS + step as usize
}
