//! Where a request for one service would go.

use std::sync::Arc;

use cardamomshed_code::{Code, Failure};
use cardamomshed_note::Name;
use cardamomshed_policy::TargetKey;
use cardamomshed_policy::admission::Rank;
use cardamomshed_policy::gate;
use cardamomshed_policy::member::State;
use cardamomshed_policy::route::{Candidate, Exclusion};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::document::{Choice, Excluded, Local, Row, millis, tier};
use crate::http::access::Access;
use crate::node::Node;
use crate::runner;
use crate::service::{Place, Preview, Query};
use crate::shed;
use crate::sync::lock;
use crate::target::Attributes;

/// Largest number of candidates, and of excluded targets, that are listed.
const MAX_LISTED: usize = 100;
/// Seed of the choices that are counted. Equal states give equal previews.
const SEED: u64 = 1;

/// Where a request would go, and whether it would start there.
#[derive(Debug)]
pub(super) struct Placement {
    pub(super) choice: Option<Choice>,
    pub(super) local: Option<Local>,
    pub(super) candidates: Vec<Row>,
    pub(super) candidates_total: usize,
    pub(super) excluded: Vec<Excluded>,
    pub(super) excluded_total: usize,
    /// Expected wait in milliseconds at the target that would take the request.
    pub(super) taken: Result<f64, Failure>,
}

/// Previews the placement of a request in these regions.
pub(super) fn preview(
    node: &Node,
    access: &Access,
    service: &str,
    regions: Option<&[Name]>,
) -> Placement {
    let found = choices(node, service, regions, &[]);
    let (local, taken) = follow(node, access, service, regions, &found);
    let choice = found.route.choice.and_then(|choice| {
        let (alternative, alternative_load) = choice.rejected.unzip();
        let name = |key: TargetKey| Some(Arc::clone(&found.places.get(&key)?.node));
        Some(Choice {
            node: name(choice.target)?,
            tier: tier(choice.tier),
            load: choice.load,
            alternative: alternative.and_then(name),
            alternative_load,
        })
    });
    let rows = found.route.candidates.iter();
    let rows = rows.filter_map(|one| Some(Row::new(one, found.places.get(&one.target)?)));
    let mut excluded = excluded(&found);
    excluded.extend(failed(node, service));
    Placement {
        choice,
        local,
        candidates: rows.take(MAX_LISTED).collect(),
        candidates_total: found.route.candidates.len(),
        excluded_total: excluded.len(),
        excluded: {
            excluded.truncate(MAX_LISTED);
            excluded
        },
        taken,
    }
}

fn choices(node: &Node, service: &str, regions: Option<&[Name]>, exclude: &[TargetKey]) -> Preview {
    let now = node.clock.now();
    let query = Query {
        service,
        exclude,
        regions,
        remote: lock(&node.routing.slow_link).would_have_room(now),
    };
    let mut random = StdRng::seed_from_u64(SEED);
    node.routing.services.preview(&query, &mut random, now)
}

/// Follows the most likely choice, or the next one if the local target would refuse the
/// call, as `dispatch` does. Of the targets of other daemons only their reports are known.
fn follow(
    node: &Node,
    access: &Access,
    service: &str,
    regions: Option<&[Name]>,
    first: &Preview,
) -> (Option<Local>, Result<f64, Failure>) {
    let Some((candidate, place)) = chosen(first) else {
        let detail = format!("service {service}");
        return (None, Err(Failure::new(Code::NoTarget, detail)));
    };
    if place.node != node.name {
        return (None, Ok(millis(candidate.wait)));
    }
    let (local, taken) = at_local_target(node, access, service);
    let taken = taken.or_else(|code| {
        let others = choices(node, service, regions, &[candidate.target]);
        let wait = chosen(&others).map(|(other, _)| millis(other.wait));
        wait.ok_or_else(|| Failure::new(code, "at the local target"))
    });
    (local, taken)
}

/// The most likely choice.
fn chosen(preview: &Preview) -> Option<(&Candidate, &Place)> {
    let target = preview.route.choice?.target;
    let mut candidates = preview.route.candidates.iter();
    let candidate = candidates.find(|candidate| candidate.target == target)?;
    Some((candidate, preview.places.get(&target)?))
}

/// Expected wait at the local target in milliseconds, or the code for which it would
/// refuse the call.
fn at_local_target(
    node: &Node,
    access: &Access,
    service: &str,
) -> (Option<Local>, Result<f64, Code>) {
    let attributes = Attributes {
        service,
        route: access.matched.key,
        account: access.account_key,
        priority: access.priority,
        depth: 0,
        rank: Rank::MOST_IMPORTANT,
        deadline: node.clock.now() + access.matched.route.timeout.get(),
    };
    let decisions = match runner::preview(node, attributes) {
        Ok(decisions) => decisions,
        Err(code) => return (None, Err(code)),
    };
    let waits = decisions.map(|decision| match decision {
        gate::Preview::Wait(wait) => millis(wait),
        gate::Preview::Run | gate::Preview::Shed(_) => 0.0,
    });
    let wait_ms = waits.iter().sum();
    let [windows, gate] = decisions.map(|decision| match decision {
        gate::Preview::Run => "run",
        gate::Preview::Wait(_) => "wait",
        gate::Preview::Shed(_) => "shed",
    });
    let shed = decisions.into_iter().find_map(|decision| match decision {
        gate::Preview::Shed(shed) => Some(shed::code(shed)),
        gate::Preview::Run | gate::Preview::Wait(_) => None,
    });
    let local = Local {
        windows,
        gate,
        wait_ms,
    };
    (Some(local), shed.map_or(Ok(wait_ms), Err))
}

fn excluded(found: &Preview) -> Vec<Excluded> {
    let row = |(key, cause): &(TargetKey, Exclusion)| {
        let place: &Place = found.places.get(key)?;
        Some(Excluded {
            node: Arc::clone(&place.node),
            domain: Arc::clone(&place.domain),
            region: Arc::clone(&place.region),
            cause: *cause,
        })
    };
    found.route.excluded.iter().filter_map(row).collect()
}

/// Targets beside members that have failed, which the balancer does not know.
fn failed(node: &Node, service: &str) -> Vec<Excluded> {
    let fleet = lock(&node.members.fleet);
    let failed = fleet.members().filter(|member| {
        member.state == State::Failed && member.profile.service.as_deref() == Some(service)
    });
    let row = failed.map(|member| Excluded {
        node: Arc::clone(&member.name),
        domain: Arc::clone(&member.profile.domain),
        region: Arc::clone(&member.profile.region),
        cause: Exclusion::Unreachable,
    });
    row.collect()
}
