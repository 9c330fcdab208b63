//! The JSON document of a preview.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::Failure;
use cardamomshed_note::{Match, Name};
use cardamomshed_policy::route::{Candidate, Exclusion, Tier};
use cardamomshed_policy::{Moment, Priority};
use serde::Serialize;

use crate::http::access::Access;
use crate::http::{ingress, outbound, problem, reservation};
use crate::node::Node;
use crate::reply::Refused;
use crate::service::Place;

/// What would become of a request now.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Document {
    pub(super) node: Arc<str>,
    pub(super) interface: Interface,
    pub(super) revision: u64,
    pub(super) confirmed_ms_ago: Option<u64>,
    pub(super) leaving: bool,
    pub(super) request: Request,
    /// `None` while no configuration is known.
    pub(super) route: Option<Route>,
    pub(super) admission: Option<Admission>,
    /// Outcome at the service that is next, or else at the one with the largest share.
    pub(super) outcome: Outcome,
    pub(super) services: Vec<Service>,
}

/// Interface of the callers' listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Interface {
    /// This project's own.
    Own,
    /// The platform's protocol.
    Platform,
}

/// The request that is previewed.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Request {
    pub(super) method: String,
    pub(super) host: String,
    pub(super) path: String,
    pub(super) account: Option<Arc<str>>,
    pub(super) size: usize,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Route {
    pub(super) name: Name,
    pub(super) priority: Priority,
    pub(super) timeout_ms: u64,
    pub(super) repeatable: bool,
    pub(super) open: bool,
    /// `None` for every region.
    pub(super) regions: Option<Vec<Name>>,
}

impl Route {
    pub(super) fn new(matched: &Match, priority: Priority, regions: Option<Vec<Name>>) -> Self {
        let route = &matched.route;
        Self {
            name: route.name.clone(),
            timeout_ms: route.timeout.get().as_millis() as u64,
            repeatable: route.repeatable,
            open: route.open,
            priority,
            regions,
        }
    }
}

/// What the limits at the ingress say.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Admission {
    /// Why the configuration, keys or the state of the daemon refuse the request.
    pub(super) access: Option<Refusal>,
    /// `None` if no rate applies.
    pub(super) quota: Option<Quota>,
    /// Price of the route on the platform's interface.
    pub(super) price: Option<f64>,
    /// Admission level of the route on this project's own interface.
    pub(super) level: Option<f32>,
    /// Share of such requests that load shedding admits.
    pub(super) share: f64,
    pub(super) memory: Memory,
    pub(super) body_limit: usize,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Quota {
    /// Tokens held here for requests of the account.
    pub(super) held: u32,
    /// Tokens that lenders on this daemon have; `None` if it is no lender.
    pub(super) lendable: Option<f64>,
    /// Where the request would get its token: `held`, `lent`, `asked`, `dry` or
    /// `unanswered`.
    pub(super) source: &'static str,
    /// Daemon that would be asked.
    pub(super) lender: Option<Arc<str>>,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Memory {
    /// Whether new requests are refused.
    pub(super) full: bool,
    /// Reserved bytes.
    pub(super) used: usize,
    /// Whether the request would find room now.
    pub(super) room: bool,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub(super) struct Outcome {
    pub(super) verdict: Verdict,
    /// Expected wait in a queue.
    pub(super) wait_ms: Option<f64>,
    /// Share of such requests that are not refused at random.
    pub(super) share: f64,
    /// Why the request, or the rest of such requests, is refused.
    pub(super) refusal: Option<Refusal>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Verdict {
    Admitted,
    Queued,
    Refused,
}

impl Outcome {
    pub(super) const fn refused(refusal: Refusal) -> Self {
        Self {
            verdict: Verdict::Refused,
            wait_ms: None,
            share: 0.0,
            refusal: Some(refusal),
        }
    }
}

/// A refusal as the caller would receive it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub(super) struct Refusal {
    pub(super) code: u16,
    pub(super) title: &'static str,
    pub(super) status: u16,
    pub(super) detail: String,
    /// Smallest and largest `Retry-After` in seconds.
    pub(super) retry_after_s: Option<[f64; 2]>,
}

impl Refusal {
    /// Refusal on the callers' interface. `caller` is the request, if it is identified,
    /// with the time at which its client stops waiting.
    pub(super) fn new(
        node: &Node,
        interface: Interface,
        caller: Option<(&Access, Moment)>,
        failure: Failure,
    ) -> Self {
        let code = failure.code;
        let refused = Refused::not_run(code, failure.detail, 0);
        let range = reserved_range(node, interface, caller, &refused);
        let range = range.or_else(|| unreserved_range(node, interface, caller, &refused));
        Self {
            code: code.number(),
            title: code.text(),
            status: match interface {
                Interface::Own => code.status(),
                Interface::Platform => outbound::status(&refused),
            },
            detail: refused.detail,
            retry_after_s: range,
        }
    }
}

/// Range of `Retry-After` in seconds if capacity can be reserved.
fn reserved_range(
    node: &Node,
    interface: Interface,
    caller: Option<(&Access, Moment)>,
    refused: &Refused,
) -> Option<[f64; 2]> {
    let (access, deadline) = caller?;
    match interface {
        Interface::Own => {
            let holder = (access.matched.key, access.account_key);
            let returning = ingress::find_return(node, holder, refused)?;
            let (low, high) = reservation::preview(node, &returning)?;
            Some([low, high].map(|delay| problem::whole_seconds(delay) as f64))
        }
        Interface::Platform => {
            let returning = outbound::find_return(node, (access, deadline), refused)?;
            let (low, high) = reservation::preview(node, &returning)?;
            Some([low, high].map(|delay| delay.as_secs_f64()))
        }
    }
}

/// Range of `Retry-After` in seconds if no capacity can be reserved. `None` if the
/// response carries none.
fn unreserved_range(
    node: &Node,
    interface: Interface,
    caller: Option<(&Access, Moment)>,
    refused: &Refused,
) -> Option<[f64; 2]> {
    let at = |draw| match interface {
        Interface::Own => {
            let route = caller.map(|(access, _)| access.matched.key);
            let delay = ingress::retry_after(node, route, refused.code, draw)?;
            Some(problem::whole_seconds(delay) as f64)
        }
        Interface::Platform => {
            let delay = outbound::retry_after(node, caller, refused, draw)?;
            Some(delay.as_secs_f64())
        }
    };
    at(0.0).zip(at(1.0)).map(|(low, high)| [low, high])
}

/// Where the requests for one service of the route would go.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Service {
    pub(super) name: Arc<str>,
    /// Share of the route's requests that go to this service.
    pub(super) share: f64,
    /// Whether the next request on this daemon goes there; `None` if that is not drawn
    /// yet.
    pub(super) next: Option<bool>,
    pub(super) outcome: Outcome,
    pub(super) choice: Option<Choice>,
    /// What the windows and the gate beside the local target say.
    pub(super) local: Option<Local>,
    pub(super) candidates: Vec<Row>,
    pub(super) candidates_total: usize,
    pub(super) excluded: Vec<Excluded>,
    pub(super) excluded_total: usize,
}

/// The most likely choice and the alternative that it is most often compared with.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Choice {
    pub(super) node: Arc<str>,
    pub(super) tier: &'static str,
    pub(super) load: f64,
    pub(super) alternative: Option<Arc<str>>,
    pub(super) alternative_load: Option<f64>,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Local {
    /// Decision of the windows of the route's downstream routes.
    pub(super) windows: &'static str,
    /// Decision of the gate.
    pub(super) gate: &'static str,
    /// Expected wait at both.
    pub(super) wait_ms: f64,
}

/// A candidate.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Row {
    pub(super) node: Arc<str>,
    pub(super) domain: Arc<str>,
    pub(super) region: Arc<str>,
    pub(super) tier: &'static str,
    /// Calls per slot, with this one.
    pub(super) load: f64,
    /// `None` without a recent report.
    pub(super) report_age_ms: Option<u64>,
    pub(super) service_time_ms: Option<f64>,
    pub(super) slowdown: f64,
    pub(super) price: f64,
    /// Expected wait in the queue.
    pub(super) wait_ms: f64,
    /// Share of the requests that it is chosen for.
    pub(super) share: f64,
    pub(super) rank: f64,
}

impl Row {
    pub(super) fn new(candidate: &Candidate, place: &Place) -> Self {
        Self {
            node: Arc::clone(&place.node),
            domain: Arc::clone(&place.domain),
            region: Arc::clone(&place.region),
            tier: tier(candidate.tier),
            load: candidate.load,
            report_age_ms: candidate.age.map(|age| age.as_millis() as u64),
            service_time_ms: candidate.service_time.map(millis),
            slowdown: candidate.slowdown,
            price: candidate.price,
            wait_ms: millis(candidate.wait),
            share: candidate.share,
            rank: candidate.rank,
        }
    }
}

/// A target that is not considered.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Excluded {
    pub(super) node: Arc<str>,
    pub(super) domain: Arc<str>,
    pub(super) region: Arc<str>,
    pub(super) cause: Exclusion,
}

pub(super) const fn tier(tier: Tier) -> &'static str {
    match tier {
        Tier::Domain => "domain",
        Tier::Region => "region",
        Tier::Remote => "remote",
    }
}

pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
