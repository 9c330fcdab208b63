//! The few rows in the platform's table service by which daemons first find
//! one another.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Event, Failure};
use cardamomshed_platform::{Client, Condition, Row};
use cardamomshed_policy::member::{Record, State};
use rand::Rng;

use crate::members::{ask_members, is_poller, post};
use crate::node::Node;
use crate::sync::lock;

/// Table of the rows.
const TABLE: &str = "seeds";
/// Rows of each failure domain.
const ROWS_PER_DOMAIN: usize = 3;
/// Rows that are read at once.
const MAX_ROWS: usize = 256;
/// Time between two looks at the rows.
const LOOK_EVERY: Duration = Duration::from_secs(5);
/// Longest time between two asks for members while there may be more.
const ASK_EVERY: Duration = Duration::from_millis(400);
/// Asks without a new member after which a daemon knows them all.
const QUIET_ASKS: u32 = 3;
/// First pause of a daemon that knows no other.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Finds other daemons, and keeps the rows up to date where this daemon is
/// one of those that do.
pub(super) async fn join(node: Arc<Node>) {
    let client = node.store();
    let mut pause = FIRST_PAUSE;
    // Asks in a row after which nothing new was known.
    let mut quiet = 0;
    let mut known = 0;
    loop {
        let alone = lock(&node.members.fleet).live() == 1;
        if alone || is_poller(&node) {
            match look(&node, &client).await {
                Ok(()) => {}
                Err(failure) => {
                    node.note_event(Event::PlatformUnreachable, format_args!("seeds: {failure}"));
                }
            }
        }
        let live = lock(&node.members.fleet).live();
        if quiet < QUIET_ASKS && live > 1 {
            quiet = if live > known { 0 } else { quiet + 1 };
            known = live;
            ask_members(&node);
        }
        let spread = 0.75 + rand::rng().random::<f64>() * 0.5;
        tokio::select! {
            () = tokio::time::sleep(pause.mul_f64(spread)) => {}
            () = node.members.rejoin.notified() => quiet = quiet.min(QUIET_ASKS - 1),
        }
        let longest = if quiet < QUIET_ASKS {
            ASK_EVERY
        } else {
            LOOK_EVERY
        };
        pause = (pause * 2).min(longest);
    }
}

async fn look(node: &Arc<Node>, client: &Client) -> Result<(), Failure> {
    let rows = client.list(TABLE, "", MAX_ROWS).await?;
    let records = rows
        .iter()
        .filter_map(|row| serde_json::from_value::<Record>(row.value.clone()).ok())
        .filter(|record| record.state.is_active())
        .collect::<Vec<_>>();
    let unknown = {
        let fleet = lock(&node.members.fleet);
        let unknown = |record: &Record| fleet.get(&record.name).is_none();
        records.into_iter().filter(unknown).collect::<Vec<_>>()
    };
    let output = lock(&node.members.fleet).merge_all(unknown, node.clock.now());
    post(node, output);
    keep_row(node, client, &rows).await
}

/// Takes over one row of the own failure domain if its daemon is gone.
async fn keep_row(node: &Arc<Node>, client: &Client, rows: &[Row]) -> Result<(), Failure> {
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
    let holds = |row: &&Row| name_of(row).as_deref() == Some(&*own.name);
    if holders
        .iter()
        .filter_map(|(_, row)| row.as_ref())
        .any(holds)
    {
        return Ok(());
    }
    let settled = node.clock.now().as_micros() > LOOK_EVERY.as_micros() as u64;
    for (key, row) in holders {
        let expect = match row {
            None => Condition::Absent,
            Some(row) if settled && !is_live(node, name_of(row).as_deref()) => {
                Condition::Version(row.version)
            }
            Some(_) => continue,
        };
        let written = client.put(TABLE, &key, expect, &own).await;
        // Another daemon was faster, which serves as well.
        return match written {
            Err(failure) if failure.code == cardamomshed_code::Code::PlatformConflict => Ok(()),
            other => other.map(|_| ()),
        };
    }
    Ok(())
}

fn is_live(node: &Node, name: Option<&str>) -> bool {
    let fleet = lock(&node.members.fleet);
    name.and_then(|name| fleet.get(name))
        .is_some_and(|record| matches!(record.state, State::Alive | State::Suspect))
}
