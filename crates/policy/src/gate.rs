//! Admission beside one target.
//!
//! The daemon beside a target is the only way in to it, so the gate knows
//! exactly what runs there: slots are counted, not estimated. What cannot
//! start waits in a queue ordered by priority, then by fair shares between
//! client accounts, and leaves it when its deadline can no longer be met.

mod limit;
mod queue;
mod reserve;

use std::time::Duration;

use indexmap::IndexMap;

pub use limit::Limit;
use queue::{Next, Queue};
use reserve::Reserve;

use crate::key::{AccountKey, Priority, RouteKey};
use crate::moment::Moment;

/// Wait that is never long.
const MIN_LONG_WAIT: Duration = Duration::from_millis(20);

/// Shortest time without an end of a call after which a target counts as
/// stalled.
const MIN_STALL: Duration = Duration::from_secs(1);
/// The same in smoothed service times.
const STALL_TIMES: u32 = 8;

/// Names one call at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Settings of a [`Gate`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Calls that the target runs at once.
    pub slots: u32,
    /// Time over which a cold target is given its slots, zero for at once.
    pub cold_start: Duration,
    /// Longest wait in the queue whatever the deadline.
    pub max_wait: Duration,
    /// Estimate of the service time before any call has finished.
    pub first_estimate: Duration,
    /// Whether the limit falls below the slots when the target slows down.
    pub adaptive: bool,
}

impl Config {
    /// Settings for a target with this many slots.
    pub const fn new(slots: u32) -> Self {
        Self {
            slots,
            cold_start: Duration::ZERO,
            max_wait: Duration::from_millis(500),
            first_estimate: Duration::from_millis(10),
            adaptive: true,
        }
    }

    /// Keeps the limit at the slots, for a target whose own time cannot be
    /// told from the time of the calls that it makes.
    #[must_use]
    pub const fn fixed(mut self) -> Self {
        self.adaptive = false;
        self
    }

    /// Sets the time over which a cold target is given its slots.
    #[must_use]
    pub const fn cold_start(mut self, length: Duration) -> Self {
        self.cold_start = length;
        self
    }

    /// Sets the longest wait in the queue.
    #[must_use]
    pub const fn max_wait(mut self, length: Duration) -> Self {
        self.max_wait = length;
        self
    }
}

/// A call that asks to run.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Names the call in every later event.
    pub ticket: Ticket,
    /// Whose call it is.
    pub account: AccountKey,
    /// Route of the call; calls of one route take about the same time.
    pub route: RouteKey,
    /// How important it is.
    pub priority: Priority,
    /// Hops between the caller and this call; deeper calls have cost more.
    pub depth: u8,
    /// When its answer is of no use any more.
    pub deadline: Moment,
}

/// Why a call was shed. It has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shed {
    /// Its deadline would pass before it could finish.
    Deadline,
    /// The queue holds only calls of equal or higher standing.
    Full,
    /// The target has stopped answering.
    Stalled,
    /// The gate is closed to new calls.
    Closed,
}

/// What becomes of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Start it now.
    Run,
    /// It waits.
    Wait,
    /// It is refused.
    Shed(Shed),
}

/// A change in the standing of calls that were waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Start this call now.
    Run(Ticket),
    /// Refuse this call.
    Shed(Ticket, Shed),
}

/// Load as told to the daemons that send calls here.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Calls that run now.
    pub running: u32,
    /// Calls that wait now.
    pub waiting: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Smoothed service time.
    pub service_time: Duration,
}

/// A call that runs.
#[derive(Clone, Copy, Debug)]
struct Running {
    started: Moment,
    route: RouteKey,
    priority: Priority,
}

/// Admission beside one target.
#[derive(Debug)]
pub struct Gate {
    config: Config,
    limit: Limit,
    queue: Queue,
    /// Each running call. `running.len()` never exceeds the limit in force
    /// when the last of them started.
    running: IndexMap<Ticket, Running>,
    /// Entries of `running` by priority.
    by_priority: [u32; Priority::ALL.len()],
    reserve: Reserve,
    opened: Moment,
    closed: bool,
    /// When a call ended last, or the first of those that run started.
    progress: Moment,
    /// The target has stopped answering; one call at a time finds out
    /// whether it has come back.
    stalled: bool,
}

impl Gate {
    /// An open gate before a target that announced itself at `now`.
    pub fn new(config: Config, now: Moment) -> Self {
        Self {
            config,
            limit: Limit::new(config.slots, config.first_estimate, config.adaptive),
            queue: Queue::default(),
            running: IndexMap::new(),
            by_priority: [0; Priority::ALL.len()],
            reserve: Reserve::default(),
            opened: now,
            closed: false,
            progress: now,
            stalled: false,
        }
    }

    /// Refuses new calls from now on; those that wait or run go on.
    pub const fn close(&mut self) {
        self.closed = true;
    }

    /// Whether no call runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.len() == 0
    }

    /// Decides on a new call. `changes` receives what it displaces.
    pub fn offer(&mut self, offer: Offer, now: Moment, changes: &mut Vec<Change>) -> Verdict {
        if self.closed {
            return Verdict::Shed(Shed::Closed);
        }
        self.check_stalled(now, changes);
        let service_time = self.limit.service_time_of(offer.route);
        if now + service_time > offer.deadline {
            return Verdict::Shed(Shed::Deadline);
        }
        self.reserve.arrived(offer.priority, service_time, now);
        if self.queue.len() == 0 && self.has_room(offer.priority, now) {
            let call = Next {
                ticket: offer.ticket,
                route: offer.route,
                priority: offer.priority,
            };
            self.start(call, now);
            return Verdict::Run;
        }
        if self.stalled {
            return Verdict::Shed(Shed::Stalled);
        }
        let ahead = self.queue.ahead_of(offer.priority);
        let wait = self.wait_behind(ahead, now);
        let latest_start = self.latest_start(&offer, now);
        if now + wait > latest_start && !self.displace(&offer, changes) {
            return Verdict::Shed(self.shed_cause(&offer, wait, now));
        }
        self.enqueue(offer, latest_start, now, changes)
    }

    /// Notes that the target answered a running call. `own_time` is its time
    /// on the target without the calls it made in turn; `None` says that the
    /// call tells nothing about the target's speed.
    pub fn finish(
        &mut self,
        ticket: Ticket,
        own_time: Option<Duration>,
        now: Moment,
        changes: &mut Vec<Change>,
    ) {
        self.progress = now;
        self.stalled = false;
        if let Some(call) = self.take_running(ticket) {
            let total = now.since(call.started);
            let running = self.running.len() as u32 + 1;
            self.limit
                .observe(call.route, total, own_time, running, now);
        }
        self.start_waiting(now, changes);
    }

    /// Takes a call out, whether it waits or runs; says whether it ran.
    pub fn cancel(&mut self, ticket: Ticket, now: Moment, changes: &mut Vec<Change>) -> bool {
        let ran = self.take_running(ticket).is_some();
        if !ran {
            self.queue.remove(ticket);
        }
        self.start_waiting(now, changes);
        ran
    }

    /// Sheds what can no longer meet its deadline and starts what may start.
    pub fn tick(&mut self, now: Moment, changes: &mut Vec<Change>) {
        self.check_stalled(now, changes);
        self.start_waiting(now, changes);
    }

    /// Load as told to other daemons.
    pub fn load(&self, now: Moment) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            limit: self.allowed(now),
            service_time: self.limit.service_time(),
        }
    }

    /// Whether as many calls run as may, or some wait.
    pub fn is_full(&self) -> bool {
        self.queue.len() > 0 || self.running.len() as u32 >= self.limit.current()
    }

    /// Smoothed time from start to end of a call of this route.
    pub fn service_time_of(&self, route: RouteKey) -> Duration {
        self.limit.service_time_of(route)
    }

    /// Whether a wait is long for this target: one that only a queue that
    /// stands brings about.
    pub fn is_long(&self, wait: Duration) -> bool {
        wait > MIN_LONG_WAIT.max(self.limit.service_time())
    }

    /// Calls that may run at once: the adaptive limit, less what a cold
    /// start withholds.
    pub fn allowed(&self, now: Moment) -> u32 {
        if self.stalled {
            return 1;
        }
        let limit = self.limit.current();
        let age = now.since(self.opened);
        if age >= self.config.cold_start {
            return limit;
        }
        let warm = age.as_secs_f64() / self.config.cold_start.as_secs_f64();
        ((f64::from(limit) * warm).floor() as u32).clamp(1, limit)
    }

    fn take_running(&mut self, ticket: Ticket) -> Option<Running> {
        let call = self.running.swap_remove(&ticket)?;
        self.by_priority[call.priority.index()] -= 1;
        Some(call)
    }

    fn start(&mut self, call: Next, now: Moment) {
        if self.running.is_empty() {
            self.progress = now;
        }
        self.by_priority[call.priority.index()] += 1;
        let running = Running {
            started: now,
            route: call.route,
            priority: call.priority,
        };
        self.running.insert(call.ticket, running);
    }

    /// Notices that half the slots or more are taken and no call has ended for
    /// many service times.
    /// What waits is shed, so that it can be run elsewhere in time.
    fn check_stalled(&mut self, now: Moment, changes: &mut Vec<Change>) {
        let patience = MIN_STALL.max(self.limit.service_time() * STALL_TIMES);
        // A few long calls beside nothing else are no stall.
        let busy = self.running.len() >= 2 && self.running.len() as u32 * 2 >= self.limit.current();
        if self.stalled || !busy || now.since(self.progress) < patience {
            return;
        }
        self.stalled = true;
        while let Some(call) = self.queue.pop() {
            changes.push(Change::Shed(call.ticket, Shed::Stalled));
        }
    }

    fn has_room(&self, priority: Priority, now: Moment) -> bool {
        let allowed = self.allowed(now);
        let running = self.running.len() as u32;
        let kept = self.reserve.kept_from(priority, &self.by_priority, allowed);
        running + kept < allowed
    }

    fn latest_start(&self, offer: &Offer, now: Moment) -> Moment {
        let by_wait = now + self.config.max_wait;
        let service_time = self.limit.service_time_of(offer.route).as_micros() as u64;
        let by_deadline = offer.deadline.as_micros().saturating_sub(service_time);
        by_wait.min(Moment::from_micros(by_deadline))
    }

    /// Expected wait of a call with `ahead` calls before it.
    fn wait_behind(&self, ahead: usize, now: Moment) -> Duration {
        let rounds = (ahead + 1) as f64 / f64::from(self.allowed(now).max(1));
        self.limit.service_time().mul_f64(rounds)
    }

    /// Makes room by shedding a waiting call of lower standing.
    fn displace(&mut self, offer: &Offer, changes: &mut Vec<Change>) -> bool {
        match self.queue.evict_below(offer.priority, offer.account) {
            Some(ticket) => {
                changes.push(Change::Shed(ticket, Shed::Full));
                true
            }
            None => false,
        }
    }

    fn shed_cause(&self, offer: &Offer, wait: Duration, now: Moment) -> Shed {
        if now + wait + self.limit.service_time_of(offer.route) > offer.deadline {
            Shed::Deadline
        } else {
            Shed::Full
        }
    }

    fn enqueue(
        &mut self,
        offer: Offer,
        latest_start: Moment,
        now: Moment,
        changes: &mut Vec<Change>,
    ) -> Verdict {
        self.queue.push(offer, latest_start);
        self.start_waiting(now, changes);
        match changes
            .iter()
            .position(|change| *change == Change::Run(offer.ticket))
        {
            Some(place) => {
                changes.remove(place);
                Verdict::Run
            }
            None => Verdict::Wait,
        }
    }

    fn start_waiting(&mut self, now: Moment, changes: &mut Vec<Change>) {
        self.queue.expire(now, changes);
        while let Some(priority) = self.queue.next_priority() {
            if !self.has_room(priority, now) {
                return;
            }
            let Some(call) = self.queue.pop() else {
                return;
            };
            self.start(call, now);
            changes.push(Change::Run(call.ticket));
        }
    }
}
