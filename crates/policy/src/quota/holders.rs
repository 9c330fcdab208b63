//! Assignment of an account's shares to lender slots.
//!
//! Every failure domain has a few lender slots, each leased to one daemon.
//! Rendezvous hashing of the account's name selects the slots that hold its
//! shares, so every daemon computes the same holders without communication. A
//! small account uses few slots, so that each share still amounts to whole
//! tokens.

use std::sync::Arc;

use super::{Bound, MILLION};
use crate::key::hash;

/// Largest number of slots for one account.
const MAX_HOLDERS: usize = 64;
/// Smallest burst of one share, unless the account's whole burst is smaller.
const MIN_SHARE_BURST: f64 = 8.0;

/// A lender slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    /// Failure domain of the slot.
    pub domain: Arc<str>,
    /// Number within the failure domain.
    pub number: u16,
}

/// Slots that hold a share of the account, and the size of each share. Each
/// failure domain has `per_domain` slots.
pub fn holders(
    account: &str,
    bound: Bound,
    domains: &[Arc<str>],
    per_domain: u16,
) -> (Vec<Slot>, Bound) {
    let slots = domains.iter().flat_map(|domain| {
        (0..per_domain).map(|number| Slot {
            domain: Arc::clone(domain),
            number,
        })
    });
    let mut slots = slots.collect::<Vec<_>>();
    let max_count = slots.len().clamp(1, MAX_HOLDERS);
    let count = ((bound.burst / MIN_SHARE_BURST) as usize).clamp(1, max_count);
    if count < slots.len() {
        slots.sort_by_cached_key(|slot| hash_slot(account, slot));
        slots.truncate(count);
    }
    (slots, bound.share(MILLION / count as u32))
}

/// Sort key of a slot in the order of preference of `account`, equal on every
/// daemon. The first slot in this order that is leased may hold the whole
/// bound.
pub fn order(account: &str, slot: &Slot) -> u64 {
    hash_slot(account, slot)
}

/// Rendezvous hash of a slot for an account.
fn hash_slot(account: &str, slot: &Slot) -> u64 {
    let bytes = account
        .bytes()
        .chain([0])
        .chain(slot.domain.bytes())
        .chain(slot.number.to_be_bytes());
    hash(bytes)
}
