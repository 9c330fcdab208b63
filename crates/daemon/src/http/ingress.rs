//! Requests of callers, and calls that the target beside this daemon makes.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::{Bytes, BytesMut};
use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_note::{Access, Digest, Lookup, Unconfirmed};
use cardamomshed_policy::admission::{self, Rank};
use cardamomshed_policy::{AccountKey, Moment, Priority};
use cardamomshed_wire::Request;
use futures_util::StreamExt;

use super::{head, problem};
use crate::actor::quota;
use crate::claim;
use crate::context::{self, Context};
use crate::dispatch::dispatch;
use crate::lifecycle::Reservation;
use crate::node::Node;
use crate::parts::Parts;
use crate::reply::{Answer, Refused, Reply};
use crate::runner::{CONTEXT_HEADER, REQUEST_HEADER, TIMEOUT_HEADER};
use crate::sync::lock;

/// Codes that tell a caller when to come back.
const SPREAD: [Code; 10] = [
    Code::QuotaExceeded,
    Code::AdmissionShed,
    Code::QueueFull,
    Code::DeadlineUnmet,
    Code::NoTarget,
    Code::Leaving,
    Code::MemoryShed,
    Code::TargetStalled,
    Code::KeyUnconfirmed,
    Code::ClaimUnavailable,
];

/// Part of the time within which a withdrawn key must have stopped working
/// for which a confirmation of the configuration holds; the rest covers the
/// way of a request and the clocks.
const LEASE_SHARE: f64 = 0.85;

/// A root request whose caller is known.
struct Root {
    access: Access,
    account: Arc<str>,
    key: AccountKey,
    deadline: Moment,
    headers: Vec<(String, String)>,
}

/// Counts a root request that is open, also when its caller goes away and the
/// handler is dropped.
pub(super) struct Open<'a>(&'a Node);

impl<'a> Open<'a> {
    pub(super) fn new(node: &'a Node) -> Self {
        node.metrics.open.inc();
        Self(node)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.metrics.open.dec();
    }
}

/// Serves a request of a caller.
pub async fn from_caller(
    node: web::Data<Node>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let node = node.into_inner();
    let id = Request::random();
    let started = node.clock.now();
    let open = Open::new(&node);
    let served = serve_root(&node, id, &request, payload).await;
    drop(open);
    match served {
        Ok((root, reply)) => conclude(&node, id, &root, started, &reply),
        Err(failure) => {
            let refused = Refused::not_run(failure.code, failure.detail, 0);
            refuse(&node, id, None, &refused)
        }
    }
}

/// Serves a call that the target beside this daemon makes.
pub async fn from_target(
    node: web::Data<Node>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let node = node.into_inner();
    let context = match live_context(&node, &request) {
        Ok(context) => context,
        Err(failure) => {
            let refused = Refused::not_run(failure.code, failure.detail, 0);
            return refuse(&node, Request::random(), None, &refused);
        }
    };
    let child = context.track_child(&node.clock);
    let reply = tokio::select! {
        reply = serve_child(&node, &context, &request, payload) => reply,
        () = context.cancelled() => {
            Reply::Refused(Refused::unknown(Code::Cancelled, "the call above has ended", 0))
        }
    };
    drop(child);
    respond(context.request, &reply)
}

fn live_context(node: &Node, request: &HttpRequest) -> Result<Arc<Context>, Failure> {
    head::check(request)?;
    let token = head::text(request.headers(), CONTEXT_HEADER)
        .ok_or_else(|| Failure::new(Code::ContextUnknown, "the call names no context"))?;
    node.contexts.find(token)
}

async fn serve_child(
    node: &Arc<Node>,
    above: &Context,
    request: &HttpRequest,
    payload: web::Payload,
) -> Reply {
    match prepare_child(node, above, request, payload).await {
        Ok((access, parts, context, _held)) => {
            let lent = context.tokens();
            let reply = dispatch(node, &context, &access.route, &parts).await;
            above.restore(lent, context.tokens());
            above.record_level(context.level());
            reply
        }
        Err(failure) => Reply::Refused(Refused::not_run(failure.code, failure.detail, 0)),
    }
}

async fn prepare_child(
    node: &Arc<Node>,
    above: &Context,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<(Access, Parts, Context, Reservation), Failure> {
    let lookup = node.lookup();
    let path = path_of(request);
    let access = lookup
        .route(&path)
        .cloned()
        .ok_or_else(|| Failure::new(Code::RouteUnknown, path.clone()))?;
    if above.depth >= lookup.config.limits.depth {
        return Err(Failure::new(
            Code::DepthExceeded,
            format!("{}", above.depth),
        ));
    }
    let headers = head::end_to_end(request.headers());
    let (parts, held) = collect(node, &lookup, request, headers, payload).await?;
    let deadline = deadline(node, request, access.route.timeout.get()).min(above.deadline);
    let tokens = above.lend();
    let context = Context::new(above.root(), deadline, above.depth, tokens);
    Ok((access, parts, context, held))
}

/// Finds out who calls, then serves the request; a failure says that nobody
/// is known to have called.
async fn serve_root(
    node: &Arc<Node>,
    id: Request,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<(Root, Reply), Failure> {
    head::check(request)?;
    let lookup = node.lookup();
    let root = identify(node, &lookup, request)?;
    let served = serve_identified(node, id, &lookup, &root, request, payload).await;
    let reply = served.unwrap_or_else(|failure| {
        Reply::Refused(Refused::not_run(failure.code, failure.detail, 0))
    });
    Ok((root, reply))
}

async fn serve_identified(
    node: &Arc<Node>,
    id: Request,
    lookup: &Lookup,
    root: &Root,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<Reply, Failure> {
    let route = &root.access.route;
    if node.lifecycle.is_leaving() {
        return Err(Failure::new(Code::Leaving, ""));
    }
    let rank = admit(node, root).await?;
    let collected = collect(node, lookup, request, root.headers.clone(), payload).await;
    let (parts, _held) = collected?;
    node.log_decision(
        Event::RequestAccepted,
        id,
        format_args!(
            "account={} route={} priority={:?} left_ms={}",
            root.account,
            route.name,
            route.priority,
            node.clock.remaining(root.deadline).as_millis()
        ),
    );
    let chain = context::Root {
        request: id,
        account: Arc::clone(&root.account),
        priority: route.priority,
        rank,
    };
    let context = Context::new(chain, root.deadline, 0, route.retries);
    let reply = claimed_dispatch(node, request, root, &context, &parts).await;
    let shed = matches!(&reply, Reply::Refused(refused) if refused.is_shed());
    let now = node.clock.now();
    lock(&node.routing.admission).observe(root.access.key, context.level(), shed, now);
    Ok(reply)
}

/// Dispatches a request, at most once where it carries an idempotency key
/// and may not be repeated.
async fn claimed_dispatch(
    node: &Arc<Node>,
    request: &HttpRequest,
    root: &Root,
    context: &Context,
    parts: &Parts,
) -> Reply {
    let route = &root.access.route;
    let key = head::text(request.headers(), claim::HEADER).filter(|_| !route.repeatable);
    let Some(key) = key else {
        return dispatch(node, context, route, parts).await;
    };
    let claim = match claim::acquire(node, context, key, parts).await {
        Ok(claim) => claim,
        Err(reply) => return reply,
    };
    let reply = dispatch(node, context, route, parts).await;
    claim.settle(&reply);
    reply
}

/// Finds out who calls and what for.
fn identify(node: &Node, lookup: &Lookup, request: &HttpRequest) -> Result<Root, Failure> {
    let path = path_of(request);
    let key = head::presented_key(request.headers())?;
    check_confirmed(node, lookup)?;
    let (account, account_key) = lookup
        .holder(&Digest::of(key))
        .ok_or_else(|| Failure::new(Code::KeyUnknown, ""))?;
    let access = lookup
        .route(&path)
        .ok_or_else(|| Failure::new(Code::RouteUnknown, ""))?;
    Lookup::permit(&access.route, account)
        .map_err(|code| Failure::new(code, access.route.name.to_string()))?;
    let headers = head::end_to_end(request.headers());
    head::check_exposure(key, &path, &headers)?;
    Ok(Root {
        deadline: deadline(node, request, access.route.timeout.get()),
        access: access.clone(),
        account: Arc::clone(account),
        key: account_key,
        headers,
    })
}

/// Refuses keys that can no longer be confirmed, where the notes say so.
pub(super) fn check_confirmed(node: &Node, lookup: &Lookup) -> Result<(), Failure> {
    let (refuse, after) = if let Some(sidecar) = &node.current_settings().sidecar {
        let lease = sidecar.withdraw_within.get().mul_f64(LEASE_SHARE);
        (sidecar.strict_keys, lease)
    } else {
        let limits = &lookup.config.limits;
        let refuse = limits.unconfirmed_keys == Unconfirmed::Refuse;
        (refuse, limits.unconfirmed_after.get())
    };
    if lookup.config.revision == 0 {
        let detail = "no release note has reached this daemon yet";
        return Err(Failure::new(Code::KeyUnconfirmed, detail));
    }
    let age = node.configuration.unconfirmed_for();
    if refuse && age > after {
        let detail = format!("not confirmed for {} s", age.as_secs());
        return Err(Failure::new(Code::KeyUnconfirmed, detail));
    }
    Ok(())
}

/// Sheds before any hop spends work, then takes quota, so that a request
/// that is shed costs its account nothing.
async fn admit(node: &Arc<Node>, root: &Root) -> Result<Rank, Failure> {
    let priority = root.access.route.priority;
    let rank = admit_rank(node, &root.access, root.key, priority)?;
    let taken = quota::take(node, &root.account, root.key).await;
    taken.map_err(|denied| {
        let detail = format!("account {} tokens {denied:?}", root.account);
        Failure::new(Code::QuotaExceeded, detail)
    })?;
    Ok(rank)
}

/// Gives the rank of an admitted request.
pub(super) fn admit_rank(
    node: &Node,
    access: &Access,
    account: AccountKey,
    priority: Priority,
) -> Result<Rank, Failure> {
    let request = admission::Request {
        route: access.key,
        account,
        priority,
        draw: rand::random(),
    };
    let admitted = lock(&node.routing.admission).admit(&request, node.clock.now());
    admitted.ok_or_else(|| Failure::new(Code::AdmissionShed, access.route.name.to_string()))
}

/// Reads the whole body within its bounds.
pub(super) async fn collect(
    node: &Arc<Node>,
    lookup: &Lookup,
    request: &HttpRequest,
    headers: Vec<(String, String)>,
    payload: web::Payload,
) -> Result<(Parts, Reservation), Failure> {
    let limit = lookup.config.limits.body.get();
    let announced = head::text(request.headers(), "content-length")
        .and_then(|length| length.parse::<usize>().ok());
    let too_large = || Failure::new(Code::BodyTooLarge, format!("at most {limit} bytes"));
    if announced.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let chunked = request.headers().contains_key("transfer-encoding");
    let expected = announced.unwrap_or(if chunked { limit } else { 0 });
    let held = node
        .lifecycle
        .reserve(expected, node.current_settings().bodies.get())
        .map_err(|code| Failure::new(code, ""))?;
    let body = read_body(payload, expected, limit).await?;
    let parts = Parts {
        method: request.method().to_string(),
        path: path_of(request),
        headers,
        body: body.ok_or_else(too_large)?,
    };
    Ok((parts, held))
}

async fn read_body(
    mut payload: web::Payload,
    expected: usize,
    limit: usize,
) -> Result<Option<Bytes>, Failure> {
    if expected == 0 {
        return Ok(Some(Bytes::new()));
    }
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| Failure::new(Code::BadRequest, error.to_string()))?;
        if body.len() + chunk.len() > limit {
            return Ok(None);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Some(body.freeze()))
}

fn deadline(node: &Node, request: &HttpRequest, longest: Duration) -> Moment {
    let asked = head::text(request.headers(), TIMEOUT_HEADER)
        .and_then(|millis| millis.parse().ok())
        .map_or(longest, Duration::from_millis);
    node.clock.now() + asked.min(longest)
}

pub(super) fn path_of(request: &HttpRequest) -> String {
    let uri = request.uri();
    uri.path_and_query()
        .map_or_else(|| uri.path().to_owned(), ToString::to_string)
}

fn conclude(node: &Node, id: Request, root: &Root, started: Moment, reply: &Reply) -> HttpResponse {
    let took = node.clock.now().since(started);
    match reply {
        Reply::Answer(answer) => {
            node.metrics.latency.observe(took.as_secs_f64());
            count(node, &root.account, "answered");
            node.log_decision(
                Event::RequestAnswered,
                id,
                format_args!("status={} took_us={}", answer.status, took.as_micros()),
            );
            respond(id, reply)
        }
        Reply::Refused(refused) => refuse(node, id, Some(root), refused),
    }
}

fn refuse(node: &Node, id: Request, root: Option<&Root>, refused: &Refused) -> HttpResponse {
    let account = root.map_or("", |root| &root.account);
    count(node, account, &refused.code.number().to_string());
    node.log_decision(
        Event::RequestRefused,
        id,
        format_args!(
            "account={account} code={} ran={} {}",
            refused.code.number(),
            refused.ran.as_str(),
            refused.detail
        ),
    );
    let retry_after = SPREAD.contains(&refused.code).then(|| {
        let draw = rand::random::<f64>();
        root.map_or_else(
            || Duration::from_secs_f64(1.0 + draw),
            |root| {
                lock(&node.routing.admission).retry_after(root.access.key, draw, node.clock.now())
            },
        )
    });
    problem::response(id, refused, retry_after)
}

pub(super) fn count(node: &Node, account: &str, outcome: &str) {
    node.metrics
        .requests
        .with_label_values(&[account, outcome])
        .inc();
}

fn respond(id: Request, reply: &Reply) -> HttpResponse {
    match reply {
        Reply::Answer(answer) => {
            let mut response = whole(answer);
            if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
                let name = HeaderName::from_static(REQUEST_HEADER);
                response.headers_mut().insert(name, value);
            }
            response
        }
        Reply::Refused(refused) => problem::response(id, refused, None),
    }
}

pub(super) fn whole(answer: &Answer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in &answer.headers {
        response.append_header((name.as_str(), value.as_str()));
    }
    response.body(answer.body.clone())
}
