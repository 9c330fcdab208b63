//! State of call routing and load shedding in one daemon.

use std::collections::HashMap;
use std::sync::Mutex;

use cardamomshed_policy::RouteKey;
use cardamomshed_policy::admission::{self, Admission};
use cardamomshed_policy::price;
use cardamomshed_policy::reservation::Schedule;
use cardamomshed_policy::rotation::Rotation;
use cardamomshed_policy::route::ByteBudget;

use crate::backpressure::Windows;
use crate::service::Services;
use crate::sync::lock;

/// Calls on a downstream route, per call on the target, from which that route's
/// window applies.
const MIN_DOWNSTREAM_CALLS: f64 = 0.5;

/// Targets, budgets and prices by which calls are routed and shed.
#[derive(Debug)]
pub struct Routing {
    /// Services and their targets.
    pub services: Services,
    /// Distribution of requests over the services that share a route.
    pub rotations: Mutex<HashMap<RouteKey, Rotation>>,
    /// Byte budget of calls over the slow link to other regions.
    pub slow_link: Mutex<ByteBudget>,
    /// Windows of the local target's calls by downstream route.
    pub windows: Windows,
    /// Prices of calls and the counts that they are computed from.
    pub prices: Mutex<Prices>,
    /// Admission control at the ingress by the levels in responses.
    pub admission: Mutex<Admission>,
    /// Capacity reserved at the ingress for refused requests that come back.
    pub reservations: Mutex<Schedule>,
}

/// Prices of call chains, and the loads that they are weighed against.
#[derive(Debug, Default)]
pub struct Prices {
    /// Prices of routes, as reported by the replies to calls.
    pub table: price::Table,
    /// Outbound calls of the local target per inbound call, by route.
    pub fanout: price::Fanout,
    /// Load of each client account at the ingress of this daemon.
    pub usage: admission::Usage,
    /// Calls that the local target is expected to make because it runs repeated
    /// calls, by route. They count as retries of the service that is called.
    repeats: HashMap<RouteKey, f64>,
}

impl Routing {
    /// Downstream routes whose windows apply to calls on this route.
    pub fn downstream(&self, route: RouteKey) -> Vec<RouteKey> {
        let prices = lock(&self.prices);
        prices.fanout.outbound(route, MIN_DOWNSTREAM_CALLS)
    }
}

impl Prices {
    /// Records that the local target runs a call on `route` again.
    pub fn record_repeat(&mut self, route: RouteKey) {
        for (outbound, ratio) in self.fanout.ratios(route) {
            *self.repeats.entry(outbound).or_default() += ratio;
        }
    }

    /// Takes the expected repeats of one call of the local target on `route`, at
    /// most one.
    pub fn take_repeat(&mut self, route: RouteKey) -> f64 {
        let Some(expected) = self.repeats.get_mut(&route) else {
            return 0.0;
        };
        let taken = expected.min(1.0);
        *expected -= taken;
        taken
    }
}
