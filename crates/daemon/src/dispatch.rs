//! Sends a call to a target of its service, and to another where that is
//! allowed and known to be safe.

use std::sync::Arc;

use bytes::Bytes;
use cardamomshed_code::{Code, Event, Ran};
use cardamomshed_note::Route;
use cardamomshed_policy::gate;
use cardamomshed_policy::route::{Outcome, Tier, Transition};
use cardamomshed_wire::Call;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::job::Job;
use crate::node::Node;
use crate::parts::Parts;
use crate::reply::{Refused, Reply};
use crate::service::Picked;
use crate::sync::lock;

/// Time beyond the deadline that a far daemon is given to say what became of
/// the call.
const GRACE: std::time::Duration = std::time::Duration::from_millis(50);

/// Times that a call is referred to another target after a gate turned it
/// away. Nothing reached a target then, so that no retry is spent.
const MAX_REFERRALS: u32 = 2;

/// Bytes of the heads of a call and its answer, for the slow link's budget.
const HEADS: usize = 600;

/// One attempt of a call; when it is dropped unsettled, as a cancelled call
/// is, the balancer stops counting it all the same.
struct Attempt<'a> {
    node: &'a Node,
    service: &'a str,
    picked: Picked,
    /// Attempt tokens lent with it.
    lent: u8,
    /// Bytes of the body sent.
    sent: usize,
    settled: bool,
}

impl Attempt<'_> {
    /// Tells the balancer how the attempt ended.
    fn settle(&mut self, outcome: Outcome, load: Option<gate::Load>) -> Option<Transition> {
        self.settled = true;
        let target = self.picked.choice.target;
        let now = self.node.clock.now();
        self.node
            .routing
            .services
            .finished(self.service, target, outcome, load, now)
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.settle(Outcome::Neutral, None);
        }
    }
}

/// Sends a call made in `context` along a route.
pub async fn dispatch(node: &Arc<Node>, context: &Context, route: &Route, parts: &Parts) -> Reply {
    let mut tried = Vec::new();
    let mut referrals = 0;
    loop {
        let now = node.clock.now();
        let remote = lock(&node.routing.slow_link).has_room(now);
        let Some(picked) = node
            .routing
            .services
            .pick(&route.service, &tried, remote, now)
        else {
            return no_target(node, context, route, tried.len());
        };
        log_choice(node, context, route, &picked);
        let target = picked.choice.target;
        let mut attempt = Attempt {
            node,
            service: &route.service,
            settled: false,
            lent: context.lend(),
            sent: parts.body.len(),
            picked,
        };
        let reply = send(node, context, route, parts, &attempt).await;
        settle(node, context, route, &mut attempt, &reply);
        tried.push(target);
        let turned_away = is_turned_away(&reply);
        if turned_away
            && referrals < MAX_REFERRALS
            && !node.clock.remaining(context.deadline).is_zero()
        {
            referrals += 1;
        } else if turned_away || !may_retry(node, context, route, &reply) {
            return reply;
        }
        node.metrics.retries.inc();
        node.decide(
            Event::CallRetried,
            context.request,
            format_args!(
                "service={} attempt={} tokens={} after={}",
                route.service,
                tried.len() + 1,
                context.tokens(),
                attempt.picked.peer.node
            ),
        );
    }
}

async fn send(
    node: &Arc<Node>,
    context: &Context,
    route: &Route,
    parts: &Parts,
    attempt: &Attempt<'_>,
) -> Reply {
    let peer = &attempt.picked.peer;
    let left = node.clock.remaining(context.deadline);
    let call = Call {
        id: node.links.next_call_id(),
        request: context.request,
        account: Arc::clone(&context.account),
        priority: context.priority,
        rank: context.rank,
        timeout_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        tokens: attempt.lent,
        depth: context.depth,
        service: route.service.to_arc(),
        route: route.name.to_arc(),
        repeatable: route.repeatable,
        method: parts.method.clone(),
        path: parts.path.clone(),
        headers: parts.headers.clone(),
        length: parts.body.len() as u64,
    };
    let wait = tokio::time::timeout(left + GRACE, async {
        if peer.node == node.name {
            return run_here(node, context, call, parts.body.clone()).await;
        }
        node.links
            .call(peer, call, parts.body.clone(), context.deadline)
            .await
    });
    wait.await.unwrap_or_else(|_| {
        Reply::Refused(Refused::unknown(
            Code::OutcomeUnknown,
            "the deadline passed without an answer",
            0,
        ))
    })
}

async fn run_here(node: &Arc<Node>, context: &Context, call: Call, body: Bytes) -> Reply {
    let (reply, end) = oneshot::channel();
    let tokens = call.tokens;
    let job = Job {
        call: Box::new(call),
        body,
        deadline: context.deadline,
        reply,
    };
    if node.jobs.send(job).is_err() {
        return Reply::Refused(Refused::not_run(Code::Leaving, "", tokens));
    }
    end.await.unwrap_or_else(|_| {
        Reply::Refused(Refused::unknown(
            Code::OutcomeUnknown,
            "the runner ended",
            0,
        ))
    })
}

/// Takes in what the end of an attempt tells of target and services.
fn settle(node: &Node, context: &Context, route: &Route, attempt: &mut Attempt<'_>, reply: &Reply) {
    let (outcome, load, left) = match reply {
        Reply::Answer(answer) => {
            context.record_level(Some(answer.level));
            let failed = answer.status >= 500 && answer.status != 503;
            let outcome = if failed {
                Outcome::Failed
            } else {
                Outcome::Answered
            };
            (outcome, Some(answer.load.into()), answer.tokens)
        }
        Reply::Refused(refused) => {
            context.record_level(refused.level);
            let outcome = match refused.code {
                Code::TargetFailed
                | Code::TargetTimeout
                | Code::TargetStalled
                | Code::OutcomeUnknown
                | Code::LinkFailed => Outcome::Failed,
                _ => Outcome::Neutral,
            };
            // A call that has not run has spent nothing of what it was lent.
            let left = match refused.ran {
                Ran::No => attempt.lent,
                Ran::Unknown => refused.tokens,
            };
            (outcome, refused.load.map(Into::into), left)
        }
    };
    context.restore(attempt.lent, left);
    if attempt.picked.choice.tier == Tier::Remote {
        let answered = match reply {
            Reply::Answer(answer) => answer.body.len(),
            Reply::Refused(_) => 0,
        };
        let bytes = attempt.sent + answered + HEADS;
        lock(&node.routing.slow_link).spend(bytes);
        node.metrics
            .bytes
            .with_label_values(&["slow_link_calls"])
            .inc_by(bytes as u64);
    }
    let standing = attempt.settle(outcome, load);
    log_standing(node, route, &attempt.picked, standing);
}

/// Whether a gate turned the call away before it reached a target.
const fn is_turned_away(reply: &Reply) -> bool {
    let Reply::Refused(refused) = reply else {
        return false;
    };
    matches!(
        (refused.ran, refused.code),
        (
            Ran::No,
            Code::QueueFull
                | Code::DeadlineUnmet
                | Code::TargetStalled
                | Code::Leaving
                | Code::NoTarget
        )
    )
}

/// Whether the reply leaves another attempt open, and pays for it.
fn may_retry(node: &Node, context: &Context, route: &Route, reply: &Reply) -> bool {
    let Reply::Refused(refused) = reply else {
        return false;
    };
    let elsewhere = match (refused.ran, refused.code) {
        (Ran::No, Code::LinkFailed | Code::TargetFailed | Code::TargetRefused) => true,
        (Ran::Unknown, Code::TargetFailed | Code::OutcomeUnknown | Code::LinkFailed) => {
            route.repeatable
        }
        _ => false,
    };
    elsewhere
        && !node.clock.remaining(context.deadline).is_zero()
        && context.spend()
        && node.routing.services.spend_retry(&route.service)
}

fn no_target(node: &Node, context: &Context, route: &Route, tried: usize) -> Reply {
    node.decide(
        Event::TargetUnavailable,
        context.request,
        format_args!("service={} tried={tried}", route.service),
    );
    let detail = format!("service {}", route.service);
    Reply::Refused(Refused::not_run(Code::NoTarget, detail, context.tokens()))
}

fn log_choice(node: &Node, context: &Context, route: &Route, picked: &Picked) {
    let rejected = picked.rejected.as_deref().unwrap_or("none");
    let rejected_load = picked.choice.rejected.map_or(0.0, |(_, load)| load);
    node.decide(
        Event::TargetSelected,
        context.request,
        format_args!(
            "service={} chosen={} tier={:?} load={:.2} rejected={rejected} rejected_load={rejected_load:.2}",
            route.service, picked.peer.node, picked.choice.tier, picked.choice.load
        ),
    );
}

fn log_standing(node: &Node, route: &Route, picked: &Picked, standing: Option<Transition>) {
    match standing {
        Some(Transition::Ejected(length)) => node.note_event(
            Event::TargetEjected,
            format_args!(
                "service={} node={} key={} for_ms={}",
                route.service,
                picked.peer.node,
                picked.choice.target.0,
                length.as_millis()
            ),
        ),
        Some(Transition::Restored) => node.note_event(
            Event::TargetRestored,
            format_args!("service={} node={}", route.service, picked.peer.node),
        ),
        None => {}
    }
}
