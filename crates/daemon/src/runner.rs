//! Runs calls on the target beside this daemon.
//!
//! Every call for the target comes here, from this daemon's own ingress and
//! from other daemons, so that one HTTP client holds all connections to the
//! target.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::Method;
use awc::http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use cardamomshed_code::{Code, Event, Ran};
use cardamomshed_policy::Moment;
use cardamomshed_policy::admission::{Level, OPEN};
use cardamomshed_wire::Call;
use tokio::sync::{mpsc, oneshot};

use crate::beside::{Entry, Visitor};
use crate::context::{Context, Live, Root};
use crate::node::Node;
use crate::reply::{Answer, Refused, Reply};

/// Header that carries the call context to the target.
pub const CONTEXT_HEADER: &str = "x-shed-context";
/// Header that carries the root request's identity.
pub const REQUEST_HEADER: &str = "x-shed-request";
/// Header that carries the client account to the target.
pub const ACCOUNT_HEADER: &str = "x-shed-account";
/// Header that carries the time left, in milliseconds, in both directions.
pub const TIMEOUT_HEADER: &str = "x-shed-timeout-ms";

/// Time for which an unused connection to the target is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// A call for the target. Dropping the receiver of `reply` cancels it.
#[derive(Debug)]
pub struct Job {
    /// The call.
    pub call: Box<Call>,
    /// Its whole body.
    pub body: Bytes,
    /// Its deadline on this daemon's clock.
    pub deadline: Moment,
    /// Where its end is told.
    pub reply: oneshot::Sender<Reply>,
}

/// HTTP clients of the target; replaced when its connections went silent.
#[derive(Clone)]
struct Pool {
    client: Rc<RefCell<awc::Client>>,
    connect: Duration,
}

impl Pool {
    fn new(connect: Duration) -> Self {
        Self {
            client: Rc::new(RefCell::new(Self::client(connect))),
            connect,
        }
    }

    fn client(connect: Duration) -> awc::Client {
        let connector = awc::Connector::new()
            .timeout(connect)
            .conn_keep_alive(KEEP_ALIVE)
            .limit(0);
        awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish()
    }

    /// Stops using the connections opened so far.
    fn renew(&self) {
        self.client.replace(Self::client(self.connect));
    }
}

/// Runs calls until every sender of jobs is gone.
pub async fn run(node: Arc<Node>, jobs: &mut mpsc::UnboundedReceiver<Job>) {
    let pool = Pool::new(node.settings.timing.connect.get());
    while let Some(job) = jobs.recv().await {
        actix_rt::spawn(serve(Arc::clone(&node), pool.clone(), job));
    }
}

async fn serve(node: Arc<Node>, pool: Pool, mut job: Job) {
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
    node.metrics.wait.observe(entry.waited.as_secs_f64());
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
    let root = Root {
        request: call.request,
        account: Arc::clone(&call.account),
        priority: call.priority,
        rank: call.rank,
    };
    let context = Context::new(root, deadline, call.depth + 1, call.tokens);
    let live = node.contexts.open(context);
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
    let silent = matches!(&sent, Err(refused) if refused.code == Code::TargetSilent);
    if !silent {
        entry.finish(total.saturating_sub(live.context.waited()));
    }
    let tokens = live.context.tokens();
    live.context.learn(Some(node.beside.level()));
    let level = live.context.level().unwrap_or(OPEN);
    drop(live);
    drop(entry);
    conclude(node, call, sent, total, tokens, level)
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
    Reply::Refused(refused)
}

fn conclude(
    node: &Node,
    call: &Call,
    sent: Result<Answer, Refused>,
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
            "call={} service={} outcome={outcome} total_us={} level={:.1} tokens={tokens}",
            call.id,
            call.service,
            total.as_micros(),
            level.0
        ),
    );
    reply
}

/// One call on its way to the target.
struct Execution<'a> {
    node: &'a Node,
    pool: &'a Pool,
    call: &'a Call,
    entry: &'a Entry<'a>,
    live: &'a Live<'a>,
}

impl Execution<'_> {
    /// Sends the request to the target and reads its whole answer in time.
    async fn send(&self, body: Bytes) -> Result<Answer, Refused> {
        let left = self.node.clock.left(self.live.context.deadline);
        if let Ok(result) = tokio::time::timeout(left, self.exchange(body)).await {
            return result;
        }
        // New connections may work where those in use went silent.
        self.pool.renew();
        let detail = format!("no answer within {} ms", left.as_millis());
        Err(Refused::unknown(Code::TargetSilent, detail, 0))
    }

    async fn exchange(&self, body: Bytes) -> Result<Answer, Refused> {
        let (node, call, live) = (self.node, self.call, self.live);
        let invalid = |detail: String| Refused::not_run(Code::BadRequest, detail, 0);
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|error| invalid(error.to_string()))?;
        let url = format!("http://{}{}", self.entry.address, call.path);
        let client = self.pool.client.borrow().clone();
        let mut request = client.request(method, url);
        for (name, value) in &call.headers {
            let name =
                HeaderName::from_bytes(name.as_bytes()).map_err(|e| invalid(e.to_string()))?;
            let value = HeaderValue::from_str(value).map_err(|e| invalid(e.to_string()))?;
            request.headers_mut().append(name, value);
        }
        let left = node.clock.left(live.context.deadline).as_millis();
        let request = request
            .insert_header((CONTEXT_HEADER, live.token.to_string()))
            .insert_header((REQUEST_HEADER, call.request.to_string()))
            .insert_header((ACCOUNT_HEADER, &*call.account))
            .insert_header((TIMEOUT_HEADER, left.to_string()));
        let mut response = request
            .send_body(body)
            .await
            .map_err(|error| send_failure(&error))?;
        let limit = node.lookup().config.limits.body.get();
        let headers = crate::http::head::end_to_end(response.headers());
        let broken = |detail: String| Refused::unknown(Code::TargetFailed, detail, 0);
        let body = response.body().limit(limit).await.map_err(|error| {
            if matches!(error, awc::error::PayloadError::Overflow) {
                return Refused::unknown(Code::AnswerTooLarge, "", 0);
            }
            broken(error.to_string())
        })?;
        Ok(Answer {
            status: response.status().as_u16(),
            headers,
            body,
            load: cardamomshed_wire::Load::default(),
            level: OPEN,
            tokens: 0,
        })
    }
}

fn send_failure(error: &SendRequestError) -> Refused {
    let ran = match error {
        // Nothing was sent on a connection that was never made.
        SendRequestError::Connect(_) | SendRequestError::Url(_) => Ran::No,
        _ => Ran::Unknown,
    };
    Refused {
        ran,
        ..Refused::unknown(Code::TargetFailed, error.to_string(), 0)
    }
}
