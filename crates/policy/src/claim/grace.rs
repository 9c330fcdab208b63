//! Time after a return of the store in which no key may be claimed.

use std::time::Duration;

use crate::moment::Moment;

/// Time after this daemon learned of the return for which keys are not claimed. The others
/// learn of it with a poll of the store (0.5 s) or a peer's packet (1 s) and then need
/// time to write.
pub const SETTLE: Duration = Duration::from_secs(3);
/// Time after which keys are claimed again though rows of this daemon are still missing.
pub const LIMIT: Duration = Duration::from_secs(5);

/// Whether keys may be claimed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Grace {
    /// Era of the store; `None` before the first response.
    era: Option<u64>,
    /// When this daemon learned that the store had returned from a copy.
    returned_at: Option<Moment>,
}

impl Grace {
    /// Records the era of the store as known `now`. Returns the era if it is a new one in
    /// which rows of this daemon may be missing.
    pub fn observe(&mut self, era: Option<u64>, now: Moment) -> Option<u64> {
        if era <= self.era {
            return None;
        }
        let is_first = self.era.is_none();
        self.era = era;
        // The first era that a process sees may have begun just before, unless it is that
        // of a store that never returned from a copy.
        if !is_first || era != Some(0) {
            self.returned_at = Some(now);
        }
        era.filter(|_| !is_first)
    }

    /// Era of the store, zero before the first response.
    pub fn era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// Whether keys may be claimed. `is_rewriting` is whether rows of this daemon are still
    /// to be checked.
    pub fn is_over(&self, is_rewriting: bool, now: Moment) -> bool {
        let length = if is_rewriting { LIMIT } else { SETTLE };
        self.returned_at
            .is_none_or(|returned| now.since(returned) >= length)
    }

    /// Whether the longest time for which keys are not claimed has ended.
    pub fn is_past_limit(&self, now: Moment) -> bool {
        self.is_over(true, now)
    }
}
