//! Follows the release notes: from the platform where this daemon is one of
//! the few pollers of its failure domain, from peers otherwise.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_code::{Event, Failure};
use cardamomshed_note::{Config, Note};
use cardamomshed_platform::Client;
use cardamomshed_wire::Frame;
use serde::{Deserialize, Serialize};

use super::rank::rank;
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Table of the release notes.
pub const TABLE: &str = "notes";
/// Object with a whole configuration, so that a new daemon need not read
/// every note.
const SNAPSHOT: &str = "config";
/// Notes between two snapshots.
const SNAPSHOT_EVERY: u64 = 64;
/// Notes that are read at once.
const PAGE: usize = 100;
/// Pollers of each failure domain.
const POLLERS: usize = 3;
/// The same on the platform, where calls to the store are paid and a daemon
/// that nobody confirms the configuration to reads by itself.
const READERS: usize = 1;

/// What a daemon tells a peer that is behind.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum Row {
    Note(Arc<Note>),
    Config(Arc<Config>),
    /// Configuration as the platform's operators wrote it.
    Operator(Arc<str>),
}

/// Key of the row of a release note.
pub fn row_key(revision: u64) -> String {
    format!("{revision:012}")
}

/// Whether this daemon is one of the pollers of its failure domain, by the
/// members that it knows. Any number of daemons may think so.
pub(super) fn is_poller(node: &Node) -> bool {
    let pollers = match node.settings.sidecar {
        Some(_) => READERS,
        None => POLLERS,
    };
    rank(node) < pollers
}

/// Follows the release notes until the task is dropped.
pub(super) async fn run(node: Arc<Node>) {
    if node.settings.sidecar.is_some() {
        return super::operator::run(node).await;
    }
    let client = Client::new(&node.settings.platform, node.settings.timing.platform.get());
    let poll = node.settings.timing.poll.get();
    let mut lost = false;
    loop {
        if is_poller(&node) {
            match read(&node, &client).await {
                Ok(()) => {
                    node.confirm();
                    if lost {
                        node.note_event(Event::PlatformFound, format_args!("notes"));
                    }
                    lost = false;
                }
                Err(failure) => {
                    if !lost {
                        node.note_event(Event::PlatformLost, format_args!("notes: {failure}"));
                    }
                    lost = true;
                }
            }
        }
        let spread = Duration::from_millis(rand::random_range(0..=10));
        tokio::select! {
            () = tokio::time::sleep(poll + spread) => {}
            () = node.note_wake.notified() => ask_peer(&node),
        }
    }
}

/// Reads the notes behind the one in force.
async fn read(node: &Arc<Node>, client: &Client) -> Result<(), Failure> {
    if node.lookup().config.revision == 0
        && let Some(snapshot) = client.object(SNAPSHOT).await?
        && let Ok(config) = serde_json::from_slice::<Config>(&snapshot)
    {
        node.install(config);
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

/// Puts the note of a row in force if it is the next one.
fn apply_row(node: &Node, key: &str, note: &Note) {
    let next = row_key(node.lookup().config.revision + 1);
    if key != next {
        // A peer was faster.
        return;
    }
    if let Err(failure) = node.apply(note) {
        node.note_event(
            Event::NoteRejected,
            format_args!("note={} {failure}", note.note),
        );
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

/// Asks the member that has a newer note for it.
pub(super) fn ask_peer(node: &Arc<Node>) {
    let Some(name) = lock(&node.newer_note).take() else {
        return;
    };
    let address = lock(&node.fleet)
        .get(&name)
        .map(|record| record.profile.peer);
    if let Some(address) = address {
        let after = node.lookup().config.revision;
        let peer = Peer {
            node: name,
            address,
        };
        node.links.send(node, &peer, Frame::AskNotes { after });
    }
}

/// Rows that bring a peer up to date: the notes behind `after`, or the whole
/// configuration where some are no longer kept.
pub fn rows_since(node: &Node, after: u64) -> Vec<(u64, Bytes)> {
    let encode = |row: &Row| Bytes::from(serde_json::to_vec(row).unwrap_or_default());
    let config = Arc::clone(&node.lookup().config);
    if config.revision <= after {
        return Vec::new();
    }
    if let Some(text) = lock(&node.operator_config).clone() {
        return vec![(config.revision, encode(&Row::Operator(text)))];
    }
    node.history.since(after).map_or_else(
        || vec![(config.revision, encode(&Row::Config(Arc::clone(&config))))],
        |notes| {
            notes
                .into_iter()
                .map(|(revision, note)| (revision, encode(&Row::Note(note))))
                .collect()
        },
    )
}

/// Takes in a row from a peer.
pub fn receive(node: &Node, revision: u64, row: &[u8]) {
    match serde_json::from_slice::<Row>(row) {
        Ok(Row::Note(note)) => apply_row(node, &row_key(revision), &note),
        Ok(Row::Config(config)) => node.install(Arc::unwrap_or_clone(config)),
        Ok(Row::Operator(text)) => {
            if let Err(failure) = super::operator::receive(node, &text) {
                node.note_event(
                    Event::ConfigRejected,
                    format_args!("from a peer: {failure}"),
                );
            }
        }
        Err(error) => {
            node.note_event(Event::NoteRejected, format_args!("from a peer: {error}"));
        }
    }
}
