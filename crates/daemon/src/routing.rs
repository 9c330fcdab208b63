//! What this daemon knows of services and of the price of calls to them.

use std::collections::HashMap;
use std::sync::Mutex;

use cardamomshed_policy::RouteKey;
use cardamomshed_policy::admission::{self, Admission};
use cardamomshed_policy::price;
use cardamomshed_policy::rotation::Rotation;
use cardamomshed_policy::route::ByteBudget;

use crate::service::Services;

/// What this daemon knows of services and of the price of calls to them.
#[derive(Debug)]
pub struct Routing {
    /// Services and their targets.
    pub services: Services,
    /// Turns of the services that share a route.
    pub rotations: Mutex<HashMap<RouteKey, Rotation>>,
    /// Bytes left for the slow link.
    pub slow_link: Mutex<ByteBudget>,
    /// Prices of routes, and what calls on the target beside cause.
    pub prices: Mutex<Prices>,
    /// Shedding at the ingress.
    pub admission: Mutex<Admission>,
}

/// Prices as this daemon knows them.
#[derive(Debug, Default)]
pub struct Prices {
    /// Prices of routes, from the ends of calls.
    pub book: price::Table,
    /// Calls that the target beside this daemon makes.
    pub chain: price::Fanout,
    /// Load of each client account at this ingress.
    pub usage: admission::Usage,
}
