//! What the limits at the ingress say to a request.

use std::sync::Arc;

use cardamomshed_code::{Code, Failure};
use cardamomshed_note::{Lookup, Match};
use cardamomshed_policy::admission;
use cardamomshed_policy::memory::Kind;

use super::document::{Interface, Memory, Quota, Request};
use crate::actor::quota::{self, Denied, Source};
use crate::http::access::{self, Access, Holder};
use crate::http::{outbound, receive};
use crate::node::Node;
use crate::sync::lock;

/// Route and client account of the request, whether or not it may be served.
pub(super) fn access(
    node: &Node,
    lookup: &Lookup,
    interface: Interface,
    matched: &Match,
    request: &Request,
) -> Access {
    let holder = holder(node, lookup, request);
    match interface {
        Interface::Own => {
            let holder = holder.unwrap_or_else(|| {
                let anonymous: Arc<str> = Arc::default();
                let key = node.names.account(&anonymous);
                (anonymous, key)
            });
            Access::own(matched, holder)
        }
        Interface::Platform => {
            let holder = holder.filter(|_| access::is_keyed(lookup, matched));
            Access::platform(node, lookup, matched, holder)
        }
    }
}

/// The given account. The name of an unknown one is not interned.
fn holder(node: &Node, lookup: &Lookup, request: &Request) -> Option<Holder> {
    let account = request.account.as_ref()?;
    let configured = lookup.config.accounts.get_key_value(account);
    let known = configured.map(|(name, _)| Arc::clone(name));
    let key = node.names.account(&known.unwrap_or_default());
    Some((Arc::clone(account), key))
}

/// Checks the configuration, the key and the state of the daemon, in the order in which
/// the listener does.
///
/// # Errors
///
/// The first refusal, and whether the route and the account are known to it.
pub(super) fn check_access(
    node: &Node,
    lookup: &Lookup,
    interface: Interface,
    request: &Request,
) -> Result<(), (Failure, bool)> {
    let present = || match holder(node, lookup, request) {
        Some(holder) => Ok(Some(holder)),
        None => Err(Failure::new(Code::KeyMissing, "no account is given")),
    };
    let path = &request.path;
    let access = match interface {
        Interface::Own => {
            present().and_then(|holder| access::check_own(node, lookup, path, holder))
        }
        Interface::Platform => access::check_platform(node, lookup, &request.host, path, present),
    };
    let access = access.map_err(|failure| (failure, false))?;
    if node.memory.is_full() {
        return Err((Failure::new(Code::MemoryShed, ""), true));
    }
    let open = match interface {
        Interface::Own if node.lifecycle.is_leaving() => Err(Failure::new(Code::Leaving, "")),
        Interface::Own => Ok(()),
        Interface::Platform => outbound::check_open(node, &access),
    };
    open.map_err(|failure| (failure, true))
}

/// Share of such requests that load shedding admits, with the price or the level of the
/// route.
pub(super) fn shedding(
    node: &Node,
    interface: Interface,
    access: &Access,
) -> (f64, Option<f64>, Option<f32>) {
    let now = node.clock.now();
    let route = access.matched.key;
    match interface {
        Interface::Own => {
            let request = admission::Request {
                route,
                account: access.account_key,
                priority: access.priority,
                draw: 0.0,
            };
            let admission = lock(&node.routing.admission);
            let level = admission.level(route, now);
            (admission.share(&request, now), None, Some(level.0))
        }
        Interface::Platform => {
            let prices = lock(&node.routing.prices);
            let price = prices.table.price(route, now);
            if access.account.is_empty() {
                return (1.0, Some(price), None);
            }
            let load = prices.usage.preview(access.account_key, now);
            let share = prices.table.share(route, access.priority, load, now);
            (share, Some(price), None)
        }
    }
}

/// Tokens of the account, and whether the request would get one. `None` if no rate
/// applies.
pub(super) fn quota(node: &Node, access: &Access) -> Option<(Quota, Result<(), Failure>)> {
    if !access.limited || access.account.is_empty() {
        return None;
    }
    let preview = quota::preview(node, &access.account, access.account_key);
    let (source, lender) = match &preview.source {
        Source::Held => ("held", None),
        Source::Lent => ("lent", None),
        Source::Asked(lender) => ("asked", Some(Arc::clone(lender))),
        Source::Denied(Denied::Dry) => ("dry", None),
        Source::Denied(Denied::Unanswered) => ("unanswered", None),
    };
    let taken = match preview.source {
        Source::Denied(error) => {
            let detail = format!("account {} tokens {error:?}", access.account);
            Err(Failure::new(Code::QuotaExceeded, detail))
        }
        _ => Ok(()),
    };
    let quota = Quota {
        held: preview.held,
        lendable: preview.lendable,
        source,
        lender,
    };
    Some((quota, taken))
}

/// State of the memory account, and whether the body would be accepted.
pub(super) fn body(
    node: &Node,
    lookup: &Lookup,
    request: &Request,
) -> (Memory, Result<(), Failure>) {
    let bytes = receive::head_bytes(&request.path, &[]) + request.size;
    let room = node.memory.would_fit(Kind::Request, bytes);
    let memory = Memory {
        full: node.memory.is_full(),
        used: node.memory.with(|account| account.total()),
        room,
    };
    let limit = lookup.config.limits.body.get();
    let accepted = receive::check_length(request.size, limit).and_then(|()| {
        let shed = || Failure::new(Code::MemoryShed, "no room for the body");
        room.then_some(()).ok_or_else(shed)
    });
    (memory, accepted)
}
