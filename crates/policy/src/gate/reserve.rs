//! Slots that a gate reserves for calls of higher priorities.
//!
//! Without a reserve, long calls of a low priority can occupy every slot of a
//! target that also runs short calls of requests admitted earlier. The short
//! calls then miss their deadlines in the queue, and the work already spent on
//! their requests is lost.

use std::time::Duration;

use crate::key::Priority;
use crate::moment::Moment;

/// Minimum time between two estimates.
const WINDOW: Duration = Duration::from_millis(200);
/// Weight of one window in the smoothed demand.
const SMOOTHING: f64 = 0.25;
/// Reserved slots beyond the mean demand, in standard deviations of a Poisson
/// distribution.
const MARGIN_DEVIATIONS: f64 = 1.0;
/// Largest share of the slots that is reserved.
const MAX_SHARE: f64 = 0.7;

/// Estimates by Little's law how many slots each priority needs.
#[derive(Clone, Debug, Default)]
pub(super) struct Reserve {
    /// Total service time of the calls that arrived in this window, in seconds.
    arrived: [f64; Priority::ALL.len()],
    /// Smoothed number of slots in use if every call started at once.
    demand: [f64; Priority::ALL.len()],
    window_start: Moment,
}

impl Reserve {
    /// Records a call that arrived.
    pub(super) fn record_arrival(
        &mut self,
        priority: Priority,
        service_time: Duration,
        now: Moment,
    ) {
        if now.since(self.window_start) >= WINDOW {
            self.demand = std::array::from_fn(|index| self.demand_at(index, now));
            self.arrived = [0.0; Priority::ALL.len()];
            self.window_start = now;
        }
        self.arrived[priority.index()] += service_time.as_secs_f64();
    }

    /// Smoothed demand of a priority, including the arrivals of a window that has
    /// ended without a further one. Without this, the reserve would outlast the
    /// calls it is for until the next arrival.
    fn demand_at(&self, index: usize, now: Moment) -> f64 {
        let demand = self.demand[index];
        let length = now.since(self.window_start);
        if length < WINDOW {
            return demand;
        }
        let recent = self.arrived[index] / length.as_secs_f64();
        // An interval of several windows has their combined weight.
        let weight = 1.0 - (1.0 - SMOOTHING).powf(length.div_duration_f64(WINDOW));
        demand + weight * (recent - demand)
    }

    /// Slots that a call of this priority must leave free for higher
    /// priorities at `now`. `running` is the number of calls in progress by priority,
    /// `slots` the concurrency limit.
    pub(super) fn reserved_above(
        &self,
        priority: Priority,
        running: &[u32; Priority::ALL.len()],
        slots: u32,
        now: Moment,
    ) -> u32 {
        let higher = 0..priority.index();
        let shortfall = higher.map(|index| {
            let demand = self.demand_at(index, now);
            (demand + MARGIN_DEVIATIONS * demand.sqrt() - f64::from(running[index])).max(0.0)
        });
        shortfall.sum::<f64>().min(f64::from(slots) * MAX_SHARE) as u32
    }
}
