//! Targets whose reports are the newest.

use crate::key::TargetKey;

/// Number of targets that are kept.
const CAPACITY: usize = 4;

/// The targets of one tier that reported last, the newest first.
///
/// A daemon hears of a target only in replies to its own calls. If it samples at random
/// among many targets, most reports are too old to tell which targets are free at this
/// moment; these few are not.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    /// Distinct keys.
    keys: [Option<TargetKey>; CAPACITY],
}

impl Recent {
    /// Records a report of this target.
    pub(super) fn record(&mut self, key: TargetKey) {
        let place = self.keys.iter().position(|known| *known == Some(key));
        self.keys[..=place.unwrap_or(CAPACITY - 1)].rotate_right(1);
        self.keys[0] = Some(key);
    }

    pub(super) fn remove(&mut self, key: TargetKey) {
        for known in &mut self.keys {
            known.take_if(|known| *known == key);
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = TargetKey> {
        self.keys.iter().flatten().copied()
    }
}
