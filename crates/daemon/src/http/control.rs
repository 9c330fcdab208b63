//! Registration calls of the target beside this daemon, and the platform's
//! question whether the daemon takes requests.

use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::{HttpResponse, web};
use cardamomshed_code::Event;
use cardamomshed_note::Sidecar;
use cardamomshed_platform::registration::{self, ACKNOWLEDGEMENT, Heartbeat, State};
use cardamomshed_policy::registration::{Incarnation, Verdict};

use super::announce;
use crate::beside::Announcement;
use crate::members::publish;
use crate::node::Node;
use crate::sync::lock;

/// Takes in a heartbeat.
pub async fn heartbeat(
    node: web::Data<Node>,
    instance: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let node = node.into_inner();
    let Some(sidecar) = &node.settings.sidecar else {
        return HttpResponse::NotFound().finish();
    };
    let instance: Arc<str> = instance.into_inner().into();
    let heartbeat = match registration::decode(&body) {
        Ok(heartbeat) if fits(sidecar, &heartbeat) => heartbeat,
        Ok(heartbeat) => {
            return reject(
                &node,
                &instance,
                &format!("{} at {}", heartbeat.service, heartbeat.address),
            );
        }
        Err(failure) => return reject(&node, &instance, &failure.detail),
    };
    let incarnation = Incarnation {
        instance: Arc::clone(&instance),
        born_ms: heartbeat.born_ms,
    };
    let draining = heartbeat.state == State::Draining;
    let verdict = lock(&node.registration).heartbeat(&incarnation, heartbeat.sequence, draining);
    match verdict {
        Verdict::New { leaving } | Verdict::Current { leaving } => {
            let announcement = announcement(&node, &heartbeat, &incarnation, leaving);
            announce::take_in(&node, announcement);
        }
        Verdict::Late => {}
    }
    acknowledge()
}

/// Takes in the notice that a target ends; it gets no new calls.
pub async fn deregister(
    node: web::Data<Node>,
    instance: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let node = node.into_inner();
    let instance: Arc<str> = instance.into_inner().into();
    let (_, born_ms) = registration::decode_leave(&body);
    if lock(&node.registration).deregister(&instance, born_ms) {
        node.beside.close();
        node.note_event(
            Event::TargetLeaving,
            format_args!("instance={instance} deregistered"),
        );
        publish(&node);
    }
    acknowledge()
}

/// Says whether this daemon takes requests.
pub async fn ready(node: web::Data<Node>) -> HttpResponse {
    if node.life.is_leaving() || node.lookup().config.revision == 0 {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().finish()
}

/// Whether a heartbeat comes from the target that the settings name.
fn fits(sidecar: &Sidecar, heartbeat: &Heartbeat) -> bool {
    let same_address = |address: SocketAddr| address == sidecar.address;
    same_address(heartbeat.address) && heartbeat.service == sidecar.service
}

fn announcement(
    node: &Node,
    heartbeat: &Heartbeat,
    incarnation: &Incarnation,
    leaving: bool,
) -> Announcement {
    let lookup = node.lookup();
    let connections = lookup.config.connections.get(&heartbeat.service).copied();
    Announcement {
        service: Arc::clone(&heartbeat.service),
        address: heartbeat.address,
        slots: heartbeat.slots,
        connections: connections.filter(|most| *most > 0).unwrap_or(u32::MAX),
        cold_start_ms: u64::try_from(heartbeat.cold_for.as_millis()).unwrap_or(u64::MAX),
        leaving,
        instance: Some(Arc::clone(&incarnation.instance)),
    }
}

fn reject(node: &Node, instance: &str, detail: &str) -> HttpResponse {
    node.note_event(
        Event::HeartbeatRejected,
        format_args!("instance={instance} {detail}"),
    );
    HttpResponse::BadRequest().finish()
}

fn acknowledge() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/json")
        .body(ACKNOWLEDGEMENT)
}
