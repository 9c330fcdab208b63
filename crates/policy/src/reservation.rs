//! Reservations of capacity for refused requests that come back.
//!
//! For some seconds, more requests arrive than can be admitted. A refused client comes
//! back once, as a new request, when `Retry-After` says so. The ingress therefore names a
//! time for which it has reserved capacity: half of the rate at which it recently admitted
//! requests of the route, in slots of 50 ms for the next 2 s. Requests that were refused
//! first get the earlier slots. The account of a refused request, not its client, holds
//! the reservation, since a request does not identify its client.
//!
//! A request that redeems a reservation is admitted whatever load shedding decides about
//! it. If load shedding would have refused it, its account owes one admission, and later
//! new requests of the account are refused in its place. Each account is thus admitted as
//! often as prices or levels allow it, whatever it sends and whenever it comes back, and
//! important requests are still shed last; reservations only select which of its requests
//! are admitted. What an account holds and owes together is limited to half of what load
//! shedding admitted of it in about the last second, or to one, so that an account that
//! stops sending gains no more than that.
//!
//! The load that this is designed for is twice the capacity for some seconds, of up to
//! 4,096 accounts on routes at one ingress. Where an account sends many requests, others
//! of them redeem its reservations before the client that was told the time, which is then
//! treated as new.

mod rate;
mod slots;

use std::time::Duration;

use indexmap::IndexMap;

use crate::key::{AccountKey, RouteKey};
use crate::moment::Moment;
use rate::Rate;
use slots::{GROUP, Holder, LENGTH, Slots};

/// Share of the admitted rate that can be reserved. The rest is left for new requests.
const RESERVED_SHARE: f64 = 0.5;
/// Share of the requests of an account which load shedding admits that repay what it
/// owes, while it owes any. The rest is left for its new requests.
const REPAID_SHARE: f64 = 0.5;
/// Largest number of reservations, and of accounts on routes that are tracked.
const MAX_RESERVATIONS: usize = 4_096;
/// Time without a request after which an account on a route is no longer tracked, and
/// what it owes is forgotten. Load shedding of longer ago says nothing about the capacity
/// now.
const TRACKED: Duration = Duration::from_secs(5);
/// Tracked accounts that are examined for eviction per request. Each request adds at
/// most one.
const EXAMINED: usize = 2;

/// What load shedding decides about a request, by price or level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shedding {
    /// It admits every such request.
    Inactive,
    /// It refuses some of such requests and admits this one.
    Admitted,
    /// It refuses this request.
    Refused,
}

impl Shedding {
    /// Decision where a share of the requests is admitted. `draw` is uniform in 0..1.
    pub fn at_share(share: f64, draw: f64) -> Self {
        if share >= 1.0 {
            Self::Inactive
        } else if draw < share {
            Self::Admitted
        } else {
            Self::Refused
        }
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is refused.
    Refused,
    /// It is admitted as a new request.
    Admitted,
    /// It is admitted by a reservation.
    Redeemed,
}

/// Capacity that is reserved for one request that comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Time until the request is to come back.
    pub delay: Duration,
    /// Number of the slot of 50 ms since the origin of the clock.
    pub slot: u64,
}

/// An account on a route that was refused recently.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Reservations that are neither redeemed nor expired.
    held: u32,
    /// Admissions beyond those that load shedding allowed.
    owed: u32,
    /// Requests that load shedding admitted.
    admitted: Rate,
    updated: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Route {
    admitted: Rate,
    /// Accounts that hold a reservation.
    holders: u32,
}

/// Reservations at one ingress.
#[derive(Clone, Debug)]
pub struct Schedule {
    slots: Slots,
    routes: IndexMap<RouteKey, Route>,
    accounts: IndexMap<Holder, Account>,
    /// Reservations that are neither redeemed nor expired.
    held: usize,
    /// Expired reservations that were not taken from the count yet.
    expired: u64,
    /// Index of the tracked account that is examined next.
    cursor: usize,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            slots: Slots::new(),
            routes: IndexMap::new(),
            accounts: IndexMap::new(),
            held: 0,
            expired: 0,
            cursor: 0,
        }
    }
}

impl Schedule {
    /// Records that a request of a route was not refused anywhere.
    pub fn record_admitted(&mut self, route: RouteKey, now: Moment) {
        self.routes.entry(route).or_default().admitted.record(now);
    }

    /// Reserves capacity in the first slot between `earliest` and `latest` from now that
    /// has some left for this account. `draw`, uniform in 0..1, spreads the delays
    /// within the slot. `None` if no slot has, if the account holds and owes as much as it
    /// may, or at the limit of reservations.
    pub fn reserve(
        &mut self,
        route: RouteKey,
        account: AccountKey,
        earliest: Duration,
        latest: Duration,
        now: Moment,
        draw: f64,
    ) -> Option<Place> {
        self.advance(now);
        let holder = (route, account);
        let state = self.accounts.get(&holder).copied();
        if self.held >= MAX_RESERVATIONS
            || (state.is_none() && self.accounts.len() >= MAX_RESERVATIONS)
        {
            return None;
        }
        let state = state.unwrap_or_default();
        // Without this limit, accounts that send more would hold most of the reservations.
        let allowed = (RESERVED_SHARE * state.admitted.per_second(now)).max(1.0);
        if f64::from(state.held + state.owed) + 1.0 > allowed {
            return None;
        }
        let route_state = self.routes.get(&route)?;
        let holders = route_state.holders + u32::from(state.held == 0);
        let group = group_capacity(route_state.admitted.per_second(now))?;
        let capacity = group.div_ceil(GROUP as u32);
        let share = (capacity / holders).max(1);
        let mut slots = self.slots.within(now + earliest, now + latest);
        let slot = slots.find(|slot| {
            self.slots.made(*slot, route) < capacity
                && self.slots.made_in_group(*slot, route) < group
                && self.slots.made_by(*slot, holder) < share
        })?;
        self.slots.make(slot, holder);
        self.held += 1;
        let state = self.accounts.entry(holder).or_default();
        state.held += 1;
        state.updated = now;
        if state.held == 1 {
            self.routes.entry(route).or_default().holders += 1;
        }
        let delay = slots::start(slot).since(now) + LENGTH.mul_f64(draw);
        Some(Place { delay, slot })
    }

    /// Consumes a reservation of this account that is due, from 50 ms before its slot to
    /// 400 ms after it. Returns whether there was one.
    pub fn redeem(&mut self, route: RouteKey, account: AccountKey, now: Moment) -> bool {
        self.advance(now);
        let holder = (route, account);
        let redeemed = self.accounts.contains_key(&holder) && self.slots.redeem(holder);
        if redeemed {
            self.release(holder, 1);
        }
        redeemed
    }

    /// Decides whether a request is admitted: by a reservation, which it redeems, or by
    /// load shedding, except for requests that repay what its account owes. `draw`,
    /// uniform in 0..1, selects these.
    pub fn admit(
        &mut self,
        route: RouteKey,
        account: AccountKey,
        shedding: Shedding,
        draw: f64,
        now: Moment,
    ) -> Decision {
        let redeemed = self.redeem(route, account, now);
        let mut repays = false;
        if let Some(state) = self.accounts.get_mut(&(route, account)) {
            state.updated = now;
            match shedding {
                Shedding::Inactive => state.owed = 0,
                Shedding::Admitted => state.admitted.record(now),
                Shedding::Refused => state.owed += u32::from(redeemed),
            }
            let is_admitted = shedding == Shedding::Admitted && !redeemed;
            repays = is_admitted && state.owed > 0 && draw < REPAID_SHARE;
            state.owed -= u32::from(repays);
        }
        if redeemed {
            Decision::Redeemed
        } else if repays || shedding == Shedding::Refused {
            Decision::Refused
        } else {
            Decision::Admitted
        }
    }

    /// Takes the number of reservations that have expired since the last call.
    pub fn take_expired(&mut self, now: Moment) -> u64 {
        self.advance(now);
        std::mem::take(&mut self.expired)
    }

    /// Removes expired reservations and examines some tracked accounts for eviction.
    fn advance(&mut self, now: Moment) {
        for (holder, count) in self.slots.advance(now) {
            self.expired += u64::from(count);
            self.release(holder, count);
        }
        for _ in 0..EXAMINED.min(self.accounts.len()) {
            self.cursor = (self.cursor + 1) % self.accounts.len().max(1);
            let state = self.accounts.get_index(self.cursor);
            let is_stale = state.is_some_and(|(_, account)| {
                account.held == 0 && now.since(account.updated) >= TRACKED
            });
            if is_stale {
                self.accounts.swap_remove_index(self.cursor);
            }
        }
    }

    /// Records that a holder no longer holds some reservations.
    fn release(&mut self, holder: Holder, count: u32) {
        let Some(account) = self.accounts.get_mut(&holder).filter(|_| count > 0) else {
            return;
        };
        account.held -= count;
        self.held -= count as usize;
        if account.held == 0
            && let Some(route) = self.routes.get_mut(&holder.0)
        {
            route.holders -= 1;
        }
    }
}

/// Reservations of a route in [`GROUP`] slots, at least one. `None` if no request was
/// admitted yet.
fn group_capacity(admitted_per_s: f64) -> Option<u32> {
    let reserved = admitted_per_s * RESERVED_SHARE * LENGTH.as_secs_f64() * GROUP as f64;
    (admitted_per_s > 0.0).then_some((reserved as u32).max(1))
}
