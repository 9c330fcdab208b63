//! Lender slots leased through rows of the platform's table service.

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

/// Table of the leases, with one row per slot.
const TABLE: &str = "lenders";
/// Largest number of rows in one read.
const MAX_ROWS: usize = 4_096;
/// Renewals within the length of one lease.
pub(super) const RENEWALS_PER_LEASE: u32 = 8;
/// Interval between two checks for free slots.
pub(super) const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Row of one lender slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Holder {
    /// Name of the daemon; empty if the slot was released.
    node: Arc<str>,
    /// Random number of the daemon's process; 0 if the slot was released.
    boot: u64,
    /// Incremented by each acquisition, renewal and release.
    term: u64,
}

/// Version of a row and the time at which this daemon first observed it, on its
/// own clock.
#[derive(Clone, Copy, Debug)]
struct Observation {
    version: u64,
    since: Moment,
}

/// What this daemon observed of the rows, on its own clock.
#[derive(Debug, Default)]
pub(super) struct Observations {
    rows: HashMap<String, Observation>,
    /// Era of the store in which `rows` were observed.
    era: Option<u64>,
    /// When a rise of the era was observed last.
    returned_at: Option<Moment>,
}

impl Observations {
    /// Forgets all versions if the store has returned from a copy, since it gives
    /// them out again.
    fn enter_era(&mut self, era: Option<u64>, now: Moment) {
        if self.era != era {
            self.returned_at = self.era.and(Some(now));
            self.rows.clear();
            self.era = era;
        }
    }

    /// Whether the store returned from a copy less than `length` ago. It may then
    /// lack the row of a lease that is still valid.
    fn returned_within(&self, length: Duration, now: Moment) -> bool {
        self.returned_at
            .is_some_and(|returned| now.since(returned) < length)
    }
}

/// Acquires free slots and, if `renew` is set, renews those held.
///
/// # Errors
///
/// Failures of the store, and [`cardamomshed_code::Code::PlatformConflict`] if
/// another daemon has changed a row first.
pub(super) async fn poll(
    node: &Arc<Node>,
    client: &Client,
    observed: &mut Observations,
    renew: bool,
) -> Result<(), Failure> {
    let rows = client.list(TABLE, "", MAX_ROWS).await?;
    let length = node.current_settings().timing.lease.get();
    observed.enter_era(node.store_era.current(), node.clock.now());
    for number in 0..node.lookup().config.limits.lender_slots {
        let key = format!("{}-{number}", node.settings.domain);
        let row = rows.iter().find(|row| row.key == key);
        let holder = row.and_then(|row| serde_json::from_value::<Holder>(row.value.clone()).ok());
        let is_own = holder
            .as_ref()
            .is_some_and(|holder| holder.boot == node.boot && holder.node == node.name);
        let is_held = lock(&node.quota.lenders).contains_key(&number);
        let wanted = if is_own {
            renew || !is_held
        } else {
            may_take_over(node, row, holder.as_ref(), observed, length)
        };
        if wanted && (is_own || may_acquire(node)) {
            acquire(node, client, number, &key, row, holder).await?;
        }
    }
    Ok(())
}

/// Whether a slot is free, was released, or has a lease that has expired on this
/// daemon's own clock since its last renewal was observed.
fn may_take_over(
    node: &Node,
    row: Option<&Row>,
    holder: Option<&Holder>,
    observed: &mut Observations,
    length: Duration,
) -> bool {
    let now = node.clock.now();
    if observed.returned_within(Lease::takeover_after(length), now) {
        return false;
    }
    let (Some(row), Some(holder)) = (row, holder) else {
        return row.is_none();
    };
    if holder.node.is_empty() {
        return true;
    }
    let entry = observed.rows.entry(row.key.clone()).or_insert(Observation {
        version: row.version,
        since: now,
    });
    if entry.version != row.version {
        *entry = Observation {
            version: row.version,
            since: now,
        };
    }
    now.since(entry.since) >= Lease::takeover_after(length)
}

/// Whether this daemon may acquire a further slot. Members of its failure domain
/// that hold no slot take precedence over one that does.
fn may_acquire(node: &Node) -> bool {
    let own_slots = lock(&node.quota.lenders).len();
    let fleet = lock(&node.members.fleet);
    let domain = &fleet.own().profile.domain;
    let idle = fleet
        .members()
        .filter(|record| record.state == State::Alive && record.profile.domain == *domain)
        .filter(|record| record.profile.lender_slots.is_empty())
        .count();
    own_slots == 0 || idle == 0
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
    let requested = node.clock.now();
    client.put(TABLE, key, expect, &next).await?;
    let lease = Lease::granted(requested, node.current_settings().timing.lease.get());
    let new = {
        let mut lenders = lock(&node.quota.lenders);
        let new = !lenders.contains_key(&number);
        lenders.entry(number).or_default().set_lease(lease);
        new
    };
    if new {
        node.log_event(
            Event::ShareLeased,
            format_args!("slot={key} term={}", next.term),
        );
        update_shares(node);
        publish(node);
    }
    Ok(())
}

/// Updates the shares held here to the current configuration.
pub(super) fn update_shares(node: &Node) {
    let lookup = node.lookup();
    let domains = domains(node);
    let per_domain = lookup.config.limits.lender_slots;
    let now = node.clock.now();
    let mut lenders = lock(&node.quota.lenders);
    if lenders.is_empty() {
        return;
    }
    let mut current = HashSet::new();
    for (name, account) in &lookup.config.accounts {
        let (slots, share) = holders(name, bound(account), &domains, per_domain);
        let own = slots
            .iter()
            .filter(|slot| *slot.domain == *node.settings.domain);
        for slot in own {
            let key = node.names.account(name);
            if let Some(lender) = lenders.get_mut(&slot.number) {
                lender.set_share(key, share, RAISE_AFTER, now);
                current.insert((slot.number, key));
            }
        }
    }
    for (number, lender) in lenders.iter_mut() {
        lender.retain(|account| current.contains(&(*number, account)));
    }
}

/// The lender at the request's turn, with lenders of the local failure domain
/// first, those of the region next and all others last.
pub(super) fn select_lender(node: &Node, request: &Grant) -> Option<Peer> {
    let lookup = node.lookup();
    let bound = lookup.config.accounts.get(&request.account).map(bound)?;
    let per_domain = lookup.config.limits.lender_slots;
    let (mut slots, _) = holders(&request.account, bound, &domains(node), per_domain);
    // The time of the request spreads the load within a failure domain.
    let turn = (request.requested_us >> 10) as usize % slots.len().max(1);
    slots.rotate_left(turn);
    let mut lenders = node.quota.directory.holders(&slots);
    let settings = &node.settings;
    lenders.sort_by_key(|lender| {
        u8::from(*lender.domain != *settings.domain) + u8::from(*lender.region != *settings.region)
    });
    lenders.dedup_by(|next, previous| next.peer.node == previous.peer.node);
    let place = usize::from(request.lenders_tried);
    lenders.get(place).map(|lender| lender.peer.clone())
}

fn domains(node: &Node) -> Vec<Arc<str>> {
    let domains = node.settings.domains.iter();
    domains.map(cardamomshed_note::Name::to_arc).collect()
}

/// Releases every slot, so that another daemon need not wait until the leases
/// expire.
pub async fn release_all(node: &Arc<Node>) {
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
    let client = node.store_client();
    for number in numbers {
        let key = format!("{}-{number}", node.settings.domain);
        // On failure the next holder waits until the lease expires.
        if release(node, &client, &key).await.is_ok() {
            node.log_event(Event::ShareReturned, format_args!("slot={key}"));
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
