//! Follows the configuration that operators write to the platform's store.
//!
//! The pollers of each failure domain wait for changes at the store, and the
//! other daemons receive them from peers. A daemon whose configuration has not
//! been confirmed for some time reads the store itself.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Event, Failure};
use cardamomshed_platform::{CONFIG_KEY, CONFIG_TABLE, Changes, Client, redact_config};
use cardamomshed_policy::Moment;
use cardamomshed_policy::confirmation::{Date, read_age};
use serde_json::Value;

use super::distribution::{install_operator_config, request_from_peer};
use crate::members::{broadcast_confirmation, is_poller, rank};
use crate::node::Node;

/// Time for which one feed request waits at the store for a change.
const FEED_WAIT: Duration = Duration::from_secs(1);
/// Longest delay with which a feed reports a change, as specified by the
/// platform. A confirmation by the feed is dated back by it.
const FEED_LAG: Duration = Duration::from_millis(1_100);
/// Age of the last confirmation at which a daemon that is no poller reads the
/// store, outside sidecar mode.
const MAX_UNCONFIRMED: Duration = Duration::from_millis(2_200);
/// Interval at which a daemon that does not read checks whether it has to, and
/// base of the retry backoff.
const MIN_DELAY: Duration = Duration::from_millis(250);
/// Upper bound of the retry backoff.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Follows the operators' configuration until the task is dropped.
pub(super) async fn run(node: Arc<Node>) {
    let client = node.store_client();
    let mut reader = Reader {
        node: Arc::clone(&node),
        client,
        version: None,
        failures: 0,
    };
    loop {
        tokio::select! {
            () = reader.step() => {}
            () = node.configuration.wake.notified() => request_from_peer(&node),
        }
    }
}

struct Reader {
    node: Arc<Node>,
    client: Client,
    /// Store version at which the feed continues; `None` to read the row again.
    version: Option<u64>,
    failures: u32,
}

impl Reader {
    async fn step(&mut self) {
        if !is_poller(&self.node) && !self.must_read() {
            self.version = None;
            tokio::time::sleep(MIN_DELAY).await;
            return;
        }
        match self.read().await {
            Ok(()) => {
                if self.failures > 0 {
                    self.node
                        .log_event(Event::PlatformReachable, format_args!("configuration"));
                }
                self.failures = 0;
                broadcast_confirmation(&self.node);
            }
            Err(failure) => {
                if self.failures == 0 {
                    self.node.log_event(
                        Event::PlatformUnreachable,
                        format_args!("configuration: {failure}"),
                    );
                }
                self.failures += 1;
                self.version = None;
                let delay = MIN_DELAY * 2u32.pow(self.failures.min(4));
                let jitter = 0.5 + 0.5 * rand::random::<f64>();
                tokio::time::sleep(delay.min(MAX_DELAY).mul_f64(jitter)).await;
            }
        }
    }

    /// Whether this daemon, which is no poller, has to confirm its configuration.
    fn must_read(&self) -> bool {
        // Before the first confirmation, the time since the start counts, so that
        // daemons that start together read one after the other.
        let confirmed = self.node.configuration.confirmed();
        let since = confirmed.unwrap_or(Date::of(Moment::ZERO));
        let age = since.age(self.node.clock.now());
        match &self.node.current_settings().sidecar {
            Some(sidecar) => age > read_age(sidecar.withdraw_within.get(), rank(&self.node)),
            None => age > MAX_UNCONFIRMED,
        }
    }

    async fn read(&mut self) -> Result<(), Failure> {
        let sent_at = self.node.clock.now();
        let sent = Date::of(sent_at);
        let Some(version) = self.version else {
            let (row, version) = self
                .client
                .get_with_version(CONFIG_TABLE, CONFIG_KEY)
                .await?;
            if let Some(row) = row {
                install_value(&self.node, row.value);
                self.node.confirm_configuration(sent, "store");
            }
            self.version = Some(version);
            return Ok(());
        };
        match self.client.feed(CONFIG_TABLE, version, FEED_WAIT).await? {
            Changes::Available(feed) => {
                let is_unchanged = feed.rows.is_empty();
                for row in feed.rows {
                    if row.key == CONFIG_KEY && !row.removed {
                        install_value(&self.node, row.value);
                    }
                }
                self.version = Some(feed.version);
                // An empty answer reflects the state at the end of the wait.
                let waited = self.node.clock.now().since(sent_at) >= FEED_WAIT;
                let confirmed = if is_unchanged && waited {
                    sent.after(FEED_WAIT)
                } else {
                    sent
                };
                let confirmed = confirmed.before(FEED_LAG);
                self.node.confirm_configuration(confirmed, "store");
            }
            Changes::Compacted => self.version = None,
        }
        Ok(())
    }
}

/// Installs a configuration read from the store, with its API keys replaced by
/// digests. One that cannot be decoded is logged and dropped.
fn install_value(node: &Node, mut value: Value) {
    redact_config(&mut value);
    if let Err(failure) = install_operator_config(node, &value) {
        node.log_event(Event::ConfigRejected, format_args!("{failure}"));
    }
}
