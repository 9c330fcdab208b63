//! The local target: its announcements and the admission of calls to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cardamomshed_code::Code;
use cardamomshed_policy::Moment;
use cardamomshed_policy::admission::{ADMIT_ALL, Controller, Level};
use cardamomshed_policy::gate::{self, Decision, Gate, Preview, Shed, Ticket};
use cardamomshed_policy::price::Pricer;
use cardamomshed_policy::warmup::{Report, Warmup};
use cardamomshed_wire::Load;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::clock::Clock;
use crate::shed;
use crate::sync::lock;

mod announcement;
mod call;
mod state;

pub use announcement::{Announcement, Effect};
pub use call::{Attributes, ColdLimit, Completion, Connection};
use state::State;

/// The target that this daemon protects, if one is registered.
#[derive(Debug)]
pub struct Target {
    clock: Clock,
    state: Mutex<Option<State>>,
    next_ticket: AtomicU64,
    /// The daemon is stopping, so no target is in service, whatever its
    /// announcements report.
    withdrawn: AtomicBool,
    /// Requests a health check, which reports whether the target is cold.
    check: Notify,
    /// Limit on the calls to a cold target.
    cold_limit: Mutex<ColdLimit>,
}

/// A call's permit to run on the target. Dropping it releases the slot, or
/// removes the call from the queue.
#[derive(Debug)]
pub struct Permit<'a> {
    target: &'a Target,
    ticket: Ticket,
    /// Address at which the target accepts HTTP requests.
    pub address: SocketAddr,
    /// Identity of the target's incarnation, if announced.
    pub instance: Option<Arc<str>>,
    /// Connections that the target accepts concurrently.
    pub connections: u32,
    /// Time that the call spent in the queue.
    pub waited: Duration,
    /// How the call ended.
    completion: Option<Completion>,
}

impl Target {
    /// Creates the state of a daemon without a registered target.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::new(None),
            next_ticket: AtomicU64::new(1),
            withdrawn: AtomicBool::new(false),
            check: Notify::new(),
            cold_limit: Mutex::default(),
        }
    }

    /// Processes an announcement. A target with another service, address or
    /// instance, or one that returns after it was leaving, is registered anew
    /// with an empty queue.
    pub fn announce(&self, announcement: Announcement) -> Effect {
        self.announce_with(announcement, None)
    }

    /// Processes an announcement with what the target reports of its cold time.
    pub fn announce_with(&self, announcement: Announcement, report: Option<Report>) -> Effect {
        let now = self.clock.now();
        let mut target = lock(&self.state);
        let current = target.as_mut().filter(|current| {
            let previous = &current.announcement;
            previous.service == announcement.service
                && previous.address == announcement.address
                && previous.instance == announcement.instance
        });
        if let Some(current) = current {
            current.announced_at = now;
            let newly_leaving = announcement.leaving && !current.announcement.leaving;
            let returned = current.announcement.leaving && !announcement.leaving;
            if newly_leaving {
                current.gate.close();
                current.announcement = announcement;
                return Effect::Leaving;
            }
            if !returned {
                if let Some(report) = report {
                    current.gate.warmup_mut().record(report, now);
                }
                return Effect::Unchanged;
            }
        }
        let previous = target.as_ref().map(|previous| *previous.gate.warmup());
        let config = gate::Config::new(announcement.slots.min(announcement.connections));
        let config = match announcement.instance {
            // Outbound calls of an instance of the platform do not identify the
            // call that caused them, so the own time of a call is unknown and
            // the limit stays fixed. A cold instance runs as many calls
            // concurrently as a warm one, only slower, so there is no ramp-up.
            Some(_) => config.fixed(),
            None => config.cold_start(Duration::from_millis(announcement.cold_start_ms)),
        };
        let mut gate = Gate::new(config, now);
        *gate.warmup_mut() = self.new_warmup(previous, report, now);
        if announcement.leaving || self.is_withdrawn() {
            gate.close();
        }
        *target = Some(State {
            gate,
            controller: Controller::default(),
            pricer: Pricer::default(),
            announced_at: now,
            waiting: HashMap::new(),
            announcement,
            broken: 0,
            advertised_cold: false,
            advertised_at: None,
        });
        drop(target);
        self.request_check();
        Effect::New
    }

    /// Limit of a target that is registered. The bucket of its predecessor is kept.
    fn new_warmup(&self, previous: Option<Warmup>, report: Option<Report>, now: Moment) -> Warmup {
        let mut warmup = previous.unwrap_or_default();
        warmup.reset_reports();
        let limit = *lock(&self.cold_limit);
        warmup.set_limit(limit.rate, limit.slack, now);
        if let Some(report) = report {
            warmup.record(report, now);
        }
        warmup
    }

    /// Sets the limit on the calls to a cold target.
    pub fn set_cold_limit(&self, limit: ColdLimit) {
        let previous = std::mem::replace(&mut *lock(&self.cold_limit), limit);
        if previous == limit {
            return;
        }
        let now = self.clock.now();
        if let Some(target) = lock(&self.state).as_mut() {
            let warmup = target.gate.warmup_mut();
            warmup.set_limit(limit.rate, limit.slack, now);
        }
        self.request_check();
    }

    /// Records that the target may have become cold, so that its calls are limited
    /// until a health check or a heartbeat shows otherwise, and requests a health check.
    /// Without a limit in the configuration, neither happens.
    pub fn suspect_cold(&self) {
        let now = self.clock.now();
        if let Some(target) = lock(&self.state).as_mut() {
            target.gate.warmup_mut().suspect(now);
        }
        self.request_check();
    }

    /// Records the end of an exchange. A target to which no connection can be opened,
    /// or that breaks several in a row, may have restarted.
    pub fn record_connection(&self, connection: Connection) {
        let mut target = lock(&self.state);
        let is_suspect = target
            .as_mut()
            .is_some_and(|target| target.record_connection(connection));
        drop(target);
        if is_suspect {
            self.suspect_cold();
        }
    }

    /// Records what the instance reported in a health check. Of another instance than
    /// the registered one, nothing is recorded.
    pub fn record_check(&self, instance: &str, left: Duration, requested_at: Moment) {
        let now = self.clock.now();
        let mut target = lock(&self.state);
        let current = target
            .as_mut()
            .filter(|target| target.announcement.instance.as_deref() == Some(instance));
        if let Some(current) = current {
            let report = Report::Check { left, requested_at };
            current.gate.warmup_mut().record(report, now);
        }
    }

    /// Whether the calls of the target are limited because it is cold or may be.
    pub fn is_cold(&self) -> bool {
        let now = self.clock.now();
        let target = lock(&self.state);
        target
            .as_ref()
            .is_some_and(|target| target.gate.warmup().is_in_force(now))
    }

    /// Whether a health check is needed to learn whether the target is cold.
    pub fn needs_check(&self) -> bool {
        lock(&self.state).as_ref().is_some_and(|target| {
            !target.announcement.leaving && target.gate.warmup().needs_check()
        })
    }

    /// Waits until a health check is requested.
    pub async fn check_requested(&self) {
        self.check.notified().await;
    }

    fn request_check(&self) {
        if self.needs_check() {
            self.check.notify_one();
        }
    }

    /// Whether the target became cold or warm since it was last advertised, and its
    /// remaining cold time.
    pub fn take_cold_change(&self) -> Option<(bool, Duration)> {
        let now = self.clock.now();
        lock(&self.state).as_mut()?.take_cold_change(now)
    }

    /// Slots to advertise: those that the target announced, or those that it sustains
    /// while it is cold; zero without a target.
    pub fn slots(&self) -> u32 {
        let now = self.clock.now();
        lock(&self.state)
            .as_ref()
            .map_or(0, |target| target.slots(now))
    }

    /// Removes the target if its last announcement is older than `max_age`.
    /// Returns the service of a removed target.
    pub fn expire(&self, max_age: Duration) -> Option<Arc<str>> {
        let now = self.clock.now();
        let mut target = lock(&self.state);
        let expired = target.take_if(|current| now.since(current.announced_at) > max_age)?;
        Some(expired.announcement.service)
    }

    /// Whether a target is registered and leaving.
    pub fn is_leaving(&self) -> bool {
        lock(&self.state)
            .as_ref()
            .is_some_and(|target| target.announcement.leaving)
    }

    /// Takes the target out of service for good because the daemon is stopping.
    /// The next published profile advertises the target as closed. Calls that
    /// still arrive run until [`Self::close`].
    pub fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Relaxed);
    }

    /// Whether the target is out of service because the daemon is stopping.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.load(Ordering::Relaxed)
    }

    /// Refuses new calls from now on. Calls that wait or run are not affected.
    pub fn close(&self) {
        if let Some(target) = lock(&self.state).as_mut() {
            target.gate.close();
        }
    }

    /// Marks the target as leaving and refuses new calls from now on.
    pub fn set_leaving(&self) {
        if let Some(target) = lock(&self.state).as_mut() {
            target.gate.close();
            target.announcement.leaving = true;
        }
    }

    /// Announcement in force of the registered target.
    pub fn announcement(&self) -> Option<Announcement> {
        lock(&self.state)
            .as_ref()
            .map(|target| target.announcement.clone())
    }

    /// Load to report to other daemons, zero without a target.
    pub fn load(&self) -> Load {
        let now = self.clock.now();
        let target = lock(&self.state);
        target.as_ref().map_or_else(Load::default, |target| {
            let load = target.gate.load(now);
            let price = target.pricer.price() * load.service_time.as_secs_f64();
            Load::from(load).with_price(price)
        })
    }

    /// Calls that run or wait, relative to the limit; zero without a target.
    pub fn pressure(&self) -> f64 {
        let now = self.clock.now();
        lock(&self.state)
            .as_ref()
            .map_or(0.0, |target| target.gate.load(now).pressure())
    }

    /// Waits until the target can run the call, at most until its deadline.
    ///
    /// # Errors
    ///
    /// [`Code::NoTarget`] if no target of the service is registered, and else the
    /// code for which the call was shed. The call has not run.
    pub async fn acquire(&self, attributes: Attributes<'_>) -> Result<Permit<'_>, Code> {
        let (mut permit, decision) = self.offer(attributes)?;
        let Some(decision) = decision else {
            return Ok(permit);
        };
        let queued_at = self.clock.now();
        let shed = match timeout(self.clock.remaining(attributes.deadline), decision).await {
            Ok(Ok(Ok(()))) => {
                permit.waited = self.clock.now().since(queued_at);
                self.record_wait(permit.waited);
                return Ok(permit);
            }
            Ok(Ok(Err(shed))) => shed,
            // The target was replaced while the call waited.
            Ok(Err(_)) => Shed::Closed,
            Err(_) => Shed::Deadline,
        };
        Err(shed::code(shed))
    }

    /// What would become of a call at the gate; see [`Gate::preview`]. `None` if no
    /// target of the service is registered.
    pub fn preview(&self, attributes: Attributes<'_>) -> Option<Preview> {
        let now = self.clock.now();
        let target = lock(&self.state);
        let target = target.as_ref()?;
        let is_served = *target.announcement.service == *attributes.service;
        is_served.then(|| target.gate.preview(attributes.offer(Ticket(u64::MAX)), now))
    }

    /// Offers a call to the gate. Returns a receiver of the gate's later decision
    /// if the call was queued.
    #[expect(clippy::type_complexity, reason = "used in one place")]
    fn offer(
        &self,
        attributes: Attributes<'_>,
    ) -> Result<(Permit<'_>, Option<oneshot::Receiver<Result<(), Shed>>>), Code> {
        let now = self.clock.now();
        let mut guard = lock(&self.state);
        let target = guard
            .as_mut()
            .filter(|target| &*target.announcement.service == attributes.service)
            .ok_or(Code::NoTarget)?;
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let offer = attributes.offer(ticket);
        let mut changes = Vec::new();
        target.controller.record_arrival(attributes.rank);
        target.controller.tick(now);
        target.pricer.record_arrival();
        target.update_price(now);
        let decision = target.gate.offer(offer, now, &mut changes);
        target.apply(&changes);
        let receiver = match decision {
            Decision::Run => {
                target.controller.record_start(false);
                None
            }
            Decision::Wait => {
                let (sender, receiver) = oneshot::channel();
                target.waiting.insert(ticket, sender);
                Some(receiver)
            }
            Decision::Shed(shed) => {
                target.record_shed(shed);
                return Err(shed::code(shed));
            }
        };
        let permit = Permit {
            target: self,
            ticket,
            address: target.announcement.address,
            instance: target.announcement.instance.clone(),
            connections: target.announcement.connections,
            waited: Duration::ZERO,
            completion: None,
        };
        Ok((permit, receiver))
    }

    /// Sheds queued calls that can no longer meet their deadline, starts queued
    /// calls as the limit permits, and updates level and price.
    pub fn tick(&self) {
        let now = self.clock.now();
        if let Some(target) = lock(&self.state).as_mut() {
            let mut changes = Vec::new();
            target.gate.tick(now, &mut changes);
            target.controller.tick(now);
            target.update_price(now);
            target.apply(&changes);
        }
    }

    /// Price of the time that a call of this route takes on the target, zero
    /// without a target.
    pub fn price(&self, route: cardamomshed_policy::RouteKey) -> f64 {
        lock(&self.state).as_ref().map_or(0.0, |target| {
            target.pricer.price() * target.gate.service_time_of(route).as_secs_f64()
        })
    }

    /// Whether no call runs or waits.
    pub fn is_idle(&self) -> bool {
        lock(&self.state)
            .as_ref()
            .is_none_or(|target| target.gate.is_idle())
    }

    /// Admission level to report to callers.
    pub fn level(&self) -> Level {
        lock(&self.state)
            .as_ref()
            .map_or(ADMIT_ALL, |target| target.controller.level())
    }

    /// Records how much longer than usual work takes on the target, as the response of
    /// an instance reported it. Ignored if another target is registered by now.
    pub fn record_slowdown(&self, instance: Option<&str>, factor: f64) {
        let now = self.clock.now();
        let mut target = lock(&self.state);
        let current = target.as_mut();
        if let Some(current) =
            current.filter(|target| target.announcement.instance.as_deref() == instance)
        {
            current.gate.record_slowdown(factor, now);
        }
    }

    fn record_wait(&self, wait: Duration) {
        if let Some(target) = lock(&self.state).as_mut() {
            let long_wait = target.gate.is_long_wait(wait);
            target.controller.record_start(long_wait);
        }
    }

    fn release(&self, ticket: Ticket, completion: Option<Completion>) {
        let now = self.clock.now();
        if let Some(target) = lock(&self.state).as_mut() {
            let mut changes = Vec::new();
            target.waiting.remove(&ticket);
            let Some(completion) = completion else {
                target.gate.cancel(ticket, now, &mut changes);
                target.apply(&changes);
                return;
            };
            let own_time = match completion {
                Completion::Answered { own_time } => Some(own_time),
                Completion::Rejected | Completion::Failed => None,
            };
            let is_rejected = completion == Completion::Rejected;
            target.gate.record_rejection(is_rejected);
            target.gate.finish(ticket, own_time, now, &mut changes);
            target.apply(&changes);
        }
    }
}

impl Permit<'_> {
    /// Records how much longer than usual work takes on the target.
    pub fn record_slowdown(&self, factor: f64) {
        let instance = self.instance.as_deref();
        self.target.record_slowdown(instance, factor);
    }

    /// Records how the call ended. Without it, the drop of the permit cancels the
    /// call.
    pub const fn complete(&mut self, completion: Completion) {
        self.completion = Some(completion);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.target.release(self.ticket, self.completion);
    }
}
