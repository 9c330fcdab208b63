//! Follows the configuration that operators write to the platform's store.
//!
//! The pollers of each failure domain wait for changes at the store, and the
//! other daemons receive them from peers. A daemon whose configuration has not
//! been confirmed for some time reads the store itself. The same reads report which
//! failure domains are evacuated.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Event, Failure};
use cardamomshed_platform::{
    CONFIG_KEY, CONFIG_TABLE, Changes, Client, evacuated_domain, redact_config,
};
use cardamomshed_policy::Moment;
use cardamomshed_policy::confirmation::{Date, Reads, read_age};
use cardamomshed_policy::evacuation::{Reading, Stamp};
use serde_json::Value;

use super::distribution::{install_operator_config, request_from_peer};
use crate::members::{
    broadcast_confirmation, is_known_domain, is_poller, rank, record_evacuations,
};
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

/// Largest number of characters of an unknown name that are logged.
const MAX_LOGGED_CHARS: usize = 64;

/// Follows the operators' configuration until the task is dropped.
pub(super) async fn run(node: Arc<Node>) {
    let client = node.store_client();
    let mut reader = Reader {
        node: Arc::clone(&node),
        client,
        version: None,
        era: 0,
        reads: Reads::default(),
        evacuated: BTreeSet::new(),
        ignored: BTreeSet::new(),
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
    /// Store version at which the feed continues; `None` to read the rows again.
    version: Option<u64>,
    /// Era of the store in which `version` and `evacuated` were read.
    era: u64,
    reads: Reads,
    /// Failure domains that have an evacuation row.
    evacuated: BTreeSet<Arc<str>>,
    /// Names of them that no known failure domain has, as logged.
    ignored: BTreeSet<Arc<str>>,
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
            let rows = self.client.operator_rows().await?;
            self.era = rows.era;
            self.reads.record(rows.era, self.node.clock.now());
            self.evacuated = rows.evacuated;
            // Requests are served once a configuration is in force, and must not be
            // sent to an evacuated domain then.
            self.record_evacuations(rows.version, sent_at);
            if let Some(row) = rows.config {
                self.install(row.value);
                self.confirm(sent, sent_at);
            }
            self.version = Some(rows.version);
            return Ok(());
        };
        match self.client.feed(CONFIG_TABLE, version, FEED_WAIT).await? {
            Changes::Available(feed) if feed.era != self.era => self.version = None,
            Changes::Available(feed) => {
                let is_unchanged = feed.rows.is_empty();
                for row in feed.rows {
                    if row.key == CONFIG_KEY && !row.removed {
                        self.install(row.value);
                    } else if let Some(domain) = evacuated_domain(&row.key) {
                        if row.removed {
                            self.evacuated.remove(domain);
                        } else {
                            self.evacuated.insert(domain.into());
                        }
                    }
                }
                self.version = Some(feed.version);
                self.record_evacuations(feed.version, sent_at);
                // An empty answer reflects the state at the end of the wait.
                let waited = self.node.clock.now().since(sent_at) >= FEED_WAIT;
                let confirmed = if is_unchanged && waited {
                    sent.after(FEED_WAIT)
                } else {
                    sent
                };
                let confirmed = confirmed.before(FEED_LAG);
                self.confirm(confirmed, sent_at);
            }
            Changes::Compacted => self.version = None,
        }
        Ok(())
    }

    /// Installs a configuration read from the store, with its API keys replaced by
    /// digests. One that cannot be decoded is logged and dropped.
    fn install(&mut self, mut value: Value) {
        redact_config(&mut value);
        match install_operator_config(&self.node, &value) {
            Ok(revision) => self.reads.record_revision(revision),
            Err(failure) => self
                .node
                .log_event(Event::ConfigRejected, format_args!("{failure}")),
        }
    }

    /// Confirms the configuration in force at `date` by a read sent at `sent_at`, if the
    /// store holds no older one.
    fn confirm(&self, date: Date, sent_at: Moment) {
        let in_force = self.node.lookup().config.revision;
        if self.reads.confirm(in_force, sent_at, FEED_LAG) {
            self.node.confirm_configuration(date, "store");
        }
    }

    /// Records the evacuations of known failure domains as of this store version, read
    /// by a request sent at `sent`. Other names are logged once and left out.
    fn record_evacuations(&mut self, version: u64, sent: Moment) {
        let is_known = |domain: &Arc<str>| is_known_domain(&self.node, domain);
        let (domains, unknown) = self.evacuated.iter().cloned().partition(is_known);
        let unknown: BTreeSet<Arc<str>> = unknown;
        for domain in unknown.difference(&self.ignored) {
            // The name may be of any length.
            let name = domain.chars().take(MAX_LOGGED_CHARS).collect::<String>();
            self.node
                .log_event(Event::EvacuationIgnored, format_args!("domain={name:?}"));
        }
        self.ignored = unknown;
        let stamp = Stamp {
            era: self.era,
            version,
        };
        record_evacuations(&self.node, Reading { stamp, domains }, sent);
    }
}
