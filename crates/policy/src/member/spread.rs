//! Changes that are still to be told to others.

use std::sync::Arc;

use indexmap::IndexMap;

/// Times that a change is told, for each doubling of the fleet.
const TIMES_PER_DOUBLING: u32 = 3;

/// Changes that are still to be told, by the member they concern.
#[derive(Debug, Default)]
pub(super) struct Spread {
    /// Times that each change is still to be told; never zero.
    left: IndexMap<Arc<str>, u32>,
}

impl Spread {
    /// Adds a change in a fleet of `members`, or starts it over.
    pub(super) fn add(&mut self, name: Arc<str>, members: usize) {
        let doublings = usize::BITS - members.leading_zeros();
        let times = (doublings * TIMES_PER_DOUBLING).max(1);
        let left = self.left.entry(name).or_insert(0);
        *left = times.max(*left);
    }

    /// Takes up to `count` changes, those told least often first.
    pub(super) fn take(&mut self, count: usize) -> Vec<Arc<str>> {
        if self.left.len() > count {
            self.left
                .sort_unstable_by(|_, first, _, second| second.cmp(first));
        }
        let mut taken = Vec::with_capacity(count.min(self.left.len()));
        for (name, left) in self.left.iter_mut().take(count) {
            *left -= 1;
            taken.push(Arc::clone(name));
        }
        self.left.retain(|_, left| *left > 0);
        taken
    }
}
