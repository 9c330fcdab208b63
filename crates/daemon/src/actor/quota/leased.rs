//! Lender slots leased from rows of the platform's table service.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Event, Failure};
use cardamomshed_platform::{Client, Condition, Row};
use cardamomshed_policy::Moment;
use cardamomshed_policy::member::State;
use cardamomshed_policy::quota::{Lease, RAISE_AFTER, holders};
use cardamomshed_wire::Grant;
use serde::{Deserialize, Serialize};

use super::bound::bound;
use crate::members::publish;
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Table of the leases.
const TABLE: &str = "lenders";
/// Rows that are read at once.
const MAX_ROWS: usize = 4_096;
/// Renewals in the length of one lease.
pub(super) const RENEWALS: u32 = 8;
/// Time between two looks at free slots.
pub(super) const LOOK_EVERY: Duration = Duration::from_secs(2);

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
pub(super) struct Seen {
    version: u64,
    since: Moment,
}

/// Renews what this daemon holds and takes over what is free.
pub(super) async fn look(
    node: &Arc<Node>,
    client: &Client,
    seen: &mut HashMap<String, Seen>,
    renew: bool,
) -> Result<(), Failure> {
    let rows = client.list(TABLE, "", MAX_ROWS).await?;
    let length = node.current().timing.lease.get();
    for number in 0..node.lookup().config.limits.lender_slots {
        let key = format!("{}-{number}", node.settings.domain);
        let row = rows.iter().find(|row| row.key == key);
        let holder = row.and_then(|row| serde_json::from_value::<Holder>(row.value.clone()).ok());
        let own = holder
            .as_ref()
            .is_some_and(|holder| holder.boot == node.boot && holder.node == node.name);
        let held = lock(&node.quota.lenders).contains_key(&number);
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
    now.since(entry.since) >= Lease::takeover_after(length)
}

/// Whether this daemon should hold a further slot: others of its failure
/// domain come first where there are any that hold none.
fn spare(node: &Node) -> bool {
    let held = lock(&node.quota.lenders).len();
    let fleet = lock(&node.members.fleet);
    let domain = &fleet.own().profile.domain;
    let idle = fleet
        .members()
        .filter(|record| record.state == State::Alive && record.profile.domain == *domain)
        .filter(|record| record.profile.lender_slots.is_empty())
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
    let expect = row.map_or(Condition::Absent, |row| Condition::Version(row.version));
    let next = Holder {
        node: Arc::clone(&node.name),
        boot: node.boot,
        term: holder.map_or(0, |holder| holder.term) + 1,
    };
    let asked = node.clock.now();
    client.put(TABLE, key, expect, &next).await?;
    let lease = Lease::granted(asked, node.current().timing.lease.get());
    let new = {
        let mut lenders = lock(&node.quota.lenders);
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
        publish(node);
    }
    Ok(())
}

/// Brings the shares held here in line with the configuration in force.
pub(super) fn set_shares(node: &Node) {
    let lookup = node.lookup();
    let domains = domains(node);
    let per_domain = lookup.config.limits.lender_slots;
    let now = node.clock.now();
    let mut lenders = lock(&node.quota.lenders);
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

/// The lender whose turn it is for an ask: the own failure domain first, then
/// the region.
pub(super) fn lender(node: &Node, ask: &Grant) -> Option<Peer> {
    let lookup = node.lookup();
    let bound = lookup.config.accounts.get(&ask.account).map(bound)?;
    let per_domain = lookup.config.limits.lender_slots;
    let (mut slots, _) = holders(&ask.account, bound, &domains(node), per_domain);
    // Within a failure domain the load is spread by the time of the ask.
    let turn = (ask.requested_us >> 10) as usize % slots.len().max(1);
    slots.rotate_left(turn);
    let mut lenders = node.quota.directory.lenders(&slots);
    let settings = &node.settings;
    lenders.sort_by_key(|lender| {
        u8::from(*lender.domain != *settings.domain) + u8::from(*lender.region != *settings.region)
    });
    lenders.dedup_by(|next, kept| next.peer.node == kept.peer.node);
    let place = usize::from(ask.lenders_tried);
    lenders.get(place).map(|lender| lender.peer.clone())
}

fn domains(node: &Node) -> Vec<Arc<str>> {
    let domains = node.settings.domains.iter();
    domains.map(cardamomshed_note::Name::to_arc).collect()
}

/// Gives every slot back, so that another daemon need not wait out the lease.
pub async fn give_back(node: &Arc<Node>) {
    let numbers = {
        let mut lenders = lock(&node.quota.lenders);
        let numbers = lenders.keys().copied().collect::<Vec<_>>();
        lenders.clear();
        numbers
    };
    if numbers.is_empty() {
        return;
    }
    publish(node);
    let client = node.store();
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
        .put(TABLE, key, Condition::Version(row.version), &free)
        .await
        .map(|_| ())
}
