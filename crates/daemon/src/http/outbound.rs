//! Requests in the platform's form: those of clients on this VM, and the
//! calls that the target beside this daemon makes.

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

use super::{head, ingress, problem};
use crate::actor::quota;
use crate::context::{self, Context};
use crate::dispatch::dispatch;
use crate::node::Node;
use crate::reply::{Refused, Reply};
use crate::sync::lock;

/// Share of a client's remaining time up to which it waits before it comes
/// back, of the platform's description.
const PATIENCE_SHARE: f64 = 1.0 / 3.0;
/// Part of that time that is used, for the way there and back.
const PATIENCE_USED: f64 = 0.8;

/// Time after which a client should come back that was refused before it was
/// known.
const SOON: Duration = Duration::from_secs(1);
/// Longest time after which a client should come back whose account is over
/// its rate, or for which no target was there.
const LATER: Duration = Duration::from_millis(1_500);

/// A request whose sender is known.
struct Inbound {
    access: Match,
    /// Empty for a request on an open route.
    account: Arc<str>,
    account_key: AccountKey,
    /// Whether the account has a rate and burst.
    limited: bool,
    priority: Priority,
    /// When the client stops waiting.
    client_deadline: Moment,
    /// The earlier of that and the route's time-out.
    deadline: Moment,
}

/// Serves a request.
pub async fn serve(
    node: web::Data<Node>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let node = node.into_inner();
    let started = node.clock.now();
    let attempt = head::text(request.headers(), header::ATTEMPT).unwrap_or_default();
    let id = Request::from_label(attempt);
    let open = ingress::Open::new(&node);
    let response = match identify(&node, &request, started) {
        Ok(inbound) => {
            let reply = match run(&node, id, &inbound, &request, payload).await {
                Ok(reply) => reply,
                Err(failure) => Reply::Refused(Refused::not_run(failure.code, failure.detail, 0)),
            };
            conclude(&node, id, &inbound, started, &reply)
        }
        Err(failure) => {
            let refused = Refused::not_run(failure.code, failure.detail, 0);
            refuse(&node, id, None, &refused)
        }
    };
    drop(open);
    finish(&node, attempt, response)
}

/// Finds route and client account, in the order that the platform asks for:
/// 503 while no configuration is known, 404, then 401.
fn identify(node: &Node, request: &HttpRequest, started: Moment) -> Result<Inbound, Failure> {
    head::check(request)?;
    let lookup = node.lookup();
    if lookup.config.revision == 0 {
        let detail = "no configuration has reached this daemon yet";
        return Err(Failure::new(Code::KeyUnconfirmed, detail));
    }
    let path = ingress::path_of(request);
    let access = lookup
        .host_route(&host(request.headers()), &path)
        .ok_or_else(|| Failure::new(Code::RouteUnknown, ""))?;
    let route = &access.route;
    let (account, account_key) = if route.open || !lookup.config.keyed {
        let nobody: Arc<str> = Arc::default();
        let key = node.names.account(&nobody);
        (nobody, key)
    } else {
        account(node, &lookup, request)?
    };
    let known = lookup.config.accounts.get(&account);
    let asked = head::text(request.headers(), header::DEADLINE)
        .and_then(|millis| millis.parse().ok())
        .map_or(route.timeout.get(), Duration::from_millis);
    Ok(Inbound {
        limited: known.is_some_and(|account| !account.unlimited),
        priority: known
            .and_then(|account| account.priority)
            .unwrap_or(route.priority),
        account,
        account_key,
        client_deadline: started + asked,
        deadline: started + asked.min(route.timeout.get()),
        access: access.clone(),
    })
}

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
    inbound: &Inbound,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<Reply, Failure> {
    if node.life.is_closing() && !inbound.account.is_empty() {
        return Err(Failure::new(Code::Leaving, ""));
    }
    admit(node, inbound).await?;
    let lookup = node.lookup();
    let mut headers = head::platform_fields(request.headers());
    if let Some(sidecar) = &node.settings.sidecar {
        let service = sidecar.service.to_string();
        headers.push((header::CALLER_SERVICE.to_owned(), service));
    }
    let (parts, _held) = ingress::collect(node, &lookup, request, headers, payload).await?;
    let chain = context::Root {
        request: id,
        account: Arc::clone(&inbound.account),
        priority: inbound.priority,
        rank: Rank::MOST_IMPORTANT,
    };
    let route = share_of(node, &inbound.access);
    let context = Context::new(chain, inbound.deadline, 0, route.retries);
    let reply = dispatch(node, &context, &route, &parts).await;
    learn_price(node, inbound, &reply);
    Ok(reply)
}

/// Takes in the price that came with the end of a call.
fn learn_price(node: &Node, inbound: &Inbound, reply: &Reply) {
    let price = match reply {
        Reply::Answer(answer) => Some(answer.price),
        Reply::Refused(refused) => refused.price,
    };
    if let Some(price) = price {
        let now = node.clock.now();
        let mut prices = lock(&node.routing.prices);
        prices
            .book
            .observe(inbound.access.key, f64::from(price), now);
    }
}

/// Sheds and takes quota. Calls on open routes belong to requests that were
/// admitted before, so they are not shed here.
async fn admit(node: &Arc<Node>, inbound: &Inbound) -> Result<(), Failure> {
    let route = &inbound.access.route;
    if inbound.account.is_empty() {
        lock(&node.routing.prices)
            .chain
            .record_outbound(inbound.access.key);
        return Ok(());
    }
    let now = node.clock.now();
    let share = {
        let mut prices = lock(&node.routing.prices);
        let load = prices.usage.record(inbound.account_key, now);
        let key = inbound.access.key;
        prices.book.share(key, inbound.priority, load, now)
    };
    if rand::random::<f64>() >= share {
        let detail = format!(
            "account {} route {} share {share:.2}",
            inbound.account, route.name
        );
        return Err(Failure::new(Code::AdmissionShed, detail));
    }
    if inbound.limited {
        let taken = quota::take(node, &inbound.account, inbound.account_key).await;
        taken.map_err(|denied| {
            let detail = format!("account {} tokens {denied:?}", inbound.account);
            Failure::new(Code::QuotaExceeded, detail)
        })?;
    }
    Ok(())
}

/// The route to the service whose turn it is.
fn share_of(node: &Node, access: &Match) -> Arc<Route> {
    if access.shares.is_empty() {
        return Arc::clone(&access.route);
    }
    let weights = access.shares.iter().map(|(weight, _)| *weight);
    let weights = weights.collect::<Vec<_>>();
    let mut rotations = lock(&node.routing.rotations);
    let rotation = rotations.entry(access.key).or_default();
    let part = rotation.next(&weights, rand::random());
    part.map_or_else(
        || Arc::clone(&access.route),
        |part| Arc::clone(&access.shares[part].1),
    )
}

fn conclude(
    node: &Node,
    id: Request,
    inbound: &Inbound,
    started: Moment,
    reply: &Reply,
) -> HttpResponse {
    match reply {
        Reply::Answer(answer) => {
            let took = node.clock.now().since(started);
            node.metrics.latency.observe(took.as_secs_f64());
            ingress::count(node, &inbound.account, "answered");
            node.decide(
                Event::RequestAnswered,
                id,
                format_args!(
                    "account={} route={} status={} took_us={}",
                    inbound.account,
                    inbound.access.route.name,
                    answer.status,
                    took.as_micros()
                ),
            );
            ingress::whole(answer)
        }
        Reply::Refused(refused) => refuse(node, id, Some(inbound), refused),
    }
}

fn refuse(node: &Node, id: Request, inbound: Option<&Inbound>, refused: &Refused) -> HttpResponse {
    let account = inbound.map_or("", |inbound| &inbound.account);
    ingress::count(node, account, &refused.code.number().to_string());
    node.decide(
        Event::RequestRefused,
        id,
        format_args!(
            "account={account} route={} code={} ran={} {}",
            inbound.map_or("", |inbound| &inbound.access.route.name),
            refused.code.number(),
            refused.ran.as_str(),
            refused.detail
        ),
    );
    let status = status(refused);
    let retry_after = matches!(status, 429 | 503).then(|| retry_after(node, inbound, refused.code));
    problem::platform_response(id, refused, status, retry_after)
}

/// Status of a refusal: 429 and 503 promise that the request has not run and
/// never will.
fn status(refused: &Refused) -> u16 {
    let own = refused.code.status();
    match (refused.ran, own) {
        (Ran::No, 400..500) => own,
        (Ran::No, _) => 503,
        (Ran::Unknown, 500..600) if own != 503 => own,
        (Ran::Unknown, _) => 502,
    }
}

/// Time after which a refused client should come back: when room is expected
/// where that is why it was refused, and else within what it waits.
fn retry_after(node: &Node, inbound: Option<&Inbound>, code: Code) -> Duration {
    let draw = rand::random::<f64>();
    let Some(inbound) = inbound else {
        return SOON.mul_f64(0.5 + draw);
    };
    let now = node.clock.now();
    if code == Code::AdmissionShed {
        let key = inbound.access.key;
        return lock(&node.routing.prices)
            .book
            .retry_after(key, inbound.priority, draw, now);
    }
    let patience = inbound.client_deadline.since(now).mul_f64(PATIENCE_SHARE);
    let spread = 0.5 + 0.5 * draw;
    LATER.min(patience.mul_f64(PATIENCE_USED)).mul_f64(spread)
}

/// Adds what every answer carries.
fn finish(node: &Node, attempt: &str, mut response: HttpResponse) -> HttpResponse {
    if let Ok(value) = http_header::HeaderValue::from_str(attempt) {
        let name = http_header::HeaderName::from_static(header::ATTEMPT);
        response.headers_mut().insert(name, value);
    }
    if node.life.is_leaving() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}
