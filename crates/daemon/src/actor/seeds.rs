//! Member discovery through rows of the platform's table service.
//!
//! Each failure domain has a few seed rows, which name daemons to turn to, and one
//! with its size, by which daemons that start know how many others there are.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cardamomshed_code::{Code, Event, Failure};
use cardamomshed_platform::{Client, Condition, Row};
use cardamomshed_policy::Moment;
use cardamomshed_policy::member::{Fleet, Record, Size, State};
use rand::Rng;
use tokio::time::{Instant, sleep_until};

use crate::members::{is_poller, receive_sizes, request_members, request_members_at};
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Table of the seed rows.
const TABLE: &str = "seeds";
/// Seed rows of each failure domain.
const ROWS_PER_DOMAIN: usize = 3;
/// Largest number of rows in one read.
const MAX_ROWS: usize = 256;
/// Interval between two reads of the rows once all members are known.
const POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Upper bound of the interval between two requests to contacts that have not
/// answered, once the member list counts as complete. The rows are read again
/// with each.
const CONTACT_INTERVAL: Duration = Duration::from_secs(5);
/// Time after the start in which no row of another daemon is replaced, since its
/// daemon may not be known yet.
const REPLACE_DELAY: Duration = Duration::from_secs(5);
/// The same for a daemon that got no answer from any daemon that has a row.
const ISOLATED_REPLACE_DELAY: Duration = Duration::from_millis(600);
/// Upper bound of the interval between two requests for members while more may be
/// unknown.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Consecutive requests without a new member after which the member list counts as
/// complete.
const UNCHANGED_LIMIT: u32 = 3;
/// Initial interval, doubled after each round.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// Interval at which a poller compares the size of its failure domain with the row.
const GROWTH_INTERVAL: Duration = Duration::from_secs(2);

/// Contents of the table after the last read.
#[derive(Default)]
struct Table {
    /// Other daemons that have a seed row. Each may have ended since, so it becomes a member only
    /// when it answers.
    contacts: Vec<Record>,
    /// Size of the local failure domain; `None` unless this daemon keeps its row.
    size: Option<u32>,
}

/// Discovers other daemons until the task is dropped. Pollers also keep the rows of
/// their failure domain current.
pub(super) async fn discover(node: Arc<Node>) {
    let client = node.store_client();
    let mut delay = INITIAL_DELAY;
    let mut table = Table::default();
    // Consecutive requests without a new live member.
    let mut unchanged = 0;
    let mut last_live = 0;
    let mut round = 0_u32;
    let mut returns = node.store_era.returns();
    loop {
        let is_settled = unchanged >= UNCHANGED_LIMIT;
        // Before the members are known, every daemon takes itself for the poller.
        let is_poller = is_poller(&node);
        let (is_isolated, needs_sizes) = {
            let fleet = lock(&node.members.fleet);
            (is_isolated(&node, &fleet), is_poller && !fleet.is_counted())
        };
        if is_isolated || needs_sizes || (is_poller && is_settled) {
            match poll(&node, &client, is_settled).await {
                Ok(read) => table = read,
                Err(failure) => {
                    node.log_event(Event::PlatformUnreachable, format_args!("seeds: {failure}"));
                }
            }
        }
        let requested = request_from_contacts(&node, &table.contacts, round);
        let live = lock(&node.members.fleet).live();
        if unchanged < UNCHANGED_LIMIT && live > 1 {
            unchanged = if live > last_live { 0 } else { unchanged + 1 };
            last_live = live;
            request_members(&node, round);
        }
        round = round.wrapping_add(1);
        let jitter = 0.75 + rand::rng().random::<f64>() * 0.5;
        tokio::select! {
            () = pause(&node, delay.mul_f64(jitter), table.size) => {}
            () = node.members.rejoin.notified() => unchanged = unchanged.min(UNCHANGED_LIMIT - 1),
            _ = returns.next() => {
                // The copy may lack this failure domain's rows.
                delay = INITIAL_DELAY;
                continue;
            }
        }
        let max_delay = if unchanged < UNCHANGED_LIMIT || needs_sizes {
            REQUEST_INTERVAL
        } else if requested > 0 {
            CONTACT_INTERVAL
        } else {
            POLL_INTERVAL
        };
        delay = (delay * 2).min(max_delay);
    }
}

/// Waits for `length`, or until the local failure domain has more members than its row
/// says, which is `recorded`.
async fn pause(node: &Node, length: Duration, recorded: Option<u32>) {
    let end = Instant::now() + length;
    let Some(recorded) = recorded else {
        return sleep_until(end).await;
    };
    while Instant::now() < end {
        sleep_until(end.min(Instant::now() + GROWTH_INTERVAL)).await;
        if is_poller(node) && lock(&node.members.fleet).local_size() > recorded {
            return;
        }
    }
}

/// Whether no other daemon has answered yet, or none is live.
fn is_isolated(node: &Node, fleet: &Fleet) -> bool {
    let has_exchanged = node.members.exchanged.load(Ordering::Relaxed);
    !has_exchanged || fleet.live() == 1
}

/// Requests members from daemons that the rows name and that are no members yet.
/// Returns the number of requests.
fn request_from_contacts(node: &Node, contacts: &[Record], round: u32) -> usize {
    let chosen = {
        let fleet = lock(&node.members.fleet);
        let is_isolated = is_isolated(node, &fleet);
        fleet.choose_contacts(contacts, is_isolated, round, &mut rand::rng())
    };
    for contact in &chosen {
        request_members_at(node, &peer_of(contact));
    }
    chosen.len()
}

fn peer_of(record: &Record) -> Peer {
    Peer {
        node: Arc::clone(&record.name),
        address: record.profile.peer,
    }
}

/// Reads the rows, and writes a seed row if this daemon should have one. A poller that
/// knows its members, which is what `is_settled` tells, also records the size of its
/// failure domain.
async fn poll(node: &Arc<Node>, client: &Client, is_settled: bool) -> Result<Table, Failure> {
    let rows = client.list(TABLE, "", MAX_ROWS).await?;
    let contacts = rows
        .iter()
        .filter_map(|row| serde_json::from_value::<Record>(row.value.clone()).ok())
        .filter(|record| record.state.is_active() && record.name != node.name)
        .collect();
    let sizes = rows.iter().filter_map(size_of);
    receive_sizes(node, sizes.collect(), "store");
    claim_row(node, client, &rows).await?;
    let size = if is_settled && is_poller(node) {
        Some(record_size(node, client, &rows).await?)
    } else {
        None
    };
    Ok(Table { contacts, size })
}

/// Size in a row, `None` if the row is another one.
fn size_of(row: &Row) -> Option<Size> {
    serde_json::from_value::<Size>(row.value.clone()).ok()
}

/// Writes the number of members of the local failure domain if its row has another one,
/// and returns the number. Failed members are left out, since those of replaced VMs never
/// return, unless this daemon may be cut off from them. The row is not lowered as long as
/// this daemon awaits members that the row counted at its start.
async fn record_size(node: &Node, client: &Client, rows: &[Row]) -> Result<u32, Failure> {
    let (members, may_lower) = {
        let fleet = lock(&node.members.fleet);
        (fleet.local_size(), !fleet.awaits_local_members())
    };
    let domain = node.settings.domain.to_arc();
    let key = format!("{domain}-size");
    let row = rows.iter().find(|row| row.key == key);
    let recorded = row.and_then(size_of).map(|size| size.members);
    let is_kept =
        recorded.is_some_and(|recorded| recorded == members || (recorded > members && !may_lower));
    if is_kept {
        return Ok(members);
    }
    let expect = row.map_or(Condition::Absent, |row| Condition::Version(row.version));
    let written = client
        .put(TABLE, &key, expect, &Size { domain, members })
        .await;
    ignore_conflict(written)?;
    Ok(members)
}

/// Result of a write without its version. A conflict is no failure: another daemon has
/// written the row, which is as good.
fn ignore_conflict(written: Result<u64, Failure>) -> Result<(), Failure> {
    match written {
        Err(failure) if failure.code == Code::PlatformConflict => Ok(()),
        other => other.map(|_| ()),
    }
}

/// Writes this daemon's record to a seed row of its failure domain that is free or
/// whose daemon is no longer live, unless it has a row already. A row of its own
/// with another address is replaced.
async fn claim_row(node: &Arc<Node>, client: &Client, rows: &[Row]) -> Result<(), Failure> {
    let own = lock(&node.members.fleet).own().clone();
    let domain = &own.profile.domain;
    let keys = (0..ROWS_PER_DOMAIN).map(|number| format!("{domain}-{number}"));
    let holders = keys
        .map(|key| {
            let row = rows.iter().find(|row| row.key == key);
            (key, row)
        })
        .collect::<Vec<_>>();
    let name_of = |row: &Row| {
        row.value
            .get("n")
            .and_then(|name| name.as_str())
            .map(str::to_owned)
    };
    let is_own = |row: &Row| name_of(row).as_deref() == Some(&*own.name);
    let held = holders
        .iter()
        .find_map(|(_, row)| row.filter(|row| is_own(row)));
    if held.is_some_and(|row| address_of(row) == Some(own.profile.gossip)) {
        return Ok(());
    }
    let is_isolated = is_isolated(node, &lock(&node.members.fleet));
    let replace_delay = if is_isolated {
        ISOLATED_REPLACE_DELAY
    } else {
        REPLACE_DELAY
    };
    let may_replace = node.clock.now().since(Moment::ZERO) > replace_delay;
    for (key, row) in holders {
        let expect = match row {
            // The row of an earlier process with this name, at another address.
            Some(row) if is_own(row) => Condition::Version(row.version),
            _ if held.is_some() => continue,
            None => Condition::Absent,
            Some(row) if may_replace && !is_live(node, name_of(row).as_deref()) => {
                Condition::Version(row.version)
            }
            Some(_) => continue,
        };
        let written = client.put(TABLE, &key, expect, &own).await;
        return ignore_conflict(written);
    }
    Ok(())
}

/// Gossip address in a row, `None` if it is not a valid record.
fn address_of(row: &Row) -> Option<SocketAddr> {
    let record = serde_json::from_value::<Record>(row.value.clone()).ok()?;
    Some(record.profile.gossip)
}

fn is_live(node: &Node, name: Option<&str>) -> bool {
    let fleet = lock(&node.members.fleet);
    name.and_then(|name| fleet.get(name))
        .is_some_and(|record| matches!(record.state, State::Alive | State::Suspect))
}
