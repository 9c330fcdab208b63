//! Announcements of the local target.

use std::sync::Arc;

use actix_web::{HttpRequest, HttpResponse, web};
use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_policy::warmup::Report;
use cardamomshed_wire::Request;

use super::problem;
use crate::members::publish;
use crate::node::Node;
use crate::reply::Refused;
use crate::target::{Announcement, Effect};
use crate::warmth;

/// Path of the announcement endpoint.
pub const PATH: &str = "/-/target";

/// Handles an announcement. A target repeats it with `PUT` for as long as it is
/// in service.
pub async fn put(node: web::Data<Node>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let node = node.into_inner();
    match parse(&request, &body) {
        Ok(announcement) => {
            apply(&node, announcement, None);
            HttpResponse::NoContent().finish()
        }
        Err(failure) => {
            let refused = Refused::not_run(failure.code, failure.detail, 0);
            problem::response(Request::random(), &refused, None)
        }
    }
}

fn parse(request: &HttpRequest, body: &[u8]) -> Result<Announcement, Failure> {
    let announcement: Announcement = serde_json::from_slice(body)
        .map_err(|error| Failure::new(Code::BadRequest, error.to_string()))?;
    let sender = request.peer_addr().map(|address| address.ip());
    if Some(announcement.address.ip()) != sender {
        let detail = "the announced address is not the address of the sender";
        return Err(Failure::new(Code::BadRequest, detail));
    }
    if announcement.slots == 0 || announcement.connections == 0 {
        let detail = "slots and connections must be 1 or more";
        return Err(Failure::new(Code::ValueRange, detail));
    }
    Ok(announcement)
}

/// Applies an announcement, and publishes a target that is new, leaving, or has become
/// cold or warm. `report` is what is known of its cold time.
pub fn apply(node: &Arc<Node>, announcement: Announcement, report: Option<Report>) {
    let detail = format!(
        "service={} address={} slots={} connections={}",
        announcement.service, announcement.address, announcement.slots, announcement.connections
    );
    let effect = node.local_target.announce_with(announcement, report);
    match effect {
        Effect::New => node.log_event(Event::TargetAnnounced, format_args!("{detail}")),
        Effect::Leaving => {
            node.log_event(Event::TargetLeaving, format_args!("{detail}"));
        }
        Effect::Unchanged => {}
    }
    let is_published = warmth::update(node);
    if effect != Effect::Unchanged && !is_published {
        publish(node);
    }
}
