//! Small keys that stand for names while a process runs.

use serde::{Deserialize, Serialize};

/// A client account's place in the account arena of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u32);

/// A route's place in the route arena of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u32);

/// A service's place in the service arena of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u32);

/// A target's place in the target arena of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u32);

/// How important a request is; the smallest is shed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Bookings, charges, loans and transfers.
    Critical,
    /// Requests that a person waits for.
    High,
    /// Ordinary look-ups.
    Normal,
    /// Work that can be done later.
    Low,
}

impl Priority {
    /// Every priority, the most important first.
    pub const ALL: [Self; 4] = [Self::Critical, Self::High, Self::Normal, Self::Low];

    /// Place in [`Self::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// FNV-1a, which is the same in every version and on every machine.
pub(crate) fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
