//! Registration calls of the local target, and the readiness probe of the
//! platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use cardamomshed_code::Event;
use cardamomshed_note::Sidecar;
use cardamomshed_platform::registration::{self, ACKNOWLEDGEMENT, Heartbeat, State};
use cardamomshed_policy::registration::{Incarnation, Verdict};
use cardamomshed_policy::warmup::Report;
use tokio::time::timeout;

use super::announce;
use crate::members::{announce_departure, publish};
use crate::node::Node;
use crate::sync::lock;
use crate::target::Announcement;
use crate::warmth;

/// Longest time for which the acknowledgement to a leaving target is delayed
/// until its departure is confirmed. A target waits one second for it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which a heartbeat waits while it is deferred. A target waits
/// one second for the acknowledgement.
const MAX_DEFERRAL_WAIT: Duration = Duration::from_millis(700);
/// Interval at which it is processed again meanwhile.
const DEFERRAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handles a heartbeat of the local target. One with another service or address
/// is rejected with 400.
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
        Ok(heartbeat) if matches_settings(sidecar, &heartbeat) => heartbeat,
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
    let verdict = register(&node, &incarnation, heartbeat.sequence, draining).await;
    match verdict {
        Verdict::New { leaving } | Verdict::Current { leaving } => {
            let announcement = announcement(&node, &heartbeat, &incarnation, leaving);
            let left = heartbeat.warmup_left;
            let restarted = matches!(verdict, Verdict::New { .. });
            warmth::configure(&node, !left.is_zero());
            let report = Report::Heartbeat { left, restarted };
            announce::apply(&node, announcement, Some(report));
        }
        Verdict::Stale | Verdict::Deferred => {}
    }
    let is_leaving = lock(&node.registration).leaving() == Some(&incarnation);
    if draining && is_leaving && !confirm_departure(&node, &incarnation).await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    acknowledge()
}

/// Processes a heartbeat; waits a limited time while it is deferred.
async fn register(
    node: &Node,
    incarnation: &Incarnation,
    sequence: u64,
    draining: bool,
) -> Verdict {
    let deadline = node.clock.now() + MAX_DEFERRAL_WAIT;
    loop {
        let now = node.clock.now();
        let verdict = lock(&node.registration).heartbeat(incarnation, sequence, draining, now);
        if verdict != Verdict::Deferred || now >= deadline {
            return verdict;
        }
        tokio::time::sleep(DEFERRAL_POLL_INTERVAL).await;
    }
}

/// Makes the departure of a target survive a restart of the daemon. Returns whether the
/// store or a peer has confirmed it, for which it waits at most [`CONFIRMATION_TIMEOUT`].
/// A target that gets no acknowledgement repeats its notice.
async fn confirm_departure(node: &Node, incarnation: &Incarnation) -> bool {
    let mut confirmed = node.departures.confirmed.subscribe();
    if confirmed.borrow().as_ref() == Some(incarnation) {
        return true;
    }
    // The receiver exists for as long as the process.
    let _ = node.departures.unstored.send(incarnation.clone());
    announce_departure(node, incarnation);
    let is_confirmed = confirmed.wait_for(|confirmed| confirmed.as_ref() == Some(incarnation));
    let result = timeout(CONFIRMATION_TIMEOUT, is_confirmed).await;
    result.is_ok_and(|confirmed| confirmed.is_ok())
}

/// Handles the deregistration of a target, which receives no new calls from then
/// on.
pub async fn deregister(
    node: web::Data<Node>,
    instance: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let node = node.into_inner();
    let instance: Arc<str> = instance.into_inner().into();
    let (_, born_ms) = registration::decode_deregistration(&body);
    if lock(&node.registration).deregister(&instance, born_ms) {
        node.local_target.set_leaving();
        node.log_event(
            Event::TargetLeaving,
            format_args!("instance={instance} deregistered"),
        );
        publish(&node);
        let leaving = lock(&node.registration).leaving().cloned();
        if let Some(incarnation) = leaving
            && !confirm_departure(&node, &incarnation).await
        {
            return HttpResponse::ServiceUnavailable().finish();
        }
    }
    acknowledge()
}

/// Answers the readiness probe: 200 while the daemon accepts requests, 503 while
/// it is leaving or has no configuration.
pub async fn ready(node: web::Data<Node>) -> HttpResponse {
    if node.lifecycle.is_leaving() || node.lookup().config.revision == 0 {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().finish()
}

/// Whether a heartbeat has the service and address of the configured target.
fn matches_settings(sidecar: &Sidecar, heartbeat: &Heartbeat) -> bool {
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
    node.log_event(
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
