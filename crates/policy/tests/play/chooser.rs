//! What chooses targets in a play.

use cardamomshed_policy::gate::Load;
use cardamomshed_policy::route::{Balancer, Outcome, Query, Tier};
use cardamomshed_policy::{Moment, TargetKey};
use rand::rngs::StdRng;

use super::{REGION, unrestricted};

/// What chooses targets.
pub trait Chooser: Default {
    /// Adds a target.
    fn insert(&mut self, tier: Tier, slots: u32, now: Moment) -> TargetKey;
    /// Chooses a target and counts a call to it as in flight.
    fn start(&mut self, exclude: &[TargetKey], random: &mut StdRng, now: Moment) -> TargetKey;
    /// Replaces a target by a new one of the same key.
    fn replace(&mut self, key: TargetKey, tier: Tier, slots: u32, now: Moment);
    /// Records the end of a call, with the load and the price that the reply reported.
    fn end(&mut self, key: TargetKey, outcome: Outcome, report: (Load, f64), now: Moment);
}

impl Chooser for Balancer {
    fn insert(&mut self, tier: Tier, slots: u32, now: Moment) -> TargetKey {
        Self::insert(self, tier, REGION, slots, now)
    }

    fn start(&mut self, exclude: &[TargetKey], random: &mut StdRng, now: Moment) -> TargetKey {
        let query = Query {
            exclude,
            ..unrestricted(true)
        };
        let choice = self.choose(&query, random, now);
        let key = choice.expect("an available target").target;
        self.record_start(key, now);
        key
    }

    fn replace(&mut self, key: TargetKey, tier: Tier, slots: u32, now: Moment) {
        self.remove(key);
        assert_eq!(Self::insert(self, tier, REGION, slots, now), key);
    }

    fn end(&mut self, key: TargetKey, outcome: Outcome, report: (Load, f64), now: Moment) {
        self.record_end(key, outcome, Some(report.0), now);
        self.record_price(key, report.1, now);
    }
}
