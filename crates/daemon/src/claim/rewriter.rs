//! Writes the last claims and answers of this daemon again after the platform's store has
//! returned from an old copy.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_platform::{Client, Condition, Operation};
use cardamomshed_policy::claim::{Found, Grace, Journal, Limits, Repair, Written};
use tokio::time::Instant;

use super::row::{Row, State, TABLE};
use crate::node::Node;

/// Interval between two checks of a row in whose place another daemon has an open claim.
const BLOCKED_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a check that failed while keys are not claimed.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay after a check that failed later, when nothing waits for it.
const LATE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The last rows of this daemon and the era of the store.
pub(super) struct Rewriter {
    node: Arc<Node>,
    journal: Journal<Row>,
    grace: Grace,
    /// Earliest time of the next check.
    retry_at: Instant,
    /// Rows written again in this check.
    rewritten: usize,
    /// Rows that another daemon's row replaces.
    conflicts: usize,
}

impl Rewriter {
    pub(super) fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            journal: Journal::new(Limits::default()),
            grace: Grace::default(),
            retry_at: Instant::now(),
            rewritten: 0,
            conflicts: 0,
        }
    }

    /// Records the era of the store. If it has risen, the check of the kept rows starts.
    pub(super) fn observe(&mut self) {
        let era = self.node.store_era.current();
        if let Some(era) = self.grace.observe(era, self.node.clock.now()) {
            self.journal.start(era);
            self.retry_at = Instant::now();
            (self.rewritten, self.conflicts) = (0, 0);
        }
    }

    /// Era of the store as of the last [`Rewriter::observe`].
    pub(super) fn era(&self) -> u64 {
        self.grace.era()
    }

    /// Whether the store has reported no other era than this one since.
    pub(super) fn is_same_era(&self, era: u64) -> bool {
        self.node.store_era.current().unwrap_or_default() == era
    }

    /// Whether keys may be claimed.
    pub(super) fn may_claim(&self) -> bool {
        let now = self.node.clock.now();
        self.grace.is_over(self.journal.is_rewriting(), now)
    }

    /// Earliest time of the next check.
    pub(super) const fn retry_at(&self) -> Instant {
        self.retry_at
    }

    /// Whether rows can be checked now.
    pub(super) fn is_due(&self) -> bool {
        self.journal.is_rewriting() && Instant::now() >= self.retry_at
    }

    /// Keeps a row that was written.
    pub(super) fn record(&mut self, written: Written<Row>) {
        self.journal.record(written, self.node.clock.now());
        let dropped = self.journal.take_dropped();
        self.node.metrics.dropped_claims.inc_by(dropped);
    }

    /// Takes a settlement whose row is still to be checked; the check writes it. Returns
    /// any other one.
    pub(super) fn amend(&mut self, written: Written<Row>) -> Option<Written<Row>> {
        self.journal.amend(written)
    }

    /// Whether rows are still to be checked.
    pub(super) fn is_rewriting(&self) -> bool {
        self.journal.is_rewriting()
    }

    /// Checks the next rows and writes those that the store lacks. Rows whose check fails
    /// are checked again.
    pub(super) async fn check(&mut self, client: &Client) {
        if self.journal.is_blocked() {
            self.journal.retry_blocked();
        }
        let checked = self.check_batch(client).await;
        if checked.is_err() {
            let is_late = self.grace.is_past_limit(self.node.clock.now());
            let delay = if is_late {
                LATE_RETRY_DELAY
            } else {
                RETRY_DELAY
            };
            self.retry_at = Instant::now() + delay;
        } else if self.journal.is_blocked() {
            self.retry_at = Instant::now() + BLOCKED_INTERVAL;
        } else if !self.journal.is_rewriting() {
            let (rewritten, conflicts) = (self.rewritten, self.conflicts);
            self.node.log_event(
                Event::ClaimsRewritten,
                format_args!("rows={rewritten} conflicts={conflicts}"),
            );
        }
    }

    /// # Errors
    ///
    /// Failures of the store, and [`Code::PlatformConflict`] if another daemon has written
    /// one of the rows meanwhile.
    async fn check_batch(&mut self, client: &Client) -> Result<(), Failure> {
        let era = self.grace.era();
        let rows = self.journal.batch().filter(|row| row.value.is_some());
        let operations = rows.map(|row| operation(row, Condition::Absent));
        let operations = operations.collect::<Vec<_>>();
        if operations.is_empty() {
            return self.check_each(client).await;
        }
        match client.transact(&operations).await {
            Ok(_) => {
                self.record_rewrites(&operations, era);
                self.journal.grow_batch();
                Ok(())
            }
            Err(failure) if failure.code != Code::PlatformConflict => Err(failure),
            Err(_) if self.journal.shrink_batch() => Ok(()),
            Err(_) => self.check_each(client).await,
        }
    }

    /// Reads the rows of a batch, from the newest on, up to one that the copy held.
    async fn check_each(&mut self, client: &Client) -> Result<(), Failure> {
        let era = self.grace.era();
        let keys = self.journal.batch().map(|row| Arc::clone(&row.key));
        let mut operations = Vec::new();
        for key in keys.collect::<Vec<_>>() {
            let found = client.get(TABLE, &key).await?;
            let found = found.map(|row| found_row(row.value, row.version));
            let Some(written) = self.journal.get(&key) else {
                continue;
            };
            match Repair::choose(written, found) {
                Repair::Intact => {
                    self.journal.record_found(&key, true);
                    break;
                }
                Repair::Nothing => self.journal.record_found(&key, false),
                Repair::Create => operations.push(operation(written, Condition::Absent)),
                Repair::Replace(version) => {
                    operations.push(operation(written, Condition::Version(version)));
                }
                Repair::Blocked if !self.grace.is_past_limit(self.node.clock.now()) => {
                    self.journal.record_blocked(&key);
                }
                Repair::Blocked | Repair::Conflict => self.record_conflict(&key),
            }
        }
        if !operations.is_empty() {
            client.transact(&operations).await?;
            self.record_rewrites(&operations, era);
        }
        Ok(())
    }

    fn record_rewrites(&mut self, operations: &[Operation], era: u64) {
        let now = self.node.clock.now();
        let is_same_era = self.is_same_era(era);
        for operation in operations {
            self.journal
                .record_rewrite(&operation.key, era, is_same_era, now);
        }
        self.rewritten += operations.len();
    }

    fn record_conflict(&mut self, key: &str) {
        self.journal.forget(key);
        self.conflicts += 1;
        self.node
            .log_event(Event::ClaimReplaced, format_args!("row={key}"));
    }
}

/// Write of a row as it was, or its removal.
fn operation(written: &Written<Row>, condition: Condition) -> Operation {
    let value = written.value.as_ref();
    Operation {
        table: TABLE.to_owned(),
        key: written.key.to_string(),
        condition,
        value: value.and_then(|row| serde_json::to_value(row).ok()),
    }
}

fn found_row(value: serde_json::Value, version: u64) -> Found {
    let row = serde_json::from_value::<Row>(value).ok();
    Found {
        claim: row.as_ref().map(|row| row.claim),
        is_open: row.is_some_and(|row| matches!(row.state, State::Open)),
        version,
    }
}
