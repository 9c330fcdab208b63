//! Quota: leases on lender slots, and prepaid tokens for this ingress.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Event, Failure};
use cardamomshed_note::Account;
use cardamomshed_platform::{Client, Expect, Row};
use cardamomshed_policy::member::State;
use cardamomshed_policy::quota::{Bound, Lease, Lender, RAISE_AFTER, Spend, holders, validity};
use cardamomshed_policy::{AccountKey, Moment};
use cardamomshed_wire::{Frame, Grant};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout_at};

mod ranked;

use super::follower;
use crate::http::announce;
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Table of the leases.
const TABLE: &str = "lenders";
/// Rows that are read at once.
const MAX_ROWS: usize = 4_096;
/// Renewals in the length of one lease.
const RENEWALS: u32 = 8;
/// Time between two looks at free slots.
const LOOK_EVERY: Duration = Duration::from_secs(2);
/// Longest time that a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// The same where no lender is known, as after a start of the whole fleet.
const MAX_LENDER_WAIT: Duration = Duration::from_millis(600);
/// Time between two looks of a request that waits for a token.
const ASK_AGAIN: Duration = Duration::from_millis(40);
/// Time after which an ask is taken for lost.
const PATIENCE: Duration = Duration::from_millis(120);
/// Time for which no lender is asked after all were without tokens.
const DRY: Duration = Duration::from_millis(40);

/// Row of one lender slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Holder {
    /// Daemon and number of its process; empty when given back.
    node: Arc<str>,
    boot: u64,
    /// Raised with each renewal.
    term: u64,
}

/// A row as this daemon first saw it, on its own clock.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    since: Moment,
}

/// Takes one token for a request, waiting briefly for a lender's answer.
pub async fn take(node: &Arc<Node>, name: &Arc<str>, account: AccountKey) -> bool {
    let now = node.clock.now();
    let arrived_at = Instant::now();
    lock(&node.wallet).count(account, now);
    loop {
        let arrived = node.tokens_arrived.notified();
        let spend = lock(&node.wallet).spend(account, node.clock.now());
        ask(node, name, account, spend == Spend::Wait);
        match spend {
            Spend::Paid => return true,
            Spend::Dry => return false,
            Spend::Wait => {}
        }
        let longest = if ranked::has_lender(node) {
            MAX_WAIT
        } else {
            MAX_LENDER_WAIT
        };
        let until = arrived_at + longest;
        let look = until.min(Instant::now() + ASK_AGAIN);
        if timeout_at(look, arrived).await.is_err() && Instant::now() >= until {
            return false;
        }
    }
}

/// Asks a lender for tokens if the wallet is low.
fn ask(node: &Arc<Node>, name: &Arc<str>, account: AccountKey, waiting: bool) {
    let now = node.clock.now();
    let wanted = lock(&node.wallet).ask(account, waiting, PATIENCE, now);
    if wanted > 0 {
        let Some(bound) = bound_of(node, name) else {
            return;
        };
        let ask = Grant {
            account: Arc::clone(name),
            wanted,
            tokens: 0,
            asked_us: now.as_micros(),
            validity_us: validity(bound).as_micros() as u64,
            turn: match node.settings.sidecar {
                Some(_) => lock(&node.wallet).silent_lenders(account, now),
                None => 0,
            },
        };
        send_ask(node, ask);
    }
}

/// Sends an ask to the lender whose turn it is, or gives up for a while.
fn send_ask(node: &Arc<Node>, mut ask: Grant) {
    loop {
        let lender = lender_for(node, &ask);
        ask.turn += 1;
        match lender {
            None if node.settings.sidecar.is_some() => {
                let account = node.names.account(&ask.account);
                lock(&node.wallet).withdraw_ask(account);
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
                    set_dry(node, &ask);
                    return;
                }
            }
            Some(peer) => {
                node.links.send(node, &peer, Frame::AskTokens(ask));
                return;
            }
        }
    }
}

/// Notes that no lender has a token for this account.
fn set_dry(node: &Node, ask: &Grant) {
    let account = node.names.account(&ask.account);
    let until = node.clock.now() + DRY;
    lock(&node.wallet).set_dry(account, until);
    node.tokens_arrived.notify_waiters();
}

/// Takes in a lender's answer.
pub fn receive(node: &Arc<Node>, grant: &Grant) {
    if grant.turn <= 1 {
        let account = node.names.account(&grant.account);
        lock(&node.wallet).heard_first(account);
    }
    if grant.tokens > 0 {
        take_in(node, grant);
        return;
    }
    let now = node.clock.now();
    let asked = Moment::from_micros(grant.asked_us);
    if node.settings.sidecar.is_some() {
        // The first lender has the account whole.
        set_dry(node, grant);
        return;
    }
    if now.since(asked) > PATIENCE {
        return;
    }
    let again = Grant {
        asked_us: now.as_micros(),
        ..grant.clone()
    };
    send_ask(node, again);
}

fn take_in(node: &Node, grant: &Grant) {
    let account = node.names.account(&grant.account);
    let asked = Moment::from_micros(grant.asked_us);
    let validity = Duration::from_micros(grant.validity_us);
    lock(&node.wallet).receive(account, grant.tokens, asked, validity);
    node.tokens_arrived.notify_waiters();
}

fn bound_of(node: &Node, account: &str) -> Option<Bound> {
    let lookup = node.lookup();
    lookup.config.accounts.get(account).map(bound)
}

fn bound(account: &Account) -> Bound {
    Bound {
        rate: account.rate.get(),
        burst: f64::from(account.burst),
    }
}

/// The lender whose turn it is for an ask: the own failure domain first, then
/// the region.
fn lender_for(node: &Node, ask: &Grant) -> Option<Peer> {
    if node.settings.sidecar.is_some() {
        return ranked::lender(node, &ask.account, ask.turn);
    }
    let lookup = node.lookup();
    let bound = lookup.config.accounts.get(&ask.account).map(bound)?;
    let per_domain = lookup.config.limits.lender_slots;
    let (mut slots, _) = holders(&ask.account, bound, &domains(node), per_domain);
    // Within a failure domain the load is spread by the time of the ask.
    let turn = (ask.asked_us >> 10) as usize % slots.len().max(1);
    slots.rotate_left(turn);
    let mut lenders = node.directory.lenders(&slots);
    let settings = &node.settings;
    lenders.sort_by_key(|lender| {
        u8::from(*lender.domain != *settings.domain) + u8::from(*lender.region != *settings.region)
    });
    lenders.dedup_by(|next, kept| next.peer.node == kept.peer.node);
    let place = usize::from(ask.turn);
    lenders.get(place).map(|lender| lender.peer.clone())
}

fn domains(node: &Node) -> Vec<Arc<str>> {
    let domains = node.settings.domains.iter();
    domains.map(cardamomshed_note::Name::to_text).collect()
}

/// Answers another daemon's ask from the shares held here.
pub fn lend(node: &Node, ask: Grant) -> Grant {
    let account = node.names.account(&ask.account);
    let now = node.clock.now();
    let mut given = 0;
    for lender in lock(&node.lenders).values_mut() {
        given += lender.lend(account, ask.wanted - given, now);
    }
    Grant {
        tokens: given,
        ..ask
    }
}

/// Keeps leases until the task is dropped.
pub(super) async fn run(node: Arc<Node>) {
    let client = Client::new(&node.settings.platform, node.settings.timing.platform.get());
    let length = node.settings.timing.lease.get();
    let mut seen = HashMap::new();
    let mut renewed = node.clock.now();
    let mut held_by_rank = ranked::Holding::default();
    loop {
        set_shares(&node);
        let now = node.clock.now();
        lock(&node.wallet).forget_idle(now);
        let due = now.since(renewed) >= length / RENEWALS;
        let holding = !lock(&node.lenders).is_empty();
        if node.settings.sidecar.is_some() {
            held_by_rank.update(&node);
        } else if !node.is_leaving() && (follower::is_poller(&node) || holding && due) {
            if due {
                renewed = now;
            }
            // A failure leaves the leases as they are; they lapse by themselves.
            let _ = look(&node, &client, &mut seen, due).await;
        }
        drop_lapsed(&node);
        let pause = if node.settings.sidecar.is_some() {
            ranked::look_every(&node)
        } else {
            LOOK_EVERY.min(length / RENEWALS)
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = node.quota_wake.notified() => {}
        }
    }
}

/// Renews what this daemon holds and takes over what is free.
async fn look(
    node: &Arc<Node>,
    client: &Client,
    seen: &mut HashMap<String, Seen>,
    renew: bool,
) -> Result<(), Failure> {
    let rows = client.list(TABLE, "", MAX_ROWS).await?;
    let length = node.settings.timing.lease.get();
    for number in 0..node.lookup().config.limits.lender_slots {
        let key = format!("{}-{number}", node.settings.domain);
        let row = rows.iter().find(|row| row.key == key);
        let holder = row.and_then(|row| serde_json::from_value::<Holder>(row.value.clone()).ok());
        let own = holder
            .as_ref()
            .is_some_and(|holder| holder.boot == node.boot && holder.node == node.name);
        let held = lock(&node.lenders).contains_key(&number);
        let wanted = if own {
            renew || !held
        } else {
            may_take_over(node, row, holder.as_ref(), seen, length)
        };
        if wanted && (own || spare(node)) {
            acquire(node, client, number, &key, row, holder).await?;
        }
    }
    Ok(())
}

/// Whether a slot is free, given back, or left by a holder whose lease this
/// daemon has waited out on its own clock.
fn may_take_over(
    node: &Node,
    row: Option<&Row>,
    holder: Option<&Holder>,
    seen: &mut HashMap<String, Seen>,
    length: Duration,
) -> bool {
    let (Some(row), Some(holder)) = (row, holder) else {
        return row.is_none();
    };
    if holder.node.is_empty() {
        return true;
    }
    let now = node.clock.now();
    let entry = seen.entry(row.key.clone()).or_insert(Seen {
        version: row.version,
        since: now,
    });
    if entry.version != row.version {
        *entry = Seen {
            version: row.version,
            since: now,
        };
    }
    now.since(entry.since) >= Lease::wait_out(length)
}

/// Whether this daemon should hold a further slot: others of its failure
/// domain come first where there are any that hold none.
fn spare(node: &Node) -> bool {
    let held = lock(&node.lenders).len();
    let fleet = lock(&node.fleet);
    let domain = &fleet.own().profile.domain;
    let idle = fleet
        .members()
        .filter(|record| record.state == State::Alive && record.profile.domain == *domain)
        .filter(|record| record.profile.lends.is_empty())
        .count();
    held == 0 || idle == 0
}

async fn acquire(
    node: &Arc<Node>,
    client: &Client,
    number: u16,
    key: &str,
    row: Option<&Row>,
    holder: Option<Holder>,
) -> Result<(), Failure> {
    let expect = row.map_or(Expect::Absent, |row| Expect::Version(row.version));
    let next = Holder {
        node: Arc::clone(&node.name),
        boot: node.boot,
        term: holder.map_or(0, |holder| holder.term) + 1,
    };
    let asked = node.clock.now();
    client.put(TABLE, key, expect, &next).await?;
    let lease = Lease::granted(asked, node.settings.timing.lease.get());
    let new = {
        let mut lenders = lock(&node.lenders);
        let new = !lenders.contains_key(&number);
        lenders.entry(number).or_default().set_lease(lease);
        new
    };
    if new {
        node.note_event(
            Event::ShareLeased,
            format_args!("slot={key} term={}", next.term),
        );
        set_shares(node);
        announce::publish(node);
    }
    Ok(())
}

/// Brings the shares held here in line with the configuration in force.
fn set_shares(node: &Node) {
    if node.settings.sidecar.is_some() {
        ranked::set_shares(node);
        return;
    }
    let lookup = node.lookup();
    let domains = domains(node);
    let per_domain = lookup.config.limits.lender_slots;
    let now = node.clock.now();
    let mut lenders = lock(&node.lenders);
    if lenders.is_empty() {
        return;
    }
    let mut kept = HashSet::new();
    for (name, account) in &lookup.config.accounts {
        let (slots, share) = holders(name, bound(account), &domains, per_domain);
        let own = slots
            .iter()
            .filter(|slot| *slot.domain == *node.settings.domain);
        for slot in own {
            let key = node.names.account(name);
            if let Some(lender) = lenders.get_mut(&slot.number) {
                lender.set_share(key, share, RAISE_AFTER, now);
                kept.insert((slot.number, key));
            }
        }
    }
    for (number, lender) in lenders.iter_mut() {
        lender.retain(|account| kept.contains(&(*number, account)));
    }
}

/// Gives up slots whose lease has lapsed.
fn drop_lapsed(node: &Arc<Node>) {
    let now = node.clock.now();
    let lapsed = {
        let mut lenders = lock(&node.lenders);
        let lapsed = |lender: &Lender| !lender.holds(now);
        let numbers = lenders
            .iter()
            .filter(|(_, lender)| lapsed(lender))
            .map(|(number, _)| *number)
            .collect::<Vec<_>>();
        lenders.retain(|_, lender| !lapsed(lender));
        numbers
    };
    if !lapsed.is_empty() {
        node.note_event(Event::ShareLapsed, format_args!("slots={lapsed:?}"));
        announce::publish(node);
    }
}

/// Gives every slot back, so that another daemon need not wait out the lease.
pub async fn give_back(node: &Arc<Node>) {
    let numbers = {
        let mut lenders = lock(&node.lenders);
        let numbers = lenders.keys().copied().collect::<Vec<_>>();
        lenders.clear();
        numbers
    };
    if numbers.is_empty() {
        return;
    }
    announce::publish(node);
    let client = Client::new(&node.settings.platform, node.settings.timing.platform.get());
    for number in numbers {
        let key = format!("{}-{number}", node.settings.domain);
        // On failure the next holder waits out the lease.
        if release(node, &client, &key).await.is_ok() {
            node.note_event(Event::ShareReturned, format_args!("slot={key}"));
        }
    }
}

async fn release(node: &Node, client: &Client, key: &str) -> Result<(), Failure> {
    let Some(row) = client.get(TABLE, key).await? else {
        return Ok(());
    };
    let Ok(holder) = serde_json::from_value::<Holder>(row.value) else {
        return Ok(());
    };
    if holder.boot != node.boot {
        return Ok(());
    }
    let free = Holder {
        node: "".into(),
        boot: 0,
        term: holder.term + 1,
    };
    client
        .put(TABLE, key, Expect::Version(row.version), &free)
        .await
        .map(|_| ())
}
