//! The level that a daemon sets for the target beside it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rank::{Rank, SPAN};
use crate::key::Priority;
use crate::moment::Moment;

/// Bins of the histogram, one for each whole rank.
const BINS: usize = SPAN as usize * Priority::ALL.len();
/// Level that admits everything.
pub const OPEN: Level = Level(BINS as f32);
/// Time between two decisions.
const WINDOW: Duration = Duration::from_millis(100);
/// Longest time that decisions wait for enough calls.
const LONG_WINDOW: Duration = Duration::from_millis(400);
/// Started calls that make a window tell something.
const ENOUGH: u32 = 4;
/// Calls in a window at which it weighs as much as all before it.
const HALF_WEIGHT: f32 = 40.0;
/// What a histogram bin above the level keeps in a window without pressure;
/// under pressure it is kept, since nothing is learned of it.
const MEMORY: f32 = 0.85;
/// Growth of the admitted load in a window without pressure while it is
/// near the capacity.
const NEAR_GROWTH: f32 = 0.03;
/// Share of the capacity from which the load counts as near it, and at
/// which it is left behind.
const NEAR: std::ops::Range<f32> = 0.9..1.15;
/// Growth farther away; each further window adds as much.
const GROWTH: f32 = 0.05;
/// Largest growth in one window.
const MAX_GROWTH: f32 = 0.4;
/// Share of the capacity that is admitted while a queue stands, so that it
/// drains.
const DRAIN: f32 = 0.95;
/// Largest rise of the level over ranks that have no recent load.
const MAX_STEP: f32 = 16.0;

/// A cut in the order of requests: ranks below it are admitted.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
pub struct Level(pub f32);

impl Level {
    /// Whether this level admits a request of this rank.
    pub fn admits(self, rank: Rank) -> bool {
        rank.0 < self.0
    }

    /// The lower of two levels.
    #[must_use]
    pub const fn lower(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }
}

/// What happened in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    arrived: u32,
    started: u32,
    shed: u32,
    /// Whether some call started after a short wait, which shows that no
    /// queue stands.
    short_wait: bool,
}

/// Sets the level for one target from the queue before it.
///
/// A queue that only bursts fill is left alone; one in which every call of
/// a window waited long is pressure, and so is a call that had to be shed.
/// What starts under pressure is the target's capacity, and the level is
/// set, over the histogram of what arrives, to where that much is admitted.
/// Without pressure it rises, slowly near the known capacity.
#[derive(Clone, Debug)]
pub struct Steering {
    /// Within 0..=[`OPEN`].
    level: f32,
    /// Calls a window by whole rank; above the level as remembered.
    histogram: Box<[f32; BINS]>,
    counts: Box<[u16; BINS]>,
    window: Window,
    window_start: Moment,
    calm_windows: u32,
    /// Calls that the target starts in a window under pressure; zero while
    /// that is unknown.
    capacity: f32,
}

impl Default for Steering {
    fn default() -> Self {
        Self {
            level: OPEN.0,
            histogram: Box::new([0.0; BINS]),
            counts: Box::new([0; BINS]),
            window: Window::default(),
            window_start: Moment::ZERO,
            calm_windows: 0,
            capacity: 0.0,
        }
    }
}

impl Steering {
    /// The level in force.
    pub const fn level(&self) -> Level {
        Level(self.level)
    }

    /// Counts a call that arrived.
    pub fn arrived(&mut self, rank: Rank) {
        self.window.arrived += 1;
        let bin = (rank.0 as usize).min(BINS - 1);
        self.counts[bin] = self.counts[bin].saturating_add(1);
    }

    /// Counts a call that started, after a long wait or a short one.
    pub const fn started(&mut self, long_wait: bool) {
        self.window.started += 1;
        self.window.short_wait |= !long_wait;
    }

    /// Counts a call that was shed.
    pub const fn shed(&mut self) {
        self.window.shed += 1;
    }

    /// Decides if a window has passed.
    pub fn tick(&mut self, now: Moment) {
        let length = now.since(self.window_start);
        let told = self.window.started + self.window.shed >= ENOUGH;
        if length < WINDOW || (!told && length < LONG_WINDOW) {
            return;
        }
        self.fold(length);
        let queue_stands = self.window.started > 0 && !self.window.short_wait;
        let pressed = queue_stands || self.window.shed > 0;
        if pressed {
            self.fall(length);
        } else {
            self.rise();
        }
        self.window = Window::default();
        self.window_start = now;
    }

    /// Takes the counts of the window into the histogram.
    fn fold(&mut self, length: Duration) {
        let memory = if self.calm_windows > 1 { MEMORY } else { 1.0 };
        let scale = WINDOW.as_secs_f32() / length.as_secs_f32().max(f32::MIN_POSITIVE);
        let weight = weight_of(self.window.arrived);
        for (bin, count) in self.counts.iter_mut().enumerate() {
            let seen = f32::from(*count) * scale;
            let kept = &mut self.histogram[bin];
            if (bin as f32) < self.level {
                *kept += weight * (seen - *kept);
            } else {
                *kept = (*kept * memory).max(weight * seen);
            }
            *count = 0;
        }
    }

    fn fall(&mut self, length: Duration) {
        self.calm_windows = 0;
        let scale = WINDOW.as_secs_f32() / length.as_secs_f32().max(f32::MIN_POSITIVE);
        let started = self.window.started as f32 * scale;
        let weight = if self.capacity > 0.0 {
            weight_of(self.window.started)
        } else {
            1.0
        };
        self.capacity += weight * (started - self.capacity);
        self.level = self.level.min(self.rank_at(self.capacity * DRAIN));
    }

    fn rise(&mut self) {
        if self.level >= OPEN.0 {
            return;
        }
        self.calm_windows += 1;
        let load = self.load_below(self.level);
        let growth = if NEAR.contains(&(load / self.capacity.max(f32::MIN_POSITIVE))) {
            NEAR_GROWTH
        } else {
            (GROWTH * self.calm_windows as f32).min(MAX_GROWTH)
        };
        let wanted = self.rank_at(load * (1.0 + growth) + 0.01);
        self.level = wanted.clamp(self.level, self.level + MAX_STEP).min(OPEN.0);
    }

    /// Calls a window with ranks below a level.
    fn load_below(&self, level: f32) -> f32 {
        let whole = (level as usize).min(BINS);
        let below = self.histogram[..whole].iter().sum::<f32>();
        let part = self.histogram.get(whole).copied().unwrap_or(0.0);
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
        OPEN.0
    }
}

/// Weight of a window with this many calls beside all earlier ones.
fn weight_of(calls: u32) -> f32 {
    calls as f32 / (calls as f32 + HALF_WEIGHT)
}
