//! Shedding at the ingress, by levels that come from the services below.
//!
//! Requests are ordered by [`Rank`]: priority first, then the client
//! account's use. The daemon beside a pressed target lowers its [`Level`] to
//! what its target can serve, and every answer carries the lowest level
//! along its call chain. The ingress refuses what ranks above the level of
//! its route before any hop spends work on it. The form is that of
//! DAGOR (Zhou and others, 2018); here the order within a priority comes from the account's share of
//! the load instead of a hash, so that the cut falls on the heaviest
//! accounts first and a light one is not refused because of them.

mod level;
mod rank;
mod usage;

use std::collections::HashMap;
use std::time::Duration;

pub use level::{Level, OPEN, Steering};
pub use rank::Rank;
pub use usage::Usage;

use crate::key::{AccountKey, Priority, RouteKey};
use crate::moment::Moment;

/// Weight of a newly told level.
const LEARN: f32 = 0.2;
/// Time without an answer after which a level rises by itself, so that an
/// ingress that refuses everything finds out when the services are well.
const SILENCE: Duration = Duration::from_millis(500);
/// Ranks by which it then rises in a second.
const RISE: f32 = 64.0;

/// How the ingress sheds; the alternatives stay for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// By the levels that come with the answers.
    Levels,
    /// By the ratio of accepted to offered requests, as in the Google SRE
    /// book's client-side throttling.
    AcceptRatio,
    /// Everything is admitted.
    None,
}

/// What an ingress knows of the services behind one route.
#[derive(Clone, Copy, Debug)]
struct Route {
    level: f32,
    told: Moment,
    /// Requests offered and accepted, halved now and then.
    offered: f64,
    accepted: f64,
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
    /// Uniform in 0..1; spreads an account's requests over ranks.
    pub draw: f64,
}

/// Admission at the ingress, for every route.
#[derive(Debug)]
pub struct Admission {
    method: Method,
    routes: HashMap<RouteKey, Route>,
    usage: Usage,
}

impl Admission {
    /// Admits everything until told otherwise.
    pub fn new(method: Method) -> Self {
        Self {
            method,
            routes: HashMap::new(),
            usage: Usage::default(),
        }
    }

    /// Decides on a request; gives its rank if it is admitted.
    pub fn admit(&mut self, request: &Request, now: Moment) -> Option<Rank> {
        let share = self.usage.count(request.account, now);
        let rank = Rank::new(request.priority, share * request.draw);
        let route = self.routes.entry(request.route).or_insert(Route {
            level: OPEN.0,
            told: now,
            offered: 0.0,
            accepted: 0.0,
        });
        let admitted = match self.method {
            Method::None => true,
            Method::AcceptRatio => route.admits_by_ratio(request.draw),
            Method::Levels => route.level(now).admits(rank),
        };
        admitted.then_some(rank)
    }

    /// Takes in the end of an admitted request: the lowest level along its
    /// chain, if one was told, and whether a service shed it.
    pub fn observe(&mut self, route: RouteKey, level: Option<Level>, shed: bool, now: Moment) {
        let Some(route) = self.routes.get_mut(&route) else {
            return;
        };
        route.accepted += f64::from(u8::from(!shed));
        if let Some(level) = level {
            let current = route.level(now).0;
            route.level = current + LEARN * (level.0 - current);
            route.told = now;
        }
    }

    /// Level in force for a route.
    pub fn level(&self, route: RouteKey, now: Moment) -> Level {
        self.routes
            .get(&route)
            .map_or(OPEN, |route| route.level(now))
    }

    /// Wait after which a refused caller should come back, spread by `draw`
    /// so that refused callers do not return together.
    pub fn retry_after(&self, route: RouteKey, draw: f64, now: Moment) -> Duration {
        let pressed = self.level(route, now) < OPEN;
        let base = if pressed { 2.0 } else { 1.0 };
        Duration::from_secs_f64(base * (0.5 + draw))
    }
}

impl Route {
    fn level(&self, now: Moment) -> Level {
        let silent = now.since(self.told).saturating_sub(SILENCE);
        Level((self.level + RISE * silent.as_secs_f32()).min(OPEN.0))
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
