//! Sends calls to targets of their service, and retries them on other targets
//! where the limits on retries allow it and a second execution does no harm.

use std::sync::Arc;

use bytes::Bytes;
use cardamomshed_code::{Code, Event, Failure, Ran};
use cardamomshed_note::{Name, Route};
use cardamomshed_policy::TargetKey;
use cardamomshed_policy::route::{Outcome, Tier, Transition};
use cardamomshed_wire::{Call, Load, Request};
use tokio::sync::oneshot;

use crate::context::Context;
use crate::job::Job;
use crate::node::Node;
use crate::reply::{Refused, Reply};
use crate::request::Parts;
use crate::service::{Query, Selection};
use crate::sync::lock;

/// Time after the deadline for which a reply is still awaited, since another
/// daemon may yet report the outcome of the call.
const REPLY_GRACE: std::time::Duration = std::time::Duration::from_millis(50);

/// Further targets that a call is sent to if no target received it, as after a
/// refusal by a gate. These attempts spend no retries.
const MAX_REROUTES: u32 = 2;
/// Further attempts of a call that targets rejected.
const MAX_REJECTIONS: u32 = 4;

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
    fn record_end(&mut self, outcome: Outcome, load: Option<Load>) -> Option<Transition> {
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

/// Attempts of one call so far.
#[derive(Debug, Default)]
struct Progress {
    /// Targets that are not tried again.
    excluded: Vec<TargetKey>,
    /// Target that rejected the last attempt. It is tried again only if there is no
    /// other.
    rejected_by: Option<TargetKey>,
    /// Attempts that no target received.
    reroutes: u32,
    /// Attempts that a target rejected.
    rejections: u32,
    /// Whether a target received an attempt.
    reached: bool,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// Reply to the last attempt.
    last: Option<Reply>,
}

impl Progress {
    /// Reply to the whole call. An attempt that did not run proves nothing about
    /// the earlier ones.
    fn conclude(&self, mut reply: Reply) -> Reply {
        if let Reply::Refused(refused) = &mut reply
            && self.may_have_run
        {
            refused.ran = Ran::Unknown;
        }
        reply
    }
}

/// Checks whether the service of a route has a target in an allowed region. A
/// request for which it has none is refused before its body is read.
///
/// # Errors
///
/// [`Code::RegionUnavailable`].
pub fn check_regions(
    node: &Node,
    request: Request,
    route: &Route,
    regions: Option<&[Name]>,
) -> Result<(), Failure> {
    let checked = node.routing.services.check_regions(&route.service, regions);
    if let Err(failure) = &checked {
        let detail = &failure.detail;
        node.log_decision(Event::TargetUnavailable, request, format_args!("{detail}"));
    }
    checked
}

/// Sends a call made in `context` to the service of a route, to targets in `regions`
/// only if these are given. Returns the reply to the last attempt.
pub async fn dispatch(
    node: &Arc<Node>,
    context: &Context,
    route: &Route,
    regions: Option<&[Name]>,
    parts: &Parts,
) -> Reply {
    let mut progress = Progress::default();
    node.routing
        .services
        .record_request(&route.service, node.clock.now());
    loop {
        let Some(selection) = select(node, route, regions, &progress) else {
            return match progress.last.take() {
                Some(reply) => progress.conclude(reply),
                None => no_target(node, context, route),
            };
        };
        log_selection(node, context, route, &selection);
        let mut attempt = Attempt {
            node,
            service: &route.service,
            ended: false,
            lent: context.lend(),
            body_bytes: parts.body.len(),
            selection,
        };
        let reply = send(node, context, route, parts, &attempt, progress.reached).await;
        record_reply(node, context, route, &mut attempt, &reply);
        let target = attempt.selection.choice.target;
        if !may_continue(node, context, route, &reply, target, &mut progress) {
            return progress.conclude(reply);
        }
        node.metrics.retries.inc();
        log_retry(node, context, route, &progress, &attempt, &reply);
        progress.last = Some(reply);
    }
}

/// Selects a target for the next attempt.
fn select(
    node: &Node,
    route: &Route,
    regions: Option<&[Name]>,
    progress: &Progress,
) -> Option<Selection> {
    let now = node.clock.now();
    let services = &node.routing.services;
    let query = Query {
        service: &route.service,
        exclude: &progress.excluded,
        regions,
        remote: lock(&node.routing.slow_link).has_room(now),
    };
    if let Some(rejecting) = progress.rejected_by {
        let mut excluded = progress.excluded.clone();
        excluded.push(rejecting);
        let others = Query {
            exclude: &excluded,
            ..query
        };
        let selection = services.select(&others, now);
        if selection.is_some() {
            return selection;
        }
    }
    services.select(&query, now)
}

/// Whether another attempt is made after this reply of `target`. Spends what it
/// costs: nothing if no target received the call, a retry of the service's budget
/// if a target rejected it, and an attempt token as well if it may have run.
fn may_continue(
    node: &Node,
    context: &Context,
    route: &Route,
    reply: &Reply,
    target: TargetKey,
    progress: &mut Progress,
) -> bool {
    let Reply::Refused(refused) = reply else {
        return false;
    };
    let now = node.clock.now();
    let has_time = context.deadline > now;
    progress.rejected_by = None;
    match Effect::of(refused) {
        Effect::NotReceived => {
            progress.excluded.push(target);
            if refused.code == Code::Evacuated {
                // The other targets of the failure domain would refuse it as well.
                let services = &node.routing.services;
                let beside = services.domain_targets(&route.service, target);
                progress.excluded.extend(beside);
            }
            progress.reroutes += 1;
            has_time && progress.reroutes <= MAX_REROUTES
        }
        Effect::Rejected => {
            progress.rejected_by = Some(target);
            progress.reached = true;
            progress.rejections += 1;
            has_time
                && progress.rejections <= MAX_REJECTIONS
                && node.routing.services.spend_retry(&route.service, now)
        }
        Effect::Unknown { is_retryable } => {
            progress.excluded.push(target);
            progress.reached = true;
            progress.may_have_run = true;
            has_time
                && is_retryable
                && route.repeatable
                && context.spend()
                && node.routing.services.spend_retry(&route.service, now)
        }
        Effect::Final => false,
    }
}

/// What a refusal says about the effect of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// No target received the call.
    NotReceived,
    /// The target rejected the call without running it.
    Rejected,
    /// The call may have run.
    Unknown {
        /// Whether another target may do better.
        is_retryable: bool,
    },
    /// The call has not run, and no other target would run it.
    Final,
}

impl Effect {
    const fn of(refused: &Refused) -> Self {
        match (refused.ran, refused.code) {
            (
                Ran::No,
                Code::QueueFull
                | Code::DeadlineUnmet
                | Code::TargetStalled
                | Code::Leaving
                | Code::Evacuated
                | Code::MemoryShed
                | Code::NoTarget
                | Code::LinkFailed
                | Code::TargetFailed,
            ) => Self::NotReceived,
            (Ran::No, Code::TargetRefused) => Self::Rejected,
            (Ran::No, _) => Self::Final,
            (Ran::Unknown, code) => Self::Unknown {
                is_retryable: matches!(
                    code,
                    Code::TargetFailed | Code::OutcomeUnknown | Code::LinkFailed
                ),
            },
        }
    }
}

async fn send(
    node: &Arc<Node>,
    context: &Context,
    route: &Route,
    parts: &Parts,
    attempt: &Attempt<'_>,
    repeated: bool,
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
        repeated,
        method: parts.method.clone(),
        path: parts.path.clone(),
        headers: parts.headers.clone(),
        length: parts.body.len() as u64,
    };
    let body = parts.body.clone();
    let timeout = remaining + REPLY_GRACE;
    if peer.node != node.name {
        let links = &node.links;
        return links
            .call(peer, call, body, context.deadline, timeout)
            .await;
    }
    let reply = tokio::time::timeout(timeout, run_locally(node, context, call, body));
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
            (outcome, Some(answer.load), answer.tokens)
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
            (outcome, refused.load, unused)
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

fn no_target(node: &Node, context: &Context, route: &Route) -> Reply {
    node.log_decision(
        Event::TargetUnavailable,
        context.request,
        format_args!("service={}", route.service),
    );
    let detail = format!("service {}", route.service);
    Reply::Refused(Refused::not_run(Code::NoTarget, detail, context.tokens()))
}

fn log_selection(node: &Node, context: &Context, route: &Route, selection: &Selection) {
    let rejected = selection.rejected.as_deref().unwrap_or("none");
    let rejected_load = selection.choice.rejected.map_or(0.0, |(_, load)| load);
    let report_ms = selection
        .choice
        .age
        .map_or(-1, |age| age.as_millis() as i64);
    node.log_decision(
        Event::TargetSelected,
        context.request,
        format_args!(
            "service={} chosen={} tier={:?} load={:.2} report_ms={report_ms} rejected={rejected} rejected_load={rejected_load:.2}",
            route.service, selection.peer.node, selection.choice.tier, selection.choice.load
        ),
    );
}

/// Logs that another attempt follows this one, with what is known of its execution.
fn log_retry(
    node: &Node,
    context: &Context,
    route: &Route,
    progress: &Progress,
    attempt: &Attempt<'_>,
    reply: &Reply,
) {
    let Reply::Refused(refused) = reply else {
        return;
    };
    node.log_decision(
        Event::CallRetried,
        context.request,
        format_args!(
            "service={} reroutes={} rejections={} tokens={} after={} code={} ran={} {}",
            route.service,
            progress.reroutes,
            progress.rejections,
            context.tokens(),
            attempt.selection.peer.node,
            refused.code.number(),
            refused.ran.as_str(),
            refused.detail
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
