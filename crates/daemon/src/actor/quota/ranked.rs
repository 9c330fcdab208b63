//! Lender slots held by rank among the members of a failure domain.
//!
//! No store is asked: the members of a failure domain are ordered by the hash
//! of their names, and the first live one holds the slot until it leaves or
//! fails. A daemon that takes a slot over starts with no tokens, since the
//! holder before it may just have handed out its last. Until a failure is
//! detected, two parts of a cut fleet may both lend an account's whole bound.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cardamomshed_code::Event;
use cardamomshed_policy::Moment;
use cardamomshed_policy::member::State;
use cardamomshed_policy::quota::{Lease, MILLION};

use super::bound::bound;
use crate::directory::order;
use crate::members::{members, publish, rank};
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Time between two looks at the members.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// The same after the start, when there may be no lender at all.
const FIRST_LOOKS: Duration = Duration::from_millis(50);
/// Time after the start in which two members of a failure domain may both
/// hold one slot, because neither knows of the other yet.
const OVERLAP: Duration = Duration::from_secs(4);
/// Part of an account's bound that is lent meanwhile.
const OVERLAP_SHARE: f64 = 0.75;
/// Time for which a slot stays held without another look.
const HELD_FOR: Duration = Duration::from_secs(3);
/// Time after a rise in rank at which the slots are taken over.
const TAKE_OVER_AFTER: Duration = Duration::from_millis(100);
/// Time after the start in which a daemon learns of the members.
const SETTLED_AFTER: Duration = Duration::from_millis(300);
/// Time after a pause of this process in which it hears who lends now.
const BARRED_FOR: Duration = Duration::from_secs(2);
/// Time after which a larger share comes into force. One lender has an account
/// whole, so that nobody else counts on the earlier division.
const RAISE_AFTER: Duration = Duration::ZERO;

/// Lender slots of each failure domain.
const SLOTS: u16 = 1;
/// Members whose part of a bound a lender hands out that is not the first.
const STAND_IN_MEMBERS: u32 = 1;

/// Since when this daemon's rank entitles it to each slot, by number.
#[derive(Debug, Default)]
pub(super) struct Holding {
    risen: Vec<Option<Moment>>,
}

impl Holding {
    /// Takes over and gives up slots as the members are now.
    pub(super) fn update(&mut self, node: &Arc<Node>) {
        let now = node.clock.now();
        let slots = usize::from(SLOTS);
        let rank = rank(node);
        let live = members(node);
        self.risen.resize(slots, None);
        let mut changed = false;
        for number in 0..slots {
            // With fewer members than slots the slots go round.
            let held = lock(&node.quota.lenders).contains_key(&(number as u16));
            let first = number % live == rank;
            let free = first && !held_elsewhere(node, number as u16);
            let resumed = *lock(&node.quota.resumed);
            let settled = now.since(Moment::ZERO) >= SETTLED_AFTER
                && resumed.is_none_or(|resumed| now.since(resumed) >= BARRED_FOR);
            let entitled = !node.life.is_leaving()
                && settled
                && if held {
                    keeps(node, number as u16)
                } else {
                    free
                };
            let since = &mut self.risen[number];
            if !entitled {
                *since = None;
                changed |= lock(&node.quota.lenders).remove(&(number as u16)).is_some();
                continue;
            }
            let since = *since.get_or_insert(now);
            if now.since(since) < TAKE_OVER_AFTER && has_lender(node) {
                continue;
            }
            let lease = Lease {
                until: now + HELD_FOR,
            };
            let mut lenders = lock(&node.quota.lenders);
            changed |= !lenders.contains_key(&(number as u16));
            lenders.entry(number as u16).or_default().set_lease(lease);
        }
        if changed {
            let held = lock(&node.quota.lenders)
                .keys()
                .copied()
                .collect::<Vec<_>>();
            node.note_event(
                Event::ShareLeased,
                format_args!("slots={held:?} rank={rank} members={live}"),
            );
            set_shares(node);
            publish(node);
        }
    }
}

/// Time until the next look at the members.
pub(super) fn look_every(node: &Node) -> Duration {
    if node.clock.now().since(Moment::ZERO) < OVERLAP {
        FIRST_LOOKS
    } else {
        LOOK_EVERY
    }
}

/// Whether any lender is known.
pub(super) fn has_lender(node: &Node) -> bool {
    !node.quota.directory.is_empty()
}

/// The lender to ask on this turn: the first by the account's own order, or a
/// later one where those before did not answer.
pub(super) fn lender(node: &Node, account: &str, turn: u8) -> Option<Peer> {
    let held = node.quota.directory.ranked(account);
    let place = usize::from(turn).min(held.len().checked_sub(1)?);
    held.get(place).map(|(_, lender)| lender.peer.clone())
}

/// Brings the shares held here in line with configuration and members.
///
/// The first lender of an account has its whole bound, less the part of the
/// members that have failed, so that the shares in the parts of a cut fleet add
/// up to the bound. Any other lends one member's part while the first does not
/// answer.
pub(super) fn set_shares(node: &Node) {
    let (live, known) = fleet_size(node);
    let now = node.clock.now();
    let mut whole = MILLION / known * live;
    if now.since(Moment::ZERO) < OVERLAP {
        whole = (f64::from(whole) * OVERLAP_SHARE) as u32;
    }
    log_whole(node, whole, live, known);
    let little = (MILLION / known * STAND_IN_MEMBERS).min(whole);
    let lookup = node.lookup();
    let mut kept = HashSet::new();
    let mut lenders = lock(&node.quota.lenders);
    for (name, account) in &lookup.config.accounts {
        let key = node.names.account(name);
        let first = node.quota.directory.ranked(name).into_iter().next();
        for (number, lender) in lenders.iter_mut() {
            let home = first.as_ref().is_some_and(|(slot, holder)| {
                slot.number == *number && holder.peer.node == node.name
            });
            let parts = if home { whole } else { little };
            let share = bound(account).share(parts);
            lender.set_share(key, share, RAISE_AFTER, now);
        }
        kept.insert(key);
    }
    for lender in lenders.values_mut() {
        lender.retain(|account| kept.contains(&account));
    }
}

/// Logs the part of each account that the first lender hands out, when it
/// changed.
fn log_whole(node: &Node, whole: u32, live: u32, known: u32) {
    let lends = !lock(&node.quota.lenders).is_empty();
    let before = node.quota.whole.swap(whole, Ordering::Relaxed);
    if lends && before != whole {
        node.note_event(
            Event::ShareResized,
            format_args!("millionths={whole} live={live} known={known}"),
        );
    }
}

/// Members that answer, and all that are remembered, this one among both.
fn fleet_size(node: &Node) -> (u32, u32) {
    let fleet = lock(&node.members.fleet);
    let mut live = 1;
    let mut known = 1;
    for record in fleet.members() {
        live += u32::from(record.state.is_active());
        known += u32::from(record.state != State::Left);
    }
    (live, known)
}

/// Other members of the own failure domain that hold a slot.
fn other_holders(node: &Node, number: u16) -> Vec<Arc<str>> {
    let fleet = lock(&node.members.fleet);
    let domain = &fleet.own().profile.domain;
    let holders = fleet.members().filter(|record| {
        record.state == State::Alive
            && record.profile.domain == *domain
            && record.profile.lender_slots.contains(&number)
    });
    holders.map(|record| Arc::clone(&record.name)).collect()
}

fn held_elsewhere(node: &Node, number: u16) -> bool {
    !other_holders(node, number).is_empty()
}

/// Whether this daemon goes on holding a slot: of two holders the first by
/// rank does.
fn keeps(node: &Node, number: u16) -> bool {
    let others = other_holders(node, number);
    let own = order(&node.name);
    others.iter().all(|name| order(name) > own)
}
