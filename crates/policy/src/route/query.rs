//! Restrictions on the choice of a target.

use crate::key::{RegionKey, TargetKey};

/// Restrictions on the choice of a target for one attempt of a call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Targets that are not chosen.
    pub exclude: &'a [TargetKey],
    /// Regions whose targets may be chosen; `None` for every region.
    pub regions: Option<&'a [RegionKey]>,
    /// Whether targets behind the slow link are considered.
    pub remote: bool,
}

impl Query<'_> {
    /// Whether a target may be chosen as far as its key and region are concerned.
    pub(super) fn permits(&self, key: TargetKey, region: RegionKey) -> bool {
        self.regions.is_none_or(|regions| regions.contains(&region)) && !self.exclude.contains(&key)
    }
}
