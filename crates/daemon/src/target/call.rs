//! Calls to the local target.

use std::time::Duration;

use cardamomshed_policy::admission::Rank;
use cardamomshed_policy::gate::{Offer, Ticket};
use cardamomshed_policy::{AccountKey, Moment, Priority, RouteKey};

/// End of a call to which the target responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered.
    Answered {
        /// Time on the target without the outbound calls that it made meanwhile.
        own_time: Duration,
    },
    /// The target rejected the call without running it.
    Rejected,
    /// The target failed.
    Failed,
}

/// Attributes of a call by which it is queued, shed and priced.
#[derive(Clone, Copy, Debug)]
pub struct Attributes<'a> {
    /// Service that the call is addressed to. The call is refused if the local
    /// target serves another one.
    pub service: &'a str,
    /// Route of the call. Service times and prices are kept by route.
    pub route: RouteKey,
    /// Client account of the root request.
    pub account: AccountKey,
    /// Priority of the root request.
    pub priority: Priority,
    /// Number of hops from the external caller.
    pub depth: u8,
    /// Rank of the root request in the shedding order.
    pub rank: Rank,
    /// Deadline of the call, which also bounds its wait.
    pub deadline: Moment,
}

impl Attributes<'_> {
    /// The call as it is offered to a gate or a window.
    pub const fn offer(&self, ticket: Ticket) -> Offer {
        Offer {
            ticket,
            account: self.account,
            route: self.route,
            priority: self.priority,
            depth: self.depth,
            deadline: self.deadline,
        }
    }
}

/// How an exchange with the target ended for its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// The target responded completely.
    Answered,
    /// The target broke the connection, or sent no valid response over it.
    Broken,
    /// The connection could not be opened.
    Unopened,
}

/// Limit on the calls to a cold target, from the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdLimit {
    /// Calls per second that a cold target sustains; zero for no limit.
    pub rate: f64,
    /// Calls in a second that are allowed beyond a multiple of the rate.
    pub slack: f64,
}
