//! Quota: lender slots held by this daemon and prepaid tokens for its ingress.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::Event;
use cardamomshed_policy::quota::{Bound, Lender, Spend, validity};
use cardamomshed_policy::{AccountKey, Moment};
use cardamomshed_wire::{Frame, Grant};
use tokio::time::{Instant, timeout_at};

mod bound;
pub mod leased;
mod ranked;

use crate::members::{apply_output, is_poller, publish};
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;
use bound::bound;

/// Longest time for which a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Longest wait while no lender is known, as after a start of the whole fleet, while
/// lenders may just have started, or after a daemon answered that it holds no slot.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_millis(600);
/// Time after the start of this process in which a request waits although the lender has
/// no tokens. After a start of the whole fleet, the requests that wait for the first
/// lender would otherwise all be refused at once, while its bucket is still empty.
const START_GRACE: Duration = Duration::from_millis(1_500);
/// Interval at which a waiting request checks the wallet and its lender request.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a token request counts as lost. A link to another region
/// opens in four round trips of 40 ms.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(220);
/// Time for which no tokens are requested after the lenders had none.
const EXHAUSTED_BACKOFF: Duration = Duration::from_millis(40);

/// Gap between two runs of this actor's loop that indicates a pause of the
/// process. Other members take over its slots no earlier than one probe interval,
/// by default a second, after the start of a pause.
const MAX_POLL_GAP: Duration = Duration::from_millis(950);

/// Why a request got no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The account's lenders have none left.
    Dry,
    /// No lender answered in time.
    Unanswered,
}

/// Where a request would get its token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This daemon holds one.
    Held,
    /// A lender on this daemon has one.
    Lent,
    /// This daemon would be asked.
    Asked(Arc<str>),
    /// Nowhere.
    Denied(Denied),
}

/// What [`take`] would find.
#[derive(Clone, Debug, PartialEq)]
pub struct Preview {
    /// Tokens that this daemon holds for its requests.
    pub held: u32,
    /// Tokens that the lender slots held here have; `None` without a slot.
    pub lendable: Option<f64>,
    /// Where a request would get its token.
    pub source: Source,
}

/// Previews [`take`]. Takes and requests no token.
pub fn preview(node: &Node, name: &Arc<str>, account: AccountKey) -> Preview {
    let now = node.clock.now();
    let (held, spend) = lock(&node.quota.wallet).preview(account, now);
    let lendable = {
        let lenders = lock(&node.quota.lenders);
        let tokens = lenders
            .values()
            .map(|lender| lender.available(account, now));
        (!lenders.is_empty()).then(|| tokens.sum())
    };
    let source = match spend {
        Spend::Spent => Source::Held,
        Spend::Exhausted => Source::Denied(Denied::Dry),
        Spend::Wait => preview_request(node, name, account, lendable, now),
    };
    Preview {
        held,
        lendable,
        source,
    }
}

/// Which lender [`send_request`] would turn to, and what comes of it.
fn preview_request(
    node: &Node,
    name: &Arc<str>,
    account: AccountKey,
    lendable: Option<f64>,
    now: Moment,
) -> Source {
    let is_sidecar = node.settings.sidecar.is_some();
    let Some(bound) = bound_of(node, name) else {
        return Source::Denied(Denied::Unanswered);
    };
    let mut request = new_request(node, name, account, bound, now);
    loop {
        let lender = select_lender(node, &request);
        request.lenders_tried += 1;
        match lender {
            None if is_sidecar => return Source::Denied(Denied::Unanswered),
            None => return Source::Denied(Denied::Dry),
            Some(peer) if peer.node != node.name => return Source::Asked(peer.node),
            Some(_) if lendable.is_some_and(|tokens| tokens >= 1.0) => return Source::Lent,
            Some(_) if !is_sidecar => {}
            Some(_) if lendable.is_some() && request.lenders_tried <= 1 => {
                return Source::Denied(Denied::Dry);
            }
            Some(_) => return Source::Denied(Denied::Unanswered),
        }
    }
}

/// Takes one token for a request. Waits a limited time for a lender's answer, and
/// longer if no lender is known.
///
/// # Errors
///
/// [`Denied`] if the request must not run.
pub async fn take(node: &Arc<Node>, name: &Arc<str>, account: AccountKey) -> Result<(), Denied> {
    check_pause(node);
    let now = node.clock.now();
    let arrived_at = Instant::now();
    lock(&node.quota.wallet).record_use(account, now);
    loop {
        let arrived = node.quota.grant_arrived.notified();
        let spend = lock(&node.quota.wallet).spend(account, node.clock.now());
        request_tokens(node, name, account, spend == Spend::Wait);
        match spend {
            Spend::Spent => return Ok(()),
            Spend::Exhausted if !is_starting(node) => return Err(Denied::Dry),
            Spend::Exhausted | Spend::Wait => {}
        }
        let is_refused = lock(&node.quota.wallet).is_refused(account);
        let max_wait = if ranked::has_lender(node) && !is_refused && !is_starting(node) {
            MAX_WAIT
        } else {
            MAX_DISCOVERY_WAIT
        };
        let deadline = arrived_at + max_wait;
        let next_check = deadline.min(Instant::now() + RETRY_INTERVAL);
        if timeout_at(next_check, arrived).await.is_err() && Instant::now() >= deadline {
            return Err(match spend {
                Spend::Exhausted => Denied::Dry,
                Spend::Spent | Spend::Wait => Denied::Unanswered,
            });
        }
    }
}

/// Whether this sidecar has started so recently that requests wait for a lender's tokens.
fn is_starting(node: &Node) -> bool {
    node.settings.sidecar.is_some() && node.clock.now().since(Moment::ZERO) < START_GRACE
}

/// Drops all slots and tokens of a sidecar if its process or VM was paused for
/// longer than [`MAX_POLL_GAP`]: the members then suspect this daemon, and another
/// one lends in its place.
fn check_pause(node: &Arc<Node>) {
    if node.settings.sidecar.is_none() {
        return;
    }
    let now = node.clock.now();
    let gap = {
        let mut last_poll = lock(&node.quota.last_poll);
        let gap = now.since(*last_poll);
        if gap <= MAX_POLL_GAP {
            return;
        }
        *last_poll = now;
        gap
    };
    *lock(&node.quota.resumed_at) = Some(now);
    lock(&node.quota.wallet).clear_grants();
    let slots = std::mem::take(&mut *lock(&node.quota.lenders));
    let slots = slots.into_keys().collect::<Vec<_>>();
    node.log_event(
        Event::ShareExpired,
        format_args!("slots={slots:?} paused_ms={}", gap.as_millis()),
    );
    publish(node);
}

/// Whether tokens requested at `requested_at` may still be valid. They are not if
/// this process has been paused since.
fn is_current(node: &Node, requested_at: Moment) -> bool {
    lock(&node.quota.resumed_at).is_none_or(|resumed| requested_at >= resumed)
}

/// Requests tokens from a lender if the wallet is low. `waiting` is whether a
/// request waits for them.
fn request_tokens(node: &Arc<Node>, name: &Arc<str>, account: AccountKey, waiting: bool) {
    let now = node.clock.now();
    let wanted = lock(&node.quota.wallet).request(account, waiting, REQUEST_TIMEOUT, now);
    if wanted > 0 {
        let Some(bound) = bound_of(node, name) else {
            return;
        };
        let request = new_request(node, name, account, bound, now);
        if request.lenders_tried > 0 {
            verify_lender(node, name);
        }
        let request = Grant {
            requested: wanted,
            ..request
        };
        send_request(node, request);
    }
}

/// Request for one token, to the first lender that has answered lately.
fn new_request(
    node: &Node,
    name: &Arc<str>,
    account: AccountKey,
    bound: Bound,
    now: Moment,
) -> Grant {
    let lenders_tried = match node.settings.sidecar {
        Some(_) => lock(&node.quota.wallet).unresponsive_lenders(account, now),
        None => 0,
    };
    Grant {
        account: Arc::clone(name),
        requested: 1,
        tokens: 0,
        requested_us: now.as_micros(),
        validity_us: validity(bound).as_micros() as u64,
        lenders_tried,
        is_lender: false,
    }
}

/// Probes the account's first lender, which did not answer in time. The sooner it
/// fails, the sooner another daemon lends in its place.
fn verify_lender(node: &Node, account: &str) {
    let Some(lender) = ranked::select_lender(node, account, 0) else {
        return;
    };
    let now = node.clock.now();
    let output = lock(&node.members.fleet).verify(&lender.node, now);
    apply_output(node, output);
}

/// Sends a token request to the lender selected by its turn, or serves it from
/// the slots held here. Without a further lender, a sidecar cancels the request
/// and other daemons wait for [`EXHAUSTED_BACKOFF`].
fn send_request(node: &Arc<Node>, mut request: Grant) {
    loop {
        let lender = select_lender(node, &request);
        request.lenders_tried += 1;
        match lender {
            None if node.settings.sidecar.is_some() => {
                let account = node.names.account(&request.account);
                lock(&node.quota.wallet).cancel_request(account);
                return;
            }
            None => {
                set_exhausted(node, &request);
                return;
            }
            Some(peer) if peer.node == node.name => {
                let granted = lend(node, request.clone());
                if granted.tokens > 0 {
                    store_grant(node, &granted);
                    return;
                }
                if node.settings.sidecar.is_some() {
                    handle_refusal(node, &granted);
                    return;
                }
            }
            Some(peer) => {
                node.links.send(&peer, Frame::RequestTokens(request));
                return;
            }
        }
    }
}

/// Handles an answer without tokens. Only the first lender, which has the
/// account's primary share, shows by it that the account exceeds its rate. A
/// backup lender has few tokens, and a daemon without a slot has no information.
fn handle_refusal(node: &Node, grant: &Grant) {
    let account = node.names.account(&grant.account);
    if !grant.is_lender {
        lock(&node.quota.wallet).record_refusal(account);
    } else if grant.lenders_tried <= 1 {
        set_exhausted(node, grant);
    } else {
        lock(&node.quota.wallet).cancel_request(account);
    }
}

/// Marks the account as exhausted for [`EXHAUSTED_BACKOFF`] and wakes the requests
/// that wait for tokens.
fn set_exhausted(node: &Node, request: &Grant) {
    let account = node.names.account(&request.account);
    let deadline = node.clock.now() + EXHAUSTED_BACKOFF;
    lock(&node.quota.wallet).set_exhausted(account, deadline);
    node.quota.grant_arrived.notify_waiters();
}

/// Handles a lender's answer. Tokens requested before a pause of this process
/// are dropped.
pub fn receive(node: &Arc<Node>, grant: &Grant) {
    check_pause(node);
    if grant.lenders_tried <= 1 {
        let account = node.names.account(&grant.account);
        lock(&node.quota.wallet).record_first_answer(account);
    }
    let requested_at = Moment::from_micros(grant.requested_us);
    if grant.tokens > 0 {
        if is_current(node, requested_at) {
            store_grant(node, grant);
        }
        return;
    }
    let now = node.clock.now();
    if node.settings.sidecar.is_some() {
        handle_refusal(node, grant);
        return;
    }
    if now.since(requested_at) > REQUEST_TIMEOUT {
        return;
    }
    let retry = Grant {
        requested_us: now.as_micros(),
        ..grant.clone()
    };
    send_request(node, retry);
}

fn store_grant(node: &Node, grant: &Grant) {
    let account = node.names.account(&grant.account);
    let requested_at = Moment::from_micros(grant.requested_us);
    let validity = Duration::from_micros(grant.validity_us);
    lock(&node.quota.wallet).receive(account, grant.tokens, requested_at, validity);
    node.quota.grant_arrived.notify_waiters();
}

fn bound_of(node: &Node, account: &str) -> Option<Bound> {
    let lookup = node.lookup();
    lookup.config.accounts.get(account).map(bound)
}

/// Grants tokens for a request from the shares held by this daemon. The answer
/// has no tokens if the shares are exhausted or no slot is held.
pub fn lend(node: &Arc<Node>, request: Grant) -> Grant {
    check_pause(node);
    let account = node.names.account(&request.account);
    let now = node.clock.now();
    let mut granted = 0;
    let mut lenders = lock(&node.quota.lenders);
    for lender in lenders.values_mut() {
        granted += lender.lend(account, request.requested - granted, now);
        let extra = lender.report_allowance(account);
        node.metrics.start_allowance.inc_by(extra);
    }
    Grant {
        tokens: granted,
        is_lender: !lenders.is_empty(),
        ..request
    }
}

/// Acquires and renews lender slots, and drops expired ones, until the task is
/// dropped.
pub(super) async fn run(node: Arc<Node>) {
    let client = node.store_client();
    let length = node.current_settings().timing.lease.get();
    let mut observed = leased::Observations::default();
    let mut renewed = node.clock.now();
    let mut entitlement = ranked::Entitlement::default();
    loop {
        check_pause(&node);
        *lock(&node.quota.last_poll) = node.clock.now();
        update_shares(&node);
        let now = node.clock.now();
        lock(&node.quota.wallet).evict_idle(now);
        let is_due = now.since(renewed) >= length / leased::RENEWALS_PER_LEASE;
        let is_holding = !lock(&node.quota.lenders).is_empty();
        if node.settings.sidecar.is_some() {
            entitlement.update(&node);
        } else if !node.lifecycle.is_leaving() && (is_poller(&node) || is_holding && is_due) {
            if is_due {
                renewed = now;
            }
            // On failure the leases are unchanged and expire in time.
            let _ = leased::poll(&node, &client, &mut observed, is_due).await;
        }
        drop_expired(&node);
        let pause = if node.settings.sidecar.is_some() {
            ranked::poll_interval(&node)
        } else {
            leased::POLL_INTERVAL.min(length / leased::RENEWALS_PER_LEASE)
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = node.quota.wake.notified() => {}
        }
    }
}

/// Drops slots whose lease has expired.
fn drop_expired(node: &Arc<Node>) {
    let now = node.clock.now();
    let expired = {
        let mut lenders = lock(&node.quota.lenders);
        let expired = |lender: &Lender| !lender.has_lease(now);
        let numbers = lenders
            .iter()
            .filter(|(_, lender)| expired(lender))
            .map(|(number, _)| *number)
            .collect::<Vec<_>>();
        lenders.retain(|_, lender| !expired(lender));
        numbers
    };
    if !expired.is_empty() {
        node.log_event(Event::ShareExpired, format_args!("slots={expired:?}"));
        publish(node);
    }
}

/// Updates the shares held here to the current configuration.
fn update_shares(node: &Node) {
    if node.settings.sidecar.is_some() {
        ranked::update_shares(node);
    } else {
        leased::update_shares(node);
    }
}

/// Lender that receives the request next, by its turn; `None` if no further one
/// is known.
fn select_lender(node: &Node, request: &Grant) -> Option<Peer> {
    if node.settings.sidecar.is_some() {
        ranked::select_lender(node, &request.account, request.lenders_tried)
    } else {
        leased::select_lender(node, request)
    }
}
