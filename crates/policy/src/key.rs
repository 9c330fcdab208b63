//! Interned keys and request priorities.
//!
//! A key is an index into an arena of one process. It has no meaning in another
//! process or after a restart.

use serde::{Deserialize, Serialize};

/// Index of a client account in the account arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u32);

/// Index of a route in the route arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u32);

/// Index of a service in the service arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u32);

/// Index of a target in the target arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u32);

/// Index of a region in the region arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionKey(pub u32);

/// Importance of a request. The smallest value is shed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Bookings, charges, loans and transfers.
    Critical,
    /// Interactive requests.
    High,
    /// Ordinary lookups.
    Normal,
    /// Deferrable work.
    Low,
}

impl Priority {
    /// Every priority in descending importance.
    pub const ALL: [Self; 4] = [Self::Critical, Self::High, Self::Normal, Self::Low];

    /// Index in [`Self::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// 64-bit FNV-1a hash. It is stable across versions and platforms, so daemons of
/// different builds compute the same value.
pub(crate) fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
