//! The target beside this daemon: who it is and who may enter it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cardamomshed_code::Code;
use cardamomshed_policy::Moment;
use cardamomshed_policy::admission::{ADMIT_ALL, Controller, Level, Rank};
use cardamomshed_policy::gate::{self, Change, Decision, Gate, Offer, Shed, Ticket};
use cardamomshed_policy::price::Pricer;
use cardamomshed_wire::Load;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::sync::lock;

/// What a target tells its daemon when it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the target serves.
    pub service: Arc<str>,
    /// Where the target accepts HTTP, on this VM.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
    /// Time that it takes to warm up, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// Whether it is about to stop.
    #[serde(default)]
    pub leaving: bool,
    /// Identity of the incarnation, where the target has one.
    #[serde(default)]
    pub instance: Option<Arc<str>>,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// A target that was not there before.
    New,
    /// The target is leaving now.
    Leaving,
    /// Nothing but the time of the announcement.
    Same,
}

#[derive(Debug)]
struct Target {
    announcement: Announcement,
    announced: Moment,
    gate: Gate,
    steering: Controller,
    meter: Pricer,
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), Shed>>>,
}

/// The target beside this daemon.
#[derive(Debug)]
pub struct Beside {
    clock: Clock,
    target: Mutex<Option<Target>>,
    next_ticket: AtomicU64,
    /// The daemon ends, so that no target is in service any more, whatever
    /// it says of itself.
    withdrawn: AtomicBool,
}

/// A place on the target; given back when it is dropped.
#[derive(Debug)]
pub struct Entry<'a> {
    beside: &'a Beside,
    ticket: Ticket,
    /// Where the target accepts HTTP.
    pub address: SocketAddr,
    /// Identity of the target's incarnation.
    pub instance: Option<Arc<str>>,
    /// Connections that the target accepts at once.
    pub connections: u32,
    /// Time that the call waited.
    pub waited: Duration,
    own_time: Option<Duration>,
}

/// A call that asks to enter.
#[derive(Clone, Copy, Debug)]
pub struct Visitor<'a> {
    /// Service that it is for.
    pub service: &'a str,
    /// Route of the call.
    pub route: cardamomshed_policy::RouteKey,
    /// Everything the gate weighs, but the ticket.
    pub account: cardamomshed_policy::AccountKey,
    /// Priority of the root request.
    pub priority: cardamomshed_policy::Priority,
    /// Hops from the caller.
    pub depth: u8,
    /// Place of the root request in the order of shedding.
    pub rank: Rank,
    /// Deadline of the call.
    pub deadline: Moment,
}

impl Beside {
    /// No target so far.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            target: Mutex::new(None),
            next_ticket: AtomicU64::new(1),
            withdrawn: AtomicBool::new(false),
        }
    }

    /// Takes in an announcement.
    pub fn announce(&self, announcement: Announcement) -> Announced {
        let now = self.clock.now();
        let mut target = lock(&self.target);
        let known = target.as_mut().filter(|known| {
            let old = &known.announcement;
            old.service == announcement.service
                && old.address == announcement.address
                && old.instance == announcement.instance
        });
        if let Some(known) = known {
            known.announced = now;
            let newly_leaving = announcement.leaving && !known.announcement.leaving;
            let returned = known.announcement.leaving && !announcement.leaving;
            if newly_leaving {
                known.gate.close();
                known.announcement = announcement;
                return Announced::Leaving;
            }
            if !returned {
                return Announced::Same;
            }
        }
        let config = gate::Config::new(announcement.slots.min(announcement.connections));
        let config = match announcement.instance {
            // The calls that an instance of the platform makes carry no mark
            // of the call that made them. A cold one runs as many calls at
            // once as a warm one, each of them slower.
            Some(_) => config.fixed(),
            None => config.cold_start(Duration::from_millis(announcement.cold_start_ms)),
        };
        let mut gate = Gate::new(config, now);
        if announcement.leaving || self.is_withdrawn() {
            gate.close();
        }
        *target = Some(Target {
            gate,
            steering: Controller::default(),
            meter: Pricer::default(),
            announced: now,
            waiting: HashMap::new(),
            announcement,
        });
        Announced::New
    }

    /// Forgets a target that stopped announcing itself; gives its service.
    pub fn lapse(&self, after: Duration) -> Option<Arc<str>> {
        let now = self.clock.now();
        let mut target = lock(&self.target);
        let lapsed = target.take_if(|known| now.since(known.announced) > after)?;
        Some(lapsed.announcement.service)
    }

    /// Whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        lock(&self.target)
            .as_ref()
            .is_some_and(|target| target.announcement.leaving)
    }

    /// Takes the target out of service for good, since the daemon ends: others
    /// are told that it takes no calls. Calls that come all the same run
    /// until [`Self::close`].
    pub fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Relaxed);
    }

    /// Whether the target is out of service since the daemon ends.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.load(Ordering::Relaxed)
    }

    /// Refuses new calls from now on.
    pub fn close(&self) {
        if let Some(target) = lock(&self.target).as_mut() {
            target.gate.close();
        }
    }

    /// Refuses new calls from now on, since the target leaves.
    pub fn leave_target(&self) {
        if let Some(target) = lock(&self.target).as_mut() {
            target.gate.close();
            target.announcement.leaving = true;
        }
    }

    /// The target's announcement.
    pub fn announcement(&self) -> Option<Announcement> {
        lock(&self.target)
            .as_ref()
            .map(|target| target.announcement.clone())
    }

    /// Load as told to other daemons.
    pub fn load(&self) -> Load {
        let now = self.clock.now();
        lock(&self.target)
            .as_ref()
            .map_or_else(Load::default, |target| target.gate.load(now).into())
    }

    /// Waits for a place on the target.
    ///
    /// # Errors
    ///
    /// The code under which the call is refused. It has not run.
    pub async fn enter(&self, visitor: Visitor<'_>) -> Result<Entry<'_>, Code> {
        let (mut entry, verdict) = self.offer(visitor)?;
        let Some(verdict) = verdict else {
            return Ok(entry);
        };
        let arrived = self.clock.now();
        let shed = match timeout(self.clock.remaining(visitor.deadline), verdict).await {
            Ok(Ok(Ok(()))) => {
                entry.waited = self.clock.now().since(arrived);
                self.note_wait(entry.waited);
                return Ok(entry);
            }
            Ok(Ok(Err(shed))) => shed,
            // The target was replaced while the call waited.
            Ok(Err(_)) => Shed::Closed,
            Err(_) => Shed::Deadline,
        };
        Err(shed_code(shed))
    }

    /// Offers a call; gives a receiver if it has to wait.
    #[expect(clippy::type_complexity, reason = "used in one place")]
    fn offer(
        &self,
        visitor: Visitor<'_>,
    ) -> Result<(Entry<'_>, Option<oneshot::Receiver<Result<(), Shed>>>), Code> {
        let now = self.clock.now();
        let mut guard = lock(&self.target);
        let target = guard
            .as_mut()
            .filter(|target| &*target.announcement.service == visitor.service)
            .ok_or(Code::NoTarget)?;
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let offer = Offer {
            ticket,
            route: visitor.route,
            account: visitor.account,
            priority: visitor.priority,
            depth: visitor.depth,
            deadline: visitor.deadline,
        };
        let mut changes = Vec::new();
        target.steering.record_arrival(visitor.rank);
        target.steering.tick(now);
        target.meter.record_arrival();
        target.tick_price(now);
        let verdict = target.gate.offer(offer, now, &mut changes);
        target.tell(&changes);
        let receiver = match verdict {
            Decision::Run => {
                target.steering.record_start(false);
                None
            }
            Decision::Wait => {
                let (sender, receiver) = oneshot::channel();
                target.waiting.insert(ticket, sender);
                Some(receiver)
            }
            Decision::Shed(shed) => {
                target.note_shed(shed);
                return Err(shed_code(shed));
            }
        };
        let entry = Entry {
            beside: self,
            ticket,
            address: target.announcement.address,
            instance: target.announcement.instance.clone(),
            connections: target.announcement.connections,
            waited: Duration::ZERO,
            own_time: None,
        };
        Ok((entry, receiver))
    }

    /// Sheds calls that can no longer meet their deadline.
    pub fn tick(&self) {
        let now = self.clock.now();
        if let Some(target) = lock(&self.target).as_mut() {
            let mut changes = Vec::new();
            target.gate.tick(now, &mut changes);
            target.steering.tick(now);
            target.tick_price(now);
            target.tell(&changes);
        }
    }

    /// Price of a call's time on the target.
    pub fn price(&self, route: cardamomshed_policy::RouteKey) -> f64 {
        lock(&self.target).as_ref().map_or(0.0, |target| {
            target.meter.price() * target.gate.service_time_of(route).as_secs_f64()
        })
    }

    /// Whether any call runs or waits.
    pub fn is_idle(&self) -> bool {
        lock(&self.target)
            .as_ref()
            .is_none_or(|target| target.gate.is_idle())
    }

    /// Admission level for the target.
    pub fn level(&self) -> Level {
        lock(&self.target)
            .as_ref()
            .map_or(ADMIT_ALL, |target| target.steering.level())
    }

    fn note_wait(&self, wait: Duration) {
        if let Some(target) = lock(&self.target).as_mut() {
            let long = target.gate.is_long_wait(wait);
            target.steering.record_start(long);
        }
    }

    fn leave(&self, ticket: Ticket, own_time: Option<Duration>) {
        let now = self.clock.now();
        if let Some(target) = lock(&self.target).as_mut() {
            let mut changes = Vec::new();
            target.waiting.remove(&ticket);
            match own_time {
                Some(_) => target.gate.finish(ticket, own_time, now, &mut changes),
                None => {
                    target.gate.cancel(ticket, now, &mut changes);
                }
            }
            target.tell(&changes);
        }
    }
}

impl Target {
    fn note_shed(&mut self, shed: Shed) {
        // A target that leaves or does not answer is not pressed: its calls
        // go elsewhere.
        if !matches!(shed, Shed::Closed | Shed::Stalled) {
            self.steering.record_shed();
            if self.gate.is_full() {
                self.meter.record_shed();
            }
        }
    }

    fn tick_price(&mut self, now: Moment) {
        let load = self.gate.load(now);
        let calls = f64::from(load.running + load.waiting);
        let load_per_slot = calls / f64::from(load.limit.max(1));
        self.meter.tick(load_per_slot, load.service_time, now);
    }

    fn tell(&mut self, changes: &[Change]) {
        for change in changes {
            let (ticket, verdict) = match *change {
                Change::Run(ticket) => (ticket, Ok(())),
                Change::Shed(ticket, shed) => (ticket, Err(shed)),
            };
            if let Err(shed) = verdict {
                self.note_shed(shed);
            }
            if let Some(sender) = self.waiting.remove(&ticket) {
                // A receiver that is gone has its entry dropped, which gives
                // the place back.
                let _ = sender.send(verdict);
            }
        }
    }
}

impl Entry<'_> {
    /// Notes the time that the call took on the target without the calls
    /// that it made, so that the gate learns from it.
    pub const fn finish(&mut self, own_time: Duration) {
        self.own_time = Some(own_time);
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.beside.leave(self.ticket, self.own_time);
    }
}

const fn shed_code(shed: Shed) -> Code {
    match shed {
        Shed::Deadline => Code::DeadlineUnmet,
        Shed::Full => Code::QueueFull,
        Shed::Stalled => Code::TargetStalled,
        Shed::Closed => Code::Leaving,
    }
}
