//! Task that writes claims and settlements in batches, one transaction at a time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Code, Failure};
use cardamomshed_platform::{Client, Condition, Operation};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::command::{Command, Decision};
use super::row::{Outcome, Proposal, Row, Settlement, State};
use crate::node::Node;

/// Name of the table of claims.
const TABLE: &str = "claims";
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

struct Waiter {
    proposal: Proposal,
    reply: oneshot::Sender<Decision>,
    queued_at: Instant,
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
            }),
            Command::Settle(settlement) => {
                if self.settlements.len() == MAX_SETTLEMENTS {
                    self.settlements.pop_front();
                }
                self.settlements.push_back(settlement);
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.settlements.is_empty()
    }
}

/// Processes commands until every sender is dropped.
pub async fn run(node: Arc<Node>, commands: &mut mpsc::UnboundedReceiver<Command>) {
    let client = node.store_client();
    let mut queue = Queue::default();
    loop {
        if queue.is_empty() {
            match commands.recv().await {
                Some(command) => queue.push(command),
                None => return,
            }
        }
        while let Ok(command) = commands.try_recv() {
            queue.push(command);
        }
        let failed = write_batch(&client, &mut queue).await.is_err();
        expire_claims(&mut queue);
        if failed {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Refuses claims that were queued for longer than the claim timeout. Their
/// write may still have taken effect, which leaves a row whose request has not
/// run, so a settlement that deletes the row is queued.
fn expire_claims(queue: &mut Queue) {
    while let Some(first) = queue.claims.front() {
        if first.queued_at.elapsed() < CLAIM_TIMEOUT {
            return;
        }
        let Some(waiter) = queue.claims.pop_front() else {
            return;
        };
        queue.settlements.push_back(Settlement {
            key: waiter.proposal.key.clone(),
            claim: waiter.proposal.claim,
            fingerprint: waiter.proposal.fingerprint.clone(),
            version: 0,
            outcome: Outcome::NotRun,
        });
        let unavailable =
            Decision::Unavailable("platform did not record the claim in time".to_owned());
        let _ = waiter.reply.send(unavailable);
    }
}

/// Writes up to one batch of claims and settlements. On failure, those that were
/// not written stay queued.
async fn write_batch(client: &Client, queue: &mut Queue) -> Result<(), Failure> {
    let claims = queue.claims.len().min(MAX_BATCH);
    let settlements = queue.settlements.len().min(MAX_BATCH - claims);
    let claim_writes = queue.claims.iter().take(claims).map(claim_operation);
    let pending = queue.settlements.iter().take(settlements);
    let settle_writes = pending.filter_map(settle_operation);
    let operations = claim_writes.chain(settle_writes).collect::<Vec<_>>();
    let unversioned = queue
        .settlements
        .iter()
        .take(settlements)
        .any(|settlement| settlement.version == 0);
    if !unversioned && !has_duplicate_rows(&operations) {
        match client.transact(&operations).await {
            Ok(version) => {
                for waiter in queue.claims.drain(..claims) {
                    // If the caller no longer waits, its row stays open.
                    let _ = waiter.reply.send(Decision::Granted(version));
                }
                queue.settlements.drain(..settlements);
                return Ok(());
            }
            Err(failure) if failure.code == Code::PlatformConflict => {}
            Err(failure) => return Err(failure),
        }
    }
    // A batch cannot hold settlements without a version or two writes to
    // one row, and fails if a row has changed. Process each item separately.
    for _ in 0..claims {
        let Some(waiter) = queue.claims.front() else {
            break;
        };
        let decision = claim_one(client, &waiter.proposal).await?;
        if let Some(waiter) = queue.claims.pop_front() {
            let _ = waiter.reply.send(decision);
        }
    }
    for _ in 0..settlements {
        let Some(settlement) = queue.settlements.front() else {
            break;
        };
        settle_one(client, settlement).await?;
        queue.settlements.pop_front();
    }
    Ok(())
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

/// Write of a settlement; `None` if the version of the row is unknown.
fn settle_operation(settlement: &Settlement) -> Option<Operation> {
    let value = match &settlement.outcome {
        Outcome::NotRun => None,
        Outcome::Unknown => Some(final_row(settlement, State::Unknown)),
        Outcome::Answered(answer) => Some(final_row(settlement, State::Answered(answer.clone()))),
    };
    (settlement.version > 0).then(|| Operation {
        table: TABLE.to_owned(),
        key: settlement.key.clone(),
        condition: Condition::Version(settlement.version),
        value,
    })
}

/// Value of the row of a settled claim.
fn final_row(settlement: &Settlement, state: State) -> serde_json::Value {
    let row = Row {
        claim: settlement.claim,
        fingerprint: settlement.fingerprint.clone(),
        until_ms: 0,
        state,
    };
    serde_json::to_value(row).unwrap_or_default()
}

/// Claims one key. If its row exists, reads the row to decide.
async fn claim_one(client: &Client, proposal: &Proposal) -> Result<Decision, Failure> {
    let written = client
        .put(TABLE, &proposal.key, Condition::Absent, &proposal.row())
        .await;
    match written {
        Ok(version) => return Ok(Decision::Granted(version)),
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
        _ if row.claim == proposal.claim => Decision::Granted(found.version),
        _ if row.fingerprint != proposal.fingerprint => Decision::KeyReused,
        State::Answered(snapshot) => Decision::Answered(snapshot),
        State::Open if !row.is_expired() => Decision::InProgress,
        State::Open | State::Unknown => Decision::Undetermined,
    })
}

/// Writes one settlement. Does nothing if the row is missing, belongs to another
/// claim or is already settled, so it can be retried after a lost response.
async fn settle_one(client: &Client, settlement: &Settlement) -> Result<(), Failure> {
    let Some(found) = client.get(TABLE, &settlement.key).await? else {
        return Ok(());
    };
    let is_own = serde_json::from_value::<Row>(found.value)
        .is_ok_and(|row| row.claim == settlement.claim && matches!(row.state, State::Open));
    if !is_own {
        return Ok(());
    }
    let current = Settlement {
        version: found.version,
        ..settlement.clone()
    };
    let operation = settle_operation(&current);
    match client.transact(operation.as_slice()).await {
        Err(failure) if failure.code != Code::PlatformConflict => Err(failure),
        _ => Ok(()),
    }
}
