//! Preview of a request: where it would go now, and why, without sending it.
//!
//! Every decision comes from the code that serves requests, called with read-only access.
//! Nothing is sent, and no token, slot, retry or random state is taken or changed.

mod admission;
mod document;
mod placement;
mod request;

use std::sync::Arc;

use cardamomshed_code::{Code, Failure};
use cardamomshed_note::{Lookup, Match, Settings};
use cardamomshed_policy::Moment;

use super::access::Access;
use crate::node::Node;
use crate::sync::lock;
use document::{
    Admission, Document, Interface, Outcome, Refusal, Request, Route, Service, Verdict,
};
use placement::Placement;

/// What every service of the route has in common.
struct Common<'a> {
    node: &'a Node,
    interface: Interface,
    access: &'a Access,
    /// Time at which the client stops waiting.
    deadline: Moment,
    /// Refusal before a service is chosen.
    before: Option<Refusal>,
    /// Share that load shedding admits.
    share: f64,
    /// Refusal after that.
    after: Option<Failure>,
}

/// Previews the request that a query string describes.
///
/// # Errors
///
/// [`Code::RouteUnknown`], [`Code::ReferenceUnknown`] for an unknown account,
/// [`Code::ValueRange`] for a malformed size or [`Code::BadRequest`].
pub fn preview(node: &Node, query: &str) -> Result<Document, Failure> {
    let request = request::parse(query)?;
    let lookup = node.lookup();
    let interface = interface(&node.settings);
    let matched = match interface {
        Interface::Own => lookup.route(&request.path),
        Interface::Platform => lookup.host_route(&request.host, &request.path),
    };
    let is_configured = lookup.config.revision > 0;
    if is_configured && matched.is_none() {
        return Err(Failure::new(Code::RouteUnknown, request.path));
    }
    let unknown = request.account.as_ref().filter(|account| {
        let accounts = &lookup.config.accounts;
        is_configured && !accounts.contains_key(*account)
    });
    if let Some(account) = unknown {
        let detail = format!("account `{account}`");
        return Err(Failure::new(Code::ReferenceUnknown, detail));
    }
    let checked = admission::check_access(node, &lookup, interface, &request);
    let Some(matched) = matched else {
        // Without a configuration, every request is refused.
        let failure = checked.err().map_or_else(
            || Failure::new(Code::RouteUnknown, ""),
            |(failure, _)| failure,
        );
        let refusal = Refusal::new(node, interface, None, failure);
        let outcome = Outcome::refused(refusal);
        return Ok(document(node, &lookup, request, outcome));
    };
    let access = admission::access(node, &lookup, interface, matched, &request);
    let deadline = node.clock.now() + matched.route.timeout.get();
    let before = checked.err().map(|(failure, is_identified)| {
        let caller = is_identified.then_some((&access, deadline));
        Refusal::new(node, interface, caller, failure)
    });
    let (share, price, level) = admission::shedding(node, interface, &access);
    let quota = admission::quota(node, &access);
    let (quota, taken) = quota.unzip();
    let (memory, accepted) = admission::body(node, &lookup, &request);
    let common = Common {
        node,
        interface,
        access: &access,
        deadline,
        before: before.clone(),
        share,
        after: taken.unwrap_or(Ok(())).and(accepted).err(),
    };
    let services = services(&common, &lookup, matched);
    let regions = lookup
        .config
        .allowed_regions(&matched.route, &access.account);
    let outcome = main_outcome(&services);
    Ok(Document {
        route: Some(Route::new(matched, access.priority, regions)),
        admission: Some(Admission {
            access: before,
            quota,
            price,
            level,
            share,
            memory,
            body_limit: lookup.config.limits.body.get(),
        }),
        services,
        ..document(node, &lookup, request, outcome)
    })
}

/// Interface of the callers' listener, which [`super::server::start`] selects.
fn interface(settings: &Settings) -> Interface {
    if settings.tls.is_none() && settings.sidecar.is_some() {
        Interface::Platform
    } else {
        Interface::Own
    }
}

fn document(node: &Node, lookup: &Lookup, request: Request, outcome: Outcome) -> Document {
    let confirmed = node.configuration.unconfirmed_for();
    Document {
        node: Arc::clone(&node.name),
        interface: interface(&node.settings),
        revision: lookup.config.revision,
        confirmed_ms_ago: confirmed.map(|age| age.as_millis() as u64),
        leaving: node.lifecycle.is_leaving() || node.lifecycle.is_closing(),
        request,
        route: None,
        admission: None,
        outcome,
        services: Vec::new(),
    }
}

/// Outcome at the service that is next, or else at the one with the largest share.
fn main_outcome(services: &[Service]) -> Outcome {
    let key = |service: &&Service| (service.next == Some(true), service.share);
    let main = services.iter().max_by(|one, other| {
        let (one, other) = (key(one), key(other));
        one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
    });
    main.expect("a route has a service").outcome.clone()
}

/// Previews each service that receives requests of the route.
fn services(common: &Common<'_>, lookup: &Lookup, matched: &Match) -> Vec<Service> {
    let route = &matched.route;
    // This project's own interface does not divide a route.
    if matched.shares.is_empty() || common.interface == Interface::Own {
        return vec![service(common, lookup, route, 1.0, Some(true))];
    }
    let weights = matched.shares.iter().map(|(weight, _)| *weight);
    let weights = weights.collect::<Vec<_>>();
    let rotations = lock(&common.node.routing.rotations);
    let rotation = rotations.get(&matched.key);
    let next = rotation.and_then(|rotation| rotation.preview(&weights));
    drop(rotations);
    let total = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let shares = matched.shares.iter().enumerate();
    let services = shares.map(|(index, (weight, route))| {
        let is_next = next.map(|next| next == index);
        service(common, lookup, route, weight / total, is_next)
    });
    services.collect()
}

fn service(
    common: &Common<'_>,
    lookup: &Lookup,
    route: &cardamomshed_note::Route,
    share: f64,
    next: Option<bool>,
) -> Service {
    let Common { node, access, .. } = *common;
    let regions = lookup.config.allowed_regions(route, &access.account);
    let regions = regions.as_deref();
    let placement = placement::preview(node, access, &route.service, regions);
    let in_region = node.routing.services.check_regions(&route.service, regions);
    Service {
        name: route.service.to_arc(),
        share,
        next,
        outcome: outcome(common, in_region, &placement),
        choice: placement.choice,
        local: placement.local,
        candidates: placement.candidates,
        candidates_total: placement.candidates_total,
        excluded: placement.excluded,
        excluded_total: placement.excluded_total,
    }
}

/// The first refusal in the order in which a request meets the checks, or else where it
/// would go.
fn outcome(common: &Common<'_>, in_region: Result<(), Failure>, placement: &Placement) -> Outcome {
    let caller = Some((common.access, common.deadline));
    let refusal = |failure| Refusal::new(common.node, common.interface, caller, failure);
    if let Some(refusal) = &common.before {
        return Outcome::refused(refusal.clone());
    }
    if let Err(failure) = in_region {
        return Outcome::refused(refusal(failure));
    }
    let shed = || {
        let route = &common.access.matched.route.name;
        refusal(Failure::new(Code::AdmissionShed, route.to_string()))
    };
    if common.share <= 0.0 {
        return Outcome::refused(shed());
    }
    if let Some(failure) = &common.after {
        return Outcome::refused(refusal(failure.clone()));
    }
    match &placement.taken {
        Err(failure) => Outcome::refused(refusal(failure.clone())),
        Ok(wait) => Outcome {
            verdict: if *wait > 0.0 {
                Verdict::Queued
            } else {
                Verdict::Admitted
            },
            wait_ms: (*wait > 0.0).then_some(*wait),
            share: common.share,
            refusal: (common.share < 1.0).then(shed),
        },
    }
}
