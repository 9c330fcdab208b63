//! Sends calls to targets of their service, and retries them on other targets
//! where the limits on retries allow it and a second execution does no harm.

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
use crate::reply::{Refused, Reply};
use crate::request::Parts;
use crate::service::Selection;
use crate::sync::lock;

/// Time after the deadline for which a reply is still awaited, since another
/// daemon may yet report the outcome of the call.
const REPLY_GRACE: std::time::Duration = std::time::Duration::from_millis(50);

/// Further targets that a call is sent to after gates refused it. No target has
/// received the call by then, so these attempts spend no retries.
const MAX_REROUTES: u32 = 2;

/// Bytes that are charged to the slow link's budget for the heads of a call and
/// its reply.
const HEADER_BYTES: usize = 600;

/// One attempt of a call. If it is dropped before its end is recorded, as when
/// the call is cancelled, it ends with a neutral outcome, so that the balancer
/// stops counting it as in flight.
struct Attempt<'a> {
    node: &'a Node,
    service: &'a str,
    selection: Selection,
    /// Attempt tokens lent to the callee.
    lent: u8,
    /// Length of the request body.
    body_bytes: usize,
    ended: bool,
}

impl Attempt<'_> {
    /// Reports the end of the attempt to the balancer. Returns the change in the
    /// target's ejection state, if any.
    fn record_end(&mut self, outcome: Outcome, load: Option<gate::Load>) -> Option<Transition> {
        self.ended = true;
        let target = self.selection.choice.target;
        let now = self.node.clock.now();
        self.node
            .routing
            .services
            .record_end(self.service, target, outcome, load, now)
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.record_end(Outcome::Neutral, None);
        }
    }
}

/// Sends a call made in `context` to the service of a route. Returns the reply to
/// the last attempt.
pub async fn dispatch(node: &Arc<Node>, context: &Context, route: &Route, parts: &Parts) -> Reply {
    let mut tried = Vec::new();
    let mut reroutes = 0;
    loop {
        let now = node.clock.now();
        let allow_remote = lock(&node.routing.slow_link).has_room(now);
        let Some(selection) =
            node.routing
                .services
                .select(&route.service, &tried, allow_remote, now)
        else {
            return no_target(node, context, route, tried.len());
        };
        log_selection(node, context, route, &selection);
        let target = selection.choice.target;
        let mut attempt = Attempt {
            node,
            service: &route.service,
            ended: false,
            lent: context.lend(),
            body_bytes: parts.body.len(),
            selection,
        };
        let reply = send(node, context, route, parts, &attempt).await;
        record_reply(node, context, route, &mut attempt, &reply);
        tried.push(target);
        let gate_refusal = is_gate_refusal(&reply);
        if gate_refusal
            && reroutes < MAX_REROUTES
            && !node.clock.remaining(context.deadline).is_zero()
        {
            reroutes += 1;
        } else if gate_refusal || !may_retry(node, context, route, &reply) {
            return reply;
        }
        node.metrics.retries.inc();
        node.log_decision(
            Event::CallRetried,
            context.request,
            format_args!(
                "service={} attempt={} tokens={} after={}",
                route.service,
                tried.len() + 1,
                context.tokens(),
                attempt.selection.peer.node
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
    let peer = &attempt.selection.peer;
    let remaining = node.clock.remaining(context.deadline);
    let call = Call {
        id: node.links.next_call_id(),
        request: context.request,
        account: Arc::clone(&context.account),
        priority: context.priority,
        rank: context.rank,
        timeout_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
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
    let reply = tokio::time::timeout(remaining + REPLY_GRACE, async {
        if peer.node == node.name {
            return run_locally(node, context, call, parts.body.clone()).await;
        }
        node.links
            .call(peer, call, parts.body.clone(), context.deadline)
            .await
    });
    reply.await.unwrap_or_else(|_| {
        Reply::Refused(Refused::unknown(
            Code::OutcomeUnknown,
            "no reply before the deadline",
            0,
        ))
    })
}

async fn run_locally(node: &Arc<Node>, context: &Context, call: Call, body: Bytes) -> Reply {
    let (reply, receiver) = oneshot::channel();
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
    receiver.await.unwrap_or_else(|_| {
        Reply::Refused(Refused::unknown(
            Code::OutcomeUnknown,
            "the call runner stopped before it replied",
            0,
        ))
    })
}

/// Records the end of an attempt: the admission level and the unused attempt
/// tokens in the context, the traffic in the slow link's budget, and the outcome
/// in the balancer.
fn record_reply(
    node: &Node,
    context: &Context,
    route: &Route,
    attempt: &mut Attempt<'_>,
    reply: &Reply,
) {
    let (outcome, load, unused) = match reply {
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
            // A call that did not run spent none of the tokens lent to it.
            let unused = match refused.ran {
                Ran::No => attempt.lent,
                Ran::Unknown => refused.tokens,
            };
            (outcome, refused.load.map(Into::into), unused)
        }
    };
    context.restore(attempt.lent, unused);
    if attempt.selection.choice.tier == Tier::Remote {
        let response_bytes = match reply {
            Reply::Answer(answer) => answer.body.len(),
            Reply::Refused(_) => 0,
        };
        let bytes = attempt.body_bytes + response_bytes + HEADER_BYTES;
        lock(&node.routing.slow_link).spend(bytes);
        node.metrics
            .bytes
            .with_label_values(&["slow_link_calls"])
            .inc_by(bytes as u64);
    }
    let transition = attempt.record_end(outcome, load);
    log_transition(node, route, &attempt.selection, transition);
}

/// Whether a gate or a daemon without an available target refused the call, so
/// that no target received it.
const fn is_gate_refusal(reply: &Reply) -> bool {
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

/// Whether the call is to be retried. Spends an attempt token and a retry of the
/// service's budget.
fn may_retry(node: &Node, context: &Context, route: &Route, reply: &Reply) -> bool {
    let Reply::Refused(refused) = reply else {
        return false;
    };
    let retryable = match (refused.ran, refused.code) {
        (Ran::No, Code::LinkFailed | Code::TargetFailed | Code::TargetRefused) => true,
        (Ran::Unknown, Code::TargetFailed | Code::OutcomeUnknown | Code::LinkFailed) => {
            route.repeatable
        }
        _ => false,
    };
    retryable
        && !node.clock.remaining(context.deadline).is_zero()
        && context.spend()
        && node.routing.services.spend_retry(&route.service)
}

fn no_target(node: &Node, context: &Context, route: &Route, tried: usize) -> Reply {
    node.log_decision(
        Event::TargetUnavailable,
        context.request,
        format_args!("service={} tried={tried}", route.service),
    );
    let detail = format!("service {}", route.service);
    Reply::Refused(Refused::not_run(Code::NoTarget, detail, context.tokens()))
}

fn log_selection(node: &Node, context: &Context, route: &Route, selection: &Selection) {
    let rejected = selection.rejected.as_deref().unwrap_or("none");
    let rejected_load = selection.choice.rejected.map_or(0.0, |(_, load)| load);
    node.log_decision(
        Event::TargetSelected,
        context.request,
        format_args!(
            "service={} chosen={} tier={:?} load={:.2} rejected={rejected} rejected_load={rejected_load:.2}",
            route.service, selection.peer.node, selection.choice.tier, selection.choice.load
        ),
    );
}

fn log_transition(
    node: &Node,
    route: &Route,
    selection: &Selection,
    transition: Option<Transition>,
) {
    match transition {
        Some(Transition::Ejected(duration)) => node.log_event(
            Event::TargetEjected,
            format_args!(
                "service={} node={} key={} for_ms={}",
                route.service,
                selection.peer.node,
                selection.choice.target.0,
                duration.as_millis()
            ),
        ),
        Some(Transition::Restored) => node.log_event(
            Event::TargetRestored,
            format_args!("service={} node={}", route.service, selection.peer.node),
        ),
        None => {}
    }
}
