//! Route and client account of a request, and whether the one may be used by the other.
//! The checks change nothing, so that previews make them as well.

use std::sync::Arc;

use cardamomshed_code::{Code, Failure};
use cardamomshed_note::{Lookup, Match, Unconfirmed};
use cardamomshed_policy::{AccountKey, Priority};

use crate::node::Node;

/// Fraction of the time within which a withdrawn key must stop working for which
/// a confirmation of the configuration is valid. The rest covers the transit time
/// of a request and differences between clocks.
const LEASE_FRACTION: f64 = 0.85;

/// Name and key of the client account that a presented key belongs to.
pub(super) type Holder = (Arc<str>, AccountKey);

/// Route and client account of a request.
#[derive(Debug)]
pub(super) struct Access {
    /// Route of the request.
    pub(super) matched: Match,
    /// Client account; empty for a request on an open route.
    pub(super) account: Arc<str>,
    /// Key of the account's name.
    pub(super) account_key: AccountKey,
    /// Whether the rate and burst of the account apply.
    pub(super) limited: bool,
    /// Priority of the request.
    pub(super) priority: Priority,
}

impl Access {
    /// Request on this project's own interface.
    pub(super) fn own(matched: &Match, (account, account_key): Holder) -> Self {
        Self {
            account,
            account_key,
            limited: true,
            priority: matched.route.priority,
            matched: matched.clone(),
        }
    }

    /// Request in the platform's protocol. `None` is a request without an account.
    pub(super) fn platform(
        node: &Node,
        lookup: &Lookup,
        matched: &Match,
        holder: Option<Holder>,
    ) -> Self {
        let (account, account_key) = holder.unwrap_or_else(|| {
            let anonymous: Arc<str> = Arc::default();
            let key = node.names.account(&anonymous);
            (anonymous, key)
        });
        let configured = lookup.config.accounts.get(&account);
        Self {
            limited: configured.is_some_and(|account| !account.unlimited),
            priority: configured
                .and_then(|account| account.priority)
                .unwrap_or(matched.route.priority),
            account,
            account_key,
            matched: matched.clone(),
        }
    }
}

/// Whether requests on a route need a key in the platform's protocol.
pub(super) fn is_keyed(lookup: &Lookup, matched: &Match) -> bool {
    !matched.route.open && lookup.config.keyed
}

/// Checks a request on this project's own interface. `holder` is that of the presented
/// key, `None` if no account has it.
///
/// # Errors
///
/// [`Code::KeyUnconfirmed`], [`Code::KeyUnknown`], [`Code::RouteUnknown`] or
/// [`Code::AccountForbidden`].
pub(super) fn check_own(
    node: &Node,
    lookup: &Lookup,
    path: &str,
    holder: Option<Holder>,
) -> Result<Access, Failure> {
    check_confirmed(node, lookup)?;
    let holder = holder.ok_or_else(|| Failure::new(Code::KeyUnknown, ""))?;
    let matched = lookup
        .route(path)
        .ok_or_else(|| Failure::new(Code::RouteUnknown, ""))?;
    Lookup::authorize(&matched.route, &holder.0)
        .map_err(|code| Failure::new(code, matched.route.name.to_string()))?;
    Ok(Access::own(matched, holder))
}

/// Checks a request in the platform's protocol, in the order that the platform requires:
/// 503 while no configuration is known, then 404, then 401. `present` returns the holder
/// of the presented key and is called only if the route needs a key.
///
/// # Errors
///
/// [`Code::KeyUnconfirmed`], [`Code::RouteUnknown`], [`Code::KeyUnknown`] or an error of
/// `present`.
pub(super) fn check_platform(
    node: &Node,
    lookup: &Lookup,
    host: &str,
    path: &str,
    present: impl FnOnce() -> Result<Option<Holder>, Failure>,
) -> Result<Access, Failure> {
    if lookup.config.revision == 0 {
        let detail = "no configuration has been received yet";
        return Err(Failure::new(Code::KeyUnconfirmed, detail));
    }
    let matched = lookup
        .host_route(host, path)
        .ok_or_else(|| Failure::new(Code::RouteUnknown, ""))?;
    if !is_keyed(lookup, matched) {
        return Ok(Access::platform(node, lookup, matched, None));
    }
    let holder = present()?;
    check_confirmed(node, lookup)?;
    let holder = holder.ok_or_else(|| Failure::new(Code::KeyUnknown, ""))?;
    Ok(Access::platform(node, lookup, matched, Some(holder)))
}

/// Refuses all keys before the first configuration arrives. If unconfirmed keys
/// are to be refused, also refuses them before the first confirmation of the
/// configuration and once it has not been confirmed for the configured time.
///
/// # Errors
///
/// [`Code::KeyUnconfirmed`].
fn check_confirmed(node: &Node, lookup: &Lookup) -> Result<(), Failure> {
    let (refuse, after) = if let Some(sidecar) = &node.current_settings().sidecar {
        let lease = sidecar.withdraw_within.get().mul_f64(LEASE_FRACTION);
        (sidecar.strict_keys, lease)
    } else {
        let limits = &lookup.config.limits;
        let refuse = limits.unconfirmed_keys == Unconfirmed::Refuse;
        (refuse, limits.unconfirmed_after.get())
    };
    if lookup.config.revision == 0 {
        let detail = "no release note has been received yet";
        return Err(Failure::new(Code::KeyUnconfirmed, detail));
    }
    if !refuse {
        return Ok(());
    }
    let detail = match node.configuration.unconfirmed_for() {
        Some(age) if age <= after => return Ok(()),
        Some(age) => format!("configuration not confirmed for {} s", age.as_secs()),
        None => "configuration not confirmed since the start".to_owned(),
    };
    Err(Failure::new(Code::KeyUnconfirmed, detail))
}
