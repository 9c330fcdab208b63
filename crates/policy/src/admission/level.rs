//! The admission level that a daemon sets for its local target.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rank::{RANKS_PER_PRIORITY, Rank};
use crate::key::Priority;
use crate::moment::Moment;

/// Bins of the histogram, one per whole rank.
const BINS: usize = RANKS_PER_PRIORITY as usize * Priority::ALL.len();
/// Level above every rank.
pub const ADMIT_ALL: Level = Level(BINS as f32);
/// Minimum time between two updates of the level.
const WINDOW: Duration = Duration::from_millis(100);
/// Longest time that an update waits for [`MIN_SAMPLES`].
const MAX_WINDOW: Duration = Duration::from_millis(400);
/// Started and shed calls below which a window is extended, since too few calls
/// say nothing about the load.
const MIN_SAMPLES: u32 = 4;
/// Calls in a window at which it weighs as much as all earlier windows
/// together.
const HALF_WEIGHT_CALLS: f32 = 40.0;
/// Factor by which a histogram bin above the level decays in a window without
/// overload. During overload the bin is kept, since refused calls do not reach
/// the target and cannot update it.
const RETENTION: f32 = 0.85;
/// Relative growth of the admitted load per window without overload while the
/// load is near the capacity.
const NEAR_GROWTH: f32 = 0.03;
/// Range of the load, relative to the capacity, that counts as near it. A load
/// above the range shows that the capacity estimate is out of date.
const NEAR_CAPACITY: std::ops::Range<f32> = 0.9..1.15;
/// Relative growth outside [`NEAR_CAPACITY`]. Each further window without
/// overload adds as much.
const GROWTH_STEP: f32 = 0.05;
/// Upper bound of the growth in one window.
const MAX_GROWTH: f32 = 0.4;
/// Share of the capacity that is admitted during overload. It is below one so
/// that the queue drains.
const DRAIN_SHARE: f32 = 0.95;
/// Largest rise of the level in one window, in ranks. It bounds the rise over
/// ranks without recent load.
const MAX_RISE: f32 = 16.0;

/// A threshold in the order of requests: ranks below it are admitted.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
pub struct Level(pub f32);

impl Level {
    /// Whether a request of this rank is admitted.
    pub fn admits(self, rank: Rank) -> bool {
        rank.0 < self.0
    }

    /// The lower of two levels.
    #[must_use]
    pub const fn lower(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }
}

/// Events of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    arrived: u32,
    started: u32,
    shed: u32,
    /// Whether any call started after a short wait, which shows that there is
    /// no standing queue.
    short_wait: bool,
}

/// Controls the level of one target by the state of its queue.
///
/// A queue that only bursts fill does not change the level. A window counts as
/// overloaded if all of its calls waited long, or if any call was shed. The
/// calls that start during overload measure the target's capacity. The level is
/// then set, by the histogram of arrivals, so that about this many calls are
/// admitted. Without overload the level rises, slowly near the known capacity, unless
/// the queue grows.
#[derive(Clone, Debug)]
pub struct Controller {
    /// Within 0..=[`ADMIT_ALL`].
    level: f32,
    /// Smoothed calls per window by whole rank. Bins above the level hold
    /// decaying earlier values.
    histogram: Box<[f32; BINS]>,
    /// Arrivals of the current window by whole rank.
    counts: Box<[u16; BINS]>,
    window: Window,
    window_start: Moment,
    /// Consecutive windows without overload.
    windows_without_overload: u32,
    /// Calls that the target starts per window during overload, zero while
    /// unknown.
    capacity: f32,
}

impl Default for Controller {
    fn default() -> Self {
        Self {
            level: ADMIT_ALL.0,
            histogram: Box::new([0.0; BINS]),
            counts: Box::new([0; BINS]),
            window: Window::default(),
            window_start: Moment::ZERO,
            windows_without_overload: 0,
            capacity: 0.0,
        }
    }
}

impl Window {
    /// Whether the queue grew by more than a load near the capacity explains. Calls that
    /// started early in the window may have had short waits nevertheless. The last arrival
    /// is not counted, since the window may end before the gate decides on it.
    fn has_growing_queue(&self) -> bool {
        self.arrived.saturating_sub(1) as f32 > self.started as f32 * NEAR_CAPACITY.end
    }
}

impl Controller {
    /// Level in force.
    pub const fn level(&self) -> Level {
        Level(self.level)
    }

    /// Records a call that arrived.
    pub fn record_arrival(&mut self, rank: Rank) {
        self.window.arrived += 1;
        let bin = (rank.0 as usize).min(BINS - 1);
        self.counts[bin] = self.counts[bin].saturating_add(1);
    }

    /// Records a call that started; `long_wait` says whether it waited long.
    pub const fn record_start(&mut self, long_wait: bool) {
        self.window.started += 1;
        self.window.short_wait |= !long_wait;
    }

    /// Records a call that was shed.
    pub const fn record_shed(&mut self) {
        self.window.shed += 1;
    }

    /// Updates the level if the current window has ended.
    pub fn tick(&mut self, now: Moment) {
        let length = now.since(self.window_start);
        let sufficient = self.window.started + self.window.shed >= MIN_SAMPLES;
        if length < WINDOW || (!sufficient && length < MAX_WINDOW) {
            return;
        }
        self.update_histogram(length);
        let standing_queue = self.window.started > 0 && !self.window.short_wait;
        let overloaded = standing_queue || self.window.shed > 0;
        if overloaded {
            self.decrease(length);
        } else if !self.window.has_growing_queue() {
            self.increase();
        }
        self.window = Window::default();
        self.window_start = now;
    }

    /// Merges the counts of the window into the histogram and resets them.
    fn update_histogram(&mut self, length: Duration) {
        let retention = if self.windows_without_overload > 1 {
            RETENTION
        } else {
            1.0
        };
        let scale = WINDOW.as_secs_f32() / length.as_secs_f32().max(f32::MIN_POSITIVE);
        let weight = weight_of(self.window.arrived);
        for (bin, count) in self.counts.iter_mut().enumerate() {
            let observed = f32::from(*count) * scale;
            let estimate = &mut self.histogram[bin];
            if (bin as f32) < self.level {
                *estimate += weight * (observed - *estimate);
            } else {
                *estimate = (*estimate * retention).max(weight * observed);
            }
            *count = 0;
        }
    }

    fn decrease(&mut self, length: Duration) {
        self.windows_without_overload = 0;
        let scale = WINDOW.as_secs_f32() / length.as_secs_f32().max(f32::MIN_POSITIVE);
        let started = self.window.started as f32 * scale;
        let weight = if self.capacity > 0.0 {
            weight_of(self.window.started)
        } else {
            1.0
        };
        self.capacity += weight * (started - self.capacity);
        self.level = self.level.min(self.rank_at(self.capacity * DRAIN_SHARE));
    }

    fn increase(&mut self) {
        if self.level >= ADMIT_ALL.0 {
            return;
        }
        self.windows_without_overload += 1;
        let load = self.load_below(self.level);
        let growth = if NEAR_CAPACITY.contains(&(load / self.capacity.max(f32::MIN_POSITIVE))) {
            NEAR_GROWTH
        } else {
            (GROWTH_STEP * self.windows_without_overload as f32).min(MAX_GROWTH)
        };
        let wanted = self.rank_at(load * (1.0 + growth) + 0.01);
        self.level = wanted
            .clamp(self.level, self.level + MAX_RISE)
            .min(ADMIT_ALL.0);
    }

    /// Calls per window with ranks below `level`.
    fn load_below(&self, level: f32) -> f32 {
        let full_bins = (level as usize).min(BINS);
        let below = self.histogram[..full_bins].iter().sum::<f32>();
        let part = self.histogram.get(full_bins).copied().unwrap_or(0.0);
        below + part * level.fract()
    }

    /// Level below which the calls of a window add up to `load`.
    fn rank_at(&self, load: f32) -> f32 {
        let mut left = load;
        for (bin, count) in self.histogram.iter().enumerate() {
            if *count > left {
                return bin as f32 + left / count;
            }
            left -= count;
        }
        ADMIT_ALL.0
    }
}

/// Weight of a window with this many calls, relative to all earlier windows.
fn weight_of(calls: u32) -> f32 {
    calls as f32 / (calls as f32 + HALF_WEIGHT_CALLS)
}
