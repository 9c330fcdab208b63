//! Follows the release notes. The pollers of a failure domain read them from the
//! platform's store; its other daemons receive them from peers.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Event, Failure};
use cardamomshed_note::{Config, Note};
use cardamomshed_platform::Client;
use cardamomshed_policy::confirmation::Date;

use super::distribution::{apply_row, install, request_from_peer, row_key};
use super::operator;
use crate::members::is_poller;
use crate::node::Node;

/// Table of the release notes in the platform's store.
pub const TABLE: &str = "notes";
/// Object that holds a whole configuration, so that a new daemon need not read
/// every note.
const SNAPSHOT: &str = "config";
/// Notes between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 64;
/// Largest number of notes in one read.
const PAGE_ROWS: usize = 100;

/// Follows the release notes until the task is dropped, or the operators'
/// configuration if the daemon runs as a sidecar.
pub(super) async fn run(node: Arc<Node>) {
    if node.settings.sidecar.is_some() {
        return operator::run(node).await;
    }
    let client = node.store_client();
    let poll = node.current_settings().timing.poll.get();
    let mut unreachable = false;
    loop {
        if is_poller(&node) {
            let sent = Date::of(node.clock.now());
            match read(&node, &client).await {
                Ok(read) => {
                    if read == Read::Complete {
                        node.confirm_configuration(sent, "store");
                    }
                    if unreachable {
                        node.log_event(Event::PlatformReachable, format_args!("notes"));
                    }
                    unreachable = false;
                }
                Err(failure) => {
                    if !unreachable {
                        node.log_event(
                            Event::PlatformUnreachable,
                            format_args!("notes: {failure}"),
                        );
                    }
                    unreachable = true;
                }
            }
        }
        let jitter = Duration::from_millis(rand::random_range(0..=10));
        tokio::select! {
            () = tokio::time::sleep(poll + jitter) => {}
            () = node.configuration.wake.notified() => request_from_peer(&node),
        }
    }
}

/// How far a read of the notes came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Read {
    /// Every note was applied.
    Complete,
    /// It stopped at a note that cannot be decoded. The configuration in force may lack
    /// what that note and later ones say, such as the withdrawal of a key.
    Stopped,
}

/// Reads and applies the notes after the current revision. A daemon without a
/// configuration reads the snapshot first.
async fn read(node: &Arc<Node>, client: &Client) -> Result<Read, Failure> {
    if node.lookup().config.revision == 0
        && let Some(snapshot) = client.get_object(SNAPSHOT).await?
        && let Ok(config) = serde_json::from_slice::<Config>(&snapshot)
    {
        install(node, config);
    }
    loop {
        let after = node.lookup().config.revision;
        let rows = client.list(TABLE, &row_key(after), PAGE_ROWS).await?;
        let count = rows.len();
        for row in rows {
            let note = match serde_json::from_value::<Note>(row.value) {
                Ok(note) => note,
                Err(error) => {
                    node.log_event(Event::NoteRejected, format_args!("row={} {error}", row.key));
                    return Ok(Read::Stopped);
                }
            };
            apply_row(node, &row.key, &note);
            write_snapshot(node, client).await?;
        }
        if count < PAGE_ROWS {
            return Ok(Read::Complete);
        }
    }
}

async fn write_snapshot(node: &Node, client: &Client) -> Result<(), Failure> {
    let config = Arc::clone(&node.lookup().config);
    if !config.revision.is_multiple_of(SNAPSHOT_INTERVAL) {
        return Ok(());
    }
    // The write needs no precondition: an older snapshot that overwrites a newer
    // one only costs additional reads of notes.
    let contents = serde_json::to_vec(&*config).unwrap_or_default();
    client.put_object(SNAPSHOT, contents).await
}
