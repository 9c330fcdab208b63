//! Keeps in the platform's store that the target beside this daemon leaves,
//! and finds out after a restart which target stands there.
//!
//! The acknowledgement of a leaving target binds the daemon that gave it,
//! also when that daemon is killed and started again.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_code::{Event, Failure};
use cardamomshed_platform::health::{self, Report};
use cardamomshed_platform::{Client, Condition, Operation};
use cardamomshed_policy::registration::Incarnation;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::beside::Announcement;
use crate::clock::wall_clock_ms;
use crate::departure::Departure;
use crate::exchange::{Pool, Request};
use crate::http::announce;
use crate::node::Node;
use crate::sync::lock;

/// Table of the targets that leave, one row for each daemon.
const TABLE: &str = "leaving";
/// Age at which a row is removed; its target has ended long before.
const STALE_AFTER: Duration = Duration::from_hours(1);
/// Rows that are looked through for stale ones at a start.
const LOOK_THROUGH: usize = 100;
/// Time between two looks for a configuration after the start.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Time after the start in which the target is asked who it is; by then its
/// own heartbeats have told.
const ADOPT_WITHIN: Duration = Duration::from_secs(10);
/// Time that the target has to answer the health check.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// Largest answer to a health check in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// Row of a target that leaves.
#[derive(Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Leaving {
    instance: Arc<str>,
    born_ms: u64,
    /// Wall clock of the notice, in milliseconds since the Unix epoch.
    at_ms: u64,
}

/// Keeps departures until the task is dropped.
pub(super) async fn run(node: Arc<Node>, departures: &mut mpsc::UnboundedReceiver<Departure>) {
    let client = node.store();
    let first_start = node
        .settings
        .sidecar
        .as_ref()
        .is_none_or(|sidecar| sidecar.first_start);
    if !first_start {
        let (node, client) = (Arc::clone(&node), client.clone());
        actix_rt::spawn(async move { find_target(&node, &client).await });
    }
    while let Some(departure) = departures.recv().await {
        if let Err(failure) = keep(&node, &client, &departure.incarnation).await {
            node.note_event(Event::DepartureNotStored, format_args!("{failure}"));
        }
        // The target may have stopped waiting for the acknowledgement.
        let _ = departure.kept.send(());
    }
}

async fn keep(node: &Node, client: &Client, incarnation: &Incarnation) -> Result<(), Failure> {
    let row = Leaving {
        instance: Arc::clone(&incarnation.instance),
        born_ms: incarnation.born_ms,
        at_ms: wall_clock_ms(),
    };
    client.put(TABLE, &node.name, Condition::Any, &row).await?;
    Ok(())
}

/// Takes in what was kept before this start, then asks the target beside the
/// daemon who it is.
async fn find_target(node: &Arc<Node>, client: &Client) {
    match recall(node, client).await {
        Ok(()) => {}
        Err(failure) => {
            // Without the row a target that leaves might get calls.
            node.note_event(
                Event::PlatformUnreachable,
                format_args!("leaving targets: {failure}"),
            );
            return;
        }
    }
    let until = tokio::time::Instant::now() + ADOPT_WITHIN;
    while node.lookup().config.revision == 0 {
        if tokio::time::Instant::now() >= until {
            return;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    if node.beside.announcement().is_some() {
        return;
    }
    match ask(node).await {
        Ok(report) => adopt(node, &report),
        Err(detail) => node.note_event(Event::TargetUnidentified, format_args!("{detail}")),
    }
    if let Err(failure) = remove_stale(client).await {
        node.note_event(
            Event::PlatformUnreachable,
            format_args!("leaving targets: {failure}"),
        );
    }
}

/// Reads whether the target was leaving when the daemon ended.
async fn recall(node: &Arc<Node>, client: &Client) -> Result<(), Failure> {
    let Some(row) = client.get(TABLE, &node.name).await? else {
        return Ok(());
    };
    let leaving = match serde_json::from_value::<Leaving>(row.value) {
        Ok(leaving) => leaving,
        Err(error) => {
            node.note_event(
                Event::DepartureNotStored,
                format_args!("unreadable: {error}"),
            );
            return Ok(());
        }
    };
    let known = lock(&node.registration).deregister(&leaving.instance, Some(leaving.born_ms));
    if known {
        node.beside.leave_target();
        crate::members::publish(node);
        node.note_event(
            Event::TargetLeaving,
            format_args!("instance={} kept from before the start", leaving.instance),
        );
    }
    Ok(())
}

/// Removes rows of targets that ended long ago.
async fn remove_stale(client: &Client) -> Result<(), Failure> {
    let oldest = wall_clock_ms().saturating_sub(STALE_AFTER.as_millis() as u64);
    let rows = client.list(TABLE, "", LOOK_THROUGH).await?;
    let stale = rows.into_iter().filter(|row| {
        serde_json::from_value::<Leaving>(row.value.clone())
            .is_ok_and(|leaving| leaving.at_ms < oldest)
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

/// Asks the target who it is and whether it takes requests.
async fn ask(node: &Node) -> Result<Report, String> {
    let lookup = node.lookup();
    let sidecar = node.settings.sidecar.as_ref();
    let sidecar = sidecar.ok_or("no target is named in the settings")?;
    let path = lookup.config.health_paths.get(&sidecar.service);
    let path = path.ok_or("its service has no health check")?;
    let head = health::request_head(path, sidecar.address);
    let question = Request {
        head: &head,
        body: &Bytes::new(),
        head_only: false,
        repeatable: true,
        correlation: None,
    };
    let connect = node.current().timing.connect.get();
    let pool = Pool::default();
    let answer = pool.exchange(sidecar.address, connect, &question, MAX_ANSWER);
    let answer = tokio::time::timeout(ANSWER_WITHIN, answer)
        .await
        .map_err(|_| "no answer to the health check".to_owned())?
        .map_err(|broken| format!("health check: {broken:?}"))?;
    health::decode(answer.status, &answer.headers)
        .ok_or_else(|| format!("health check: status {}", answer.status))
}

/// Puts the target in service unless its own heartbeat came first.
fn adopt(node: &Arc<Node>, report: &Report) {
    let Some(sidecar) = &node.settings.sidecar else {
        return;
    };
    if !lock(&node.registration).adopt(&report.instance) {
        return;
    }
    announce::take_in(
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
    );
}
