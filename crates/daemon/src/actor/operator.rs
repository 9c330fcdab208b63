//! Follows the configuration that operators write into the platform's store.
//!
//! A few readers of each failure domain wait for changes; the others learn
//! of them from peers. A daemon that nobody has confirmed the configuration
//! to for a while reads by itself.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Event, Failure};
use cardamomshed_platform::{CONFIG_KEY, CONFIG_TABLE, Changes, Client, redact_config};
use serde_json::Value;

use super::config::{ask_peer, install_written};
use crate::members::{is_poller, tell_domain};
use crate::node::Node;

/// Time for which one question to the store waits for a change.
const WAIT: Duration = Duration::from_secs(1);
/// Time for which a feed may be silent about a change, of the platform's
/// description; a confirmation by the feed is older by that much.
const FEED_LAG: Duration = Duration::from_millis(1_100);
/// Age of the last confirmation at which a daemon reads by itself.
const UNCONFIRMED: Duration = Duration::from_millis(2_200);
/// Pause between two looks of a daemon that does not read.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Follows the configuration until the task is dropped.
pub(super) async fn run(node: Arc<Node>) {
    let client = node.store();
    let mut reader = Reader {
        node: Arc::clone(&node),
        client,
        version: None,
        failures: 0,
    };
    loop {
        tokio::select! {
            () = reader.step() => {}
            () = node.configuration.wake.notified() => ask_peer(&node),
        }
    }
}

struct Reader {
    node: Arc<Node>,
    client: Client,
    /// Version of the store from which the feed goes on; `None` to read the
    /// row anew.
    version: Option<u64>,
    failures: u32,
}

impl Reader {
    async fn step(&mut self) {
        let unconfirmed = self.node.configuration.unconfirmed_for() > UNCONFIRMED;
        if !unconfirmed && !is_poller(&self.node) {
            self.version = None;
            tokio::time::sleep(PAUSE).await;
            return;
        }
        match self.read().await {
            Ok(()) => {
                if self.failures > 0 {
                    self.node
                        .note_event(Event::PlatformReachable, format_args!("configuration"));
                }
                self.failures = 0;
                tell_domain(&self.node);
            }
            Err(failure) => {
                if self.failures == 0 {
                    self.node.note_event(
                        Event::PlatformUnreachable,
                        format_args!("configuration: {failure}"),
                    );
                }
                self.failures += 1;
                self.version = None;
                let pause = PAUSE * 2u32.pow(self.failures.min(4));
                let spread = 0.5 + 0.5 * rand::random::<f64>();
                tokio::time::sleep(pause.min(MAX_PAUSE).mul_f64(spread)).await;
            }
        }
    }

    async fn read(&mut self) -> Result<(), Failure> {
        let sent = self.node.configuration.lease_now();
        let Some(version) = self.version else {
            let (row, version) = self
                .client
                .get_with_version(CONFIG_TABLE, CONFIG_KEY)
                .await?;
            if let Some(row) = row {
                take_in(&self.node, row.value);
                self.node.configuration.confirm_lease(sent);
            }
            self.version = Some(version);
            return Ok(());
        };
        match self.client.feed(CONFIG_TABLE, version, WAIT).await? {
            Changes::Available(feed) => {
                let quiet = feed.rows.is_empty();
                for row in feed.rows {
                    if row.key == CONFIG_KEY && !row.removed {
                        take_in(&self.node, row.value);
                    }
                }
                self.version = Some(feed.version);
                // An empty answer was decided once the store had waited.
                let waited = self.node.configuration.lease_now().since(sent) >= WAIT;
                let decided = if quiet && waited { sent + WAIT } else { sent };
                self.node
                    .configuration
                    .confirm_lease(decided.before(FEED_LAG));
            }
            Changes::Compacted => self.version = None,
        }
        Ok(())
    }
}

/// Puts a configuration in force if it can be read and is newer.
fn take_in(node: &Node, mut value: Value) {
    redact_config(&mut value);
    if let Err(failure) = install_written(node, &value) {
        node.note_event(Event::ConfigRejected, format_args!("{failure}"));
    }
}
