//! Requests in the platform's protocol, sent by clients on this VM and by the
//! local target.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::header as http_header;
use actix_web::{HttpRequest, HttpResponse, web};
use cardamomshed_code::{Code, Event, Failure, Ran};
use cardamomshed_note::{Digest, Match, Route};
use cardamomshed_platform::header;
use cardamomshed_policy::Moment;
use cardamomshed_policy::admission::Rank;
use cardamomshed_policy::reservation::{Decision, Shedding};
use cardamomshed_wire::Request;

use super::access::{self, Access};
use super::reservation::{self, Return};
use super::{head, ingress, open, problem, receive};
use crate::actor::quota;
use crate::backpressure::Adjustment;
use crate::context::{self, Context};
use crate::dispatch::{check_regions, dispatch};
use crate::node::Node;
use crate::reply::{Refused, Reply};
use crate::sync::lock;

/// Fraction of its remaining time up to which a client waits before a retry, as
/// the platform specifies.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of that wait that is used. The rest covers the transit time of the
/// response and the retry.
const USED_WAIT_FRACTION: f64 = 0.8;

/// Average `Retry-After` of a request that is refused before its route and
/// client account are known.
const UNIDENTIFIED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest `Retry-After` of an identified request that is not refused by load
/// shedding, for example because its account is over its rate or no target is
/// available.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Route, client account and deadlines of an identified request.
struct Origin {
    access: Access,
    /// Time at which the client stops waiting for the response.
    client_deadline: Moment,
    /// The earlier of the client's deadline and the end of the route's timeout.
    deadline: Moment,
}

/// Serves a request of a local client or of the local target.
pub async fn serve(
    node: web::Data<Node>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let node = node.into_inner();
    let started = node.clock.now();
    let attempt = head::text(request.headers(), header::ATTEMPT).unwrap_or_default();
    let id = Request::from_label(attempt);
    let guard = open::Guard::new(&node, &request);
    let response = match identify(&node, &request, started) {
        Ok(origin) => {
            let reply = match guard.check() {
                Ok(()) => run(&node, id, &origin, &request, payload).await,
                Err(failure) => Err(failure),
            };
            let reply = match reply {
                Ok(reply) => guard.limit(reply),
                Err(failure) => Reply::Refused(Refused::not_run(failure.code, failure.detail, 0)),
            };
            complete(&node, id, &origin, started, &reply)
        }
        Err(failure) => {
            let refused = Refused::not_run(failure.code, failure.detail, 0);
            refuse(&node, id, None, &refused)
        }
    };
    guard.attach(add_common_headers(&node, attempt, response))
}

/// Identifies route and client account.
fn identify(node: &Node, request: &HttpRequest, started: Moment) -> Result<Origin, Failure> {
    let lookup = node.lookup();
    head::check(request, lookup.config.limits.head.get())?;
    let path = head::path_and_query(request);
    let present = || {
        let key = head::presented_key(request.headers())?;
        let holder = lookup.account_by_digest(&Digest::of(key));
        Ok(holder.map(|(account, key)| (Arc::clone(account), key)))
    };
    let host = head::text(request.headers(), http_header::HOST.as_str()).unwrap_or_default();
    let access = access::check_platform(node, &lookup, &without_port(host), &path, present)?;
    let timeout = access.matched.route.timeout.get();
    let requested = head::text(request.headers(), header::DEADLINE)
        .and_then(|millis| millis.parse().ok())
        .map_or(timeout, Duration::from_millis);
    Ok(Origin {
        client_deadline: started + requested,
        deadline: started + requested.min(timeout),
        access,
    })
}

/// A host in lower case and without a port.
pub(super) fn without_port(host: &str) -> String {
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    host.to_ascii_lowercase()
}

/// Refuses requests with a key while the daemon is closing.
///
/// # Errors
///
/// [`Code::Leaving`].
pub(super) fn check_open(node: &Node, access: &Access) -> Result<(), Failure> {
    if node.lifecycle.is_closing() && !access.account.is_empty() {
        return Err(Failure::new(Code::Leaving, ""));
    }
    Ok(())
}

async fn run(
    node: &Arc<Node>,
    id: Request,
    origin: &Origin,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<Reply, Failure> {
    check_open(node, &origin.access)?;
    let lookup = node.lookup();
    let route = select_route(node, &origin.access.matched);
    let regions = lookup
        .config
        .allowed_regions(&route, &origin.access.account);
    check_regions(node, id, &route, regions.as_deref())?;
    admit(node, origin).await?;
    let mut headers = head::platform_headers(request.headers());
    if let Some(sidecar) = &node.settings.sidecar {
        let service = sidecar.service.to_string();
        headers.push((header::CALLER_SERVICE.to_owned(), service));
    }
    let received = receive::read_request(node, &lookup, request, headers, payload);
    let (parts, _reservation) = receive::before(node, origin.deadline, received).await?;
    let root = context::Root {
        request: id,
        account: Arc::clone(&origin.access.account),
        priority: origin.access.priority,
        rank: Rank::MOST_IMPORTANT,
    };
    let context = Context::new(root, origin.deadline, 0, route.retries);
    let sent_at = node.clock.now();
    if origin.access.account.is_empty() {
        let repeats = lock(&node.routing.prices).take_repeat(origin.access.matched.key);
        let services = &node.routing.services;
        services.charge_retries(&route.service, repeats, sent_at);
    }
    let reply = dispatch(node, &context, &route, regions.as_deref(), &parts).await;
    record_price(node, origin, &reply);
    if origin.access.account.is_empty() {
        let latency = node.clock.now().since(sent_at);
        record_pressure(node, origin, &reply, latency);
    } else {
        reservation::record_reply(node, origin.access.matched.key, &reply);
    }
    Ok(reply)
}

/// Records the pressure that the reply to a call of the local target reports.
fn record_pressure(node: &Node, origin: &Origin, reply: &Reply, latency: Duration) {
    let (pressure, refused) = match reply {
        Reply::Answer(answer) => (Some(answer.pressure), false),
        Reply::Refused(refused) => (refused.pressure, refused.ran == Ran::No),
    };
    let Some(pressure) = pressure else {
        return;
    };
    let windows = &node.routing.windows;
    let adjusted = windows.observe(
        origin.access.matched.key,
        f64::from(pressure),
        refused,
        latency,
    );
    let Some(Adjustment { before, after }) = adjusted else {
        return;
    };
    if before.is_none() || after.is_none() {
        node.log_event(
            Event::WindowChanged,
            format_args!(
                "route={} before={before:?} after={after:?} pressure={pressure:.2}",
                origin.access.matched.route.name
            ),
        );
    }
}

/// Records the price that the reply to a call reports.
fn record_price(node: &Node, origin: &Origin, reply: &Reply) {
    let price = match reply {
        Reply::Answer(answer) => Some(answer.price),
        Reply::Refused(refused) => refused.price,
    };
    if let Some(price) = price {
        let now = node.clock.now();
        let mut prices = lock(&node.routing.prices);
        prices
            .table
            .observe(origin.access.matched.key, f64::from(price), now);
    }
}

/// Applies load shedding and takes quota. Calls on open routes belong to requests
/// that were admitted before, so they are neither shed nor charged here.
async fn admit(node: &Arc<Node>, origin: &Origin) -> Result<(), Failure> {
    let route = &origin.access.matched.route;
    if origin.access.account.is_empty() {
        lock(&node.routing.prices)
            .fanout
            .record_outbound(origin.access.matched.key);
        return Ok(());
    }
    let now = node.clock.now();
    let share = {
        let mut prices = lock(&node.routing.prices);
        let load = prices.usage.record(origin.access.account_key, now);
        let key = origin.access.matched.key;
        prices.table.share(key, origin.access.priority, load, now)
    };
    let shedding = Shedding::at_share(share, rand::random());
    let (key, account) = (origin.access.matched.key, origin.access.account_key);
    if reservation::admit(node, key, account, shedding) == Decision::Refused {
        let detail = format!(
            "account {} route {} share {share:.2}{}",
            origin.access.account,
            route.name,
            reservation::cause(shedding)
        );
        return Err(Failure::new(Code::AdmissionShed, detail));
    }
    if origin.access.limited {
        let taken = quota::take(node, &origin.access.account, origin.access.account_key).await;
        taken.map_err(|error| {
            let detail = format!("account {} tokens {error:?}", origin.access.account);
            Failure::new(Code::QuotaExceeded, detail)
        })?;
    }
    Ok(())
}

/// Selects one of the weighted services of a route in rotation.
fn select_route(node: &Node, access: &Match) -> Arc<Route> {
    if access.shares.is_empty() {
        return Arc::clone(&access.route);
    }
    let weights = access.shares.iter().map(|(weight, _)| *weight);
    let weights = weights.collect::<Vec<_>>();
    let mut rotations = lock(&node.routing.rotations);
    let rotation = rotations.entry(access.key).or_default();
    let index = rotation.next(&weights, rand::random());
    index.map_or_else(
        || Arc::clone(&access.route),
        |index| Arc::clone(&access.shares[index].1),
    )
}

/// Records the outcome of a request and builds its response.
fn complete(
    node: &Node,
    id: Request,
    origin: &Origin,
    started: Moment,
    reply: &Reply,
) -> HttpResponse {
    match reply {
        Reply::Answer(answer) => {
            let took = node.clock.now().since(started);
            node.metrics.latency.observe(took.as_secs_f64());
            ingress::count(node, &origin.access.account, "answered");
            node.log_decision(
                Event::RequestAnswered,
                id,
                format_args!(
                    "account={} route={} status={} took_us={}",
                    origin.access.account,
                    origin.access.matched.route.name,
                    answer.status,
                    took.as_micros()
                ),
            );
            ingress::answer_response(answer)
        }
        Reply::Refused(refused) => refuse(node, id, Some(origin), refused),
    }
}

fn refuse(node: &Node, id: Request, origin: Option<&Origin>, refused: &Refused) -> HttpResponse {
    let account = origin.map_or("", |origin| &origin.access.account);
    let caller = origin.map(|origin| (&origin.access, origin.client_deadline));
    let returning = caller.and_then(|caller| find_return(node, caller, refused));
    let place = returning.and_then(|returning| reservation::reserve(node, &returning));
    let retry_after = place.map(|place| place.delay);
    let retry_after =
        retry_after.or_else(|| self::retry_after(node, caller, refused, rand::random()));
    ingress::count(node, account, &refused.code.number().to_string());
    node.log_decision(
        Event::RequestRefused,
        id,
        format_args!(
            "account={account} route={} code={} ran={} {}{}",
            origin.map_or("", |origin| &origin.access.matched.route.name),
            refused.code.number(),
            refused.ran.as_str(),
            refused.detail,
            reservation::detail(place)
        ),
    );
    problem::platform_response(id, refused, status(refused), retry_after)
}

/// HTTP status of a refusal. 429 and 503 guarantee that the request has not run
/// and will not run.
pub(super) fn status(refused: &Refused) -> u16 {
    let mapped = refused.code.status();
    match (refused.ran, mapped) {
        (Ran::No, 400..500) => mapped,
        (Ran::No, _) => 503,
        (Ran::Unknown, 500..600) if mapped != 503 => mapped,
        (Ran::Unknown, _) => 502,
    }
}

/// When a request that load shedding refused may come back: no later than it is expected
/// to be admitted, and within the time that its client waits at most. `None` for other
/// refusals: a reservation is no claim to a slot of a gate or window, and a client told to
/// come back early only meets the same queue.
pub(super) fn find_return(
    node: &Node,
    (access, client_deadline): (&Access, Moment),
    refused: &Refused,
) -> Option<Return> {
    if !refused.is_shed_at_ingress() {
        return None;
    }
    let now = node.clock.now();
    let key = access.matched.key;
    let prices = lock(&node.routing.prices);
    let latest = prices.table.retry_after(key, access.priority, 0.5, now);
    Some(Return {
        route: key,
        account: access.account_key,
        times: vec![Duration::ZERO..=latest.min(longest_wait(client_deadline, now))],
    })
}

/// Longest `Retry-After` with which a client comes back when it was told to.
fn longest_wait(client_deadline: Moment, now: Moment) -> Duration {
    let wait = client_deadline.since(now).mul_f64(MAX_WAIT_FRACTION);
    wait.mul_f64(USED_WAIT_FRACTION)
}

/// `Retry-After` of a refused request for which no capacity is reserved, `None` if its
/// response carries none. After load shedding it is the time at which capacity is
/// expected, otherwise a part of the time that the client waits at most. `caller` is an
/// identified request with the time at which its client stops waiting; `draw`, uniform in
/// 0..1, spreads the retries.
pub(super) fn retry_after(
    node: &Node,
    caller: Option<(&Access, Moment)>,
    refused: &Refused,
    draw: f64,
) -> Option<Duration> {
    if !matches!(status(refused), 429 | 503) {
        return None;
    }
    let Some((access, client_deadline)) = caller else {
        return Some(UNIDENTIFIED_RETRY_AFTER.mul_f64(0.5 + draw));
    };
    let now = node.clock.now();
    if refused.code == Code::AdmissionShed {
        let prices = lock(&node.routing.prices);
        let (route, priority) = (access.matched.key, access.priority);
        return Some(prices.table.retry_after(route, priority, draw, now));
    }
    let spread = 0.5 + 0.5 * draw;
    let longest = MAX_RETRY_AFTER.min(longest_wait(client_deadline, now));
    Some(longest.mul_f64(spread))
}

/// Adds the headers that every response carries, and closes the connection of a
/// client while the daemon is leaving.
fn add_common_headers(node: &Node, attempt: &str, mut response: HttpResponse) -> HttpResponse {
    if let Ok(value) = http_header::HeaderValue::from_str(attempt) {
        let name = http_header::HeaderName::from_static(header::ATTEMPT);
        response.headers_mut().insert(name, value);
    }
    if node.lifecycle.is_leaving() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}
