//! Registration calls of the target beside this daemon, and the platform's
//! question whether the daemon takes requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use cardamomshed_code::Event;
use cardamomshed_note::Sidecar;
use cardamomshed_platform::registration::{self, ACKNOWLEDGEMENT, Heartbeat, State};
use cardamomshed_policy::registration::{Incarnation, Verdict};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::announce;
use crate::beside::Announcement;
use crate::departure::Departure;
use crate::members::publish;
use crate::node::Node;
use crate::sync::lock;

/// Time for which the acknowledgement of a leaving target waits until that is
/// kept; a target waits a second for it.
const KEEP_WITHIN: Duration = Duration::from_millis(500);

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
        born_ms: heartbeat.started_ms,
    };
    let draining = heartbeat.state == State::Draining;
    let verdict = lock(&node.registration).heartbeat(&incarnation, heartbeat.sequence, draining);
    match verdict {
        Verdict::New { leaving } | Verdict::Current { leaving } => {
            let announcement = announcement(&node, &heartbeat, &incarnation, leaving);
            let was_leaving = node.beside.is_leaving();
            announce::take_in(&node, announcement);
            if leaving && !was_leaving {
                keep_departure(&node, incarnation).await;
            }
        }
        Verdict::Stale => {}
    }
    acknowledge()
}

/// Waits for a while until it is kept that the target leaves, so that a
/// daemon which is started again knows it.
async fn keep_departure(node: &Node, incarnation: Incarnation) {
    let (kept, told) = oneshot::channel();
    let departure = Departure { incarnation, kept };
    if node.departures.send(departure).is_ok() {
        // The acknowledgement does not wait for a store that is away.
        let _ = timeout(KEEP_WITHIN, told).await;
    }
}

/// Takes in the notice that a target ends; it gets no new calls.
pub async fn deregister(
    node: web::Data<Node>,
    instance: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let node = node.into_inner();
    let instance: Arc<str> = instance.into_inner().into();
    let (_, born_ms) = registration::decode_deregistration(&body);
    if lock(&node.registration).deregister(&instance, born_ms) {
        node.beside.leave_target();
        node.note_event(
            Event::TargetLeaving,
            format_args!("instance={instance} deregistered"),
        );
        publish(&node);
        let leaving = lock(&node.registration).leaving().cloned();
        if let Some(incarnation) = leaving {
            keep_departure(&node, incarnation).await;
        }
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
    Announcement {
        service: Arc::clone(&heartbeat.service),
        address: heartbeat.address,
        slots: heartbeat.slots,
        connections: node.lookup().max_connections(&heartbeat.service),
        cold_start_ms: u64::try_from(heartbeat.warmup_left.as_millis()).unwrap_or(u64::MAX),
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
