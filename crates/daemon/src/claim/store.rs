//! Writes claims in batches, one transaction at a time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Code, Failure};
use cardamomshed_platform::{Client, Condition, Operation};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::ask::{Ask, Claimed};
use super::row::{Outcome, Row, Settled, State, Wanted};
use crate::node::Node;

/// Table of the claims.
const TABLE: &str = "claims";
/// Writes in one transaction.
const BATCH: usize = 64;
/// Settlements that are kept while the platform is away; beyond, the oldest
/// rows stay as unknown fates.
const MAX_SETTLEMENTS: usize = 10_000;
/// Time for which a claim is tried before the caller is refused.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Pause after a failed transaction.
const PAUSE: Duration = Duration::from_millis(100);

struct Waiting {
    wanted: Wanted,
    reply: oneshot::Sender<Claimed>,
    since: Instant,
}

#[derive(Default)]
struct Queue {
    claims: VecDeque<Waiting>,
    settlements: VecDeque<Settled>,
}

impl Queue {
    fn push(&mut self, ask: Ask) {
        match ask {
            Ask::Claim(wanted, reply) => self.claims.push_back(Waiting {
                wanted,
                reply,
                since: Instant::now(),
            }),
            Ask::Settle(settled) => {
                if self.settlements.len() == MAX_SETTLEMENTS {
                    self.settlements.pop_front();
                }
                self.settlements.push_back(settled);
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.settlements.is_empty()
    }
}

/// Claims and settles until every sender is gone.
pub async fn run(node: Arc<Node>, asks: &mut mpsc::UnboundedReceiver<Ask>) {
    let client = node.store();
    let mut queue = Queue::default();
    loop {
        if queue.is_empty() {
            match asks.recv().await {
                Some(ask) => queue.push(ask),
                None => return,
            }
        }
        while let Ok(ask) = asks.try_recv() {
            queue.push(ask);
        }
        let failed = write_batch(&client, &mut queue).await.is_err();
        give_up(&mut queue);
        if failed {
            sleep(PAUSE).await;
        }
    }
}

/// Refuses claims that have waited too long. A write that still takes effect
/// leaves a row whose request has not run, so the row is queued for deletion.
fn give_up(queue: &mut Queue) {
    while let Some(first) = queue.claims.front() {
        if first.since.elapsed() < PATIENCE {
            return;
        }
        let Some(waiting) = queue.claims.pop_front() else {
            return;
        };
        queue.settlements.push_back(Settled {
            key: waiting.wanted.key.clone(),
            claim: waiting.wanted.claim,
            fingerprint: waiting.wanted.fingerprint.clone(),
            version: 0,
            outcome: Outcome::NotRun,
        });
        let unavailable = Claimed::Unavailable("the platform did not answer".to_owned());
        let _ = waiting.reply.send(unavailable);
    }
}

/// Writes up to a batch of what waits; whatever could not be written stays.
async fn write_batch(client: &Client, queue: &mut Queue) -> Result<(), Failure> {
    let claims = queue.claims.len().min(BATCH);
    let settlements = queue.settlements.len().min(BATCH - claims);
    let claim_writes = queue.claims.iter().take(claims).map(claim_operation);
    let settled = queue.settlements.iter().take(settlements);
    let settle_writes = settled.filter_map(settle_operation);
    let operations = claim_writes.chain(settle_writes).collect::<Vec<_>>();
    let unversioned = queue
        .settlements
        .iter()
        .take(settlements)
        .any(|settled| settled.version == 0);
    if !unversioned && !repeats(&operations) {
        match client.transact(&operations).await {
            Ok(version) => {
                for waiting in queue.claims.drain(..claims) {
                    // A caller that is gone leaves its claim to be found open.
                    let _ = waiting.reply.send(Claimed::Mine(version));
                }
                queue.settlements.drain(..settlements);
                return Ok(());
            }
            Err(failure) if failure.code == Code::PlatformConflict => {}
            Err(failure) => return Err(failure),
        }
    }
    // One of the rows is not as expected: settle each by itself.
    for _ in 0..claims {
        let Some(waiting) = queue.claims.front() else {
            break;
        };
        let claimed = claim_one(client, &waiting.wanted).await?;
        if let Some(waiting) = queue.claims.pop_front() {
            let _ = waiting.reply.send(claimed);
        }
    }
    for _ in 0..settlements {
        let Some(settled) = queue.settlements.front() else {
            break;
        };
        settle_one(client, settled).await?;
        queue.settlements.pop_front();
    }
    Ok(())
}

/// Whether two writes concern one row, which a transaction cannot hold.
fn repeats(operations: &[Operation]) -> bool {
    let mut keys = operations
        .iter()
        .map(|write| &write.key)
        .collect::<Vec<_>>();
    keys.sort_unstable();
    keys.windows(2).any(|pair| pair[0] == pair[1])
}

fn claim_operation(waiting: &Waiting) -> Operation {
    Operation {
        table: TABLE.to_owned(),
        key: waiting.wanted.key.clone(),
        condition: Condition::Absent,
        value: serde_json::to_value(waiting.wanted.row()).ok(),
    }
}

fn settle_operation(settled: &Settled) -> Option<Operation> {
    let value = match &settled.outcome {
        Outcome::NotRun => None,
        Outcome::Unknown => Some(closed(settled, State::Unknown)),
        Outcome::Answered(stored) => Some(closed(settled, State::Answered(stored.clone()))),
    };
    (settled.version > 0).then(|| Operation {
        table: TABLE.to_owned(),
        key: settled.key.clone(),
        condition: Condition::Version(settled.version),
        value,
    })
}

fn closed(settled: &Settled, state: State) -> serde_json::Value {
    let row = Row {
        claim: settled.claim,
        fingerprint: settled.fingerprint.clone(),
        until_ms: 0,
        state,
    };
    serde_json::to_value(row).unwrap_or_default()
}

/// Claims one key and finds out who holds it where it is taken.
async fn claim_one(client: &Client, wanted: &Wanted) -> Result<Claimed, Failure> {
    let written = client
        .put(TABLE, &wanted.key, Condition::Absent, &wanted.row())
        .await;
    match written {
        Ok(version) => return Ok(Claimed::Mine(version)),
        Err(failure) if failure.code == Code::PlatformConflict => {}
        Err(failure) => return Err(failure),
    }
    let Some(found) = client.get(TABLE, &wanted.key).await? else {
        // It was deleted in between; the next round claims it.
        return Err(Failure::new(Code::PlatformConflict, "the row is gone"));
    };
    let Ok(row) = serde_json::from_value::<Row>(found.value) else {
        return Ok(Claimed::Unavailable("the row is not a claim".to_owned()));
    };
    Ok(match row.state {
        // An earlier write of this claim took effect and its answer was lost.
        _ if row.claim == wanted.claim => Claimed::Mine(found.version),
        _ if row.fingerprint != wanted.fingerprint => Claimed::Reused,
        State::Answered(stored) => Claimed::Answered(stored),
        State::Open if !row.is_overdue() => Claimed::InProgress,
        State::Open | State::Unknown => Claimed::Open,
    })
}

/// Settles one claim, whether or not an earlier try took effect.
async fn settle_one(client: &Client, settled: &Settled) -> Result<(), Failure> {
    let Some(found) = client.get(TABLE, &settled.key).await? else {
        return Ok(());
    };
    let own = serde_json::from_value::<Row>(found.value)
        .is_ok_and(|row| row.claim == settled.claim && matches!(row.state, State::Open));
    if !own {
        return Ok(());
    }
    let current = Settled {
        version: found.version,
        ..settled.clone()
    };
    let operation = settle_operation(&current);
    match client.transact(operation.as_slice()).await {
        Err(failure) if failure.code != Code::PlatformConflict => Err(failure),
        _ => Ok(()),
    }
}
