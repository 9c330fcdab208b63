//! Handlers of the admin listener: metrics, status, request traces and previews.

use std::sync::Arc;

use actix_web::{HttpRequest, HttpResponse, web};
use cardamomshed_code::{Code, Failure};
use cardamomshed_policy::member::Record;
use cardamomshed_wire::{Load, Request};
use serde::Serialize;

use super::{preview, problem, reservation};
use crate::node::Node;
use crate::reply::Refused;
use crate::service::Summary;
use crate::sync::lock;

/// JSON document of `/status`.
#[derive(Debug)]
#[derive(Serialize)]
struct Status {
    node: Arc<str>,
    domain: Arc<str>,
    region: Arc<str>,
    revision: u64,
    confirmed_ms_ago: Option<u64>,
    leaving: bool,
    open_requests: i64,
    links: usize,
    lender_slots: Vec<u16>,
    target: Option<crate::target::Announcement>,
    load: Load,
    services: Vec<Summary>,
    members: Vec<Record>,
    accounts: Vec<Arc<str>>,
}

/// Metrics in the Prometheus text format.
pub async fn metrics(node: web::Data<Node>) -> HttpResponse {
    reservation::count_expired(&node);
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(node.metrics.render())
}

/// State of this daemon and its view of the fleet.
pub async fn status(node: web::Data<Node>) -> HttpResponse {
    let lookup = node.lookup();
    let fleet = lock(&node.members.fleet);
    let members = fleet.members().cloned().chain([fleet.own().clone()]);
    let status = Status {
        node: Arc::clone(&node.name),
        domain: node.settings.domain.to_arc(),
        region: node.settings.region.to_arc(),
        revision: lookup.config.revision,
        confirmed_ms_ago: node
            .configuration
            .unconfirmed_for()
            .map(|age| age.as_millis() as u64),
        leaving: node.lifecycle.is_leaving(),
        open_requests: node.metrics.open.get(),
        links: node.links.len(),
        lender_slots: fleet.own().profile.lender_slots.clone(),
        target: node.local_target.announcement(),
        load: node.local_target.load(),
        services: node.routing.services.summary(),
        members: members.collect(),
        accounts: lookup.config.accounts.keys().cloned().collect(),
    };
    HttpResponse::Ok().json(status)
}

/// Recorded decisions of this daemon about one request.
pub async fn explain(node: web::Data<Node>, request: web::Path<String>) -> HttpResponse {
    match request.parse::<Request>() {
        Ok(id) => HttpResponse::Ok().json(node.trace.explain(&node.name, id, node.epoch_us)),
        Err(Failure { code, detail }) => {
            let refused = Refused::not_run(code, detail, 0);
            problem::response(Request::random(), &refused, None)
        }
    }
}

/// What would become of the request that the query string describes.
pub async fn preview(node: web::Data<Node>, request: HttpRequest) -> HttpResponse {
    match preview::preview(&node, request.query_string()) {
        Ok(document) => HttpResponse::Ok().json(document),
        Err(Failure { code, detail }) => {
            let refused = Refused::not_run(code, detail, 0);
            problem::response(Request::random(), &refused, None)
        }
    }
}

/// Response to all other paths.
pub async fn not_found() -> HttpResponse {
    let refused = Refused::not_run(
        Code::RouteUnknown,
        "unknown admin path; see docs/operators",
        0,
    );
    problem::response(Request::random(), &refused, None)
}
