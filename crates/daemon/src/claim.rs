//! At most once: idempotency keys claimed in the platform's table service.
//!
//! The ingress claims a key before it forwards the request, many claims to
//! one transaction. A claim has an identity, so a lost answer to a write
//! that took effect is settled by reading. While the platform cannot record
//! a claim, the request is refused with a true "not run".

pub mod ask;
mod row;
pub mod store;

use std::sync::Arc;

use cardamomshed_code::{Code, Event, Ran};
use tokio::sync::{mpsc, oneshot};

use crate::context::Context;
use crate::node::Node;
use crate::parts::Parts;
use crate::reply::{Refused, Reply};
use ask::{Ask, Claimed};
use row::{Outcome, Stored};

/// Header with a caller's idempotency key.
pub const HEADER: &str = "idempotency-key";
/// Longest idempotency key in bytes.
const MAX_KEY: usize = 255;

/// A claimed key. Dropping it unsettled records an unknown fate.
#[derive(Debug)]
pub struct Claim {
    channel: mpsc::UnboundedSender<Ask>,
    settled: Option<row::Settled>,
}

/// Claims the key of a request.
///
/// # Errors
///
/// The reply to give instead of running the request.
pub async fn make(
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
    if key.is_empty() || key.len() > MAX_KEY {
        return refuse(Code::BadRequest, Ran::No, "idempotency key: 1 to 255 bytes");
    }
    let wanted = row::Wanted::new(&node.clock, context, key, parts);
    let row_key = wanted.key.clone();
    let claim = wanted.claim;
    let fingerprint = wanted.fingerprint.clone();
    let (reply, answer) = oneshot::channel();
    let sent = node.claims.send(Ask::Claim(wanted, reply)).is_ok();
    let claimed = if sent { answer.await.ok() } else { None };
    let claimed = claimed.unwrap_or_else(|| Claimed::Unavailable("stopping".to_owned()));
    let log = |event, detail: &str| {
        node.decide(
            event,
            context.request,
            format_args!("row={row_key} {detail}"),
        );
    };
    match claimed {
        Claimed::Mine(version) => {
            log(Event::ClaimMade, "");
            Ok(Claim {
                channel: node.claims.clone(),
                settled: Some(row::Settled {
                    key: row_key,
                    claim,
                    fingerprint,
                    version,
                    outcome: Outcome::Unknown,
                }),
            })
        }
        Claimed::Answered(stored) => {
            log(Event::ClaimReplayed, "answered before");
            Err(Reply::Answer(stored.into_answer(context.tokens())))
        }
        Claimed::InProgress => {
            log(Event::ClaimRefused, "in progress");
            refuse(Code::KeyInProgress, Ran::Unknown, "")
        }
        Claimed::Open => {
            log(Event::ClaimRefused, "unknown fate");
            refuse(Code::ClaimOpen, Ran::Unknown, "")
        }
        Claimed::Reused => {
            log(Event::ClaimRefused, "another request");
            refuse(Code::KeyReused, Ran::No, "")
        }
        Claimed::Unavailable(detail) => {
            log(Event::ClaimRefused, &detail);
            refuse(Code::ClaimUnavailable, Ran::No, &detail)
        }
    }
}

impl Claim {
    /// Records how the request ended.
    pub fn settle(mut self, reply: &Reply) {
        if let Some(settled) = self.settled.as_mut() {
            settled.outcome = match reply {
                Reply::Answer(answer) => Outcome::Answered(Stored::new(answer)),
                Reply::Refused(refused) if refused.ran == Ran::No => Outcome::NotRun,
                Reply::Refused(_) => Outcome::Unknown,
            };
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Some(settled) = self.settled.take() {
            // The claim maker ends only with the process; then the row stays
            // as an unknown fate, which is what it is.
            let _ = self.channel.send(Ask::Settle(settled));
        }
    }
}
