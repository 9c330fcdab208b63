//! Who holds which lender slot, as members tell it.
//!
//! An ask for quota tokens has to find its lender at once, whatever the size
//! of the fleet, so the slots are indexed when a member's record changes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use cardamomshed_policy::member::{Record, State};
use cardamomshed_policy::quota::{Slot, order};

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
    /// Holder of each slot.
    holders: HashMap<Slot, Lender>,
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
            let own = |lender: &Lender| lender.peer.node == record.name;
            if index.holders.get(&slot).is_some_and(own) {
                index.holders.remove(&slot);
            }
        }
        let profile = &record.profile;
        if record.state != State::Alive || profile.lends.is_empty() {
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
        let slots = profile.lends.iter().map(|number| Slot {
            domain: Arc::clone(&profile.domain),
            number: *number,
        });
        let slots = slots.collect::<Vec<_>>();
        for slot in &slots {
            index.holders.insert(slot.clone(), lender.clone());
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
            .map(|(slot, lender)| (slot.clone(), lender.clone()))
            .collect::<Vec<_>>();
        held.sort_by_cached_key(|(slot, _)| order(account, slot));
        held
    }

    /// Holders of the slots, in their order.
    pub fn lenders(&self, slots: &[Slot]) -> Vec<Lender> {
        let index = lock(&self.index);
        let held = slots.iter().filter_map(|slot| index.holders.get(slot));
        held.cloned().collect()
    }
}
