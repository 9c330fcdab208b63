//! Puts configurations in force, and passes them on between daemons.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_note::{Config, Note};
use cardamomshed_platform::decode_config;
use cardamomshed_wire::Frame;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use slog::info;

use crate::members::post;
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Time that the reader of the own failure domain has to bring a newer
/// configuration before another failure domain is asked.
const NEAR_FIRST: Duration = Duration::from_millis(500);

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

/// Puts a whole configuration in force if it is newer.
pub fn install(node: &Node, config: Config) {
    let revision = config.revision;
    if !node.configuration.replace(config, &node.names) {
        return;
    }
    node.metrics
        .revision
        .set(i64::try_from(revision).unwrap_or(i64::MAX));
    if node.settings.sidecar.is_none() {
        node.configuration.confirm();
    }
    node.quota.wake.notify_one();
    let output = lock(&node.members.fleet).set_revision(revision, &mut rand::rng());
    post(node, output);
}

/// Puts the next release note in force.
///
/// # Errors
///
/// Why the note does not fit; the configuration in force stays.
pub fn apply(node: &Node, note: &Note) -> Result<u64, Failure> {
    let config = node
        .lookup()
        .config
        .apply(note)
        .map_err(|misfit| misfit.failure)?;
    let revision = config.revision;
    install(node, config);
    node.configuration.history.push(revision, note.clone());
    info!(node.log, "{}", Event::NoteInForce.text();
        "event" => Event::NoteInForce.number(), "note" => %note.note, "revision" => revision);
    Ok(revision)
}

/// Puts the note of a row in force if it is the next one.
pub(super) fn apply_row(node: &Node, key: &str, note: &Note) {
    let next = row_key(node.lookup().config.revision + 1);
    if key != next {
        // A peer was faster.
        return;
    }
    if let Err(failure) = apply(node, note) {
        node.note_event(
            Event::NoteRejected,
            format_args!("note={} {failure}", note.note),
        );
    }
}

/// Puts a configuration of the platform's operators in force if it is newer.
///
/// # Errors
///
/// [`Code::PlatformAnswer`] where it cannot be read.
pub(super) fn install_written(node: &Node, value: &Value) -> Result<(), Failure> {
    let (config, left_out) = decode_config(value)?;
    let revision = config.revision;
    if revision <= node.lookup().config.revision {
        return Ok(());
    }
    let size = (
        config.routes.len(),
        config.accounts.len(),
        config.keys.len(),
    );
    *lock(&node.configuration.written) = Some(value.to_string().into());
    install(node, config);
    node.note_event(
        Event::ConfigInForce,
        format_args!(
            "revision={revision} routes={} accounts={} keys={} left_out={left_out:?}",
            size.0, size.1, size.2
        ),
    );
    Ok(())
}

/// Takes in the configuration that a peer passed on.
///
/// # Errors
///
/// [`Code::PlatformAnswer`] where it cannot be read.
fn receive_written(node: &Node, text: &str) -> Result<(), Failure> {
    let value = serde_json::from_str::<Value>(text)
        .map_err(|error| Failure::new(Code::PlatformAnswer, error.to_string()))?;
    install_written(node, &value)
}

/// Asks the member that has a newer configuration for it. The reader of the
/// own failure domain has it soon, so that one from elsewhere is asked only
/// where that takes long: a configuration is large, and bytes between failure
/// domains are dear.
pub(super) fn ask_peer(node: &Arc<Node>) {
    let Some(name) = lock(&node.configuration.newer).take() else {
        return;
    };
    let member = lock(&node.members.fleet).get(&name).map(|record| {
        let near = *record.profile.domain == *node.settings.domain;
        (record.profile.peer, near)
    });
    let Some((address, near)) = member else {
        return;
    };
    let revision = node.lookup().config.revision;
    let now = node.clock.now();
    let waited = lock(&node.configuration.behind).since(revision, now);
    if !near && waited < NEAR_FIRST {
        let node = Arc::clone(node);
        actix_rt::spawn(async move {
            tokio::time::sleep(NEAR_FIRST.saturating_sub(waited)).await;
            lock(&node.configuration.newer).get_or_insert(name);
            if node.lookup().config.revision == revision {
                node.configuration.wake.notify_one();
            }
        });
        return;
    }
    if !lock(&node.configuration.asked).may_ask(revision, now) {
        return;
    }
    let peer = Peer {
        node: name,
        address,
    };
    node.links
        .send(&peer, Frame::RequestNotes { after: revision });
}

/// Rows that bring a peer up to date: the notes behind `after`, or the whole
/// configuration where some are no longer kept.
pub fn rows_since(node: &Node, after: u64) -> Vec<(u64, Bytes)> {
    let encode = |row: &Row| Bytes::from(serde_json::to_vec(row).unwrap_or_default());
    let config = Arc::clone(&node.lookup().config);
    if config.revision <= after {
        return Vec::new();
    }
    if let Some(text) = lock(&node.configuration.written).clone() {
        return vec![(config.revision, encode(&Row::Operator(text)))];
    }
    node.configuration.history.since(after).map_or_else(
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
        Ok(Row::Config(config)) => install(node, Arc::unwrap_or_clone(config)),
        Ok(Row::Operator(text)) => {
            if let Err(failure) = receive_written(node, &text) {
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
