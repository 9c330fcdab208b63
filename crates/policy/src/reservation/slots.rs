//! Reservations by time slot.

use std::time::Duration;

use indexmap::IndexMap;

use crate::key::{AccountKey, RouteKey};
use crate::moment::Moment;

/// Length of a slot.
pub(super) const LENGTH: Duration = Duration::from_millis(50);
/// Slots for which capacity can be reserved, the current one included.
const FUTURE: u64 = 40;
/// Past slots whose reservations can still be redeemed: 400 ms.
const PAST: u64 = 8;
/// Slots before their start whose reservations can be redeemed: 50 ms.
const EARLY: u64 = 1;
/// Slots that are kept.
const KEPT: u64 = PAST + FUTURE;
/// Slots over which the capacity of a low rate is distributed: 200 ms.
pub(super) const GROUP: u64 = 4;

/// Client account on a route.
pub(super) type Holder = (RouteKey, AccountKey);

/// Reservations of one holder in one slot.
#[derive(Clone, Copy, Debug, Default)]
struct Places {
    made: u32,
    /// Those that are not redeemed.
    left: u32,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    /// Reservations made, by route.
    made: IndexMap<RouteKey, u32>,
    places: IndexMap<Holder, Places>,
}

/// Reservations of the slots that are not over, or can still be redeemed.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    ring: Vec<Slot>,
    /// Number of the current slot since the origin of the clock.
    current: u64,
}

impl Slots {
    pub(super) fn new() -> Self {
        Self {
            ring: vec![Slot::default(); KEPT as usize],
            current: 0,
        }
    }

    /// Slots that lie completely between two moments and can be reserved now.
    pub(super) fn within(&self, from: Moment, to: Moment) -> std::ops::Range<u64> {
        let length = LENGTH.as_micros() as u64;
        let first = from.as_micros().div_ceil(length).max(self.current);
        first..(to.as_micros() / length).min(self.current + FUTURE)
    }

    /// Moves to the slot of `now` and removes those that can no longer be redeemed.
    /// Returns the number of expired reservations by holder and slot.
    pub(super) fn advance(&mut self, now: Moment) -> Vec<(Holder, u32)> {
        let current = number(now);
        let passed = current.saturating_sub(self.current).min(KEPT);
        let mut expired = Vec::new();
        // `FUTURE` slots on, the ring holds the slot `PAST` before.
        for number in self.current..self.current + passed {
            let slot = std::mem::take(self.slot_mut(number + FUTURE));
            let left = slot.places.into_iter();
            expired.extend(left.map(|(holder, places)| (holder, places.left)));
        }
        self.current = self.current.max(current);
        expired
    }

    /// Reservations made in a slot for a route.
    pub(super) fn made(&self, number: u64, route: RouteKey) -> u32 {
        self.slot(number).made.get(&route).copied().unwrap_or(0)
    }

    /// Reservations made in the group of slots that contains this one. Those of slots
    /// that are no longer kept do not count.
    pub(super) fn made_in_group(&self, number: u64, route: RouteKey) -> u32 {
        let start = number - number % GROUP;
        let kept = (start..start + GROUP).filter(|slot| slot + PAST >= self.current);
        let kept = kept.filter(|slot| *slot < self.current + FUTURE);
        kept.map(|slot| self.made(slot, route)).sum()
    }

    /// Reservations made in a slot by a holder.
    pub(super) fn made_by(&self, number: u64, holder: Holder) -> u32 {
        let places = self.slot(number).places.get(&holder);
        places.map_or(0, |places| places.made)
    }

    /// Makes a reservation.
    pub(super) fn make(&mut self, number: u64, holder: Holder) {
        let slot = self.slot_mut(number);
        *slot.made.entry(holder.0).or_default() += 1;
        let places = slot.places.entry(holder).or_default();
        places.made += 1;
        places.left += 1;
    }

    /// Consumes the earliest reservation of a holder that is due in the current slot.
    /// Returns whether there was one.
    pub(super) fn redeem(&mut self, holder: Holder) -> bool {
        let due = self.current.saturating_sub(PAST)..=self.current + EARLY;
        for number in due {
            if let Some(places) = self.slot_mut(number).places.get_mut(&holder)
                && places.left > 0
            {
                places.left -= 1;
                return true;
            }
        }
        false
    }

    fn slot(&self, number: u64) -> &Slot {
        &self.ring[(number % KEPT) as usize]
    }

    fn slot_mut(&mut self, number: u64) -> &mut Slot {
        &mut self.ring[(number % KEPT) as usize]
    }
}

/// Start of a slot.
pub(super) const fn start(number: u64) -> Moment {
    Moment::from_micros(number * LENGTH.as_micros() as u64)
}

/// Number of the slot that contains a moment.
fn number(now: Moment) -> u64 {
    now.as_micros() / LENGTH.as_micros() as u64
}
