//! Index of the lender slots and their holders, from the members' records.
//!
//! The index is updated when a record changes, so that the lookup of a lender for
//! a token request does not depend on the size of the fleet.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use cardamomshed_policy::member::{Record, State, rank_key};
use cardamomshed_policy::quota::{Slot, order as slot_order};

use crate::service::Peer;
use crate::sync::lock;

/// A daemon that holds a lender slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name and address of the daemon.
    pub peer: Peer,
    /// Failure domain of the daemon.
    pub domain: Arc<str>,
    /// Region of the daemon.
    pub region: Arc<str>,
}

#[derive(Debug, Default)]
struct Index {
    /// Holders of each slot by name. A slot has several holders for a short time
    /// until all but one have dropped it. No inner map is empty.
    holders: HashMap<Slot, HashMap<Arc<str>, Holder>>,
    /// Slots of each daemon, the inverse of `holders`.
    slots: HashMap<Arc<str>, Vec<Slot>>,
}

/// Holders of the lender slots.
#[derive(Debug, Default)]
pub struct Directory {
    index: Mutex<Index>,
}

impl Directory {
    /// Replaces the slots of a member by those in its record. A member that is not
    /// alive holds none.
    pub fn update(&self, record: &Record) {
        let mut index = lock(&self.index);
        for slot in index.slots.remove(&record.name).unwrap_or_default() {
            let Some(holders) = index.holders.get_mut(&slot) else {
                continue;
            };
            holders.remove(&record.name);
            if holders.is_empty() {
                index.holders.remove(&slot);
            }
        }
        let profile = &record.profile;
        if record.state != State::Alive || profile.lender_slots.is_empty() {
            return;
        }
        let holder = Holder {
            peer: Peer {
                node: Arc::clone(&record.name),
                address: profile.peer,
            },
            domain: Arc::clone(&profile.domain),
            region: Arc::clone(&profile.region),
        };
        let slots = profile.lender_slots.iter().map(|number| Slot {
            domain: Arc::clone(&profile.domain),
            number: *number,
        });
        let slots = slots.collect::<Vec<_>>();
        for slot in &slots {
            let holders = index.holders.entry(slot.clone()).or_default();
            holders.insert(Arc::clone(&record.name), holder.clone());
        }
        index.slots.insert(Arc::clone(&record.name), slots);
    }

    /// Whether no lender is known.
    pub fn is_empty(&self) -> bool {
        lock(&self.index).holders.is_empty()
    }

    /// Every held slot with its holder, in the account's order of preference.
    pub fn ranked(&self, account: &str) -> Vec<(Slot, Holder)> {
        let index = lock(&self.index);
        let ranked = index.holders.iter();
        let mut ranked = ranked
            .filter_map(|(slot, holders)| Some((slot.clone(), first_holder(holders)?.clone())))
            .collect::<Vec<_>>();
        ranked.sort_by_cached_key(|(slot, _)| slot_order(account, slot));
        ranked
    }

    /// Holders of the given slots, in the same order. Slots without a holder are
    /// skipped.
    pub fn holders(&self, slots: &[Slot]) -> Vec<Holder> {
        let index = lock(&self.index);
        let holders = slots.iter().filter_map(|slot| index.holders.get(slot));
        let holders = holders.filter_map(first_holder);
        holders.cloned().collect()
    }
}

/// The holder with the lowest rank key, which keeps the slot if there are several.
fn first_holder(holders: &HashMap<Arc<str>, Holder>) -> Option<&Holder> {
    holders
        .values()
        .min_by_key(|holder| rank_key(&holder.peer.node))
}
