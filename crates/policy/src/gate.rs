//! Admission control in front of one target.
//!
//! The daemon in front of a target is the only path to it, so the gate counts
//! the slots in use exactly instead of estimating them. Calls that cannot start
//! wait in a queue, ordered by priority and then by fair shares between client
//! accounts. A call is shed as soon as it can no longer meet its deadline.

mod config;
mod limit;
mod preview;
mod queue;
mod reserve;
mod slowdown;

use std::time::Duration;

use indexmap::IndexMap;

pub use config::Config;
pub use limit::Limit;
pub use preview::Preview;
use queue::{Call, Queue};
use reserve::Reserve;

use crate::key::{AccountKey, Priority, RouteKey};
use crate::moment::Moment;
use crate::warmup::Warmup;

/// Waits up to this length never count as long.
const MIN_LONG_WAIT: Duration = Duration::from_millis(20);

/// Shortest time without a completed call after which a target counts as
/// stalled.
const MIN_STALL: Duration = Duration::from_secs(1);
/// The same bound as a multiple of the smoothed service time; the longer of the
/// two applies.
const STALL_SERVICE_TIMES: u32 = 8;

/// Identifies a call at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A call that requests a slot.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Identifies the call in later events.
    pub ticket: Ticket,
    /// Client account of the call.
    pub account: AccountKey,
    /// Route of the call. Calls of one route are expected to take about the
    /// same time.
    pub route: RouteKey,
    /// Priority of the call.
    pub priority: Priority,
    /// Hops between the original caller and this call. More work has been spent
    /// on deeper calls.
    pub depth: u8,
    /// Time after which the response is useless to the caller.
    pub deadline: Moment,
}

/// Reason for which a call was shed. A shed call has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shed {
    /// The call could not complete before its deadline.
    Deadline,
    /// The queue holds no call that may be evicted for this one, or the call
    /// itself was evicted.
    Full,
    /// The target has stopped responding.
    Stalled,
    /// The gate accepts no new calls.
    Closed,
}

/// Result of [`Gate::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call starts now.
    Run,
    /// The call is queued.
    Wait,
    /// The call is refused.
    Shed(Shed),
}

/// State change of a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The call starts now.
    Run(Ticket),
    /// The call is refused.
    Shed(Ticket, Shed),
}

/// Weight of one call in the smoothed share of rejected calls.
const REJECTION_SMOOTHING: f64 = 0.1;

/// Load that is reported to the daemons that send calls to this target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Calls in progress.
    pub running: u32,
    /// Calls in the queue.
    pub waiting: u32,
    /// Calls that may run concurrently.
    pub limit: u32,
    /// Expected service time over all routes at this moment.
    pub service_time: Duration,
    /// Smoothed share of the calls that the target rejected without running them,
    /// within 0..=1.
    pub rejection: f64,
}

impl Load {
    /// Calls in progress or in the queue, relative to those that may run
    /// concurrently.
    pub fn pressure(self) -> f64 {
        f64::from(self.running + self.waiting) / f64::from(self.limit.max(1))
    }
}

/// A call in progress.
#[derive(Clone, Copy, Debug)]
struct Running {
    started: Moment,
    /// Slowdown of the target at the start.
    slowdown: f64,
    route: RouteKey,
    priority: Priority,
}

/// Admission control for one target.
#[derive(Clone, Debug)]
pub struct Gate {
    config: Config,
    limit: Limit,
    queue: Queue,
    /// Calls in progress. Their number never exceeds the limit in force when
    /// the last of them started.
    running: IndexMap<Ticket, Running>,
    /// Number of entries in `running` by priority.
    by_priority: [u32; Priority::ALL.len()],
    reserve: Reserve,
    opened_at: Moment,
    closed: bool,
    /// When a call last completed, or when the first call started on an idle
    /// target, whichever is later.
    last_progress: Moment,
    /// The target has stopped responding. Until a call completes, one call at a
    /// time runs as a probe.
    stalled: bool,
    /// Smoothed share of rejected calls, see [`Load::rejection`].
    rejection: f64,
    /// Limit on the calls that start while the target is cold.
    warmup: Warmup,
}

impl Gate {
    /// An open gate for a target that registered at `now`.
    pub fn new(config: Config, now: Moment) -> Self {
        Self {
            config,
            limit: Limit::new(config.slots, config.initial_estimate, config.adaptive),
            queue: Queue::default(),
            running: IndexMap::new(),
            by_priority: [0; Priority::ALL.len()],
            reserve: Reserve::default(),
            opened_at: now,
            closed: false,
            last_progress: now,
            stalled: false,
            rejection: 0.0,
            warmup: Warmup::default(),
        }
    }

    /// Limit on the calls that start while the target is cold.
    pub const fn warmup(&self) -> &Warmup {
        &self.warmup
    }

    /// Limit on the calls that start while the target is cold, to be changed.
    pub const fn warmup_mut(&mut self) -> &mut Warmup {
        &mut self.warmup
    }

    /// Changes the concurrency limit. Calls that run beyond it are not affected.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit.set_slots(slots);
    }

    /// Refuses new calls from now on. Calls that wait or run are not affected.
    pub const fn close(&mut self) {
        self.closed = true;
    }

    /// Whether no call runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.len() == 0
    }

    /// Decides on a new call. Changes to queued calls that result from it are
    /// appended to `changes`.
    pub fn offer(&mut self, offer: Offer, now: Moment, changes: &mut Vec<Change>) -> Decision {
        if self.closed {
            return Decision::Shed(Shed::Closed);
        }
        self.detect_stall(now, changes);
        // Queued calls precede this one at slots and tokens that became free meanwhile.
        self.start_queued(now, changes);
        let service_time = self.limit.service_time_of(offer.route, now);
        if now + service_time > offer.deadline {
            return Decision::Shed(Shed::Deadline);
        }
        self.reserve
            .record_arrival(offer.priority, service_time, now);
        // Calls of lower priorities may wait beside a slot that is reserved for this one.
        let ahead = self.queue.ahead_of(offer.priority);
        if ahead == 0 && self.can_start(offer.priority, now) {
            let call = Call {
                ticket: offer.ticket,
                route: offer.route,
                priority: offer.priority,
            };
            self.start(call, now);
            return Decision::Run;
        }
        if self.stalled {
            return Decision::Shed(Shed::Stalled);
        }
        let wait = self.expected_wait(ahead, now);
        let latest_start = self.latest_start(&offer, now);
        if now + wait > latest_start && !self.evict_for(&offer, changes) {
            return Decision::Shed(self.shed_reason(&offer, wait, now));
        }
        self.enqueue(offer, latest_start, now, changes)
    }

    /// Records that the target responded to a call in progress.
    ///
    /// `own_time` is the call's time on the target without its outbound calls,
    /// or `None` if the call says nothing about the target's speed.
    pub fn finish(
        &mut self,
        ticket: Ticket,
        own_time: Option<Duration>,
        now: Moment,
        changes: &mut Vec<Change>,
    ) {
        self.last_progress = now;
        self.stalled = false;
        if let Some(call) = self.remove_running(ticket) {
            let total = now.since(call.started);
            let running = self.running.len() as u32 + 1;
            self.limit
                .observe(call.route, total, own_time, call.slowdown, running, now);
        }
        self.start_queued(now, changes);
    }

    /// Records whether the target rejected a call without running it.
    pub fn record_rejection(&mut self, rejected: bool) {
        let outcome = f64::from(u8::from(rejected));
        self.rejection += REJECTION_SMOOTHING * (outcome - self.rejection);
    }

    /// Records how much longer than usual work takes on the target, as it reports.
    pub fn record_slowdown(&mut self, factor: f64, now: Moment) {
        self.limit.observe_slowdown(factor, now);
    }

    /// Removes a call that waits or runs and returns whether it was running.
    pub fn cancel(&mut self, ticket: Ticket, now: Moment, changes: &mut Vec<Change>) -> bool {
        let ran = self.remove_running(ticket).is_some();
        if !ran {
            self.queue.remove(ticket);
        }
        self.start_queued(now, changes);
        ran
    }

    /// Sheds queued calls that can no longer meet their deadlines and starts as
    /// many as the limit permits.
    pub fn tick(&mut self, now: Moment, changes: &mut Vec<Change>) {
        self.detect_stall(now, changes);
        self.start_queued(now, changes);
    }

    /// Load to report to other daemons.
    pub fn load(&self, now: Moment) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            limit: self.reported_limit(now),
            service_time: self.limit.service_time(now),
            rejection: self.rejection,
        }
    }

    /// Whether the limit is reached or any call waits.
    pub fn is_full(&self) -> bool {
        self.queue.len() > 0 || self.running.len() as u32 >= self.limit.current()
    }

    /// Smoothed time from start to completion of this route's calls.
    pub fn service_time_of(&self, route: RouteKey) -> Duration {
        Duration::from_secs_f64(self.limit.usual_time_of(route))
    }

    /// Whether only a standing queue explains a wait of this length at this
    /// target.
    pub fn is_long_wait(&self, wait: Duration) -> bool {
        wait > MIN_LONG_WAIT.max(self.limit.usual_time())
    }

    /// Calls that may run concurrently: the adaptive limit, reduced during a
    /// cold start, or one while the target is stalled.
    pub fn effective_limit(&self, now: Moment) -> u32 {
        if self.stalled {
            return 1;
        }
        let limit = self.limit.current();
        let age = now.since(self.opened_at);
        if age >= self.config.cold_start {
            return limit;
        }
        let warm_share = age.as_secs_f64() / self.config.cold_start.as_secs_f64();
        ((f64::from(limit) * warm_share).floor() as u32).clamp(1, limit)
    }

    /// The same limit, at most the concurrency that a cold target sustains.
    pub fn reported_limit(&self, now: Moment) -> u32 {
        let limit = self.effective_limit(now);
        if !self.warmup.is_in_force(now) {
            return limit;
        }
        limit.min(self.warmup.concurrency(self.limit.service_time(now)))
    }

    fn remove_running(&mut self, ticket: Ticket) -> Option<Running> {
        let call = self.running.swap_remove(&ticket)?;
        self.by_priority[call.priority.index()] -= 1;
        Some(call)
    }

    fn start(&mut self, call: Call, now: Moment) {
        if self.running.is_empty() {
            self.last_progress = now;
        }
        self.warmup.take(now);
        self.by_priority[call.priority.index()] += 1;
        let running = Running {
            started: now,
            slowdown: self.limit.slowdown(now),
            route: call.route,
            priority: call.priority,
        };
        self.running.insert(call.ticket, running);
    }

    /// Marks the target as stalled if at least half of the limit is in use and
    /// no call has completed for many service times. Sheds the queued calls, so
    /// that other targets can run them in time.
    fn detect_stall(&mut self, now: Moment, changes: &mut Vec<Change>) {
        let stall_timeout = MIN_STALL.max(self.limit.service_time(now) * STALL_SERVICE_TIMES);
        // A few long calls on an otherwise idle target are no stall.
        let busy = self.running.len() >= 2 && self.running.len() as u32 * 2 >= self.limit.current();
        let is_due = busy && now.since(self.last_progress) >= stall_timeout;
        if self.stalled || !is_due || !self.config.detects_stall {
            return;
        }
        self.stalled = true;
        while let Some(call) = self.queue.pop() {
            changes.push(Change::Shed(call.ticket, Shed::Stalled));
        }
    }

    fn can_start(&self, priority: Priority, now: Moment) -> bool {
        self.has_capacity(priority, now) && self.warmup.permits(now)
    }

    fn has_capacity(&self, priority: Priority, now: Moment) -> bool {
        let limit = self.effective_limit(now);
        let running = self.running.len() as u32;
        let reserved = self
            .reserve
            .reserved_above(priority, &self.by_priority, limit, now);
        running + reserved < limit
    }

    fn latest_start(&self, offer: &Offer, now: Moment) -> Moment {
        let wait_bound = now + self.config.max_wait;
        let service_time = self.limit.service_time_of(offer.route, now).as_micros() as u64;
        let deadline_bound = offer.deadline.as_micros().saturating_sub(service_time);
        wait_bound.min(Moment::from_micros(deadline_bound))
    }

    /// Expected wait of a call behind `ahead` other calls.
    fn expected_wait(&self, ahead: usize, now: Moment) -> Duration {
        let rounds = (ahead + 1) as f64 / f64::from(self.effective_limit(now).max(1));
        let slots_free = self.limit.service_time(now).mul_f64(rounds);
        slots_free.max(self.warmup.wait_for(ahead + 1, now))
    }

    /// Evicts a queued call in favour of `offer`, if the queue holds one that
    /// may be evicted.
    fn evict_for(&mut self, offer: &Offer, changes: &mut Vec<Change>) -> bool {
        match self.queue.evict_below(offer.priority, offer.account) {
            Some(ticket) => {
                changes.push(Change::Shed(ticket, Shed::Full));
                true
            }
            None => false,
        }
    }

    fn shed_reason(&self, offer: &Offer, wait: Duration, now: Moment) -> Shed {
        if now + wait + self.limit.service_time_of(offer.route, now) > offer.deadline {
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
    ) -> Decision {
        self.queue.push(offer, latest_start);
        self.start_queued(now, changes);
        match changes
            .iter()
            .position(|change| *change == Change::Run(offer.ticket))
        {
            Some(position) => {
                changes.remove(position);
                Decision::Run
            }
            None => Decision::Wait,
        }
    }

    fn start_queued(&mut self, now: Moment, changes: &mut Vec<Change>) {
        self.queue.expire(now, changes);
        while let Some(priority) = self.queue.next_priority() {
            if !self.can_start(priority, now) {
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
