//! Announcements of the target beside this daemon.

use std::sync::Arc;

use actix_web::{HttpRequest, HttpResponse, web};
use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_wire::Request;

use super::problem;
use crate::actor::gossip;
use crate::beside::{Announced, Announcement};
use crate::node::Node;
use crate::reply::Refused;
use crate::sync::lock;

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
        return Err(Failure::new(Code::FigureRange, detail));
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

/// Tells the fleet, and this daemon's own routing, of the target and of the
/// lender slots as they are.
pub fn publish(node: &Arc<Node>) {
    let output = {
        let mut fleet = lock(&node.fleet);
        let mut profile = fleet.own().profile.clone();
        let announcement = node.beside.announcement();
        profile.open = announcement
            .as_ref()
            .is_some_and(|target| !target.leaving && !node.is_leaving());
        profile.slots = announcement.as_ref().map_or(0, |target| target.slots);
        profile.service = announcement.map(|target| target.service);
        profile.lends = lock(&node.lenders).keys().copied().collect();
        let output = fleet.set_profile(profile, &mut rand::rng());
        node.services.update(fleet.own(), node.clock.now());
        node.directory.update(fleet.own());
        output
    };
    gossip::post(node, output);
}
