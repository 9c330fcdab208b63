//! Persists that the local target is leaving, and identifies that target after a
//! restart.
//!
//! Once a departure is acknowledged, the target gets no new calls even if the
//! daemon is killed and restarted.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cardamomshed_code::{Event, Failure};
use cardamomshed_platform::health::Report;
use cardamomshed_platform::{Client, Condition, Operation};
use cardamomshed_policy::Moment;
use cardamomshed_policy::registration::Incarnation;
use cardamomshed_policy::warmup;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::clock::wall_clock_ms;
use crate::health_check;
use crate::http::announce;
use crate::node::Node;
use crate::sync::lock;
use crate::target::Announcement;
use crate::warmth;

/// Table of the leaving targets, with one row per daemon.
const TABLE: &str = "leaving";
/// Age at which a row is removed; its target has ended long before that.
const STALE_AFTER: Duration = Duration::from_hours(1);
/// Largest number of rows checked for staleness at the start.
const MAX_SCANNED: usize = 100;
/// Interval at which the start waits for a configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the start within which the target's identity is requested. After
/// it, the target's heartbeats have reported the identity.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time after the start for which heartbeats are deferred because the
/// departures in the store cannot be read. It is the time for which a target
/// that announced its departure goes on serving.
const MAX_DEFERRAL: Duration = Duration::from_millis(2_500);
/// Longest time after the start for which the departures that peers hold are awaited,
/// since the store may have been away when the target left.
const MAX_PEER_WAIT: Duration = Duration::from_secs(1);
/// Delay before the second attempt to read the departure or to check the target's
/// health; doubled after each attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of that delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Row of a leaving target.
#[derive(Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Entry {
    instance: Arc<str>,
    born_ms: u64,
    /// Wall-clock time of the departure, in milliseconds since the Unix epoch.
    at_ms: u64,
}

/// Persists departures until the task is dropped. After a restart of a sidecar, a
/// separate task identifies the local target.
pub(super) async fn run(node: Arc<Node>, departures: &mut mpsc::UnboundedReceiver<Incarnation>) {
    let client = node.store_client();
    let first_start = node
        .settings
        .sidecar
        .as_ref()
        .is_none_or(|sidecar| sidecar.first_start);
    if !first_start {
        let deadline = node.clock.now() + MAX_DEFERRAL;
        lock(&node.registration).defer_until(deadline);
        let (node, client) = (Arc::clone(&node), client.clone());
        actix_rt::spawn(async move { recover_target(&node, &client).await });
    }
    while let Some(mut departure) = departures.recv().await {
        // A target repeats its notice while the store is away.
        while let Ok(later) = departures.try_recv() {
            departure = later;
        }
        match store(&node, &client, &departure).await {
            Ok(()) => node.departures.confirm(&departure),
            Err(failure) => {
                node.log_event(Event::DepartureNotStored, format_args!("{failure}"));
            }
        }
    }
}

async fn store(node: &Node, client: &Client, incarnation: &Incarnation) -> Result<(), Failure> {
    let entry = Entry {
        instance: Arc::clone(&incarnation.instance),
        born_ms: incarnation.born_ms,
        at_ms: wall_clock_ms(),
    };
    client
        .put(TABLE, &node.name, Condition::Any, &entry)
        .await?;
    Ok(())
}

/// Restores a departure stored before this start, then identifies the target by
/// its health check and removes stale rows.
async fn recover_target(node: &Arc<Node>, client: &Client) {
    let deadline = node.clock.now() + ADOPTION_TIMEOUT;
    let peers_deadline = node.clock.now() + MAX_PEER_WAIT;
    if !read_departure(node, client, deadline).await {
        return;
    }
    while !node.members.exchanged.load(Ordering::Relaxed) && node.clock.now() < peers_deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    lock(&node.registration).end_deferral();
    while node.lookup().config.revision == 0 {
        if node.clock.now() >= deadline {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    identify_target(node, deadline).await;
    if let Err(failure) = remove_stale(client).await {
        log_unreachable(node, &failure);
    }
}

/// Restores the stored departure. Repeats a failed read until `deadline`, since a
/// leaving target would get calls if it were adopted without it. Returns whether
/// the read succeeded.
async fn read_departure(node: &Arc<Node>, client: &Client, deadline: Moment) -> bool {
    let mut delay = FIRST_RETRY_DELAY;
    loop {
        let Err(failure) = restore_departure(node, client).await else {
            return true;
        };
        log_unreachable(node, &failure);
        if node.clock.now() >= deadline {
            return false;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Requests the target's identity until it is known, at most until `deadline`.
async fn identify_target(node: &Arc<Node>, deadline: Moment) {
    let mut delay = FIRST_RETRY_DELAY;
    let mut last_failure = String::new();
    while node.local_target.announcement().is_none() && node.clock.now() < deadline {
        let requested_at = node.clock.now();
        match health_check::request(node).await {
            Ok(report) => return adopt(node, &report, requested_at),
            Err(detail) if detail == last_failure => {}
            Err(detail) => {
                node.log_event(Event::TargetUnidentified, format_args!("{detail}"));
                last_failure = detail;
            }
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

fn log_unreachable(node: &Node, failure: &Failure) {
    node.log_event(
        Event::PlatformUnreachable,
        format_args!("leaving targets: {failure}"),
    );
}

/// Marks the target as leaving if the store has a row of its departure.
async fn restore_departure(node: &Arc<Node>, client: &Client) -> Result<(), Failure> {
    let Some(row) = client.get(TABLE, &node.name).await? else {
        return Ok(());
    };
    let entry = match serde_json::from_value::<Entry>(row.value) {
        Ok(entry) => entry,
        Err(error) => {
            node.log_event(
                Event::DepartureNotStored,
                format_args!("cannot decode the row: {error}"),
            );
            return Ok(());
        }
    };
    let is_current = lock(&node.registration).deregister(&entry.instance, Some(entry.born_ms));
    if is_current {
        let incarnation = Incarnation {
            instance: Arc::clone(&entry.instance),
            born_ms: entry.born_ms,
        };
        node.departures.confirm(&incarnation);
        node.local_target.set_leaving();
        crate::members::publish(node);
        node.log_event(
            Event::TargetLeaving,
            format_args!("instance={} restored after a restart", entry.instance),
        );
    }
    Ok(())
}

/// Removes rows older than [`STALE_AFTER`] among the first [`MAX_SCANNED`].
async fn remove_stale(client: &Client) -> Result<(), Failure> {
    let oldest = wall_clock_ms().saturating_sub(STALE_AFTER.as_millis() as u64);
    let rows = client.list(TABLE, "", MAX_SCANNED).await?;
    let stale = rows.into_iter().filter(|row| {
        serde_json::from_value::<Entry>(row.value.clone()).is_ok_and(|entry| entry.at_ms < oldest)
    });
    let removals = stale.map(|row| Operation {
        table: TABLE.to_owned(),
        key: row.key,
        condition: Condition::Version(row.version),
        value: None,
    });
    let removals = removals.collect::<Vec<_>>();
    if removals.is_empty() {
        return Ok(());
    }
    client.transact(&removals).await.map(|_| ())
}

/// Registers and announces the target unless its heartbeat has done so.
fn adopt(node: &Arc<Node>, report: &Report, requested_at: Moment) {
    let Some(sidecar) = &node.settings.sidecar else {
        return;
    };
    if !lock(&node.registration).adopt(&report.instance) {
        return;
    }
    let warmup_left = report.warmup_left;
    let warmth = warmup_left.map(|left| warmup::Report::Check { left, requested_at });
    warmth::configure(node, false);
    announce::apply(
        node,
        Announcement {
            service: Arc::clone(&sidecar.service),
            address: sidecar.address,
            slots: report.slots,
            connections: node.lookup().max_connections(&sidecar.service),
            cold_start_ms: 0,
            leaving: false,
            instance: Some(Arc::clone(&report.instance)),
        },
        warmth,
    );
    if let Some(factor) = report.slowdown {
        let instance = Some(&*report.instance);
        node.local_target.record_slowdown(instance, factor);
    }
}
