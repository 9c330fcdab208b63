//! Quota: lender slots held here, and prepaid tokens for this ingress.

use std::collections::HashMap;
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

use crate::members::{is_poller, publish};
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;
use bound::bound;

/// Longest time that a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// The same where no lender is known, as after a start of the whole fleet.
const MAX_LENDER_WAIT: Duration = Duration::from_millis(600);
/// Time between two looks of a request that waits for a token.
const ASK_AGAIN: Duration = Duration::from_millis(40);
/// Time after which an ask is taken for lost: a link to another region opens
/// in four round trips of 40 ms.
const PATIENCE: Duration = Duration::from_millis(220);
/// Time for which no lender is asked after all were without tokens.
const DRY: Duration = Duration::from_millis(40);

/// Time without a look of this actor after which the process was paused, and
/// others may have taken its slots over.
const MAX_GAP: Duration = Duration::from_millis(1_200);

/// Why a request got no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The account's lenders have none left.
    Dry,
    /// No lender answered in time.
    Unanswered,
}

/// Takes one token for a request, waiting briefly for a lender's answer.
///
/// # Errors
///
/// [`Denied`] where the request must not run.
pub async fn take(node: &Arc<Node>, name: &Arc<str>, account: AccountKey) -> Result<(), Denied> {
    check_pause(node);
    let now = node.clock.now();
    let arrived_at = Instant::now();
    lock(&node.quota.wallet).record_use(account, now);
    loop {
        let arrived = node.quota.arrived.notified();
        let spend = lock(&node.quota.wallet).spend(account, node.clock.now());
        ask(node, name, account, spend == Spend::Wait);
        match spend {
            Spend::Spent => return Ok(()),
            Spend::Exhausted => return Err(Denied::Dry),
            Spend::Wait => {}
        }
        let turned_away = lock(&node.quota.wallet).is_refused(account);
        let longest = if ranked::has_lender(node) && !turned_away {
            MAX_WAIT
        } else {
            MAX_LENDER_WAIT
        };
        let until = arrived_at + longest;
        let look = until.min(Instant::now() + ASK_AGAIN);
        if timeout_at(look, arrived).await.is_err() && Instant::now() >= until {
            return Err(Denied::Unanswered);
        }
    }
}

/// Gives slots and tokens up where this process, or its VM, was paused: the
/// members took it for suspect, and another lends in its place.
fn check_pause(node: &Arc<Node>) {
    if node.settings.sidecar.is_none() {
        return;
    }
    let now = node.configuration.lease_now();
    let gap = {
        let mut looked = lock(&node.quota.looked);
        let gap = now.since(*looked);
        if gap <= MAX_GAP {
            return;
        }
        *looked = now;
        gap
    };
    *lock(&node.quota.resumed) = Some(node.clock.now());
    lock(&node.quota.wallet).clear_grants();
    let slots = std::mem::take(&mut *lock(&node.quota.lenders));
    let slots = slots.into_keys().collect::<Vec<_>>();
    node.note_event(
        Event::ShareExpired,
        format_args!("slots={slots:?} paused_ms={}", gap.as_millis()),
    );
    publish(node);
}

/// Whether tokens that were asked for then may still be valid: not where this
/// process was paused since.
fn is_current(node: &Node, asked: Moment) -> bool {
    lock(&node.quota.resumed).is_none_or(|resumed| asked >= resumed)
}

/// Asks a lender for tokens if the wallet is low.
fn ask(node: &Arc<Node>, name: &Arc<str>, account: AccountKey, waiting: bool) {
    let now = node.clock.now();
    let wanted = lock(&node.quota.wallet).request(account, waiting, PATIENCE, now);
    if wanted > 0 {
        let Some(bound) = bound_of(node, name) else {
            return;
        };
        let ask = Grant {
            account: Arc::clone(name),
            requested: wanted,
            tokens: 0,
            requested_us: now.as_micros(),
            validity_us: validity(bound).as_micros() as u64,
            lenders_tried: match node.settings.sidecar {
                Some(_) => lock(&node.quota.wallet).unresponsive_lenders(account, now),
                None => 0,
            },
            is_lender: false,
        };
        send_ask(node, ask);
    }
}

/// Sends an ask to the lender whose turn it is, or gives up for a while.
fn send_ask(node: &Arc<Node>, mut ask: Grant) {
    loop {
        let lender = lender_for(node, &ask);
        ask.lenders_tried += 1;
        match lender {
            None if node.settings.sidecar.is_some() => {
                let account = node.names.account(&ask.account);
                lock(&node.quota.wallet).cancel_request(account);
                return;
            }
            None => {
                set_dry(node, &ask);
                return;
            }
            Some(peer) if peer.node == node.name => {
                let given = lend(node, ask.clone());
                if given.tokens > 0 {
                    take_in(node, &given);
                    return;
                }
                if node.settings.sidecar.is_some() {
                    take_refusal(node, &given);
                    return;
                }
            }
            Some(peer) => {
                node.links.send(&peer, Frame::RequestTokens(ask));
                return;
            }
        }
    }
}

/// Takes in an answer without tokens. Only the first lender, which has an
/// account whole, says by it that the account is over its rate; one that
/// stands in for it has hardly any tokens, and a daemon that lends no more
/// knows nothing.
fn take_refusal(node: &Node, grant: &Grant) {
    let account = node.names.account(&grant.account);
    if !grant.is_lender {
        lock(&node.quota.wallet).record_refusal(account);
    } else if grant.lenders_tried <= 1 {
        set_dry(node, grant);
    } else {
        lock(&node.quota.wallet).cancel_request(account);
    }
}

/// Notes that no lender has a token for this account.
fn set_dry(node: &Node, ask: &Grant) {
    let account = node.names.account(&ask.account);
    let until = node.clock.now() + DRY;
    lock(&node.quota.wallet).set_exhausted(account, until);
    node.quota.arrived.notify_waiters();
}

/// Takes in a lender's answer.
pub fn receive(node: &Arc<Node>, grant: &Grant) {
    check_pause(node);
    if grant.lenders_tried <= 1 {
        let account = node.names.account(&grant.account);
        lock(&node.quota.wallet).record_first_answer(account);
    }
    let asked = Moment::from_micros(grant.requested_us);
    if grant.tokens > 0 {
        if is_current(node, asked) {
            take_in(node, grant);
        }
        return;
    }
    let now = node.clock.now();
    if node.settings.sidecar.is_some() {
        take_refusal(node, grant);
        return;
    }
    if now.since(asked) > PATIENCE {
        return;
    }
    let again = Grant {
        requested_us: now.as_micros(),
        ..grant.clone()
    };
    send_ask(node, again);
}

fn take_in(node: &Node, grant: &Grant) {
    let account = node.names.account(&grant.account);
    let asked = Moment::from_micros(grant.requested_us);
    let validity = Duration::from_micros(grant.validity_us);
    lock(&node.quota.wallet).receive(account, grant.tokens, asked, validity);
    node.quota.arrived.notify_waiters();
}

fn bound_of(node: &Node, account: &str) -> Option<Bound> {
    let lookup = node.lookup();
    lookup.config.accounts.get(account).map(bound)
}

/// Answers another daemon's ask from the shares held here.
pub fn lend(node: &Arc<Node>, ask: Grant) -> Grant {
    check_pause(node);
    let account = node.names.account(&ask.account);
    let now = node.clock.now();
    let mut given = 0;
    let mut lenders = lock(&node.quota.lenders);
    for lender in lenders.values_mut() {
        given += lender.lend(account, ask.requested - given, now);
    }
    Grant {
        tokens: given,
        is_lender: !lenders.is_empty(),
        ..ask
    }
}

/// Holds lender slots until the task is dropped.
pub(super) async fn run(node: Arc<Node>) {
    let client = node.store();
    let length = node.current().timing.lease.get();
    let mut seen = HashMap::new();
    let mut renewed = node.clock.now();
    let mut held_by_rank = ranked::Holding::default();
    loop {
        check_pause(&node);
        *lock(&node.quota.looked) = node.configuration.lease_now();
        set_shares(&node);
        let now = node.clock.now();
        lock(&node.quota.wallet).evict_idle(now);
        let due = now.since(renewed) >= length / leased::RENEWALS;
        let holding = !lock(&node.quota.lenders).is_empty();
        if node.settings.sidecar.is_some() {
            held_by_rank.update(&node);
        } else if !node.life.is_leaving() && (is_poller(&node) || holding && due) {
            if due {
                renewed = now;
            }
            // A failure leaves the leases as they are; they lapse by themselves.
            let _ = leased::look(&node, &client, &mut seen, due).await;
        }
        drop_lapsed(&node);
        let pause = if node.settings.sidecar.is_some() {
            ranked::look_every(&node)
        } else {
            leased::LOOK_EVERY.min(length / leased::RENEWALS)
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = node.quota.wake.notified() => {}
        }
    }
}

/// Gives up slots whose lease has lapsed.
fn drop_lapsed(node: &Arc<Node>) {
    let now = node.clock.now();
    let lapsed = {
        let mut lenders = lock(&node.quota.lenders);
        let lapsed = |lender: &Lender| !lender.has_lease(now);
        let numbers = lenders
            .iter()
            .filter(|(_, lender)| lapsed(lender))
            .map(|(number, _)| *number)
            .collect::<Vec<_>>();
        lenders.retain(|_, lender| !lapsed(lender));
        numbers
    };
    if !lapsed.is_empty() {
        node.note_event(Event::ShareExpired, format_args!("slots={lapsed:?}"));
        publish(node);
    }
}

/// Brings the shares held here in line with the configuration in force.
fn set_shares(node: &Node) {
    if node.settings.sidecar.is_some() {
        ranked::set_shares(node);
    } else {
        leased::set_shares(node);
    }
}

/// The lender whose turn it is for an ask.
fn lender_for(node: &Node, ask: &Grant) -> Option<Peer> {
    if node.settings.sidecar.is_some() {
        ranked::lender(node, &ask.account, ask.lenders_tried)
    } else {
        leased::lender(node, ask)
    }
}
