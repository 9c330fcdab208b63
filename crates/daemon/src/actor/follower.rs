//! Follows the release notes: from the platform where this daemon is one of
//! the few pollers of its failure domain, from peers otherwise.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Event, Failure};
use cardamomshed_note::{Config, Note};
use cardamomshed_platform::Client;

use super::config::{apply_row, ask_peer, install, row_key};
use super::operator;
use crate::members::is_poller;
use crate::node::Node;

/// Table of the release notes.
pub const TABLE: &str = "notes";
/// Object with a whole configuration, so that a new daemon need not read
/// every note.
const SNAPSHOT: &str = "config";
/// Notes between two snapshots.
const SNAPSHOT_EVERY: u64 = 64;
/// Notes that are read at once.
const PAGE: usize = 100;
/// Follows the release notes until the task is dropped.
pub(super) async fn run(node: Arc<Node>) {
    if node.settings.sidecar.is_some() {
        return operator::run(node).await;
    }
    let client = node.store();
    let poll = node.current().timing.poll.get();
    let mut lost = false;
    loop {
        if is_poller(&node) {
            match read(&node, &client).await {
                Ok(()) => {
                    node.configuration.confirm();
                    if lost {
                        node.note_event(Event::PlatformReachable, format_args!("notes"));
                    }
                    lost = false;
                }
                Err(failure) => {
                    if !lost {
                        node.note_event(
                            Event::PlatformUnreachable,
                            format_args!("notes: {failure}"),
                        );
                    }
                    lost = true;
                }
            }
        }
        let spread = Duration::from_millis(rand::random_range(0..=10));
        tokio::select! {
            () = tokio::time::sleep(poll + spread) => {}
            () = node.configuration.wake.notified() => ask_peer(&node),
        }
    }
}

/// Reads the notes behind the one in force.
async fn read(node: &Arc<Node>, client: &Client) -> Result<(), Failure> {
    if node.lookup().config.revision == 0
        && let Some(snapshot) = client.get_object(SNAPSHOT).await?
        && let Ok(config) = serde_json::from_slice::<Config>(&snapshot)
    {
        install(node, config);
    }
    loop {
        let after = node.lookup().config.revision;
        let rows = client.list(TABLE, &row_key(after), PAGE).await?;
        let count = rows.len();
        for row in rows {
            let note = match serde_json::from_value::<Note>(row.value) {
                Ok(note) => note,
                Err(error) => {
                    node.note_event(Event::NoteRejected, format_args!("row={} {error}", row.key));
                    return Ok(());
                }
            };
            apply_row(node, &row.key, &note);
            write_snapshot(node, client).await?;
        }
        if count < PAGE {
            return Ok(());
        }
    }
}

async fn write_snapshot(node: &Node, client: &Client) -> Result<(), Failure> {
    let config = Arc::clone(&node.lookup().config);
    if !config.revision.is_multiple_of(SNAPSHOT_EVERY) {
        return Ok(());
    }
    // An older snapshot that overwrites a newer one costs reads and nothing
    // else, so the write needs no condition.
    let contents = serde_json::to_vec(&*config).unwrap_or_default();
    client.put_object(SNAPSHOT, contents).await
}
