//! The admitted rate of one route, lowered by marks and raised without.

use std::time::Duration;

use crate::moment::Moment;

/// Settings of a [`Rate`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time between two decisions.
    pub window: Duration,
    /// Share of the rate that a window with only marked answers cuts.
    pub cut: f64,
    /// Growth of the rate in the first window without a mark.
    pub growth: f64,
    /// Largest growth in one window.
    pub max_growth: f64,
    /// Smallest admitted rate, in requests a second, so that a route finds
    /// out when its services are well again.
    pub floor: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(50),
            cut: 0.3,
            growth: 0.01,
            max_growth: 0.2,
            floor: 5.0,
        }
    }
}

/// Weight of one window in the smoothed share of marks.
const MARK_SMOOTHING: f64 = 0.25;
/// Windows after which a limit well above the admitted rate is dropped.
const OPEN_AFTER: u32 = 20;

/// The admitted rate of one route.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    /// Requests a second; `None` while the route is open. Never below the
    /// floor of the settings.
    limit: Option<f64>,
    /// Smoothed share of marked answers, within 0..=1.
    mark_share: f64,
    calm_windows: u32,
    window_start: Moment,
    admitted: u32,
    answered: u32,
    marked: u32,
}

impl Rate {
    /// Requests a second that may be admitted.
    pub const fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Counts a request that was admitted.
    pub const fn count_admitted(&mut self) {
        self.admitted += 1;
    }

    /// Counts an answer.
    pub const fn observe(&mut self, marked: bool) {
        self.answered += 1;
        if marked {
            self.marked += 1;
        }
    }

    /// Decides once a window; says whether it did.
    pub fn turn_window(&mut self, config: &Config, now: Moment) -> bool {
        let elapsed = now.since(self.window_start);
        if elapsed < config.window {
            return false;
        }
        let admitted_rate = f64::from(self.admitted) / elapsed.as_secs_f64();
        if self.marked > 0 {
            self.lower(config, admitted_rate);
        } else {
            self.raise(config, admitted_rate);
        }
        self.window_start = now;
        self.admitted = 0;
        self.answered = 0;
        self.marked = 0;
        true
    }

    fn lower(&mut self, config: &Config, admitted_rate: f64) {
        let share = f64::from(self.marked) / f64::from(self.answered.max(1));
        self.mark_share += MARK_SMOOTHING * (share - self.mark_share);
        self.calm_windows = 0;
        let from = self.limit.unwrap_or(admitted_rate);
        let cut = 1.0 - config.cut * self.mark_share.max(share * 0.5);
        self.limit = Some((from * cut).max(config.floor));
    }

    fn raise(&mut self, config: &Config, admitted_rate: f64) {
        self.mark_share *= 1.0 - MARK_SMOOTHING;
        let Some(limit) = self.limit else {
            return;
        };
        self.calm_windows += 1;
        let growth = (config.growth * f64::from(self.calm_windows)).min(config.max_growth);
        let raised = limit * (1.0 + growth);
        // A limit far above what is offered binds nothing.
        let idle = raised > 2.0 * admitted_rate + config.floor;
        self.limit = (!(idle && self.calm_windows > OPEN_AFTER)).then_some(raised);
    }
}
