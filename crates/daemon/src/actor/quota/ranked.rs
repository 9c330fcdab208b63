//! Lender slots held by rank among the members of a failure domain.
//!
//! No store is asked: the members of a failure domain order themselves by
//! their names, and the first hold its slots. A daemon that has just risen
//! to a slot waits until the one before it can no longer serve requests with
//! keys, and starts with no tokens.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::Event;
use cardamomshed_policy::Moment;
use cardamomshed_policy::quota::Lease;

use crate::http::announce;
use crate::node::Node;
use crate::sync::lock;

/// Time between two looks at the members.
pub(super) const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Time for which a slot stays held without another look.
const HELD_FOR: Duration = Duration::from_secs(3);
/// Time after a rise in rank at which the slots are taken over.
const TAKE_OVER_AFTER: Duration = Duration::from_millis(1_000);

/// Since when this daemon's rank entitles it to each slot, by number.
#[derive(Debug, Default)]
pub(super) struct Holding {
    risen: Vec<Option<Moment>>,
}

impl Holding {
    /// Takes over and gives up slots as the members are now.
    pub(super) fn update(&mut self, node: &Arc<Node>) {
        let now = node.clock.now();
        let slots = usize::from(node.lookup().config.limits.lender_slots);
        let rank = rank(node);
        let live = members(node);
        self.risen.resize(slots, None);
        let mut changed = false;
        for number in 0..slots {
            // With fewer members than slots the slots go round.
            let entitled = !node.is_leaving() && number % live == rank;
            let since = &mut self.risen[number];
            if !entitled {
                *since = None;
                changed |= lock(&node.lenders).remove(&(number as u16)).is_some();
                continue;
            }
            let since = *since.get_or_insert(now);
            if now.since(since) < TAKE_OVER_AFTER {
                continue;
            }
            let lease = Lease {
                until: now + HELD_FOR,
            };
            let mut lenders = lock(&node.lenders);
            changed |= !lenders.contains_key(&(number as u16));
            lenders.entry(number as u16).or_default().set_lease(lease);
        }
        if changed {
            let held = lock(&node.lenders).keys().copied().collect::<Vec<_>>();
            node.note_event(
                Event::ShareLeased,
                format_args!("slots={held:?} rank={rank} members={live}"),
            );
            super::set_shares(node);
            announce::publish(node);
        }
    }
}

/// Members of the own failure domain, this one among them.
fn members(node: &Node) -> usize {
    let fleet = lock(&node.fleet);
    let domain = &fleet.own().profile.domain;
    let near = fleet
        .members()
        .filter(|record| record.state.takes_part() && record.profile.domain == *domain);
    near.count() + 1
}

/// Members of the own failure domain that come before this one.
fn rank(node: &Node) -> usize {
    let order = |name: &str| {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        hasher.finish()
    };
    let own = order(&node.name);
    let fleet = lock(&node.fleet);
    let domain = &fleet.own().profile.domain;
    fleet
        .members()
        .filter(|record| record.state.takes_part() && record.profile.domain == *domain)
        .filter(|record| order(&record.name) < own)
        .count()
}
