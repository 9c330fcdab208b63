//! Root requests of external callers, and the calls that the local target makes
//! on their behalf.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{HttpRequest, HttpResponse, web};
use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_note::{Digest, Lookup, Match, Name};
use cardamomshed_policy::admission::{self, Rank};
use cardamomshed_policy::reservation::Decision;
use cardamomshed_policy::{AccountKey, Moment, Priority, RouteKey};
use cardamomshed_wire::Request;

use super::receive::{before, read_request};
use super::reservation::{self, Return};
use super::{access, head, open, problem};
use crate::actor::quota;
use crate::claim;
use crate::context::{self, Context};
use crate::dispatch::{check_regions, dispatch};
use crate::memory::Reservation;
use crate::node::Node;
use crate::reply::{Answer, Refused, Reply};
use crate::request::Parts;
use crate::runner::{CONTEXT_HEADER, REQUEST_HEADER, TIMEOUT_HEADER};
use crate::sync::lock;

/// Codes whose responses carry `Retry-After`.
const RETRY_AFTER_CODES: [Code; 12] = [
    Code::QuotaExceeded,
    Code::AdmissionShed,
    Code::QueueFull,
    Code::DeadlineUnmet,
    Code::NoTarget,
    Code::Evacuated,
    Code::RegionUnavailable,
    Code::Leaving,
    Code::MemoryShed,
    Code::TargetStalled,
    Code::KeyUnconfirmed,
    Code::ClaimUnavailable,
];

/// Time by which the slot of a reservation may lie before the whole second that the
/// client is told. It is shorter by 100 ms than a reservation is kept after its slot, for
/// the transit times of the response and the new request.
const SLOT_LEAD: Duration = Duration::from_millis(300);

/// Route, client account and deadline of an identified root request.
struct Origin {
    access: Match,
    account: Arc<str>,
    account_key: AccountKey,
    deadline: Moment,
    headers: Vec<(String, String)>,
}

/// Serves a request of an external caller.
pub async fn from_caller(
    node: web::Data<Node>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let node = node.into_inner();
    let id = Request::random();
    let started = node.clock.now();
    let guard = open::Guard::new(&node, &request);
    let served = serve_root(&node, id, &guard, &request, payload).await;
    let response = match served {
        Ok((origin, reply)) => {
            let reply = guard.limit(reply);
            complete(&node, id, &origin, started, &reply)
        }
        Err(failure) => {
            let refused = Refused::not_run(failure.code, failure.detail, 0);
            refuse(&node, id, None, &refused)
        }
    };
    guard.attach(response)
}

/// Serves a call that the local target makes in a call context.
pub async fn from_target(
    node: web::Data<Node>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let node = node.into_inner();
    let context = match find_context(&node, &request) {
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
            Reply::Refused(Refused::unknown(Code::Cancelled, "the parent call has ended", 0))
        }
    };
    drop(child);
    respond(context.request, &reply)
}

fn find_context(node: &Node, request: &HttpRequest) -> Result<Arc<Context>, Failure> {
    head::check(request, node.lookup().config.limits.head.get())?;
    let token = head::text(request.headers(), CONTEXT_HEADER)
        .ok_or_else(|| Failure::new(Code::ContextUnknown, "the call context header is missing"))?;
    node.contexts.find(token)
}

async fn serve_child(
    node: &Arc<Node>,
    parent: &Context,
    request: &HttpRequest,
    payload: web::Payload,
) -> Reply {
    match prepare_child(node, parent, request, payload).await {
        Ok((access, regions, parts, context, _reservation)) => {
            let lent = context.tokens();
            let regions = regions.as_deref();
            let reply = dispatch(node, &context, &access.route, regions, &parts).await;
            parent.restore(lent, context.tokens());
            parent.record_level(context.level());
            reply
        }
        Err(failure) => Reply::Refused(Refused::not_run(failure.code, failure.detail, 0)),
    }
}

async fn prepare_child(
    node: &Arc<Node>,
    parent: &Context,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<(Match, Option<Vec<Name>>, Parts, Context, Reservation), Failure> {
    let lookup = node.lookup();
    let path = head::path_and_query(request);
    let access = lookup
        .route(&path)
        .cloned()
        .ok_or_else(|| Failure::new(Code::RouteUnknown, path.clone()))?;
    if parent.depth >= lookup.config.limits.depth {
        return Err(Failure::new(
            Code::DepthExceeded,
            format!("{}", parent.depth),
        ));
    }
    let regions = lookup
        .config
        .allowed_regions(&access.route, &parent.account);
    check_regions(node, parent.request, &access.route, regions.as_deref())?;
    let headers = head::end_to_end(request.headers());
    let (parts, reservation) = read_request(node, &lookup, request, headers, payload).await?;
    let deadline = deadline(node, request, access.route.timeout.get()).min(parent.deadline);
    let tokens = parent.lend();
    let context = Context::new(parent.root(), deadline, parent.depth, tokens);
    Ok((access, regions, parts, context, reservation))
}

/// Identifies the caller and serves the request.
///
/// # Errors
///
/// The reason why the head is invalid or the caller could not be identified.
/// Later failures are part of the reply.
async fn serve_root(
    node: &Arc<Node>,
    id: Request,
    guard: &open::Guard,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<(Origin, Reply), Failure> {
    let lookup = node.lookup();
    head::check(request, lookup.config.limits.head.get())?;
    let origin = identify(node, &lookup, request)?;
    let served = match guard.check() {
        Ok(()) => serve_identified(node, id, &lookup, &origin, request, payload).await,
        Err(failure) => Err(failure),
    };
    let reply = served.unwrap_or_else(|failure| {
        Reply::Refused(Refused::not_run(failure.code, failure.detail, 0))
    });
    Ok((origin, reply))
}

async fn serve_identified(
    node: &Arc<Node>,
    id: Request,
    lookup: &Lookup,
    origin: &Origin,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<Reply, Failure> {
    let route = &origin.access.route;
    if node.lifecycle.is_leaving() {
        return Err(Failure::new(Code::Leaving, ""));
    }
    let regions = lookup.config.allowed_regions(route, &origin.account);
    check_regions(node, id, route, regions.as_deref())?;
    let rank = admit(node, origin).await?;
    let received = read_request(node, lookup, request, origin.headers.clone(), payload);
    let (parts, _reservation) = before(node, origin.deadline, received).await?;
    node.log_decision(
        Event::RequestAccepted,
        id,
        format_args!(
            "account={} route={} priority={:?} left_ms={}",
            origin.account,
            route.name,
            route.priority,
            node.clock.remaining(origin.deadline).as_millis()
        ),
    );
    let root = context::Root {
        request: id,
        account: Arc::clone(&origin.account),
        priority: route.priority,
        rank,
    };
    let context = Context::new(root, origin.deadline, 0, route.retries);
    let regions = regions.as_deref();
    let reply = dispatch_claimed(node, request, origin, regions, &context, &parts).await;
    let shed = matches!(&reply, Reply::Refused(refused) if refused.is_shed());
    let now = node.clock.now();
    lock(&node.routing.admission).observe(origin.access.key, context.level(), shed, now);
    reservation::record_reply(node, origin.access.key, &reply);
    Ok(reply)
}

/// Dispatches a request. If it has an idempotency key and its route is not
/// repeatable, the key is claimed first, so that the request runs at most once.
async fn dispatch_claimed(
    node: &Arc<Node>,
    request: &HttpRequest,
    origin: &Origin,
    regions: Option<&[Name]>,
    context: &Context,
    parts: &Parts,
) -> Reply {
    let route = &origin.access.route;
    let key = head::text(request.headers(), claim::HEADER).filter(|_| !route.repeatable);
    let Some(key) = key else {
        return dispatch(node, context, route, regions, parts).await;
    };
    let claim = match claim::acquire(node, context, key, parts).await {
        Ok(claim) => claim,
        Err(reply) => return reply,
    };
    let reply = dispatch(node, context, route, regions, parts).await;
    // The region of the store is not known, so a body that is bound to regions is not
    // stored.
    claim.settle(&reply, regions.is_none());
    reply
}

/// Authenticates the caller and resolves the route.
fn identify(node: &Node, lookup: &Lookup, request: &HttpRequest) -> Result<Origin, Failure> {
    let path = head::path_and_query(request);
    let key = head::presented_key(request.headers())?;
    let holder = lookup.account_by_digest(&Digest::of(key));
    let holder = holder.map(|(account, key)| (Arc::clone(account), key));
    let access = access::check_own(node, lookup, &path, holder)?;
    let headers = head::end_to_end(request.headers());
    head::check_exposure(key, &path, &headers)?;
    Ok(Origin {
        deadline: deadline(node, request, access.matched.route.timeout.get()),
        access: access.matched,
        account: access.account,
        account_key: access.account_key,
        headers,
    })
}

/// Applies load shedding before any hop does work, then takes quota. A request
/// that is shed thus consumes no quota of its client account.
async fn admit(node: &Arc<Node>, origin: &Origin) -> Result<Rank, Failure> {
    let priority = origin.access.route.priority;
    let rank = check_admission(node, &origin.access, origin.account_key, priority)?;
    let taken = quota::take(node, &origin.account, origin.account_key).await;
    taken.map_err(|error| {
        let detail = format!("account {} tokens {error:?}", origin.account);
        Failure::new(Code::QuotaExceeded, detail)
    })?;
    Ok(rank)
}

/// Applies load shedding and returns the rank of an admitted request.
///
/// # Errors
///
/// [`Code::AdmissionShed`].
pub(super) fn check_admission(
    node: &Node,
    access: &Match,
    account: AccountKey,
    priority: Priority,
) -> Result<Rank, Failure> {
    let request = admission::Request {
        route: access.key,
        account,
        priority,
        draw: rand::random(),
    };
    let (rank, shedding) = lock(&node.routing.admission).decide(&request, node.clock.now());
    if reservation::admit(node, access.key, account, shedding) == Decision::Refused {
        let detail = format!("{}{}", access.route.name, reservation::cause(shedding));
        return Err(Failure::new(Code::AdmissionShed, detail));
    }
    Ok(rank)
}

/// Deadline from the request's timeout header, at most `limit` from now.
fn deadline(node: &Node, request: &HttpRequest, limit: Duration) -> Moment {
    let requested = head::text(request.headers(), TIMEOUT_HEADER)
        .and_then(|millis| millis.parse().ok())
        .map_or(limit, Duration::from_millis);
    node.clock.now() + requested.min(limit)
}

/// Records the outcome of a root request and builds its response.
fn complete(
    node: &Node,
    id: Request,
    origin: &Origin,
    started: Moment,
    reply: &Reply,
) -> HttpResponse {
    let took = node.clock.now().since(started);
    match reply {
        Reply::Answer(answer) => {
            node.metrics.latency.observe(took.as_secs_f64());
            count(node, &origin.account, "answered");
            node.log_decision(
                Event::RequestAnswered,
                id,
                format_args!("status={} took_us={}", answer.status, took.as_micros()),
            );
            respond(id, reply)
        }
        Reply::Refused(refused) => refuse(node, id, Some(origin), refused),
    }
}

fn refuse(node: &Node, id: Request, origin: Option<&Origin>, refused: &Refused) -> HttpResponse {
    let account = origin.map_or("", |origin| &origin.account);
    let caller = origin.map(|origin| (origin.access.key, origin.account_key));
    let returning = caller.and_then(|caller| find_return(node, caller, refused));
    let place = returning.and_then(|returning| reservation::reserve(node, &returning));
    let retry_after = place.map(|place| place.delay);
    let retry_after = retry_after.or_else(|| {
        let route = caller.map(|(route, _)| route);
        self::retry_after(node, route, refused.code, rand::random())
    });
    count(node, account, &refused.code.number().to_string());
    node.log_decision(
        Event::RequestRefused,
        id,
        format_args!(
            "account={account} code={} ran={} {}{}",
            refused.code.number(),
            refused.ran.as_str(),
            refused.detail,
            reservation::detail(place)
        ),
    );
    problem::response(id, refused, retry_after)
}

/// When a request that load shedding refused may come back: in whole seconds, which the
/// client is told, up to the mean delay without a reservation. `None` for other
/// refusals.
pub(super) fn find_return(
    node: &Node,
    (route, account): (RouteKey, AccountKey),
    refused: &Refused,
) -> Option<Return> {
    if !refused.is_shed_at_ingress() {
        return None;
    }
    let now = node.clock.now();
    let longest = lock(&node.routing.admission).retry_after(route, 0.5, now);
    let times = (1..=longest.as_secs()).map(|second| {
        let told = Duration::from_secs(second);
        told.saturating_sub(SLOT_LEAD)..=told
    });
    Some(Return {
        route,
        account,
        times: times.collect(),
    })
}

/// `Retry-After` of a refused request for which no capacity is reserved, `None` if its
/// response carries none. `route` is that of an identified request; `draw`, uniform in
/// 0..1, spreads the retries.
pub(super) fn retry_after(
    node: &Node,
    route: Option<RouteKey>,
    code: Code,
    draw: f64,
) -> Option<Duration> {
    RETRY_AFTER_CODES.contains(&code).then(|| {
        route.map_or_else(
            || Duration::from_secs_f64(1.0 + draw),
            |route| lock(&node.routing.admission).retry_after(route, draw, node.clock.now()),
        )
    })
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
            let mut response = answer_response(answer);
            if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
                let name = HeaderName::from_static(REQUEST_HEADER);
                response.headers_mut().insert(name, value);
            }
            response
        }
        Reply::Refused(refused) => problem::response(id, refused, None),
    }
}

/// Builds the HTTP response of a target's answer.
pub(super) fn answer_response(answer: &Answer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in &answer.headers {
        response.append_header((name.as_str(), value.as_str()));
    }
    response.body(answer.body.clone())
}
