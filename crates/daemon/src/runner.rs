//! Execution of calls on the local target.
//!
//! Calls from the ingress of this daemon and from other daemons pass through one
//! queue, so that a single HTTP client holds all connections to the target.

use std::fmt::Write as _;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_code::{Code, Event};
use cardamomshed_platform::header;
use cardamomshed_policy::admission::{ADMIT_ALL, Level};
use cardamomshed_policy::gate::{Preview, Ticket};
use cardamomshed_policy::{Moment, RouteKey};
use cardamomshed_wire::{Call, Load};
use tokio::sync::mpsc;

use crate::context::{Context, Guard, Root};
use crate::exchange::{Correlation, Pool, Request};
use crate::job::Job;
use crate::node::Node;
use crate::outcome;
use crate::reply::{Answer, Refused, Reply};
use crate::sync::lock;
use crate::target::{Attributes, Completion, Permit};

/// Header that carries the call context to the target. If the target returns it
/// with the response, late responses to earlier calls are recognised.
pub const CONTEXT_HEADER: &str = "x-shed-context";
/// Header that carries the id of the root request.
pub const REQUEST_HEADER: &str = "x-shed-request";
/// Header that carries the client account of the root request to the target.
pub const ACCOUNT_HEADER: &str = "x-shed-account";
/// Header that carries the time until the deadline, in milliseconds, in requests
/// to this daemon and from it to the target.
pub const TIMEOUT_HEADER: &str = "x-shed-timeout-ms";

/// Runs queued calls concurrently until all senders of `jobs` are dropped.
pub async fn run(node: Arc<Node>, jobs: &mut mpsc::UnboundedReceiver<Job>) {
    let pool = Rc::new(Pool::new(node.memory.clone()));
    while let Some(job) = jobs.recv().await {
        actix_rt::spawn(serve(Arc::clone(&node), Rc::clone(&pool), job));
    }
}

async fn serve(node: Arc<Node>, pool: Rc<Pool>, mut job: Job) {
    let request = job.call.request;
    let completed = {
        let execution = execute(&node, &pool, &job.call, job.body, job.deadline);
        tokio::select! {
            reply = execution => Some(reply),
            () = job.reply.closed() => None,
        }
    };
    match completed {
        Some(reply) => {
            // The reply is discarded if the receiver was dropped just before.
            let _ = job.reply.send(reply);
        }
        None => node.log_decision(
            Event::CallCancelled,
            request,
            format_args!("call={}", job.call.id),
        ),
    }
}

async fn execute(
    node: &Arc<Node>,
    pool: &Pool,
    call: &Call,
    body: Bytes,
    deadline: Moment,
) -> Reply {
    let attributes = Attributes {
        service: &call.service,
        route: node.names.route(&call.route),
        account: node.names.account(&call.account),
        priority: call.priority,
        depth: call.depth,
        rank: call.rank,
        deadline,
    };
    let downstream = node.routing.downstream(attributes.route);
    if node.memory.is_full() {
        return shed_reply(node, call, &downstream, Code::MemoryShed);
    }
    let admission = async {
        let entered = node
            .routing
            .windows
            .enter(attributes.offer(Ticket(0)), &downstream);
        let pass = entered.await?;
        Ok((pass, node.local_target.acquire(attributes).await?))
    };
    // New and waiting calls are refused during an evacuation. The caller may not know
    // of it yet.
    let admitted = tokio::select! {
        biased;
        () = node.evacuation.reached() => Err(Code::Evacuated),
        admitted = admission => admitted,
    };
    let (mut pass, mut permit) = match admitted {
        Ok(admitted) => admitted,
        Err(code) => return shed_reply(node, call, &downstream, code),
    };
    node.metrics.executions.inc();
    if node.local_target.is_cold() {
        node.metrics.cold_calls.inc();
    }
    {
        let mut prices = lock(&node.routing.prices);
        prices.fanout.record_inbound(attributes.route);
        if call.repeated {
            prices.record_repeat(attributes.route);
        }
    }
    let waited = pass.waited + permit.waited;
    node.metrics.wait.observe(waited.as_secs_f64());
    if node.settings.sidecar.is_none() {
        // The event at the end of the call reports the same figures. On the
        // platform a single line per call saves processor time.
        node.log_decision(
            Event::CallStarted,
            call.request,
            format_args!(
                "call={} service={} depth={} waited_us={}",
                call.id,
                call.service,
                call.depth,
                waited.as_micros()
            ),
        );
    }
    let root = Root {
        request: call.request,
        account: Arc::clone(&call.account),
        priority: call.priority,
        rank: call.rank,
    };
    let context = Context::new(root, deadline, call.depth + 1, call.tokens);
    let guard = node.contexts.register(context);
    let started = node.clock.now();
    let execution = Execution {
        node,
        pool,
        call,
        permit: &permit,
        guard: &guard,
    };
    let result = execution.send(body).await;
    let total = node.clock.now().since(started);
    let own_time = total.saturating_sub(guard.context.child_time());
    if let Some(completion) = completion(&result, own_time) {
        permit.complete(completion);
        pass.complete();
    }
    let tokens = guard.context.tokens();
    guard.context.record_level(Some(node.local_target.level()));
    let level = guard.context.level().unwrap_or(ADMIT_ALL);
    drop(guard);
    drop(permit);
    drop(pass);
    let report = Report {
        load: node.local_target.load(),
        level,
        price: chain_price(node, call),
        pressure: pressure(node, &downstream),
        tokens,
    };
    finish(node, call, result, waited, total, &report)
}

/// How a call ended for the gate; `None` if the target did not respond in time.
/// `own_time` is the time on the target without outbound calls. That of a call
/// that failed or was rejected says nothing about the time that others take.
fn completion(result: &Result<Answer, Refused>, own_time: Duration) -> Option<Completion> {
    match result {
        Ok(answer) if answer.status < 500 => Some(Completion::Answered { own_time }),
        Ok(_) => Some(Completion::Failed),
        Err(refused) => match refused.code {
            Code::TargetTimeout => None,
            Code::TargetRefused => Some(Completion::Rejected),
            _ => Some(Completion::Failed),
        },
    }
}

/// What would become of a call here: at the windows, and at the gate of the local target.
/// Changes nothing.
///
/// # Errors
///
/// The code for which the call would be shed before it reaches them.
pub fn preview(node: &Node, attributes: Attributes<'_>) -> Result<[Preview; 2], Code> {
    if node.memory.is_full() {
        return Err(Code::MemoryShed);
    }
    let downstream = node.routing.downstream(attributes.route);
    let offer = attributes.offer(Ticket(u64::MAX));
    let at_windows = node.routing.windows.preview(offer, &downstream);
    let at_gate = node.local_target.preview(attributes);
    Ok([at_windows, at_gate.ok_or(Code::NoTarget)?])
}

/// Pressure at the tightest limit that a call with these downstream routes passes.
fn pressure(node: &Node, downstream: &[RouteKey]) -> f32 {
    let windows = node.routing.windows.pressure(downstream);
    windows.max(node.local_target.pressure()) as f32
}

/// Records that a call was shed and returns the reply to it.
fn shed_reply(node: &Node, call: &Call, downstream: &[RouteKey], code: Code) -> Reply {
    node.metrics
        .shed
        .with_label_values(&[&code.number().to_string()])
        .inc();
    let load = node.local_target.load();
    let pressure = pressure(node, downstream);
    node.log_decision(
        Event::CallShed,
        call.request,
        format_args!(
            "call={} service={} code={} priority={:?} account={} running={} waiting={} limit={} pressure={pressure:.2}",
            call.id,
            call.service,
            code.number(),
            call.priority,
            call.account,
            load.running,
            load.waiting,
            load.limit
        ),
    );
    let mut refused = Refused::not_run(code, "", call.tokens);
    refused.load = Some(load);
    refused.level = Some(node.local_target.level());
    refused.price = Some(chain_price(node, call));
    refused.pressure = Some(pressure);
    Reply::Refused(refused)
}

/// What the reply to a completed call reports to its caller.
struct Report {
    load: Load,
    level: Level,
    price: f32,
    pressure: f32,
    /// Unused attempt tokens.
    tokens: u8,
}

/// Completes the reply with the report, and logs the end of the call.
fn finish(
    node: &Node,
    call: &Call,
    result: Result<Answer, Refused>,
    waited: Duration,
    total: Duration,
    report: &Report,
) -> Reply {
    let Report {
        load,
        level,
        price,
        pressure,
        tokens,
    } = *report;
    let (outcome, reply) = match result {
        Ok(answer) => {
            let outcome = answer.status;
            let answer = Answer {
                load,
                level,
                price,
                pressure,
                tokens,
                ..answer
            };
            (outcome, Reply::Answer(answer))
        }
        Err(refused) => {
            let outcome = refused.code.number();
            let refused = Refused {
                load: Some(load),
                level: Some(level),
                price: Some(price),
                pressure: Some(pressure),
                tokens,
                ..refused
            };
            (outcome, Reply::Refused(refused))
        }
    };
    node.log_decision(
        Event::CallFinished,
        call.request,
        format_args!(
            "call={} service={} outcome={outcome} waited_us={} total_us={} level={:.1} tokens={tokens}",
            call.id,
            call.service,
            waited.as_micros(),
            total.as_micros(),
            level.0
        ),
    );
    reply
}

/// Price of a call, including the outbound calls that it is expected to cause.
fn chain_price(node: &Node, call: &Call) -> f32 {
    let route = node.names.route(&call.route);
    let now = node.clock.now();
    let local = node.local_target.price(route);
    let prices = lock(&node.routing.prices);
    let downstream = prices
        .fanout
        .price(route, |route| prices.table.price(route, now));
    (local + downstream) as f32
}

/// A call that the gate has admitted.
struct Execution<'a> {
    node: &'a Node,
    pool: &'a Pool,
    call: &'a Call,
    permit: &'a Permit<'a>,
    guard: &'a Guard<'a>,
}

impl Execution<'_> {
    /// Sends the request and reads the complete response before the deadline.
    async fn send(&self, body: Bytes) -> Result<Answer, Refused> {
        let remaining = self.node.clock.remaining(self.guard.context.deadline);
        if let Ok(result) = tokio::time::timeout(remaining, self.exchange(body)).await {
            return result;
        }
        // The pooled connections may have stalled too, so later calls open new
        // ones.
        self.pool.clear();
        let detail = format!("no complete response within {} ms", remaining.as_millis());
        Err(Refused::unknown(Code::TargetTimeout, detail, 0))
    }

    async fn exchange(&self, body: Bytes) -> Result<Answer, Refused> {
        let (node, call) = (self.node, self.call);
        let head = self.head(body.len())?;
        let platform = node.settings.sidecar.is_some();
        let token = self.guard.token.to_string();
        let correlation = if platform {
            attempt_field(call)
        } else {
            Some(Correlation {
                name: CONTEXT_HEADER,
                value: &token,
                required: false,
            })
        };
        let request = Request {
            head: &head,
            body: &body,
            head_only: call.method == "HEAD",
            repeatable: call.repeatable,
            correlation,
        };
        let connect = node.current_settings().timing.connect.get();
        let limit = node.lookup().config.limits.body.get();
        let result = self
            .pool
            .exchange(self.permit.address, connect, &request, limit)
            .await;
        let response = outcome::judge(node, call, self.permit, result)?;
        Ok(Answer {
            status: response.status,
            headers: crate::http::head::response_headers(response.headers),
            body: response.body,
            load: Load::default(),
            level: ADMIT_ALL,
            price: 0.0,
            pressure: 0.0,
            tokens: 0,
        })
    }

    /// Head of the HTTP/1.1 request up to and including the empty line.
    ///
    /// # Errors
    ///
    /// [`Code::BadRequest`] if the path or a header field contains characters that
    /// would break the framing of the request.
    fn head(&self, length: usize) -> Result<String, Refused> {
        let (node, call, guard) = (self.node, self.call, self.guard);
        let remaining_ms = node.clock.remaining(guard.context.deadline).as_millis();
        let mut head = format!("{} {} HTTP/1.1\r\n", call.method, call.path);
        let mut line = |name: &str, value: &str| {
            let valid = !value.contains(['\r', '\n']) && !name.contains(['\r', '\n', ':', ' ']);
            if valid {
                let _ = write!(head, "{name}: {value}\r\n");
            }
            valid
        };
        let mut valid = true;
        for (name, value) in &call.headers {
            valid &= line(name, value);
        }
        if node.settings.sidecar.is_some() {
            valid &= line(header::DEADLINE, &remaining_ms.to_string());
            if let Some(instance) = &self.permit.instance {
                valid &= line(header::EXPECTED_INSTANCE, instance);
            }
            if !call.account.is_empty() {
                valid &= line(header::ACCOUNT, &call.account);
            }
        } else {
            valid &= line("host", &self.permit.address.to_string());
            valid &= line(CONTEXT_HEADER, &guard.token.to_string());
            valid &= line(REQUEST_HEADER, &call.request.to_string());
            valid &= line(ACCOUNT_HEADER, &call.account);
            valid &= line(TIMEOUT_HEADER, &remaining_ms.to_string());
        }
        if length > 0 || !matches!(call.method.as_str(), "GET" | "HEAD" | "DELETE") {
            valid &= line("content-length", &length.to_string());
        }
        if !valid || call.path.contains([' ', '\r', '\n']) {
            return Err(Refused::not_run(
                Code::BadRequest,
                "invalid path or header field",
                0,
            ));
        }
        head.push_str("\r\n");
        Ok(head)
    }
}

/// Header field that identifies the attempt. The target echoes it, so that a late
/// response to an earlier request is not taken for the response to this one.
fn attempt_field(call: &Call) -> Option<Correlation<'_>> {
    let mut fields = call.headers.iter();
    let found = fields.find(|(name, _)| name == header::ATTEMPT);
    found.map(|(name, value)| Correlation {
        name,
        value,
        required: true,
    })
}
