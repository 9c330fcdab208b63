//! Capacity that the ingress reserves for refused requests that come back.

use std::fmt::Write;
use std::ops::RangeInclusive;
use std::time::Duration;

use cardamomshed_code::Ran;
use cardamomshed_policy::reservation::{Decision, Place, Schedule, Shedding};
use cardamomshed_policy::{AccountKey, Moment, RouteKey};

use crate::node::Node;
use crate::reply::Reply;
use crate::sync::lock;

/// Times at which a refused request may come back.
#[derive(Clone, Debug)]
pub(super) struct Return {
    pub(super) route: RouteKey,
    pub(super) account: AccountKey,
    /// Delays from now, in the order in which they are tried.
    pub(super) times: Vec<RangeInclusive<Duration>>,
}

impl Return {
    fn reserve(&self, schedule: &mut Schedule, now: Moment, draw: f64) -> Option<Place> {
        self.times.iter().find_map(|times| {
            let (earliest, latest) = (*times.start(), *times.end());
            schedule.reserve(self.route, self.account, earliest, latest, now, draw)
        })
    }
}

/// Decides on a request that load shedding has decided on, and redeems a reservation of
/// its account.
pub(super) fn admit(
    node: &Node,
    route: RouteKey,
    account: AccountKey,
    shedding: Shedding,
) -> Decision {
    let now = node.clock.now();
    let mut schedule = lock(&node.routing.reservations);
    let decision = schedule.admit(route, account, shedding, rand::random(), now);
    drop(schedule);
    if decision == Decision::Redeemed {
        count(node, "redeemed", 1);
    }
    decision
}

/// Records the reply to a request that load shedding admitted: its route has capacity if
/// the request was not refused.
pub(super) fn record_reply(node: &Node, route: RouteKey, reply: &Reply) {
    if matches!(reply, Reply::Refused(refused) if refused.ran == Ran::No) {
        return;
    }
    let now = node.clock.now();
    lock(&node.routing.reservations).record_admitted(route, now);
}

/// Reserves capacity for the return of a refused request. `None` if there is none.
pub(super) fn reserve(node: &Node, returning: &Return) -> Option<Place> {
    let now = node.clock.now();
    let mut schedule = lock(&node.routing.reservations);
    let place = returning.reserve(&mut schedule, now, rand::random());
    drop(schedule);
    count(node, if place.is_some() { "made" } else { "full" }, 1);
    place
}

/// Shortest and longest delay that [`reserve`] would now return, without a reservation.
pub(super) fn preview(node: &Node, returning: &Return) -> Option<(Duration, Duration)> {
    let now = node.clock.now();
    let schedule = lock(&node.routing.reservations).clone();
    let at = |draw| returning.reserve(&mut schedule.clone(), now, draw);
    let (low, high) = at(0.0).zip(at(1.0))?;
    Some((low.delay, high.delay))
}

/// Adds the expired reservations to the metric.
pub(super) fn count_expired(node: &Node) {
    let now = node.clock.now();
    let expired = lock(&node.routing.reservations).take_expired(now);
    count(node, "expired", expired);
}

/// Text that names the cause if a request that load shedding has admitted is refused.
pub(super) const fn cause(shedding: Shedding) -> &'static str {
    match shedding {
        Shedding::Refused => "",
        Shedding::Admitted | Shedding::Inactive => " repays an admission by reservation",
    }
}

/// Text that names the slot of a reservation in the log, empty without one.
pub(super) fn detail(place: Option<Place>) -> String {
    let mut text = String::new();
    if let Some(Place { delay, slot }) = place {
        let _ = write!(text, " slot={slot} retry_after_ms={}", delay.as_millis());
    }
    text
}

fn count(node: &Node, outcome: &str, count: u64) {
    let counters = &node.metrics.reservations;
    counters.with_label_values(&[outcome]).inc_by(count);
}
