//! Requests in the platform's protocol, sent by clients on this VM and by the
//! local target.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::header::{self as http_header, HeaderMap};
use actix_web::{HttpRequest, HttpResponse, web};
use cardamomshed_code::{Code, Event, Failure, Ran};
use cardamomshed_note::{Digest, Lookup, Match, Route};
use cardamomshed_platform::header;
use cardamomshed_policy::admission::Rank;
use cardamomshed_policy::{AccountKey, Moment, Priority};
use cardamomshed_wire::Request;

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
    access: Match,
    /// Empty for a request on an open route.
    account: Arc<str>,
    account_key: AccountKey,
    /// Whether the account has a rate and burst.
    limited: bool,
    priority: Priority,
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

/// Identifies route and client account. The checks run in the order that the
/// platform requires: 503 while no configuration is known, then 404, then 401.
fn identify(node: &Node, request: &HttpRequest, started: Moment) -> Result<Origin, Failure> {
    head::check(request)?;
    let lookup = node.lookup();
    if lookup.config.revision == 0 {
        let detail = "no configuration has been received yet";
        return Err(Failure::new(Code::KeyUnconfirmed, detail));
    }
    let path = head::path_and_query(request);
    let access = lookup
        .host_route(&host(request.headers()), &path)
        .ok_or_else(|| Failure::new(Code::RouteUnknown, ""))?;
    let route = &access.route;
    let (account, account_key) = if route.open || !lookup.config.keyed {
        let anonymous: Arc<str> = Arc::default();
        let key = node.names.account(&anonymous);
        (anonymous, key)
    } else {
        account(node, &lookup, request)?
    };
    let configured = lookup.config.accounts.get(&account);
    let requested = head::text(request.headers(), header::DEADLINE)
        .and_then(|millis| millis.parse().ok())
        .map_or(route.timeout.get(), Duration::from_millis);
    Ok(Origin {
        limited: configured.is_some_and(|account| !account.unlimited),
        priority: configured
            .and_then(|account| account.priority)
            .unwrap_or(route.priority),
        account,
        account_key,
        client_deadline: started + requested,
        deadline: started + requested.min(route.timeout.get()),
        access: access.clone(),
    })
}

/// Client account of the presented key.
fn account(
    node: &Node,
    lookup: &Lookup,
    request: &HttpRequest,
) -> Result<(Arc<str>, AccountKey), Failure> {
    let key = head::presented_key(request.headers())?;
    let holder = lookup.account_by_digest(&Digest::of(key));
    ingress::check_confirmed(node, lookup)?;
    let (account, account_key) = holder.ok_or_else(|| Failure::new(Code::KeyUnknown, ""))?;
    Ok((Arc::clone(account), account_key))
}

/// Host of a request, in lower case and without a port.
fn host(headers: &HeaderMap) -> String {
    let host = head::text(headers, http_header::HOST.as_str()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    host.to_ascii_lowercase()
}

async fn run(
    node: &Arc<Node>,
    id: Request,
    origin: &Origin,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<Reply, Failure> {
    if node.lifecycle.is_closing() && !origin.account.is_empty() {
        return Err(Failure::new(Code::Leaving, ""));
    }
    let lookup = node.lookup();
    let route = select_route(node, &origin.access);
    let regions = lookup.config.allowed_regions(&route, &origin.account);
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
        account: Arc::clone(&origin.account),
        priority: origin.priority,
        rank: Rank::MOST_IMPORTANT,
    };
    let context = Context::new(root, origin.deadline, 0, route.retries);
    let sent_at = node.clock.now();
    if origin.account.is_empty() {
        let repeats = lock(&node.routing.prices).take_repeat(origin.access.key);
        let services = &node.routing.services;
        services.charge_retries(&route.service, repeats, sent_at);
    }
    let reply = dispatch(node, &context, &route, regions.as_deref(), &parts).await;
    record_price(node, origin, &reply);
    if origin.account.is_empty() {
        let latency = node.clock.now().since(sent_at);
        record_pressure(node, origin, &reply, latency);
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
    let adjusted = windows.observe(origin.access.key, f64::from(pressure), refused, latency);
    let Some(Adjustment { before, after }) = adjusted else {
        return;
    };
    if before.is_none() || after.is_none() {
        node.log_event(
            Event::WindowChanged,
            format_args!(
                "route={} before={before:?} after={after:?} pressure={pressure:.2}",
                origin.access.route.name
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
            .observe(origin.access.key, f64::from(price), now);
    }
}

/// Applies load shedding and takes quota. Calls on open routes belong to requests
/// that were admitted before, so they are neither shed nor charged here.
async fn admit(node: &Arc<Node>, origin: &Origin) -> Result<(), Failure> {
    let route = &origin.access.route;
    if origin.account.is_empty() {
        lock(&node.routing.prices)
            .fanout
            .record_outbound(origin.access.key);
        return Ok(());
    }
    let now = node.clock.now();
    let share = {
        let mut prices = lock(&node.routing.prices);
        let load = prices.usage.record(origin.account_key, now);
        let key = origin.access.key;
        prices.table.share(key, origin.priority, load, now)
    };
    if rand::random::<f64>() >= share {
        let detail = format!(
            "account {} route {} share {share:.2}",
            origin.account, route.name
        );
        return Err(Failure::new(Code::AdmissionShed, detail));
    }
    if origin.limited {
        let taken = quota::take(node, &origin.account, origin.account_key).await;
        taken.map_err(|error| {
            let detail = format!("account {} tokens {error:?}", origin.account);
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
            ingress::count(node, &origin.account, "answered");
            node.log_decision(
                Event::RequestAnswered,
                id,
                format_args!(
                    "account={} route={} status={} took_us={}",
                    origin.account,
                    origin.access.route.name,
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
    let account = origin.map_or("", |origin| &origin.account);
    ingress::count(node, account, &refused.code.number().to_string());
    node.log_decision(
        Event::RequestRefused,
        id,
        format_args!(
            "account={account} route={} code={} ran={} {}",
            origin.map_or("", |origin| &origin.access.route.name),
            refused.code.number(),
            refused.ran.as_str(),
            refused.detail
        ),
    );
    let status = status(refused);
    let retry_after = matches!(status, 429 | 503).then(|| retry_after(node, origin, refused.code));
    problem::platform_response(id, refused, status, retry_after)
}

/// HTTP status of a refusal. 429 and 503 guarantee that the request has not run
/// and will not run.
fn status(refused: &Refused) -> u16 {
    let mapped = refused.code.status();
    match (refused.ran, mapped) {
        (Ran::No, 400..500) => mapped,
        (Ran::No, _) => 503,
        (Ran::Unknown, 500..600) if mapped != 503 => mapped,
        (Ran::Unknown, _) => 502,
    }
}

/// `Retry-After` of a refused request. After load shedding it is the time at
/// which capacity is expected, otherwise a part of the time that the client waits
/// at most. The random part spreads the retries.
fn retry_after(node: &Node, origin: Option<&Origin>, code: Code) -> Duration {
    let draw = rand::random::<f64>();
    let Some(origin) = origin else {
        return UNIDENTIFIED_RETRY_AFTER.mul_f64(0.5 + draw);
    };
    let now = node.clock.now();
    if code == Code::AdmissionShed {
        let key = origin.access.key;
        return lock(&node.routing.prices)
            .table
            .retry_after(key, origin.priority, draw, now);
    }
    let wait = origin.client_deadline.since(now).mul_f64(MAX_WAIT_FRACTION);
    let spread = 0.5 + 0.5 * draw;
    MAX_RETRY_AFTER
        .min(wait.mul_f64(USED_WAIT_FRACTION))
        .mul_f64(spread)
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
