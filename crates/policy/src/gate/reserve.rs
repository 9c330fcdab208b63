//! Room that a gate keeps for the calls of higher priorities.
//!
//! Answers the load in which long calls of a low priority share a target
//! with short calls that belong to requests already admitted: once the long
//! ones hold every slot, the short ones miss their deadlines in the queue,
//! and all that was spent on their requests is lost.

use std::time::Duration;

use crate::key::Priority;
use crate::moment::Moment;

/// Time between two estimates.
const WINDOW: Duration = Duration::from_millis(200);
/// Weight of one window in the smoothed demand.
const SMOOTHING: f64 = 0.25;
/// Standard deviations of a Poisson demand that are kept beyond its mean.
const DEVIATIONS: f64 = 1.0;
/// Largest share of the slots that is kept.
const MOST: f64 = 0.7;

/// Slots that each priority needs, by Little's law.
#[derive(Clone, Debug, Default)]
pub(super) struct Reserve {
    /// Service time of the calls that arrived in this window, in seconds.
    arrived: [f64; Priority::ALL.len()],
    /// Smoothed slots in use if every call ran at once.
    demand: [f64; Priority::ALL.len()],
    window_start: Moment,
}

impl Reserve {
    /// Counts a call that arrived.
    pub(super) fn arrived(&mut self, priority: Priority, service_time: Duration, now: Moment) {
        let length = now.since(self.window_start);
        if length >= WINDOW {
            for (demand, arrived) in self.demand.iter_mut().zip(&mut self.arrived) {
                let recent = *arrived / length.as_secs_f64();
                // A long silence is one window of many.
                let weight = 1.0 - (1.0 - SMOOTHING).powf(length.div_duration_f64(WINDOW));
                *demand += weight * (recent - *demand);
                *arrived = 0.0;
            }
            self.window_start = now;
        }
        self.arrived[priority.index()] += service_time.as_secs_f64();
    }

    /// Slots that a call of this priority has to leave free, where `running`
    /// calls of each priority run.
    pub(super) fn kept_from(
        &self,
        priority: Priority,
        running: &[u32; Priority::ALL.len()],
        slots: u32,
    ) -> u32 {
        let higher = 0..priority.index();
        let missing = higher.map(|place| {
            let demand = self.demand[place];
            (demand + DEVIATIONS * demand.sqrt() - f64::from(running[place])).max(0.0)
        });
        missing.sum::<f64>().min(f64::from(slots) * MOST) as u32
    }
}
