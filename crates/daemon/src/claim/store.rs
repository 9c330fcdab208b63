//! Task that writes claims and settlements in batches, one transaction at a time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Code, Failure};
use cardamomshed_platform::{Client, Condition, Operation};
use cardamomshed_policy::evacuation::Stamp;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

use super::command::{Command, Decision};
use super::rewriter::Rewriter;
use super::row::{Outcome, Proposal, Row, Settlement, State, TABLE};
use crate::node::Node;

/// Largest number of writes in one transaction.
const MAX_BATCH: usize = 64;
/// Largest number of settlements that are queued while the platform is
/// unavailable. Beyond it the oldest are dropped; their rows stay open and are
/// later treated as unknown outcomes.
const MAX_SETTLEMENTS: usize = 10_000;
/// Time after which a request is refused if its claim is not recorded.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failed transaction.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Detail of a refusal after a return of the store.
const HELD: &str = "the store returned from an old copy; claims are being written again";

struct Waiter {
    proposal: Proposal,
    reply: oneshot::Sender<Decision>,
    queued_at: Instant,
    /// Whether a write of the claim was sent.
    is_sent: bool,
}

#[derive(Default)]
struct Queue {
    claims: VecDeque<Waiter>,
    settlements: VecDeque<Settlement>,
}

impl Queue {
    fn push(&mut self, command: Command) {
        match command {
            Command::Claim(proposal, reply) => self.claims.push_back(Waiter {
                proposal,
                reply,
                queued_at: Instant::now(),
                is_sent: false,
            }),
            Command::Settle(settlement) => {
                if self.settlements.len() == MAX_SETTLEMENTS {
                    self.settlements.pop_front();
                }
                self.settlements.push_back(settlement);
            }
        }
    }

    /// Refuses a claim. A write of it may still have taken effect, which leaves a row whose
    /// request has not run, so a settlement that deletes the row is queued.
    fn refuse(&mut self, waiter: Waiter, cause: &str) {
        if waiter.is_sent {
            self.push(Command::Settle(Settlement {
                key: waiter.proposal.key,
                claim: waiter.proposal.claim,
                fingerprint: waiter.proposal.fingerprint,
                stamp: None,
                outcome: Outcome::NotRun,
            }));
        }
        let _ = waiter.reply.send(Decision::Unavailable(cause.to_owned()));
    }

    fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.settlements.is_empty()
    }
}

/// State of the task.
struct Task {
    client: Client,
    queue: Queue,
    rewriter: Rewriter,
}

/// Processes commands until every sender is dropped.
pub async fn run(node: Arc<Node>, commands: &mut mpsc::UnboundedReceiver<Command>) {
    let mut eras = node.store_era.subscribe();
    let mut task = Task {
        client: node.store_client(),
        queue: Queue::default(),
        rewriter: Rewriter::new(node),
    };
    loop {
        if task.queue.is_empty() && !task.rewriter.is_due() {
            let retry_at = task.rewriter.retry_at();
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => task.queue.push(command),
                    None => return,
                },
                // The sender lives as long as the daemon.
                _ = eras.changed() => {}
                () = sleep_until(retry_at), if task.rewriter.is_rewriting() => {}
            }
        }
        while let Ok(command) = commands.try_recv() {
            task.queue.push(command);
        }
        if task.step().await.is_err() {
            sleep(RETRY_DELAY).await;
        }
    }
}

impl Task {
    /// Checks kept rows after a return of the store, and writes one batch.
    async fn step(&mut self) -> Result<(), Failure> {
        self.rewriter.observe();
        if !self.rewriter.may_claim() {
            while let Some(waiter) = self.queue.claims.pop_front() {
                self.queue.refuse(waiter, HELD);
            }
        }
        if self.rewriter.is_due() {
            self.rewriter.check(&self.client).await;
        }
        let written = self.write_batch().await;
        self.expire_claims();
        written
    }

    /// Refuses claims that were queued for longer than the claim timeout.
    fn expire_claims(&mut self) {
        while let Some(first) = self.queue.claims.front() {
            if first.queued_at.elapsed() < CLAIM_TIMEOUT {
                return;
            }
            if let Some(waiter) = self.queue.claims.pop_front() {
                self.queue
                    .refuse(waiter, "platform did not record the claim in time");
            }
        }
    }

    /// Writes up to one batch of claims and settlements. On failure, those that were
    /// not written stay queued.
    async fn write_batch(&mut self) -> Result<(), Failure> {
        self.amend_settlements();
        self.rewriter.observe();
        let era = self.rewriter.era();
        let claims = self.queue.claims.len().min(MAX_BATCH);
        let settlements = self.queue.settlements.len().min(MAX_BATCH - claims);
        for waiter in self.queue.claims.iter_mut().take(claims) {
            waiter.is_sent = true;
        }
        let claim_writes = self.queue.claims.iter().take(claims).map(claim_operation);
        let pending = self.queue.settlements.iter().take(settlements);
        let settle_writes = pending.filter_map(|settlement| {
            let version = settlement.version(era)?;
            Some(settle_operation(settlement, version))
        });
        let operations = claim_writes.chain(settle_writes).collect::<Vec<_>>();
        if operations.len() == claims + settlements && !has_duplicate_rows(&operations) {
            if operations.is_empty() {
                return Ok(());
            }
            match self.client.transact(&operations).await {
                Ok(version) => {
                    let settled = self.queue.settlements.drain(..settlements);
                    for settlement in settled.collect::<Vec<_>>() {
                        self.record_settled(settlement, era);
                    }
                    let granted = self.queue.claims.drain(..claims);
                    for waiter in granted.collect::<Vec<_>>() {
                        self.grant(waiter, Stamp { era, version });
                    }
                    return Ok(());
                }
                Err(failure) if failure.code == Code::PlatformConflict => {}
                Err(failure) => return Err(failure),
            }
        }
        self.write_each(claims, settlements).await
    }

    /// Processes items separately. A batch cannot hold settlements without a version or
    /// two writes to one row, and fails if a row has changed.
    async fn write_each(&mut self, claims: usize, settlements: usize) -> Result<(), Failure> {
        for _ in 0..claims {
            self.rewriter.observe();
            let Some(waiter) = self.queue.claims.front() else {
                break;
            };
            let decision = claim_one(&self.client, &waiter.proposal, self.rewriter.era()).await?;
            let Some(waiter) = self.queue.claims.pop_front() else {
                break;
            };
            if let Decision::Granted(stamp) = decision {
                self.grant(waiter, stamp);
            } else {
                let _ = waiter.reply.send(decision);
            }
        }
        for _ in 0..settlements {
            self.rewriter.observe();
            self.amend_settlements();
            let Some(settlement) = self.queue.settlements.front() else {
                break;
            };
            let era = self.rewriter.era();
            let is_recorded = settle_one(&self.client, settlement).await?;
            if !is_recorded && !self.rewriter.is_same_era(era) {
                // The row may be missing because the store has returned from a copy.
                continue;
            }
            let settled = self.queue.settlements.pop_front();
            if let Some(settlement) = settled.filter(|_| is_recorded) {
                self.record_settled(settlement, era);
            }
        }
        Ok(())
    }

    /// Leaves settlements to the check of the kept rows where it has not reached the row,
    /// which the store may lack.
    fn amend_settlements(&mut self) {
        if !self.rewriter.is_rewriting() {
            return;
        }
        let rewriter = &mut self.rewriter;
        self.queue.settlements.retain(|settlement| {
            let written = settlement.clone().written(rewriter.era(), true);
            rewriter.amend(written).is_some()
        });
    }

    /// Grants a claim that was written by a request sent in the era of `stamp`. It is
    /// refused if the store has returned from a copy meanwhile, since another daemon's row
    /// may have been lost, in whose place the claim was written.
    fn grant(&mut self, waiter: Waiter, stamp: Stamp) {
        self.rewriter.observe();
        if !self.rewriter.may_claim() || !self.rewriter.is_same_era(stamp.era) {
            return self.queue.refuse(waiter, HELD);
        }
        self.rewriter.record(waiter.proposal.written(stamp.era));
        // If the caller no longer waits, its row stays open.
        let _ = waiter.reply.send(Decision::Granted(stamp));
    }

    /// Keeps the row of a settlement that was written by a request sent in `era`.
    fn record_settled(&mut self, settlement: Settlement, era: u64) {
        let is_same_era = self.rewriter.is_same_era(era);
        self.rewriter.record(settlement.written(era, is_same_era));
    }
}

/// Whether two operations write the same row, which a transaction does not allow.
fn has_duplicate_rows(operations: &[Operation]) -> bool {
    let mut keys = operations
        .iter()
        .map(|write| &write.key)
        .collect::<Vec<_>>();
    keys.sort_unstable();
    keys.windows(2).any(|pair| pair[0] == pair[1])
}

fn claim_operation(waiter: &Waiter) -> Operation {
    Operation {
        table: TABLE.to_owned(),
        key: waiter.proposal.key.clone(),
        condition: Condition::Absent,
        value: serde_json::to_value(waiter.proposal.row()).ok(),
    }
}

/// Write of a settlement to a row of this version.
fn settle_operation(settlement: &Settlement, version: u64) -> Operation {
    let row = settlement.clone().into_row();
    Operation {
        table: TABLE.to_owned(),
        key: settlement.key.clone(),
        condition: Condition::Version(version),
        value: row.and_then(|row| serde_json::to_value(row).ok()),
    }
}

/// Claims one key in the era that is known now. If its row exists, reads the row to
/// decide.
async fn claim_one(client: &Client, proposal: &Proposal, era: u64) -> Result<Decision, Failure> {
    let written = client
        .put(TABLE, &proposal.key, Condition::Absent, &proposal.row())
        .await;
    match written {
        Ok(version) => return Ok(Decision::Granted(Stamp { era, version })),
        Err(failure) if failure.code == Code::PlatformConflict => {}
        Err(failure) => return Err(failure),
    }
    let Some(found) = client.get(TABLE, &proposal.key).await? else {
        // The row was deleted in between; the claim stays queued and is retried.
        return Err(Failure::new(
            Code::PlatformConflict,
            "claim row deleted concurrently",
        ));
    };
    let Ok(row) = serde_json::from_value::<Row>(found.value) else {
        return Ok(Decision::Unavailable("row is not a valid claim".to_owned()));
    };
    Ok(match row.state {
        // An earlier write of this claim took effect but its response was lost.
        _ if row.claim == proposal.claim => Decision::Granted(Stamp {
            era,
            version: found.version,
        }),
        _ if row.fingerprint != proposal.fingerprint => Decision::KeyReused,
        State::Answered(snapshot) => Decision::Answered(snapshot),
        State::Open if !row.is_expired() => Decision::InProgress,
        State::Open | State::Unknown => Decision::Undetermined,
    })
}

/// Writes one settlement. Does nothing if the row is missing, belongs to another
/// claim or is already settled, so it can be retried after a lost response or a conflict.
/// Returns whether the settlement is recorded, by this write or an earlier one.
async fn settle_one(client: &Client, settlement: &Settlement) -> Result<bool, Failure> {
    let Some(found) = client.get(TABLE, &settlement.key).await? else {
        return Ok(matches!(settlement.outcome, Outcome::NotRun));
    };
    let row = serde_json::from_value::<Row>(found.value).ok();
    let Some(row) = row.filter(|row| row.claim == settlement.claim) else {
        return Ok(false);
    };
    if !matches!(row.state, State::Open) {
        return Ok(true);
    }
    let operation = settle_operation(settlement, found.version);
    client.transact(&[operation]).await?;
    Ok(true)
}
