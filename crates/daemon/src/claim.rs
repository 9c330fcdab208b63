//! At-most-once execution by idempotency keys, which are claimed in the
//! platform's table service.
//!
//! The ingress claims a key before it forwards the request. Several claims are
//! written in one transaction. Each claim has a random id, so if the response to
//! a write is lost, reading the row shows whether the write took effect. While
//! the platform cannot record a claim, the request is refused as not run.

pub mod command;
mod rewriter;
mod row;
pub mod store;

use std::sync::Arc;

use cardamomshed_code::{Code, Event, Ran};
use tokio::sync::{mpsc, oneshot};

use crate::context::Context;
use crate::node::Node;
use crate::reply::{Refused, Reply};
use crate::request::Parts;
use command::{Command, Decision};
use row::{Outcome, Snapshot};

/// Request header that carries the caller's idempotency key.
pub const HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A claimed key. Dropping it without [`Claim::settle`] records an unknown
/// outcome.
#[derive(Debug)]
pub struct Claim {
    commands: mpsc::UnboundedSender<Command>,
    settlement: Option<row::Settlement>,
}

/// Claims the idempotency key of a request and waits until the claim is
/// recorded.
///
/// # Errors
///
/// The reply to send instead of running the request: the stored answer of an
/// earlier one, or a refusal.
pub async fn acquire(
    node: &Arc<Node>,
    context: &Context,
    key: &str,
    parts: &Parts,
) -> Result<Claim, Reply> {
    let refuse = |code, ran, detail: &str| {
        let refused = Refused {
            ran,
            ..Refused::not_run(code, detail, context.tokens())
        };
        Err(Reply::Refused(refused))
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return refuse(
            Code::BadRequest,
            Ran::No,
            "idempotency key must have 1 to 255 bytes",
        );
    }
    let proposal = row::Proposal::new(&node.clock, context, key, parts);
    let row_key = proposal.key.clone();
    let claim = proposal.claim;
    let fingerprint = proposal.fingerprint.clone();
    let (reply, decision) = oneshot::channel();
    let queued = node.claims.send(Command::Claim(proposal, reply)).is_ok();
    let decision = if queued { decision.await.ok() } else { None };
    let decision = decision.unwrap_or_else(|| Decision::Unavailable("stopping".to_owned()));
    let log = |event, detail: &str| {
        node.log_decision(
            event,
            context.request,
            format_args!("row={row_key} {detail}"),
        );
    };
    match decision {
        Decision::Granted(stamp) => {
            log(Event::ClaimMade, "");
            Ok(Claim {
                commands: node.claims.clone(),
                settlement: Some(row::Settlement {
                    key: row_key,
                    claim,
                    fingerprint,
                    stamp: Some(stamp),
                    outcome: Outcome::Unknown,
                }),
            })
        }
        Decision::Answered(snapshot) => {
            log(Event::ClaimReplayed, "replaying stored answer");
            Err(Reply::Answer(snapshot.into_answer(context.tokens())))
        }
        Decision::InProgress => {
            log(Event::ClaimRefused, "earlier request in progress");
            refuse(Code::KeyInProgress, Ran::Unknown, "")
        }
        Decision::Undetermined => {
            log(
                Event::ClaimRefused,
                "earlier request has an unknown outcome",
            );
            refuse(Code::ClaimOpen, Ran::Unknown, "")
        }
        Decision::KeyReused => {
            log(Event::ClaimRefused, "key used for another request");
            refuse(Code::KeyReused, Ran::No, "")
        }
        Decision::Unavailable(detail) => {
            log(Event::ClaimRefused, &detail);
            refuse(Code::ClaimUnavailable, Ran::No, &detail)
        }
    }
}

impl Claim {
    /// Records the outcome of the request. The body of an answer is stored only if
    /// `keeps_body` is set.
    pub fn settle(mut self, reply: &Reply, keeps_body: bool) {
        if let Some(settlement) = self.settlement.as_mut() {
            settlement.outcome = match reply {
                Reply::Answer(answer) => Outcome::Answered(Snapshot::new(answer, keeps_body)),
                Reply::Refused(refused) if refused.ran == Ran::No => Outcome::NotRun,
                Reply::Refused(_) => Outcome::Unknown,
            };
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Some(settlement) = self.settlement.take() {
            // The claim task ends only with the process. The row then stays
            // open and is later treated as an unknown outcome.
            let _ = self.commands.send(Command::Settle(settlement));
        }
    }
}
