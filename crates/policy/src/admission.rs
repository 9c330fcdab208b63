//! Load shedding at the ingress, by levels that downstream services report.
//!
//! Requests are ordered by [`Rank`]: first by priority, then by the recent load
//! of their client account. The daemon in front of an overloaded target lowers
//! the target's [`Level`] to what the target can serve. Every response carries
//! the lowest level along its call chain. The ingress refuses requests that
//! rank above the level of their route before any hop spends work on them. The
//! scheme follows DAGOR (Zhou and others, 2018). Within a priority it orders
//! requests by the account's share of the load instead of by a hash, so that
//! the heaviest accounts are cut first and a light account is not refused on
//! their behalf.

mod level;
mod rank;
mod usage;

use std::collections::HashMap;
use std::time::Duration;

pub use level::{ADMIT_ALL, Controller, Level};
pub use rank::Rank;
pub use usage::Usage;

use crate::key::{AccountKey, Priority, RouteKey};
use crate::moment::Moment;
use crate::reservation::Shedding;

/// Weight of a newly reported level in the smoothed level of a route.
const SMOOTHING: f32 = 0.2;
/// Time without a response after which a level rises without reports. An
/// ingress that refuses every request receives no reports, and would otherwise
/// refuse them even after the services have recovered.
const STALE_AFTER: Duration = Duration::from_millis(500);
/// Ranks per second by which a stale level rises.
const RECOVERY_PER_S: f32 = 64.0;
/// Steps in which the share of admitted requests is computed.
const SHARE_STEPS: u32 = 1_000;

/// How the ingress sheds load. The methods other than `Levels` serve as
/// baselines for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// By the levels that responses carry.
    Levels,
    /// By the ratio of accepted to offered requests, as in the client-side
    /// throttling of the Google SRE book.
    AcceptRatio,
    /// Admits every request.
    None,
}

/// State of one route at the ingress.
#[derive(Clone, Copy, Debug)]
struct Route {
    level: f32,
    updated: Moment,
    /// Requests offered, halved together with `accepted` when it exceeds a
    /// bound, so that older requests lose weight.
    offered: f64,
    accepted: f64,
}

/// A request at the ingress.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Route that the request matched.
    pub route: RouteKey,
    /// Client account that the request's API key belongs to.
    pub account: AccountKey,
    /// Priority of the route.
    pub priority: Priority,
    /// Uniform random number in 0..1, which spreads an account's requests over
    /// ranks.
    pub draw: f64,
}

/// Admission control at one ingress, for all routes.
#[derive(Debug)]
pub struct Admission {
    method: Method,
    routes: HashMap<RouteKey, Route>,
    usage: Usage,
}

impl Admission {
    /// Admits every request until a level is reported.
    pub fn new(method: Method) -> Self {
        Self {
            method,
            routes: HashMap::new(),
            usage: Usage::default(),
        }
    }

    /// Decides on a request and returns its rank if it is admitted.
    pub fn admit(&mut self, request: &Request, now: Moment) -> Option<Rank> {
        let (rank, shedding) = self.decide(request, now);
        (shedding != Shedding::Refused).then_some(rank)
    }

    /// Decides on a request and returns its rank in any case.
    pub fn decide(&mut self, request: &Request, now: Moment) -> (Rank, Shedding) {
        let load = self.usage.record(request.account, now);
        let route = self.routes.entry(request.route);
        let route = route.or_insert_with(|| Route::new(now));
        let rank = Rank::new(request.priority, load * request.draw);
        let shedding = if route.admit(self.method, request, load, now).is_none() {
            Shedding::Refused
        } else if route.level(now) < ADMIT_ALL {
            Shedding::Admitted
        } else {
            Shedding::Inactive
        };
        (rank, shedding)
    }

    /// Share of such requests that are admitted now, over all values of
    /// [`Request::draw`], which is ignored. Changes nothing.
    pub fn share(&self, request: &Request, now: Moment) -> f64 {
        let load = self.usage.preview(request.account, now);
        let route = self.routes.get(&request.route).copied();
        let route = route.unwrap_or_else(|| Route::new(now));
        let is_admitted = |step: &u32| {
            let draw = (f64::from(*step) + 0.5) / f64::from(SHARE_STEPS);
            let request = Request { draw, ..*request };
            // The copy takes the decision.
            let mut route = route;
            route.admit(self.method, &request, load, now).is_some()
        };
        let admitted = (0..SHARE_STEPS).filter(is_admitted).count();
        admitted as f64 / f64::from(SHARE_STEPS)
    }

    /// Records the end of an admitted request: the lowest level reported along
    /// its call chain, if any, and whether a service shed it. Ignores routes
    /// without an earlier request.
    pub fn observe(&mut self, route: RouteKey, level: Option<Level>, shed: bool, now: Moment) {
        let Some(route) = self.routes.get_mut(&route) else {
            return;
        };
        route.accepted += f64::from(u8::from(!shed));
        if let Some(level) = level {
            let current = route.level(now).0;
            route.level = current + SMOOTHING * (level.0 - current);
            route.updated = now;
        }
    }

    /// Level in force for a route.
    pub fn level(&self, route: RouteKey, now: Moment) -> Level {
        self.routes
            .get(&route)
            .map_or(ADMIT_ALL, |route| route.level(now))
    }

    /// Delay until a refused caller should retry: 0.5 s to 1.5 s, twice that
    /// while the level of the route is lowered. `draw`, uniform in 0..1,
    /// spreads the retries of refused callers so that they do not coincide.
    pub fn retry_after(&self, route: RouteKey, draw: f64, now: Moment) -> Duration {
        let overloaded = self.level(route, now) < ADMIT_ALL;
        let base = if overloaded { 2.0 } else { 1.0 };
        Duration::from_secs_f64(base * (0.5 + draw))
    }
}

impl Route {
    const fn new(now: Moment) -> Self {
        Self {
            level: ADMIT_ALL.0,
            updated: now,
            offered: 0.0,
            accepted: 0.0,
        }
    }

    /// Decides on a request of an account with this load relative to the mean.
    fn admit(&mut self, method: Method, request: &Request, load: f64, now: Moment) -> Option<Rank> {
        let rank = Rank::new(request.priority, load * request.draw);
        let admitted = match method {
            Method::None => true,
            Method::AcceptRatio => self.admits_by_ratio(request.draw),
            Method::Levels => self.level(now).admits(rank),
        };
        admitted.then_some(rank)
    }

    fn level(&self, now: Moment) -> Level {
        let stale = now.since(self.updated).saturating_sub(STALE_AFTER);
        Level((self.level + RECOVERY_PER_S * stale.as_secs_f32()).min(ADMIT_ALL.0))
    }

    fn admits_by_ratio(&mut self, draw: f64) -> bool {
        const MULTIPLIER: f64 = 1.5;
        const HALVE_AT: f64 = 200.0;
        self.offered += 1.0;
        if self.offered > HALVE_AT {
            self.offered *= 0.5;
            self.accepted *= 0.5;
        }
        let excess = self.offered - MULTIPLIER * self.accepted;
        draw >= excess / (self.offered + 1.0)
    }
}
