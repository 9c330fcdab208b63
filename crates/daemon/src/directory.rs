//! Who holds which lender slot, as members tell it.
//!
//! An ask for quota tokens has to find its lender at once, whatever the size
//! of the fleet, so the slots are indexed when a member's record changes.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};

use cardamomshed_policy::member::{Record, State};
use cardamomshed_policy::quota::{Slot, order as slot_order};

use crate::service::Peer;
use crate::sync::lock;

/// Holder of a lender slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lender {
    /// The daemon that holds it.
    pub peer: Peer,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
}

#[derive(Debug, Default)]
struct Index {
    /// Holders of each slot by name; several for a short time, while they
    /// settle who keeps it. None of the maps is empty.
    holders: HashMap<Slot, HashMap<Arc<str>, Lender>>,
    /// Slots of each daemon, the reverse of `holders`.
    slots: HashMap<Arc<str>, Vec<Slot>>,
}

/// Who holds which lender slot.
#[derive(Debug, Default)]
pub struct Directory {
    index: Mutex<Index>,
}

impl Directory {
    /// Takes in a member's record.
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
        let lender = Lender {
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
            holders.insert(Arc::clone(&record.name), lender.clone());
        }
        index.slots.insert(Arc::clone(&record.name), slots);
    }

    /// Whether no slot is held.
    pub fn is_empty(&self) -> bool {
        lock(&self.index).holders.is_empty()
    }

    /// Every slot that is held, with its holder, the first for this account
    /// first.
    pub fn ranked(&self, account: &str) -> Vec<(Slot, Lender)> {
        let index = lock(&self.index);
        let held = index.holders.iter();
        let mut held = held
            .filter_map(|(slot, holders)| Some((slot.clone(), keeper(holders)?.clone())))
            .collect::<Vec<_>>();
        held.sort_by_cached_key(|(slot, _)| slot_order(account, slot));
        held
    }

    /// Holders of the slots, in their order.
    pub fn lenders(&self, slots: &[Slot]) -> Vec<Lender> {
        let index = lock(&self.index);
        let held = slots.iter().filter_map(|slot| index.holders.get(slot));
        let held = held.filter_map(keeper);
        held.cloned().collect()
    }
}

/// Place of a daemon's name in the order of the members of a failure domain,
/// the same at each of them.
pub fn order(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Of several holders of a slot, the one that keeps it.
fn keeper(holders: &HashMap<Arc<str>, Lender>) -> Option<&Lender> {
    holders
        .values()
        .min_by_key(|holder| order(&holder.peer.node))
}
