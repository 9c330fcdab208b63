//! Installs configurations and distributes them between daemons.

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

use crate::members::{apply_evacuations, apply_output};
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Delay before a newer configuration is requested from another failure domain.
/// The poller of the local failure domain usually distributes it sooner.
const REMOTE_DELAY: Duration = Duration::from_millis(500);

/// Row sent to a peer whose configuration is older.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum Row {
    Note(Arc<Note>),
    Config(Arc<Config>),
    /// Configuration in the operators' JSON, with API keys replaced by digests.
    Operator(Arc<str>),
}

/// Key of a release note's row: the revision with leading zeros, so that keys
/// sort by revision.
pub fn row_key(revision: u64) -> String {
    format!("{revision:012}")
}

/// Replaces the configuration if `config` has a higher revision.
pub fn install(node: &Node, config: Config) {
    let revision = config.revision;
    if !node.configuration.replace(config, &node.names) {
        return;
    }
    node.metrics
        .revision
        .set(i64::try_from(revision).unwrap_or(i64::MAX));
    apply_evacuations(node);
    node.quota.wake.notify_one();
    let output = lock(&node.members.fleet).set_revision(revision, &mut rand::rng());
    apply_output(node, output);
}

/// Applies a release note to the configuration and returns the new revision.
///
/// # Errors
///
/// The reason why the note cannot be applied; the configuration is unchanged.
pub fn apply(node: &Node, note: &Note) -> Result<u64, Failure> {
    let config = node
        .lookup()
        .config
        .apply(note)
        .map_err(|rejected| rejected.failure)?;
    let revision = config.revision;
    install(node, config);
    node.configuration.history.push(revision, note.clone());
    info!(node.log, "{}", Event::NoteInForce.text();
        "event" => Event::NoteInForce.number(), "note" => %note.note, "revision" => revision);
    Ok(revision)
}

/// Applies the note of a row if its revision follows the current one.
pub(super) fn apply_row(node: &Node, key: &str, note: &Note) {
    let expected = row_key(node.lookup().config.revision + 1);
    if key != expected {
        // The note has arrived from a peer already, or an earlier one is missing.
        return;
    }
    if let Err(failure) = apply(node, note) {
        node.log_event(
            Event::NoteRejected,
            format_args!("note={} {failure}", note.note),
        );
    }
}

/// Replaces the configuration by the operators' one if that has a higher
/// revision. Returns the revision of the operators' one.
///
/// # Errors
///
/// [`Code::PlatformAnswer`] if `value` cannot be decoded.
pub(super) fn install_operator_config(node: &Node, value: &Value) -> Result<u64, Failure> {
    let (config, left_out) = decode_config(value)?;
    let revision = config.revision;
    if revision <= node.lookup().config.revision {
        return Ok(revision);
    }
    let counts = (
        config.routes.len(),
        config.accounts.len(),
        config.keys.len(),
    );
    *lock(&node.configuration.operator_config) = Some(value.to_string().into());
    install(node, config);
    node.log_event(
        Event::ConfigInForce,
        format_args!(
            "revision={revision} routes={} accounts={} keys={} left_out={left_out:?}",
            counts.0, counts.1, counts.2
        ),
    );
    Ok(revision)
}

/// Installs the operators' configuration as received from a peer.
///
/// # Errors
///
/// [`Code::PlatformAnswer`] if `text` cannot be decoded.
fn receive_operator_config(node: &Node, text: &str) -> Result<(), Failure> {
    let value = serde_json::from_str::<Value>(text)
        .map_err(|error| Failure::new(Code::PlatformAnswer, error.to_string()))?;
    install_operator_config(node, &value).map(|_| ())
}

/// Requests the newer configuration from the member known to have it.
///
/// A member of another failure domain is sent the request only after
/// [`REMOTE_DELAY`]. A configuration is large and traffic between failure domains
/// is expensive, while the poller of the local failure domain has the
/// configuration soon.
/// Requests for one revision are rate-limited.
pub(super) fn request_from_peer(node: &Arc<Node>) {
    let Some(name) = lock(&node.configuration.newer_member).take() else {
        return;
    };
    let member = lock(&node.members.fleet).get(&name).map(|record| {
        let is_local = *record.profile.domain == *node.settings.domain;
        (record.profile.peer, is_local)
    });
    let Some((address, is_local)) = member else {
        return;
    };
    let revision = node.lookup().config.revision;
    let now = node.clock.now();
    let waited = lock(&node.configuration.outdated).elapsed(revision, now);
    if !is_local && waited < REMOTE_DELAY {
        let node = Arc::clone(node);
        actix_rt::spawn(async move {
            tokio::time::sleep(REMOTE_DELAY.saturating_sub(waited)).await;
            lock(&node.configuration.newer_member).get_or_insert(name);
            if node.lookup().config.revision == revision {
                node.configuration.wake.notify_one();
            }
        });
        return;
    }
    if !lock(&node.configuration.requested).may_request(revision, now) {
        return;
    }
    let peer = Peer {
        node: name,
        address,
    };
    node.links
        .send(&peer, Frame::RequestNotes { after: revision });
}

/// Encoded updates for a peer at revision `after`, with the revision of each:
/// the notes that follow, or the whole configuration if some of those notes have
/// been evicted from the history. Operators' configurations are always sent
/// whole.
pub fn rows_since(node: &Node, after: u64) -> Vec<(u64, Bytes)> {
    let encode = |row: &Row| Bytes::from(serde_json::to_vec(row).unwrap_or_default());
    let config = Arc::clone(&node.lookup().config);
    if config.revision <= after {
        return Vec::new();
    }
    if let Some(text) = lock(&node.configuration.operator_config).clone() {
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

/// Applies an update received from a peer. An update that cannot be decoded or
/// applied is logged and dropped.
pub fn receive(node: &Node, revision: u64, row: &[u8]) {
    match serde_json::from_slice::<Row>(row) {
        Ok(Row::Note(note)) => apply_row(node, &row_key(revision), &note),
        Ok(Row::Config(config)) => install(node, Arc::unwrap_or_clone(config)),
        Ok(Row::Operator(text)) => {
            if let Err(failure) = receive_operator_config(node, &text) {
                node.log_event(
                    Event::ConfigRejected,
                    format_args!("from a peer: {failure}"),
                );
            }
        }
        Err(error) => {
            node.log_event(Event::NoteRejected, format_args!("from a peer: {error}"));
        }
    }
}
