//! The registered target and the policies that protect it.

use std::collections::HashMap;
use std::time::Duration;

use cardamomshed_policy::Moment;
use cardamomshed_policy::admission::Controller;
use cardamomshed_policy::gate::{Change, Gate, Shed, Ticket};
use cardamomshed_policy::price::Pricer;
use tokio::sync::oneshot;

use super::announcement::Announcement;
use super::call::Connection;

/// Shortest interval between two changes of the advertised state. A target whose
/// connections fail now and then would otherwise change its member record at each.
const MIN_ADVERTISEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Broken connections in a row after which the target may have restarted.
const MAX_BROKEN: u32 = 3;

/// The registered target and the policies that protect it.
#[derive(Debug)]
pub(super) struct State {
    pub(super) announcement: Announcement,
    /// Time of the last announcement.
    pub(super) announced_at: Moment,
    pub(super) gate: Gate,
    /// Admission level that replies report.
    pub(super) controller: Controller,
    /// Price of the target's time.
    pub(super) pricer: Pricer,
    /// Receives the gate's decision, by queued call.
    pub(super) waiting: HashMap<Ticket, oneshot::Sender<Result<(), Shed>>>,
    /// Connections in a row that the target broke.
    pub(super) broken: u32,
    /// Whether the target is advertised as cold.
    pub(super) advertised_cold: bool,
    /// When that last changed.
    pub(super) advertised_at: Option<Moment>,
}

impl State {
    /// Counts broken connections. Returns whether the target may have restarted.
    pub(super) const fn record_connection(&mut self, connection: Connection) -> bool {
        self.broken = match connection {
            Connection::Answered => 0,
            Connection::Broken => self.broken.saturating_add(1),
            Connection::Unopened => MAX_BROKEN,
        };
        self.broken >= MAX_BROKEN
    }

    /// Whether the target became cold or warm since it was last advertised, and its
    /// remaining cold time. A change soon after the last one is told later.
    pub(super) fn take_cold_change(&mut self, now: Moment) -> Option<(bool, Duration)> {
        let warmup = self.gate.warmup();
        let is_cold = warmup.is_in_force(now);
        let is_recent = |at: Moment| now.since(at) < MIN_ADVERTISEMENT_INTERVAL;
        if self.advertised_cold == is_cold || self.advertised_at.is_some_and(is_recent) {
            return None;
        }
        let remaining = warmup.remaining(now);
        self.advertised_cold = is_cold;
        self.advertised_at = Some(now);
        Some((is_cold, remaining))
    }

    /// Slots to advertise.
    pub(super) fn slots(&self, now: Moment) -> u32 {
        let slots = self.announcement.slots;
        if self.gate.warmup().is_in_force(now) {
            slots.min(self.gate.reported_limit(now))
        } else {
            slots
        }
    }

    pub(super) fn record_shed(&mut self, shed: Shed) {
        // A target that leaves or has stalled is not overloaded, and other
        // targets take its calls.
        if !matches!(shed, Shed::Closed | Shed::Stalled) {
            self.controller.record_shed();
            if self.gate.is_full() {
                self.pricer.record_shed();
            }
        }
    }

    pub(super) fn update_price(&mut self, now: Moment) {
        let load = self.gate.load(now);
        let calls = f64::from(load.running + load.waiting);
        let load_per_slot = calls / f64::from(load.limit.max(1));
        self.pricer.tick(load_per_slot, load.service_time, now);
    }

    /// Passes the gate's decisions on to the queued calls.
    pub(super) fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            let (ticket, decision) = match *change {
                Change::Run(ticket) => (ticket, Ok(())),
                Change::Shed(ticket, shed) => (ticket, Err(shed)),
            };
            if let Err(shed) = decision {
                self.record_shed(shed);
            }
            if let Some(sender) = self.waiting.remove(&ticket) {
                // If the receiver is gone, the drop of its permit releases the slot.
                let _ = sender.send(decision);
            }
        }
    }
}
