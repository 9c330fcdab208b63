//! Who holds the shares of an account.
//!
//! Every failure domain has a few lender slots, each leased to one daemon.
//! The shares of an account lie in the slots in an order that its name
//! decides, so every daemon finds the same holders without asking. A small
//! account lies in few slots, so that each share is still worth whole
//! tokens.

use std::sync::Arc;

use super::{Bound, MILLION};
use crate::key::hash;

/// Most slots that one account's shares lie in.
const MAX_HOLDERS: usize = 64;
/// Smallest burst of one share.
const MIN_BURST: f64 = 8.0;

/// One lender slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    /// Failure domain.
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
    let most = slots.len().clamp(1, MAX_HOLDERS);
    let count = ((bound.burst / MIN_BURST) as usize).clamp(1, most);
    if count < slots.len() {
        slots.sort_by_cached_key(|slot| weight(account, slot));
        slots.truncate(count);
    }
    (slots, bound.share(MILLION / count as u32))
}

/// Place of a slot in the order in which an account's slots come, the same
/// everywhere; the first that is held has the account whole.
pub fn order(account: &str, slot: &Slot) -> u64 {
    weight(account, slot)
}

/// Weight of a slot for an account, the same everywhere.
fn weight(account: &str, slot: &Slot) -> u64 {
    let bytes = account
        .bytes()
        .chain([0])
        .chain(slot.domain.bytes())
        .chain(slot.number.to_be_bytes());
    hash(bytes)
}
