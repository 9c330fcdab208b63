//! The queue beside a target: by priority, then fairly between accounts.
//!
//! Within one priority, start-time fair queueing orders the calls: each has
//! a virtual start one step behind its account's previous call, and the
//! smallest start runs first. An account with a long backlog gets no more
//! turns than one with a single call.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Change, Offer, Shed, Ticket};
use crate::key::{AccountKey, Priority};
use crate::moment::Moment;

/// Place of a waiting call in its class: virtual start, inverted depth so
/// that deeper calls go first among equals, then arrival.
type Rank = (u64, u8, u64);

/// A waiting call.
#[derive(Clone, Copy, Debug)]
struct Entry {
    rank: Rank,
    account: AccountKey,
    priority: Priority,
    latest_start: Moment,
    arrived: Moment,
}

/// The waiting calls of one priority.
#[derive(Debug, Default)]
struct Class {
    /// Every waiting call of the class, in the order in which they run.
    order: BTreeMap<Rank, Ticket>,
    /// Virtual start of the next call and number waiting, of each account
    /// with a waiting call or a start ahead of `virtual_time`.
    accounts: HashMap<AccountKey, Share>,
    /// Virtual start of the call that was taken last; never falls.
    virtual_time: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    next_start: u64,
    waiting: u32,
}

/// The queue beside a target.
#[derive(Debug, Default)]
pub(super) struct Queue {
    classes: [Class; Priority::ALL.len()],
    entries: HashMap<Ticket, Entry>,
    by_latest_start: BTreeSet<(Moment, Ticket)>,
    by_arrival: BTreeSet<(Moment, Ticket)>,
    arrivals: u64,
}

impl Queue {
    /// Calls that wait.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Arrival of the call that has waited longest.
    pub(super) fn oldest(&self) -> Option<Moment> {
        self.by_arrival.first().map(|(arrived, _)| *arrived)
    }

    /// Calls of this priority or a higher one.
    pub(super) fn ahead_of(&self, priority: Priority) -> usize {
        self.classes[..=priority.index()]
            .iter()
            .map(|class| class.order.len())
            .sum()
    }

    /// Adds a call that is shed unless it starts by `latest_start`.
    pub(super) fn push(&mut self, offer: Offer, latest_start: Moment, now: Moment) {
        self.arrivals += 1;
        let class = &mut self.classes[offer.priority.index()];
        let share = class.accounts.entry(offer.account).or_default();
        let start = share.next_start.max(class.virtual_time);
        share.next_start = start + 1;
        share.waiting += 1;
        let rank = (start, u8::MAX - offer.depth, self.arrivals);
        class.order.insert(rank, offer.ticket);
        self.by_latest_start.insert((latest_start, offer.ticket));
        self.by_arrival.insert((now, offer.ticket));
        self.entries.insert(
            offer.ticket,
            Entry {
                rank,
                account: offer.account,
                priority: offer.priority,
                latest_start,
                arrived: now,
            },
        );
    }

    /// Takes the call whose turn it is.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let class = self
            .classes
            .iter_mut()
            .find(|class| !class.order.is_empty())?;
        let (rank, ticket) = class.order.first_key_value()?;
        class.virtual_time = class.virtual_time.max(rank.0);
        let ticket = *ticket;
        self.remove(ticket);
        Some(ticket)
    }

    /// Takes out a call wherever it stands.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(entry) = self.entries.remove(&ticket) else {
            return false;
        };
        self.by_latest_start.remove(&(entry.latest_start, ticket));
        self.by_arrival.remove(&(entry.arrived, ticket));
        let class = &mut self.classes[entry.priority.index()];
        class.order.remove(&entry.rank);
        class.release(entry.account);
        true
    }

    /// Sheds the calls whose latest start has passed.
    pub(super) fn expire(&mut self, now: Moment, changes: &mut Vec<Change>) {
        while let Some((latest_start, ticket)) = self.by_latest_start.first().copied() {
            if latest_start >= now {
                return;
            }
            self.remove(ticket);
            changes.push(Change::Shed(ticket, Shed::Deadline));
        }
    }

    /// Takes out the call of lowest standing if it stands below a new call
    /// of `account` at `priority`: one of a lower priority, or one of an
    /// account in the same priority that has two more calls waiting.
    pub(super) fn evict_below(
        &mut self,
        priority: Priority,
        account: AccountKey,
    ) -> Option<Ticket> {
        let class = self.classes[priority.index()..]
            .iter()
            .rposition(|class| !class.order.is_empty())?;
        let lowest = priority.index() + class;
        let (_, ticket) = self.classes[lowest].order.last_key_value()?;
        let ticket = *ticket;
        if lowest == priority.index() {
            let accounts = &self.classes[lowest].accounts;
            let waiting = |key| accounts.get(&key).map_or(0, |share| share.waiting);
            let holder = self.entries[&ticket].account;
            if waiting(holder) < waiting(account) + 2 {
                return None;
            }
        }
        self.remove(ticket);
        Some(ticket)
    }
}

impl Class {
    /// Notes that a call of `account` left. A share is kept while its next
    /// start lies ahead of virtual time, so that an account cannot gain
    /// turns by leaving and coming back.
    fn release(&mut self, account: AccountKey) {
        if let Some(share) = self.accounts.get_mut(&account) {
            share.waiting -= 1;
        }
        if self.order.is_empty() {
            self.accounts.clear();
        }
    }
}
