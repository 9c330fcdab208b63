//! Concurrency window of the calls on a target that make calls on one downstream
//! route.
//!
//! A call that makes several downstream calls in turn completes only if all of
//! them are served. If the downstream service is overloaded, refusing some of
//! them at random therefore wastes most of the work: with a quarter refused, three
//! of four calls that make five of them fail. The window limits how many such
//! calls run at once to what the downstream service can serve, and queues or
//! refuses the others before they have made any downstream call.
//!
//! Every reply on the downstream route reports the pressure there: the calls that
//! run or wait, relative to those that can run. A call that is refused because its
//! own window is full reports that window's pressure, so that congestion moves up
//! the call graph hop by hop to the services at its front.

use std::time::Duration;

use crate::gate::{Change, Config, Decision, Gate, Offer, Preview, Ticket};
use crate::moment::Moment;

/// Mean pressure above which the window is reduced. Calls queue downstream.
const HIGH_PRESSURE: f64 = 1.25;
/// Pressure that the window aims at. A short queue keeps every slot in use.
const TARGET_PRESSURE: f64 = 1.1;
/// Mean pressure below which the window grows.
const LOW_PRESSURE: f64 = 1.0;
/// Pressure that a downstream refusal for lack of capacity counts as at least.
const REFUSED_PRESSURE: f64 = 2.0;
/// Largest reported pressure that is taken into account.
const MAX_PRESSURE: f64 = 8.0;
/// Weight of one reduction: the fraction of the way from the limit in force to the
/// estimated limit.
const REDUCTION: f64 = 0.6;
/// Largest growth per interval, as a factor and in calls.
const MAX_GROWTH: (f64, f64) = (1.25, 1.0);
/// Mean pressure below which the window may grow by the larger factor: the
/// downstream service has recovered or gained targets.
const IDLE_PRESSURE: f64 = 0.5;
/// That factor.
const IDLE_GROWTH: f64 = 2.0;
/// Shortest interval between two changes of the window. It is one downstream call
/// long where these take longer, since a change shows only then.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest such interval.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Downstream replies below which an interval is extended up to that length.
const MIN_REPORTS: u32 = 4;
/// Weight of one downstream call in the smoothed latency.
const LATENCY_SMOOTHING: f64 = 0.1;
/// Time without a queue in front of the window after which it is removed.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit of a window that is not in force.
const UNLIMITED: u32 = u32::MAX / 2;

/// Reports of the downstream calls of one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Reports {
    sum: f64,
    count: u32,
}

/// Window of one downstream route.
#[derive(Debug)]
pub struct Window {
    gate: Gate,
    /// Limit in force, at least one call; `None` while downstream has room.
    limit: Option<f64>,
    reports: Reports,
    /// Smoothed latency of the downstream calls, in seconds.
    latency: f64,
    /// Start of the current interval.
    started_at: Moment,
    /// When a call last had to wait for the window.
    waited_at: Moment,
}

impl Window {
    /// A window that is not in force.
    pub fn new(now: Moment) -> Self {
        Self {
            gate: Gate::new(Config::new(UNLIMITED).fixed().without_stall(), now),
            limit: None,
            reports: Reports::default(),
            latency: 0.0,
            started_at: now,
            waited_at: now,
        }
    }

    /// Decides on a new call; see [`Gate::offer`].
    pub fn offer(&mut self, offer: Offer, now: Moment, changes: &mut Vec<Change>) -> Decision {
        let decision = self.gate.offer(offer, now, changes);
        if decision != Decision::Run {
            self.waited_at = now;
        }
        decision
    }

    /// Decides on a call without an effect; see [`Gate::preview`].
    pub fn preview(&self, offer: Offer, now: Moment) -> Preview {
        self.gate.preview(offer, now)
    }

    /// Records that a call completed; see [`Gate::finish`].
    pub fn finish(&mut self, ticket: Ticket, now: Moment, changes: &mut Vec<Change>) {
        self.gate.finish(ticket, Some(Duration::ZERO), now, changes);
    }

    /// Removes a call that waits or runs; see [`Gate::cancel`].
    pub fn cancel(&mut self, ticket: Ticket, now: Moment, changes: &mut Vec<Change>) {
        self.gate.cancel(ticket, now, changes);
    }

    /// Records the pressure that a downstream reply reported and the time that the
    /// call took. `refused` says that the call was refused and has not run. Without
    /// pressure, that has another cause than a lack of capacity.
    pub fn observe(&mut self, pressure: f64, refused: bool, latency: Duration) {
        let lacks_capacity = refused && pressure >= LOW_PRESSURE;
        let floor = if lacks_capacity {
            REFUSED_PRESSURE
        } else {
            0.0
        };
        self.reports.sum += pressure.clamp(floor, MAX_PRESSURE);
        self.reports.count += 1;
        self.latency += LATENCY_SMOOTHING * (latency.as_secs_f64() - self.latency);
    }

    /// Ends the interval if it is over and changes the limit. Starts queued calls
    /// and sheds those that can no longer meet their deadlines.
    pub fn tick(&mut self, now: Moment, changes: &mut Vec<Change>) {
        let latency = Duration::from_secs_f64(self.latency);
        let interval = latency.clamp(MIN_INTERVAL, MAX_INTERVAL);
        let elapsed = now.since(self.started_at);
        let is_sufficient = self.reports.count >= MIN_REPORTS || elapsed >= MAX_INTERVAL;
        if elapsed >= interval && is_sufficient {
            self.started_at = now;
            let reports = std::mem::take(&mut self.reports);
            self.update(reports, now);
            let slots = self.limit.map_or(UNLIMITED, |limit| limit.round() as u32);
            self.gate.set_slots(slots);
        }
        self.gate.tick(now, changes);
    }

    /// Calls that run or wait, relative to the limit; zero if there is none.
    pub fn pressure(&self, now: Moment) -> f64 {
        if self.limit.is_none() {
            return 0.0;
        }
        self.gate.load(now).pressure()
    }

    /// Limit in force.
    pub fn limit(&self) -> Option<u32> {
        self.limit.map(|limit| limit.round() as u32)
    }

    fn update(&mut self, reports: Reports, now: Moment) {
        let load = self.gate.load(now);
        let is_used = load.waiting > 0 || now.since(self.waited_at) < UNUSED_TIMEOUT;
        if self.limit.is_some() && !is_used {
            self.limit = None;
            return;
        }
        if reports.count == 0 {
            return;
        }
        let mean = reports.sum / f64::from(reports.count);
        // The running calls cause this pressure, so that this many would cause the
        // one aimed at.
        let running = f64::from(load.running);
        let estimate = (running * TARGET_PRESSURE / mean.max(0.1)).max(1.0);
        if mean > HIGH_PRESSURE {
            if self.limit.is_none() {
                self.waited_at = now;
            }
            let current = self.limit.unwrap_or(running);
            self.limit = Some((current + REDUCTION * (estimate - current)).max(1.0));
        } else if let Some(limit) = self.limit
            && mean < LOW_PRESSURE
            && load.waiting > 0
        {
            let (factor, calls) = MAX_GROWTH;
            let factor = if mean < IDLE_PRESSURE {
                IDLE_GROWTH
            } else {
                factor
            };
            self.limit = Some(estimate.clamp(limit, limit * factor + calls));
        }
    }
}
