//! Queue of membership updates to disseminate.

use std::sync::Arc;

use indexmap::IndexMap;

/// Sends of each update per doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 2;

/// Pending updates by the name of the member that changed.
#[derive(Debug, Default)]
pub(super) struct Updates {
    /// Number of sends of each update.
    sends: IndexMap<Arc<str>, u32>,
}

impl Updates {
    /// Adds an update, or resets its number of sends.
    pub(super) fn add(&mut self, name: Arc<str>) {
        self.sends.insert(name, 0);
    }

    /// Returns up to `count` updates, least often sent first, and counts them as
    /// sent. Drops each update whose number of sends has reached the limit for a
    /// fleet of `members`.
    pub(super) fn take(&mut self, count: usize, members: usize) -> Vec<Arc<str>> {
        if self.sends.len() > count {
            self.sends
                .sort_unstable_by(|_, first, _, second| first.cmp(second));
        }
        let mut taken = Vec::with_capacity(count.min(self.sends.len()));
        for (name, sends) in self.sends.iter_mut().take(count) {
            *sends += 1;
            taken.push(Arc::clone(name));
        }
        let doublings = usize::BITS - members.leading_zeros();
        let limit = doublings * SENDS_PER_DOUBLING;
        self.sends.retain(|_, sends| *sends < limit);
        taken
    }
}
