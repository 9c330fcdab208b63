//! Announcements of the target beside this daemon.

use std::sync::Arc;

use actix_web::{HttpRequest, HttpResponse, web};
use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_wire::Request;

use super::problem;
use crate::beside::{Announced, Announcement};
use crate::members::publish;
use crate::node::Node;
use crate::reply::Refused;

/// Path at which a target announces itself.
pub const PATH: &str = "/-/target";

/// Takes in an announcement: `PUT` repeated for as long as the target lives.
pub async fn put(node: web::Data<Node>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let node = node.into_inner();
    match parse(&request, &body) {
        Ok(announcement) => {
            take_in(&node, announcement);
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
    let own_vm = request.peer_addr().map(|address| address.ip());
    if Some(announcement.address.ip()) != own_vm {
        let detail = "a target announces only its own address";
        return Err(Failure::new(Code::BadRequest, detail));
    }
    if announcement.slots == 0 || announcement.connections == 0 {
        let detail = "slots and connections must be 1 or more";
        return Err(Failure::new(Code::ValueRange, detail));
    }
    Ok(announcement)
}

/// Puts an announcement in force.
pub fn take_in(node: &Arc<Node>, announcement: Announcement) {
    let detail = format!(
        "service={} address={} slots={} connections={}",
        announcement.service, announcement.address, announcement.slots, announcement.connections
    );
    match node.beside.announce(announcement) {
        Announced::New => {
            node.note_event(Event::TargetAnnounced, format_args!("{detail}"));
            publish(node);
        }
        Announced::Leaving => {
            node.note_event(Event::TargetLeaving, format_args!("{detail}"));
            publish(node);
        }
        Announced::Same => {}
    }
}
