//! Preview of a choice: how likely each target is to be chosen, and why the others are
//! not considered.
//!
//! [`Balancer::choose`] itself makes the choices that are counted here. It changes
//! nothing, and the caller passes a random source of its own, so that a preview has no
//! effect on later choices.

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{Balancer, Choice, Query, Target, Tier};
use crate::key::{RegionKey, TargetKey};
use crate::moment::Moment;

/// Choices that are counted. The standard error of a share is at most 0.022.
const DRAWS: u32 = 500;

/// Why a target is not considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exclusion {
    /// Its failure domain is evacuated.
    Evacuated,
    /// It accepts no new calls.
    Leaving,
    /// Its daemon has failed or cannot be reached over its link.
    Unreachable,
    /// It is in a region that is not allowed.
    #[serde(rename = "region-not-allowed")]
    Region,
    /// It is ejected for its failures.
    Ejected,
    /// It is behind the slow link, whose budget is spent.
    #[serde(rename = "slow-link-without-budget")]
    SlowLink,
}

/// What is known of a target beside its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Availability {
    /// Whether it accepts new calls.
    pub open: bool,
    /// Whether its daemon is reachable.
    pub linked: bool,
    /// Whether its failure domain is evacuated.
    pub evacuated: bool,
}

impl Availability {
    /// Why the target is closed; `None` if it is open.
    pub const fn exclusion(self) -> Option<Exclusion> {
        if self.evacuated {
            Some(Exclusion::Evacuated)
        } else if !self.open {
            Some(Exclusion::Leaving)
        } else if !self.linked {
            Some(Exclusion::Unreachable)
        } else {
            None
        }
    }
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: TargetKey,
    /// Its tier.
    pub tier: Tier,
    /// Its region.
    pub region: RegionKey,
    /// Estimated load as a multiple of its limit, as [`Choice::load`].
    pub load: f64,
    /// Age of the report that the estimate rests on, if there is a recent one.
    pub age: Option<Duration>,
    /// Estimated service time, if known.
    pub service_time: Option<Duration>,
    /// Estimated service time relative to the usual one.
    pub slowdown: f64,
    /// Price of a call that it reported last; zero if it reported none.
    pub price: f64,
    /// Expected wait of a call in its queue; zero if that is unknown.
    pub wait: Duration,
    /// Rank within its tier; the smallest of the compared targets is chosen.
    pub rank: f64,
    /// Share of the calls for which it is chosen, within 0..=1.
    pub share: f64,
}

/// How a choice would be made.
#[derive(Clone, Debug, Default)]
pub struct Preview {
    /// Targets that may be chosen, the most likely first, those with equal shares by
    /// tier and rank.
    pub candidates: Vec<Candidate>,
    /// Targets that are not considered.
    pub excluded: Vec<(TargetKey, Exclusion)>,
    /// The most likely choice, with the alternative that it is most often compared with.
    pub choice: Option<Choice>,
}

impl Balancer {
    /// Previews the choice that [`Self::choose`] makes for this query. Targets in
    /// [`Query::exclude`] are left out.
    pub fn preview(
        &self,
        query: &Query<'_>,
        availability: impl Fn(TargetKey) -> Availability,
        random: &mut impl Rng,
        now: Moment,
    ) -> Preview {
        let mut preview = Preview::default();
        for (index, target) in self.targets.iter().enumerate() {
            let key = TargetKey(index as u32);
            let Some(target) = target else {
                continue;
            };
            if query.exclude.contains(&key) {
                continue;
            }
            let is_considered = target.tier != Tier::Remote || query.remote;
            if is_considered && self.is_eligible(key, query, now) {
                preview.candidates.push(self.candidate(key, target, now));
            } else {
                let exclusion = exclusion(key, target, query, availability(key), now);
                preview.excluded.push((key, exclusion));
            }
        }
        if preview.candidates.is_empty() {
            return preview;
        }
        let (counts, choice) = self.count_choices(query, random, now);
        preview.choice = choice;
        for candidate in &mut preview.candidates {
            let count = counts.get(&candidate.target).copied().unwrap_or(0);
            candidate.share = f64::from(count) / f64::from(DRAWS);
        }
        preview.candidates.sort_by(|one, other| {
            let by_share = other.share.total_cmp(&one.share);
            let by_tier = one.tier.cmp(&other.tier);
            by_share.then(by_tier).then(one.rank.total_cmp(&other.rank))
        });
        preview
    }

    /// Number of choices for each target, and the most likely choice.
    fn count_choices(
        &self,
        query: &Query<'_>,
        random: &mut impl Rng,
        now: Moment,
    ) -> (IndexMap<TargetKey, u32>, Option<Choice>) {
        let mut counts = IndexMap::<TargetKey, u32>::new();
        let mut pairs = IndexMap::<_, (u32, Choice)>::new();
        for _ in 0..DRAWS {
            let Some(choice) = self.choose(query, random, now) else {
                continue;
            };
            *counts.entry(choice.target).or_default() += 1;
            let alternative = choice.rejected.map(|(key, _)| key);
            let pair = pairs.entry((choice.target, alternative));
            pair.or_insert((0, choice)).0 += 1;
        }
        let likeliest = counts.iter().max_by_key(|(_, count)| **count);
        let likeliest = likeliest.map(|(key, _)| *key);
        let of_likeliest = pairs
            .into_values()
            .filter(|(_, choice)| Some(choice.target) == likeliest);
        let choice = of_likeliest.max_by_key(|(count, _)| *count);
        (counts, choice.map(|(_, choice)| choice))
    }

    /// A candidate whose share is not known yet.
    fn candidate(&self, key: TargetKey, target: &Target, now: Moment) -> Candidate {
        let load = self.load(key, now);
        let service_time = target.estimate.service_time(now);
        let unknown = self.means[target.tier as usize].used();
        // Each call beyond the limit waits for its part of a service time, as in the
        // gate beside the target.
        let excess = (target.estimate.load(unknown, now) - 1.0).max(0.0);
        let wait = Duration::try_from_secs_f64(excess * service_time.unwrap_or(0.0));
        Candidate {
            target: key,
            tier: target.tier,
            region: target.region,
            load,
            age: target.estimate.age(now),
            service_time: service_time.and_then(|time| Duration::try_from_secs_f64(time).ok()),
            slowdown: target.estimate.slowdown(now),
            price: target.price,
            wait: wait.unwrap_or(Duration::MAX),
            rank: self.rank(key, load, now).0,
            share: 0.0,
        }
    }
}

/// Why a target is not considered. Of several causes, the first in this order is named.
fn exclusion(
    key: TargetKey,
    target: &Target,
    query: &Query<'_>,
    availability: Availability,
    now: Moment,
) -> Exclusion {
    if !target.open {
        availability.exclusion().unwrap_or(Exclusion::Leaving)
    } else if !query.permits(key, target.region) {
        Exclusion::Region
    } else if !target.health.accepts_calls(now) {
        Exclusion::Ejected
    } else {
        Exclusion::SlowLink
    }
}
