//! Changes that are still to be told to others.

use std::sync::Arc;

use indexmap::IndexMap;

/// Times that a change is told, for each doubling of the fleet.
const TIMES_PER_DOUBLING: u32 = 4;

/// Changes that are still to be told, by the member they concern.
#[derive(Debug, Default)]
pub(super) struct Spread {
    /// Times that each change was told.
    told: IndexMap<Arc<str>, u32>,
}

impl Spread {
    /// Adds a change, or starts it over.
    pub(super) fn add(&mut self, name: Arc<str>) {
        self.told.insert(name, 0);
    }

    /// Takes up to `count` changes, those told least often first. In a fleet
    /// of `members` a change that was told often enough is dropped.
    pub(super) fn take(&mut self, count: usize, members: usize) -> Vec<Arc<str>> {
        if self.told.len() > count {
            self.told
                .sort_unstable_by(|_, first, _, second| first.cmp(second));
        }
        let mut taken = Vec::with_capacity(count.min(self.told.len()));
        for (name, told) in self.told.iter_mut().take(count) {
            *told += 1;
            taken.push(Arc::clone(name));
        }
        let doublings = usize::BITS - members.leading_zeros();
        let enough = doublings * TIMES_PER_DOUBLING;
        self.told.retain(|_, told| *told < enough);
        taken
    }
}
