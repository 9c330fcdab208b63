//! `shedctl note`: release notes are checked, sent, listed and compared.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use cardamomshed_code::{Code, Failure};
use cardamomshed_note::{Config, Note};
use cardamomshed_platform::{Client, Condition};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{admin, arguments};

/// Table of the release notes.
const TABLE: &str = "notes";
/// Notes that are read at once.
const PAGE: usize = 500;
/// Tries to send a note whose answer is lost.
const TRIES: u32 = 5;
/// Time between two looks at what is in force.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// The accepted notes and the configuration that they add up to.
struct Accepted {
    notes: Vec<Note>,
    configs: Vec<Config>,
}

impl Accepted {
    fn newest(&self) -> Config {
        self.configs.last().cloned().unwrap_or_default()
    }
}

fn row_key(revision: usize) -> String {
    format!("{revision:012}")
}

async fn read_accepted(client: &Client) -> Result<Accepted, Failure> {
    let mut accepted = Accepted {
        notes: Vec::new(),
        configs: vec![Config::default()],
    };
    loop {
        let after = row_key(accepted.notes.len());
        let rows = client.list(TABLE, &after, PAGE).await?;
        let count = rows.len();
        for row in rows {
            let note: Note = serde_json::from_value(row.value).map_err(|error| {
                Failure::new(Code::PlatformAnswer, format!("row {}: {error}", row.key))
            })?;
            let next = accepted
                .newest()
                .apply(&note)
                .map_err(|misfit| misfit.failure)?;
            accepted.configs.push(next);
            accepted.notes.push(note);
        }
        if count < PAGE {
            return Ok(accepted);
        }
    }
}

/// Checks a note against the notes in force, or against none where no
/// platform is named.
pub async fn check(arguments: &[String]) -> Result<()> {
    let options = arguments::options();
    let brief = "note check FILE [--platform URL]";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    let file = arguments::free(&matches, 0, "FILE")?;
    let base = if matches.opt_present("platform") {
        read_accepted(&arguments::platform(&matches)?)
            .await?
            .newest()
    } else {
        Config::default()
    };
    let (note, next) = base.apply_file(Path::new(file))?;
    println!(
        "{file}: valid; `{}` would become revision {}",
        note.note, next.revision
    );
    print_summary(&note);
    Ok(())
}

fn print_summary(note: &Note) {
    let line = |what: &str, add: usize, change: usize, withdraw: usize| {
        println!("  {what:<9} {add} added, {change} changed, {withdraw} withdrawn");
    };
    let routes = &note.routes;
    line(
        "routes",
        routes.add.len(),
        routes.change.len(),
        routes.withdraw.len(),
    );
    let accounts = &note.accounts;
    line(
        "accounts",
        accounts.add.len(),
        accounts.change.len(),
        accounts.withdraw.len(),
    );
    let keys = &note.keys;
    line(
        "keys",
        keys.add.len(),
        keys.change.len(),
        keys.withdraw.len(),
    );
    if note.limits.is_some() {
        println!("  limits    set");
    }
}

/// Sends a note, then waits until the daemons have it in force.
pub async fn apply(arguments: &[String]) -> Result<()> {
    let mut options = arguments::options();
    options.optopt("", "wait", "seconds to wait for it to be in force (6)", "S");
    let brief = "note apply FILE --platform URL [--daemon ADDRESS]...";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    let file = arguments::free(&matches, 0, "FILE")?;
    let wait = Duration::from_secs_f64(arguments::value(&matches, "wait", 6.0)?);
    let daemons = arguments::daemons(&matches)?;
    let client = arguments::platform(&matches)?;
    let revision = send(&client, Path::new(file)).await?;
    println!("accepted as revision {revision}");
    if daemons.is_empty() {
        println!("no --daemon given; not waiting for it to be in force");
        return Ok(());
    }
    wait_in_force(&daemons, revision, wait).await
}

/// Writes a note as the next row; a lost answer is settled by reading.
async fn send(client: &Client, file: &Path) -> Result<usize, Failure> {
    let mut last = Failure::new(Code::PlatformUnavailable, "");
    for _ in 0..TRIES {
        let accepted = match read_accepted(client).await {
            Ok(accepted) => accepted,
            Err(failure) if failure.code == Code::PlatformUnavailable => {
                last = failure;
                sleep(LOOK_EVERY).await;
                continue;
            }
            Err(failure) => return Err(failure),
        };
        if let Some(revision) = known(&accepted, file)? {
            return Ok(revision);
        }
        let (note, next) = accepted.newest().apply_file(file)?;
        let revision = next.revision as usize;
        match client
            .put(TABLE, &row_key(revision), Condition::Absent, &note)
            .await
        {
            Ok(_) => return Ok(revision),
            Err(failure) if failure.code == Code::PlatformConflict => {
                return lost_race(client, &note, revision).await;
            }
            Err(failure) => {
                last = failure;
                sleep(LOOK_EVERY).await;
            }
        }
    }
    Err(last)
}

/// Revision of a note that was accepted before, by its name.
fn known(accepted: &Accepted, file: &Path) -> Result<Option<usize>, Failure> {
    let (note, _) = cardamomshed_note::read::<Note>(file)?;
    let place = accepted
        .notes
        .iter()
        .position(|known| known.note == note.note);
    let Some(place) = place else {
        return Ok(None);
    };
    if accepted.notes[place] != note {
        let detail = format!("`{}` is revision {}", note.note, place + 1);
        return Err(Failure::new(Code::NoteExists, detail));
    }
    Ok(Some(place + 1))
}

/// Finds out whether the row that was there first is this very note.
async fn lost_race(client: &Client, note: &Note, revision: usize) -> Result<usize, Failure> {
    let row = client.get(TABLE, &row_key(revision)).await?;
    let found = row.and_then(|row| serde_json::from_value::<Note>(row.value).ok());
    match found {
        Some(found) if found == *note => Ok(revision),
        Some(found) => {
            let detail = format!(
                "revision {revision} is `{}` by {}; `shedctl note diff {} {revision}` shows it; \
                 check your note against it and apply it again",
                found.note,
                found.author,
                revision - 1
            );
            Err(Failure::new(Code::NoteConflict, detail))
        }
        None => Err(Failure::new(Code::PlatformAnswer, "the row cannot be read")),
    }
}

/// Waits until every daemon that can be seen has a revision in force, and
/// tells which failure domains do not.
async fn wait_in_force(daemons: &[SocketAddr], revision: usize, wait: Duration) -> Result<()> {
    let start = Instant::now();
    loop {
        let (answered, silent) = admin::everyone(daemons).await?;
        let mut domains = BTreeMap::<&str, (usize, usize, usize)>::new();
        for status in &answered {
            let entry = domains.entry(&status.domain).or_default();
            entry.1 += 1;
            entry.0 += usize::from(status.revision >= revision as u64);
        }
        for member in &silent {
            domains.entry(&member.profile.domain).or_default().2 += 1;
        }
        let complete = domains.values().all(|(have, seen, _)| have == seen);
        if complete || start.elapsed() >= wait {
            for (domain, (have, seen, unseen)) in &domains {
                println!("  {domain}: in force on {have} of {seen} daemons, {unseen} not seen");
            }
            let unseen = domains.values().map(|(_, _, unseen)| unseen).sum::<usize>();
            if complete && unseen == 0 {
                println!(
                    "in force everywhere after {:.1} s",
                    start.elapsed().as_secs_f64()
                );
                return Ok(());
            }
            return Err(Failure::new(Code::NoteUnconfirmed, "").into());
        }
        sleep(LOOK_EVERY).await;
    }
}

/// Lists the accepted notes.
pub async fn list(arguments: &[String]) -> Result<()> {
    let options = arguments::options();
    let Some(matches) = arguments::parse(&options, "note list --platform URL", arguments)? else {
        return Ok(());
    };
    let accepted = read_accepted(&arguments::platform(&matches)?).await?;
    println!("{:>9}  {:<32} {:<20} summary", "revision", "note", "author");
    for (place, note) in accepted.notes.iter().enumerate() {
        println!(
            "{:>9}  {:<32} {:<20} {}",
            place + 1,
            note.note,
            note.author,
            note.summary
        );
    }
    Ok(())
}

/// Shows what changed between two revisions.
pub async fn diff(arguments: &[String]) -> Result<()> {
    let options = arguments::options();
    let brief = "note diff A B --platform URL";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    let accepted = read_accepted(&arguments::platform(&matches)?).await?;
    let revision = |place: usize, what: &str| -> Result<&Config, Failure> {
        let text = arguments::free(&matches, place, what)?;
        let number = text.parse::<usize>().ok();
        number
            .and_then(|number| accepted.configs.get(number))
            .ok_or_else(|| arguments::usage(&format!("`{text}` is no accepted revision")))
    };
    let (old, new) = (revision(0, "A")?, revision(1, "B")?);
    print_changes("route", &old.routes, &new.routes);
    print_changes("account", &old.accounts, &new.accounts);
    print_changes("key", &old.keys, &new.keys);
    if old.limits != new.limits {
        println!("- limits {}", line(&old.limits));
        println!("+ limits {}", line(&new.limits));
    }
    Ok(())
}

fn line(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn print_changes<'a, T, M>(what: &str, old: &'a M, new: &'a M)
where
    T: Serialize + PartialEq + 'a,
    &'a M: IntoIterator<Item = (&'a std::sync::Arc<str>, &'a T)>,
{
    let old = old.into_iter().collect::<BTreeMap<_, _>>();
    let new = new.into_iter().collect::<BTreeMap<_, _>>();
    for (name, entry) in &old {
        if new.get(name) != Some(entry) {
            println!("- {what} {name} {}", line(entry));
        }
    }
    for (name, entry) in &new {
        if old.get(name) != Some(entry) {
            println!("+ {what} {name} {}", line(entry));
        }
    }
}
