//! Lender slots held by rank among the members of a failure domain.
//!
//! No store is involved. The members of a failure domain are ordered by the hash
//! of their names, and the first live one holds the slot until it leaves or
//! fails. A daemon that takes over a slot starts without tokens, because the
//! previous holder may just have granted its last ones. Until failures are
//! detected, both parts of a partitioned fleet may lend an account's whole bound.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cardamomshed_code::Event;
use cardamomshed_policy::Moment;
use cardamomshed_policy::member::{State, rank_key};
use cardamomshed_policy::quota::{Lease, MILLION};

use super::bound::bound;
use crate::members::{domain_size, publish, rank};
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Interval between two evaluations of the members.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The same during [`STARTUP_OVERLAP`], when there may be no lender at all.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the start during which two members of a failure domain may hold the
/// same slot because neither has discovered the other.
const STARTUP_OVERLAP: Duration = Duration::from_secs(4);
/// Fraction of the primary share that is lent during [`STARTUP_OVERLAP`] while members
/// are missing.
const OVERLAP_SHARE: f64 = 0.75;
/// Length of a slot's lease, which each evaluation renews.
const LEASE_LENGTH: Duration = Duration::from_secs(3);
/// Delay between the first evaluation that entitles this daemon to a slot and its
/// takeover. It does not apply while no lender is known.
const TAKEOVER_DELAY: Duration = Duration::from_millis(100);
/// Time after the start for member discovery; no slot is held within it.
const STARTUP_DELAY: Duration = Duration::from_millis(300);
/// Time after the start from which a daemon that has exchanged records with no
/// other one may hold a slot. It may be the only one left of its failure domain.
const LONELY_DELAY: Duration = Duration::from_millis(1_500);
/// Time after a pause of this process in which it receives the current lenders;
/// no slot is held within it.
const RESUME_DELAY: Duration = Duration::from_secs(2);
/// Delay before a larger share takes effect. None is needed: one lender has the
/// whole account, so no other daemon relies on the previous division.
const RAISE_AFTER: Duration = Duration::ZERO;

/// Lender slots of each failure domain.
const SLOTS_PER_DOMAIN: u16 = 1;
/// Number of members whose part of a bound a backup lender, one that is not the
/// first, may lend.
const BACKUP_MEMBERS: u32 = 1;

/// Time since which this daemon's rank entitles it to each slot, by slot number.
#[derive(Debug, Default)]
pub(super) struct Entitlement {
    entitled_since: Vec<Option<Moment>>,
}

impl Entitlement {
    /// Takes over and drops slots according to the current members.
    pub(super) fn update(&mut self, node: &Arc<Node>) {
        let now = node.clock.now();
        let slots = usize::from(SLOTS_PER_DOMAIN);
        let rank = rank(node);
        let live = domain_size(node);
        self.entitled_since.resize(slots, None);
        let mut changed = false;
        for number in 0..slots {
            // With fewer members than slots, slots wrap around.
            let is_held = lock(&node.quota.lenders).contains_key(&(number as u16));
            let is_first = number % live == rank;
            let is_free = is_first && !is_held_elsewhere(node, number as u16);
            let resumed = *lock(&node.quota.resumed_at);
            let is_ready = knows_members(node, now)
                && resumed.is_none_or(|resumed| now.since(resumed) >= RESUME_DELAY);
            let entitled = !node.lifecycle.is_leaving()
                && is_ready
                && if is_held {
                    keeps_slot(node, number as u16)
                } else {
                    is_free
                };
            let since = &mut self.entitled_since[number];
            if !entitled {
                *since = None;
                changed |= lock(&node.quota.lenders).remove(&(number as u16)).is_some();
                continue;
            }
            let since = *since.get_or_insert(now);
            if now.since(since) < TAKEOVER_DELAY && has_lender(node) {
                continue;
            }
            let lease = Lease {
                until: now + LEASE_LENGTH,
            };
            let mut lenders = lock(&node.quota.lenders);
            changed |= !lenders.contains_key(&(number as u16));
            lenders.entry(number as u16).or_default().set_lease(lease);
        }
        if changed {
            let numbers = lock(&node.quota.lenders)
                .keys()
                .copied()
                .collect::<Vec<_>>();
            node.log_event(
                Event::ShareLeased,
                format_args!("slots={numbers:?} rank={rank} members={live}"),
            );
            update_shares(node);
            publish(node);
        }
    }
}

/// Whether the members known here suffice to tell the local rank and the part of a
/// bound that this daemon may lend. Before that, every member of a failure domain
/// would take the same slot, and lend as if there were no others.
fn knows_members(node: &Node, now: Moment) -> bool {
    let age = now.since(Moment::ZERO);
    let has_exchanged = node.members.exchanged.load(Ordering::Relaxed);
    let is_counted = lock(&node.members.fleet).is_counted();
    is_counted && (age >= LONELY_DELAY || (has_exchanged && age >= STARTUP_DELAY))
}

/// Time until the next evaluation of the members.
pub(super) fn poll_interval(node: &Node) -> Duration {
    if node.clock.now().since(Moment::ZERO) < STARTUP_OVERLAP {
        STARTUP_POLL_INTERVAL
    } else {
        POLL_INTERVAL
    }
}

/// Whether any lender is known.
pub(super) fn has_lender(node: &Node) -> bool {
    !node.quota.directory.is_empty()
}

/// The lender at this turn: the first in the account's order, or a later
/// one if those before it did not answer.
pub(super) fn select_lender(node: &Node, account: &str, turn: u8) -> Option<Peer> {
    let lenders = node.quota.directory.ranked(account);
    let place = usize::from(turn).min(lenders.len().checked_sub(1)?);
    lenders.get(place).map(|(_, lender)| lender.peer.clone())
}

/// Updates the shares held here to the current configuration and members.
///
/// The first lender of an account has its whole bound less the part of the members
/// that may be cut off: those that have failed or have not been met since the start, and
/// have not been released. The shares in the parts of a divided fleet thus add up to the
/// bound. Every other lender has one member's
/// part, for the time in which the first does not answer.
pub(super) fn update_shares(node: &Node) {
    let (live, known) = fleet_size(node);
    let now = node.clock.now();
    let mut primary_share = MILLION / known * live;
    let is_starting = now.since(Moment::ZERO) < STARTUP_OVERLAP;
    // Members that have all met agree on the holder of each slot.
    if is_starting && live < known {
        primary_share = (f64::from(primary_share) * OVERLAP_SHARE) as u32;
    }
    log_primary_share(node, primary_share, live, known);
    let backup_share = (MILLION / known * BACKUP_MEMBERS).min(primary_share);
    let lookup = node.lookup();
    let mut accounts = HashSet::new();
    let mut lenders = lock(&node.quota.lenders);
    for (name, account) in &lookup.config.accounts {
        let key = node.names.account(name);
        let first = node.quota.directory.ranked(name).into_iter().next();
        for (number, lender) in lenders.iter_mut() {
            let is_primary = first.as_ref().is_some_and(|(slot, holder)| {
                slot.number == *number && holder.peer.node == node.name
            });
            let millionths = if is_primary {
                primary_share
            } else {
                backup_share
            };
            let whole = bound(account);
            lender.set_share(key, whole.share(millionths), RAISE_AFTER, now);
            if is_primary && is_starting {
                let part = f64::from(millionths) / f64::from(MILLION);
                lender.add_allowance(key, whole.start_allowance() * part, now);
            }
        }
        accounts.insert(key);
    }
    for lender in lenders.values_mut() {
        lender.retain(|account| accounts.contains(&account));
    }
}

/// Logs the primary share if it has changed while this daemon holds a slot.
/// `primary_share` is in millionths of a bound.
fn log_primary_share(node: &Node, primary_share: u32, live: u32, known: u32) {
    let is_lender = !lock(&node.quota.lenders).is_empty();
    let before = node
        .quota
        .primary_share
        .swap(primary_share, Ordering::Relaxed);
    if is_lender && before != primary_share {
        node.log_event(
            Event::ShareResized,
            format_args!("millionths={primary_share} live={live} known={known}"),
        );
    }
}

/// Number of live members, and of all that have neither left nor been released, as far
/// as they are known or were counted before the start. Both include this daemon.
fn fleet_size(node: &Node) -> (u32, u32) {
    let fleet = lock(&node.members.fleet);
    (fleet.live() as u32, fleet.size())
}

/// Other live members of the local failure domain that hold slot `number`.
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

fn is_held_elsewhere(node: &Node, number: u16) -> bool {
    !other_holders(node, number).is_empty()
}

/// Whether this daemon keeps a slot that it holds: of several holders, the first by
/// rank does.
fn keeps_slot(node: &Node, number: u16) -> bool {
    let others = other_holders(node, number);
    let own = rank_key(&node.name);
    others.iter().all(|name| rank_key(name) > own)
}
