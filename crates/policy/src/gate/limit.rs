//! Adaptive concurrency limit for a target that is slower than its slots
//! suggest.

use std::time::Duration;

use indexmap::IndexMap;

use super::slowdown::Slowdown;
use crate::key::RouteKey;
use crate::moment::Moment;

/// Weight of one observation in the smoothed service time.
const SMOOTHING: f64 = 0.1;
/// Weight of one window in the base time when the window is slower than the
/// base.
const BASE_DRIFT: f64 = 0.02;
/// Ratio of recent time to base time up to which a slowdown counts as noise.
const NOISE_RATIO: f64 = 2.0;
/// Lower bound of the limit as a share of the slots.
const MIN_SHARE: f64 = 0.25;
/// Minimum length of an observation window.
const WINDOW: Duration = Duration::from_millis(100);
/// Observations below which a window is extended.
const MIN_WINDOW_SAMPLES: u32 = 8;

/// Concurrency limit between a quarter of the slots, at least one, and all slots.
///
/// The gradient compares a call's *own* time on the target, without its
/// outbound calls, to the base time without load. A target that waits for a
/// slow downstream service therefore keeps its slots. A target that thrashes
/// loses some.
#[derive(Clone, Debug)]
pub struct Limit {
    slots: u32,
    /// Whether the limit may fall below the slots.
    adaptive: bool,
    /// Service time of a route without completed calls, in seconds.
    initial_estimate: f64,
    /// Smoothed time from start to completion by route, in seconds, without the
    /// slowdown at that time.
    by_route: IndexMap<RouteKey, f64>,
    /// Within `[floor, slots]`.
    current: f64,
    /// The same over all routes.
    total_time: f64,
    /// Own time without load, in seconds; zero while unknown.
    base_time: f64,
    slowdown: Slowdown,
    window_start: Moment,
    window_sum: f64,
    window_count: u32,
    window_peak: u32,
}

impl Limit {
    /// A limit that starts at the number of slots.
    pub fn new(slots: u32, initial_estimate: Duration, adaptive: bool) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            adaptive,
            initial_estimate: initial_estimate.as_secs_f64(),
            by_route: IndexMap::new(),
            current: f64::from(slots),
            total_time: initial_estimate.as_secs_f64(),
            base_time: 0.0,
            slowdown: Slowdown::NONE,
            window_start: Moment::ZERO,
            window_sum: 0.0,
            window_count: 0,
            window_peak: 0,
        }
    }

    /// Changes the number of slots; the limit follows it at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.current = f64::from(self.slots);
    }

    /// Calls that may run concurrently, at least one.
    pub const fn current(&self) -> u32 {
        let whole = self.current as u32;
        if whole == 0 { 1 } else { whole }
    }

    /// Records a factor by which the target reports that work takes longer than usual.
    pub fn observe_slowdown(&mut self, factor: f64, now: Moment) {
        self.slowdown.observe(factor, now);
    }

    /// Factor by which work takes longer than usual; one unless the target reports it.
    pub fn slowdown(&self, now: Moment) -> f64 {
        self.slowdown.factor(now)
    }

    /// Expected time from start to completion of a call that starts now.
    pub fn service_time(&self, now: Moment) -> Duration {
        Duration::from_secs_f64(self.total_time * self.slowdown(now))
    }

    /// Expected time from start to completion of a call of this route that starts now.
    pub fn service_time_of(&self, route: RouteKey, now: Moment) -> Duration {
        Duration::from_secs_f64(self.usual_time_of(route) * self.slowdown(now))
    }

    /// Smoothed time from start to completion of a call, without the slowdown at that
    /// time.
    pub fn usual_time(&self) -> Duration {
        Duration::from_secs_f64(self.total_time)
    }

    /// Smoothed time from start to completion of this route's calls, in seconds, without
    /// the slowdown at that time.
    pub fn usual_time_of(&self, route: RouteKey) -> f64 {
        let known = self.by_route.get(&route).copied();
        known.unwrap_or(self.initial_estimate)
    }

    /// Records a completed call. `slowdown` was in force when it started, `running`
    /// is the number of calls in progress, this one included. A call without
    /// `own_time` is ignored.
    pub fn observe(
        &mut self,
        route: RouteKey,
        total: Duration,
        own_time: Option<Duration>,
        slowdown: f64,
        running: u32,
        now: Moment,
    ) {
        let Some(own_time) = own_time else {
            return;
        };
        let slowdown = f64::midpoint(slowdown, self.slowdown(now));
        let seconds = total.as_secs_f64() / slowdown;
        if self.by_route.is_empty() {
            self.total_time = seconds;
        }
        self.total_time += SMOOTHING * (seconds - self.total_time);
        let estimate = self.by_route.entry(route).or_insert(seconds);
        *estimate += SMOOTHING * (seconds - *estimate);
        if !self.adaptive {
            return;
        }
        self.window_sum += own_time.as_secs_f64();
        self.window_count += 1;
        self.window_peak = self.window_peak.max(running);
        if now.since(self.window_start) >= WINDOW && self.window_count >= MIN_WINDOW_SAMPLES {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: Moment) {
        let recent = self.window_sum / f64::from(self.window_count);
        self.update_base(recent);
        let gradient = (NOISE_RATIO * self.base_time / recent).clamp(0.5, 1.0);
        let loaded = f64::from(self.window_peak) * 2.0 >= self.current;
        if gradient < 1.0 || loaded {
            let headroom = self.current.sqrt();
            let floor = (f64::from(self.slots) * MIN_SHARE).max(1.0);
            self.current = (self.current * gradient + headroom).clamp(floor, f64::from(self.slots));
        }
        self.window_start = now;
        self.window_sum = 0.0;
        self.window_count = 0;
        self.window_peak = 0;
    }

    fn update_base(&mut self, recent: f64) {
        if self.base_time == 0.0 || recent < self.base_time {
            self.base_time = recent.max(1e-6);
        } else {
            self.base_time += BASE_DRIFT * (recent - self.base_time);
        }
    }
}
