//! The queue in front of a target: strict priorities, and fair queuing between
//! accounts within a priority.
//!
//! Each account has one flow per priority, and the flow with the lowest virtual
//! time is served next. Virtual time advances when a call starts, so shed and
//! cancelled calls cost their account nothing, and an account with a long
//! backlog gets no more service than one with a single call.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Change, Offer, Shed, Ticket};
use crate::key::{AccountKey, Priority, RouteKey};
use crate::moment::Moment;

/// Position of a call in its flow: deeper calls first, since more work has been
/// spent on them, then by arrival.
type Position = (u8, u64);

/// A queued call.
#[derive(Clone, Copy, Debug)]
struct Entry {
    position: Position,
    account: AccountKey,
    priority: Priority,
    route: RouteKey,
    latest_start: Moment,
}

/// A call that is about to start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) ticket: Ticket,
    pub(super) route: RouteKey,
    pub(super) priority: Priority,
}

/// The queued calls of one account in one priority.
#[derive(Clone, Debug, Default)]
struct Flow {
    calls: BTreeMap<Position, Ticket>,
    /// Calls started. On joining, it is raised to the virtual time of the
    /// class.
    virtual_time: u64,
}

/// The queued calls of one priority.
#[derive(Clone, Debug, Default)]
struct Class {
    /// Flows with queued calls, and empty ones that keep their virtual time.
    flows: HashMap<AccountKey, Flow>,
    /// Flows with queued calls, by virtual time.
    by_virtual_time: BTreeSet<(u64, AccountKey)>,
    /// Flows with queued calls, by number of calls.
    by_length: BTreeSet<(usize, AccountKey)>,
    waiting: usize,
    /// Virtual time of the flow that was served last. It does not decrease
    /// while calls wait.
    virtual_time: u64,
}

/// The queued calls of all priorities.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    classes: [Class; Priority::ALL.len()],
    entries: HashMap<Ticket, Entry>,
    by_latest_start: BTreeSet<(Moment, Ticket)>,
    arrivals: u64,
}

impl Queue {
    /// Number of queued calls.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of queued calls of this priority or a higher one.
    pub(super) fn ahead_of(&self, priority: Priority) -> usize {
        self.classes[..=priority.index()]
            .iter()
            .map(|class| class.waiting)
            .sum()
    }

    /// Queues a call that is shed unless it starts by `latest_start`.
    pub(super) fn push(&mut self, offer: Offer, latest_start: Moment) {
        self.arrivals += 1;
        let position = (u8::MAX - offer.depth, self.arrivals);
        self.classes[offer.priority.index()].push(offer.account, position, offer.ticket);
        self.by_latest_start.insert((latest_start, offer.ticket));
        self.entries.insert(
            offer.ticket,
            Entry {
                position,
                account: offer.account,
                priority: offer.priority,
                route: offer.route,
                latest_start,
            },
        );
    }

    /// Removes and returns the next call.
    pub(super) fn pop(&mut self) -> Option<Call> {
        let class = self.classes.iter_mut().find(|class| class.waiting > 0)?;
        let ticket = class.advance()?;
        let entry = *self.entries.get(&ticket)?;
        self.remove(ticket);
        Some(Call {
            ticket,
            route: entry.route,
            priority: entry.priority,
        })
    }

    /// Priority of the next call.
    pub(super) fn next_priority(&self) -> Option<Priority> {
        let class = self.classes.iter().position(|class| class.waiting > 0)?;
        Some(Priority::ALL[class])
    }

    /// Removes a call and returns whether it was queued.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(entry) = self.entries.remove(&ticket) else {
            return false;
        };
        self.by_latest_start.remove(&(entry.latest_start, ticket));
        self.classes[entry.priority.index()].remove(entry.account, entry.position);
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

    /// Evicts the last call of the longest flow in the lowest queued priority,
    /// if a new call of `account` at `priority` takes precedence. It does over
    /// calls of a lower priority, and over an account in the same priority that
    /// has at least two more calls queued.
    pub(super) fn evict_below(
        &mut self,
        priority: Priority,
        account: AccountKey,
    ) -> Option<Ticket> {
        let offset = self.classes[priority.index()..]
            .iter()
            .rposition(|class| class.waiting > 0)?;
        let lowest = priority.index() + offset;
        let class = &self.classes[lowest];
        let (length, longest) = class.by_length.last()?;
        if lowest == priority.index() {
            let queued = class.flows.get(&account).map_or(0, |flow| flow.calls.len());
            if *length < queued + 2 {
                return None;
            }
        }
        let (_, ticket) = class.flows.get(longest)?.calls.last_key_value()?;
        let ticket = *ticket;
        self.remove(ticket);
        Some(ticket)
    }
}

impl Class {
    fn push(&mut self, account: AccountKey, position: Position, ticket: Ticket) {
        let flow = self.flows.entry(account).or_default();
        let length = flow.calls.len();
        if length == 0 {
            flow.virtual_time = flow.virtual_time.max(self.virtual_time);
            self.by_virtual_time.insert((flow.virtual_time, account));
        }
        self.by_length.remove(&(length, account));
        self.by_length.insert((length + 1, account));
        flow.calls.insert(position, ticket);
        self.waiting += 1;
    }

    /// Advances the flow with the lowest virtual time and returns its first
    /// call, which the caller then removes.
    fn advance(&mut self) -> Option<Ticket> {
        let (virtual_time, account) = self.by_virtual_time.pop_first()?;
        self.virtual_time = virtual_time;
        let flow = self.flows.get_mut(&account)?;
        flow.virtual_time = virtual_time + 1;
        self.by_virtual_time.insert((flow.virtual_time, account));
        flow.calls.first_key_value().map(|(_, ticket)| *ticket)
    }

    fn remove(&mut self, account: AccountKey, position: Position) {
        let Some(flow) = self.flows.get_mut(&account) else {
            return;
        };
        let length = flow.calls.len();
        if flow.calls.remove(&position).is_none() {
            return;
        }
        self.waiting -= 1;
        self.by_length.remove(&(length, account));
        if length > 1 {
            self.by_length.insert((length - 1, account));
        } else {
            self.by_virtual_time.remove(&(flow.virtual_time, account));
        }
        if self.waiting == 0 {
            // Without queued calls, no flow has a claim to earlier service.
            self.flows.clear();
            self.virtual_time = 0;
        }
    }
}
