//! The queue beside a target: by priority, then fairly between accounts.
//!
//! Within one priority each account has a lane, and the lane that has been
//! served least goes next. A turn is counted when a call starts, so calls
//! that are shed or cancelled cost their account nothing, and an account
//! with a long backlog gets no more turns than one with a single call.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Change, Offer, Shed, Ticket};
use crate::key::{AccountKey, Priority, RouteKey};
use crate::moment::Moment;

/// Place of a call in its lane: deeper calls first, since they have cost
/// more, then by arrival.
type Place = (u8, u64);

/// A waiting call.
#[derive(Clone, Copy, Debug)]
struct Entry {
    place: Place,
    account: AccountKey,
    priority: Priority,
    route: RouteKey,
    latest_start: Moment,
}

/// A call whose turn it is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Next {
    pub(super) ticket: Ticket,
    pub(super) route: RouteKey,
    pub(super) priority: Priority,
}

/// The waiting calls of one account in one priority.
#[derive(Debug, Default)]
struct Lane {
    calls: BTreeMap<Place, Ticket>,
    /// Turns that the account has had, never behind the class when it joins.
    turns: u64,
}

/// The waiting calls of one priority.
#[derive(Debug, Default)]
struct Class {
    /// Lanes with waiting calls, and empty ones that are ahead in turns.
    lanes: HashMap<AccountKey, Lane>,
    /// Lanes with waiting calls by turns.
    order: BTreeSet<(u64, AccountKey)>,
    /// Lanes with waiting calls by their number.
    lengths: BTreeSet<(usize, AccountKey)>,
    waiting: usize,
    /// Turns of the lane that was served last; never falls while calls wait.
    turns: u64,
}

/// The queue beside a target.
#[derive(Debug, Default)]
pub(super) struct Queue {
    classes: [Class; Priority::ALL.len()],
    entries: HashMap<Ticket, Entry>,
    by_latest_start: BTreeSet<(Moment, Ticket)>,
    arrivals: u64,
}

impl Queue {
    /// Calls that wait.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Calls of this priority or a higher one.
    pub(super) fn ahead_of(&self, priority: Priority) -> usize {
        self.classes[..=priority.index()]
            .iter()
            .map(|class| class.waiting)
            .sum()
    }

    /// Adds a call that is shed unless it starts by `latest_start`.
    pub(super) fn push(&mut self, offer: Offer, latest_start: Moment) {
        self.arrivals += 1;
        let place = (u8::MAX - offer.depth, self.arrivals);
        self.classes[offer.priority.index()].push(offer.account, place, offer.ticket);
        self.by_latest_start.insert((latest_start, offer.ticket));
        self.entries.insert(
            offer.ticket,
            Entry {
                place,
                account: offer.account,
                priority: offer.priority,
                route: offer.route,
                latest_start,
            },
        );
    }

    /// Takes the call whose turn it is.
    pub(super) fn pop(&mut self) -> Option<Next> {
        let class = self.classes.iter_mut().find(|class| class.waiting > 0)?;
        let ticket = class.serve()?;
        let entry = *self.entries.get(&ticket)?;
        self.remove(ticket);
        Some(Next {
            ticket,
            route: entry.route,
            priority: entry.priority,
        })
    }

    /// Priority of the call whose turn it is.
    pub(super) fn next_priority(&self) -> Option<Priority> {
        let class = self.classes.iter().position(|class| class.waiting > 0)?;
        Some(Priority::ALL[class])
    }

    /// Takes out a call wherever it stands.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(entry) = self.entries.remove(&ticket) else {
            return false;
        };
        self.by_latest_start.remove(&(entry.latest_start, ticket));
        self.classes[entry.priority.index()].remove(entry.account, entry.place);
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
        let behind = self.classes[priority.index()..]
            .iter()
            .rposition(|class| class.waiting > 0)?;
        let lowest = priority.index() + behind;
        let class = &self.classes[lowest];
        let (length, holder) = class.lengths.last()?;
        if lowest == priority.index() {
            let own = class.lanes.get(&account).map_or(0, |lane| lane.calls.len());
            if *length < own + 2 {
                return None;
            }
        }
        let (_, ticket) = class.lanes.get(holder)?.calls.last_key_value()?;
        let ticket = *ticket;
        self.remove(ticket);
        Some(ticket)
    }
}

impl Class {
    fn push(&mut self, account: AccountKey, place: Place, ticket: Ticket) {
        let lane = self.lanes.entry(account).or_default();
        let length = lane.calls.len();
        if length == 0 {
            lane.turns = lane.turns.max(self.turns);
            self.order.insert((lane.turns, account));
        }
        self.lengths.remove(&(length, account));
        self.lengths.insert((length + 1, account));
        lane.calls.insert(place, ticket);
        self.waiting += 1;
    }

    /// Counts a turn of the lane that was served least; gives its first call,
    /// which is still to be removed.
    fn serve(&mut self) -> Option<Ticket> {
        let (turns, account) = self.order.pop_first()?;
        self.turns = turns;
        let lane = self.lanes.get_mut(&account)?;
        lane.turns = turns + 1;
        self.order.insert((lane.turns, account));
        lane.calls.first_key_value().map(|(_, ticket)| *ticket)
    }

    fn remove(&mut self, account: AccountKey, place: Place) {
        let Some(lane) = self.lanes.get_mut(&account) else {
            return;
        };
        let length = lane.calls.len();
        if lane.calls.remove(&place).is_none() {
            return;
        }
        self.waiting -= 1;
        self.lengths.remove(&(length, account));
        if length > 1 {
            self.lengths.insert((length - 1, account));
        } else {
            self.order.remove(&(lane.turns, account));
        }
        if self.waiting == 0 {
            // Nobody waits, so nobody can have been passed over.
            self.lanes.clear();
            self.turns = 0;
        }
    }
}
