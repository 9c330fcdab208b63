//! Runs calls on the target beside this daemon.
//!
//! Every call for the target comes here, from this daemon's own ingress and
//! from other daemons, so that one HTTP client holds all connections to the
//! target.

use std::fmt::Write as _;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_code::{Code, Event};
use cardamomshed_platform::{answer, header};
use cardamomshed_policy::Moment;
use cardamomshed_policy::admission::{ADMIT_ALL, Level};
use cardamomshed_wire::Call;
use tokio::sync::mpsc;

use crate::beside::{Entry, Visitor};
use crate::context::{Context, Guard, Root};
use crate::exchange::{Error, Pool, Request, Response};
use crate::job::Job;
use crate::node::Node;
use crate::reply::{Answer, Refused, Reply};
use crate::sync::lock;

/// Header that carries the call context to the target.
pub const CONTEXT_HEADER: &str = "x-shed-context";
/// Header that carries the root request's identity.
pub const REQUEST_HEADER: &str = "x-shed-request";
/// Header that carries the client account to the target.
pub const ACCOUNT_HEADER: &str = "x-shed-account";
/// Header that carries the time left, in milliseconds, in both directions.
pub const TIMEOUT_HEADER: &str = "x-shed-timeout-ms";

/// Runs calls until every sender of jobs is gone.
pub async fn run(node: Arc<Node>, jobs: &mut mpsc::UnboundedReceiver<Job>) {
    let pool = Rc::new(Pool::default());
    while let Some(job) = jobs.recv().await {
        actix_rt::spawn(serve(Arc::clone(&node), Rc::clone(&pool), job));
    }
}

async fn serve(node: Arc<Node>, pool: Rc<Pool>, mut job: Job) {
    let request = job.call.request;
    let finished = {
        let work = execute(&node, &pool, &job.call, job.body, job.deadline);
        tokio::select! {
            reply = work => Some(reply),
            () = job.reply.closed() => None,
        }
    };
    match finished {
        Some(reply) => {
            // The caller may be gone by now, which makes the reply useless.
            let _ = job.reply.send(reply);
        }
        None => node.decide(
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
    let visitor = Visitor {
        service: &call.service,
        route: node.names.route(&call.route),
        account: node.names.account(&call.account),
        priority: call.priority,
        depth: call.depth,
        rank: call.rank,
        deadline,
    };
    let mut entry = match node.beside.enter(visitor).await {
        Ok(entry) => entry,
        Err(code) => return shed(node, call, code),
    };
    node.metrics.executions.inc();
    lock(&node.routing.prices)
        .chain
        .record_inbound(visitor.route);
    node.metrics.wait.observe(entry.waited.as_secs_f64());
    if node.settings.sidecar.is_none() {
        // The event at the call's end has the same figures; on the platform
        // one line a call saves processor time.
        node.decide(
            Event::CallStarted,
            call.request,
            format_args!(
                "call={} service={} depth={} waited_us={}",
                call.id,
                call.service,
                call.depth,
                entry.waited.as_micros()
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
    let waited = entry.waited;
    let live = node.contexts.register(context);
    let started = node.clock.now();
    let execution = Execution {
        node,
        pool,
        call,
        entry: &entry,
        live: &live,
    };
    let sent = execution.send(body).await;
    let total = node.clock.now().since(started);
    let silent = matches!(&sent, Err(refused) if refused.code == Code::TargetTimeout);
    if !silent {
        entry.finish(total.saturating_sub(live.context.child_time()));
    }
    let tokens = live.context.tokens();
    live.context.record_level(Some(node.beside.level()));
    let level = live.context.level().unwrap_or(ADMIT_ALL);
    drop(live);
    drop(entry);
    conclude(node, call, sent, waited, total, tokens, level)
}

/// Sheds a call that has not run.
fn shed(node: &Node, call: &Call, code: Code) -> Reply {
    node.metrics
        .shed
        .with_label_values(&[&code.number().to_string()])
        .inc();
    let load = node.beside.load();
    node.decide(
        Event::CallShed,
        call.request,
        format_args!(
            "call={} service={} code={} priority={:?} account={} running={} waiting={} limit={}",
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
    refused.level = Some(node.beside.level());
    refused.price = Some(price(node, call));
    Reply::Refused(refused)
}

fn conclude(
    node: &Node,
    call: &Call,
    sent: Result<Answer, Refused>,
    waited: Duration,
    total: Duration,
    tokens: u8,
    level: Level,
) -> Reply {
    let load = node.beside.load();
    let (outcome, reply) = match sent {
        Ok(answer) => {
            let outcome = answer.status;
            let answer = Answer {
                load,
                level,
                price: price(node, call),
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
                price: Some(price(node, call)),
                tokens,
                ..refused
            };
            (outcome, Reply::Refused(refused))
        }
    };
    node.decide(
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

/// Price of a call's whole chain.
fn price(node: &Node, call: &Call) -> f32 {
    let route = node.names.route(&call.route);
    let now = node.clock.now();
    let own = node.beside.price(route);
    let prices = lock(&node.routing.prices);
    let below = prices
        .chain
        .price(route, |route| prices.book.price(route, now));
    (own + below) as f32
}

/// One call on its way to the target.
struct Execution<'a> {
    node: &'a Node,
    pool: &'a Pool,
    call: &'a Call,
    entry: &'a Entry<'a>,
    live: &'a Guard<'a>,
}

impl Execution<'_> {
    /// Sends the request to the target and reads its whole answer in time.
    async fn send(&self, body: Bytes) -> Result<Answer, Refused> {
        let left = self.node.clock.remaining(self.live.context.deadline);
        if let Ok(result) = tokio::time::timeout(left, self.exchange(body)).await {
            return result;
        }
        // New connections may work where those in use went silent.
        self.pool.clear();
        let detail = format!("no answer within {} ms", left.as_millis());
        Err(Refused::unknown(Code::TargetTimeout, detail, 0))
    }

    async fn exchange(&self, body: Bytes) -> Result<Answer, Refused> {
        let (node, call) = (self.node, self.call);
        let head = self.head(body.len())?;
        let platform = node.settings.sidecar.is_some();
        let request = Request {
            head: &head,
            body: &body,
            head_only: call.method == "HEAD",
            repeatable: call.repeatable,
            correlation: attempt(call).filter(|_| platform),
        };
        let connect = node.current().timing.connect.get();
        let limit = node.lookup().config.limits.body.get();
        let incoming = self
            .pool
            .exchange(self.entry.address, connect, &request, limit)
            .await
            .map_err(broken)?;
        if platform {
            check_answer(&incoming)?;
        }
        Ok(Answer {
            status: incoming.status,
            headers: crate::http::head::answer_fields(incoming.headers),
            body: incoming.body,
            load: cardamomshed_wire::Load::default(),
            level: ADMIT_ALL,
            price: 0.0,
            tokens: 0,
        })
    }

    /// Method, path and header lines, up to the empty line.
    fn head(&self, length: usize) -> Result<String, Refused> {
        let (node, call, live) = (self.node, self.call, self.live);
        let left = node.clock.remaining(live.context.deadline).as_millis();
        let mut head = format!("{} {} HTTP/1.1\r\n", call.method, call.path);
        let mut line = |name: &str, value: &str| {
            let fits = !value.contains(['\r', '\n']) && !name.contains(['\r', '\n', ':', ' ']);
            if fits {
                let _ = write!(head, "{name}: {value}\r\n");
            }
            fits
        };
        let mut fits = true;
        for (name, value) in &call.headers {
            fits &= line(name, value);
        }
        if node.settings.sidecar.is_some() {
            fits &= line(header::DEADLINE, &left.to_string());
            if let Some(instance) = &self.entry.instance {
                fits &= line(header::EXPECTED_INSTANCE, instance);
            }
            if !call.account.is_empty() {
                fits &= line(header::ACCOUNT, &call.account);
            }
        } else {
            fits &= line("host", &self.entry.address.to_string());
            fits &= line(CONTEXT_HEADER, &live.token.to_string());
            fits &= line(REQUEST_HEADER, &call.request.to_string());
            fits &= line(ACCOUNT_HEADER, &call.account);
            fits &= line(TIMEOUT_HEADER, &left.to_string());
        }
        if length > 0 || !matches!(call.method.as_str(), "GET" | "HEAD" | "DELETE") {
            fits &= line("content-length", &length.to_string());
        }
        if !fits || call.path.contains([' ', '\r', '\n']) {
            return Err(Refused::not_run(Code::BadRequest, "an invalid field", 0));
        }
        head.push_str("\r\n");
        Ok(head)
    }
}

/// Field that names the request in the target's answer.
fn attempt(call: &Call) -> Option<(&str, &str)> {
    let mut fields = call.headers.iter();
    let found = fields.find(|(name, _)| name == header::ATTEMPT);
    found.map(|(name, value)| (name.as_str(), value.as_str()))
}

/// Tells answers of the target from refusals and from what is no answer.
fn check_answer(incoming: &Response) -> Result<(), Refused> {
    match answer::classify(incoming.status, &incoming.headers) {
        answer::Kind::NotExecuted => {
            let detail = format!("the target answered {}", incoming.status);
            Err(Refused::not_run(Code::TargetRefused, detail, 0))
        }
        answer::Kind::Unsigned if (200..300).contains(&incoming.status) => {
            let detail = "a success without a signature";
            Err(Refused::unknown(Code::TargetFailed, detail, 0))
        }
        answer::Kind::Signed | answer::Kind::Unsigned => Ok(()),
    }
}

fn broken(broken: Error) -> Refused {
    match broken {
        Error::NotSent(detail) => Refused::not_run(Code::TargetFailed, detail, 0),
        Error::Sent(detail) => Refused::unknown(Code::TargetFailed, detail, 0),
        Error::TooLarge => Refused::unknown(Code::AnswerTooLarge, "", 0),
    }
}
