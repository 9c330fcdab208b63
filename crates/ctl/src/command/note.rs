//! `shedctl note`: checks, applies, lists and compares release notes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use cardamomshed_code::{Code, Failure};
use cardamomshed_note::{Config, Name, Note, Settings};
use cardamomshed_platform::{Client, Condition};
use getopts::{Matches, Options};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{admin, arguments};

/// Table of the platform's store that holds the release notes.
const TABLE: &str = "notes";
/// Number of notes per read.
const PAGE_ROWS: usize = 500;
/// Maximum number of attempts to write a note while the platform does not
/// respond.
const MAX_ATTEMPTS: u32 = 5;
/// Delay between attempts, and between checks of the revision in force.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The accepted notes, and the configuration at each revision from zero.
struct History {
    notes: Vec<Note>,
    configs: Vec<Config>,
}

impl History {
    fn newest(&self) -> Config {
        self.configs.last().cloned().unwrap_or_default()
    }
}

/// Key of a note's row; its order is that of the revisions.
fn row_key(revision: usize) -> String {
    format!("{revision:012}")
}

/// Reads all accepted notes and merges them.
async fn read_history(client: &Client) -> Result<History, Failure> {
    let mut history = History {
        notes: Vec::new(),
        configs: vec![Config::default()],
    };
    loop {
        let after = row_key(history.notes.len());
        let rows = client.list(TABLE, &after, PAGE_ROWS).await?;
        let count = rows.len();
        for row in rows {
            let note: Note = serde_json::from_value(row.value).map_err(|error| {
                Failure::new(Code::PlatformAnswer, format!("row {}: {error}", row.key))
            })?;
            let next = history
                .newest()
                .apply(&note)
                .map_err(|violation| violation.failure)?;
            history.configs.push(next);
            history.notes.push(note);
        }
        if count < PAGE_ROWS {
            return Ok(history);
        }
    }
}

fn add_settings_option(options: &mut Options) {
    let help = "settings of a daemon, which list the failure domains";
    options.optopt("", "settings", help, "FILE");
}

/// Failure domains in the file given by `--settings`, `None` if the option is missing.
fn known_domains(matches: &Matches) -> Result<Option<Vec<Name>>, Failure> {
    let Some(path) = matches.opt_str("settings") else {
        return Ok(None);
    };
    Settings::read(Path::new(&path)).map(|settings| Some(settings.domains))
}

/// Validates a note against the accepted notes, or against an empty
/// configuration if no platform is given.
pub async fn check(arguments: &[String]) -> Result<()> {
    let mut options = arguments::options();
    add_settings_option(&mut options);
    let brief = "note check FILE [--platform URL] [--settings FILE]";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    let file = arguments::positional(&matches, 0, "FILE")?;
    let domains = known_domains(&matches)?;
    let base = if matches.opt_present("platform") {
        read_history(&arguments::platform(&matches)?)
            .await?
            .newest()
    } else {
        Config::default()
    };
    let (note, next) = base.check_file(Path::new(file), domains.as_deref())?;
    println!(
        "{file}: valid; `{}` would become revision {}",
        note.note, next.revision
    );
    print_summary(&note);
    Ok(())
}

/// Prints the number of changes in each section.
fn print_summary(note: &Note) {
    let print_counts = |section: &str, add: usize, change: usize, withdraw: usize| {
        println!("  {section:<9} {add} added, {change} changed, {withdraw} withdrawn");
    };
    let routes = &note.routes;
    print_counts(
        "routes",
        routes.add.len(),
        routes.change.len(),
        routes.withdraw.len(),
    );
    let accounts = &note.accounts;
    print_counts(
        "accounts",
        accounts.add.len(),
        accounts.change.len(),
        accounts.withdraw.len(),
    );
    let keys = &note.keys;
    print_counts(
        "keys",
        keys.add.len(),
        keys.change.len(),
        keys.withdraw.len(),
    );
    let evacuations = &note.evacuations;
    if !evacuations.is_empty() {
        let (added, withdrawn) = (evacuations.add.len(), evacuations.withdraw.len());
        println!("  evacuations {added} added, {withdrawn} withdrawn");
    }
    if note.limits.is_some() {
        println!("  limits    set");
    }
}

/// Writes a note to the store, then waits until all daemons have it in force.
pub async fn apply(arguments: &[String]) -> Result<()> {
    let mut options = arguments::options();
    add_settings_option(&mut options);
    options.optopt("", "wait", "seconds to wait for it to be in force (6)", "S");
    let brief = "note apply FILE --platform URL [--settings FILE] [--daemon ADDRESS]...";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    let file = arguments::positional(&matches, 0, "FILE")?;
    let wait = Duration::from_secs_f64(arguments::option(&matches, "wait", 6.0)?);
    let daemons = arguments::daemons(&matches)?;
    let domains = known_domains(&matches)?;
    let client = arguments::platform(&matches)?;
    let revision = submit(&client, Path::new(file), domains.as_deref()).await?;
    println!("accepted as revision {revision}");
    if daemons.is_empty() {
        println!("no --daemon given; not waiting for it to be in force");
        return Ok(());
    }
    wait_in_force(&daemons, revision, wait).await
}

/// Writes a note as the next row and returns its revision. After a failed
/// write, reads the accepted notes to determine whether it took effect.
async fn submit(client: &Client, file: &Path, domains: Option<&[Name]>) -> Result<usize, Failure> {
    let mut last_failure = Failure::new(Code::PlatformUnavailable, "");
    for _ in 0..MAX_ATTEMPTS {
        let history = match read_history(client).await {
            Ok(history) => history,
            Err(failure) if failure.code == Code::PlatformUnavailable => {
                last_failure = failure;
                sleep(RETRY_INTERVAL).await;
                continue;
            }
            Err(failure) => return Err(failure),
        };
        if let Some(revision) = accepted_revision(&history, file)? {
            return Ok(revision);
        }
        let (note, next) = history.newest().check_file(file, domains)?;
        let revision = next.revision as usize;
        match client
            .put(TABLE, &row_key(revision), Condition::Absent, &note)
            .await
        {
            Ok(_) => return Ok(revision),
            Err(failure) if failure.code == Code::PlatformConflict => {
                return resolve_conflict(client, &note, revision).await;
            }
            Err(failure) => {
                last_failure = failure;
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
    Err(last_failure)
}

/// Returns the revision of the note in a file if a note of its name is already
/// accepted.
///
/// # Errors
///
/// [`Code::NoteExists`] if the accepted note of this name differs.
fn accepted_revision(history: &History, file: &Path) -> Result<Option<usize>, Failure> {
    let (note, _) = cardamomshed_note::read::<Note>(file)?;
    let index = history
        .notes
        .iter()
        .position(|other| other.note == note.note);
    let Some(index) = index else {
        return Ok(None);
    };
    if history.notes[index] != note {
        let detail = format!(
            "`{}` is already revision {}, with other contents",
            note.note,
            index + 1
        );
        return Err(Failure::new(Code::NoteExists, detail));
    }
    Ok(Some(index + 1))
}

/// Handles a row that already exists: returns its revision if it holds the
/// same note, as after a lost response.
///
/// # Errors
///
/// [`Code::NoteConflict`] if the row holds another note, written concurrently,
/// and [`Code::PlatformAnswer`] if it holds no valid note.
async fn resolve_conflict(client: &Client, note: &Note, revision: usize) -> Result<usize, Failure> {
    let row = client.get(TABLE, &row_key(revision)).await?;
    let existing = row.and_then(|row| serde_json::from_value::<Note>(row.value).ok());
    match existing {
        Some(existing) if existing == *note => Ok(revision),
        Some(existing) => {
            let detail = format!(
                "revision {revision} is `{}` by {}; `shedctl note diff {} {revision}` shows it; \
                 revise the note if necessary and apply it again",
                existing.note,
                existing.author,
                revision - 1
            );
            Err(Failure::new(Code::NoteConflict, detail))
        }
        None => Err(Failure::new(
            Code::PlatformAnswer,
            "the row of this revision is missing or not a valid note",
        )),
    }
}

/// Waits until every reachable daemon has a revision in force, and prints the
/// counts of each failure domain.
///
/// # Errors
///
/// [`Code::NoteUnconfirmed`] if some reachable daemon lacks the revision after
/// `wait`, or if all have it but other daemons are unreachable.
async fn wait_in_force(daemons: &[SocketAddr], revision: usize, wait: Duration) -> Result<()> {
    let start = Instant::now();
    loop {
        let (statuses, unreachable) = admin::query_fleet(daemons).await?;
        // Daemons with the revision in force, reachable ones, unreachable ones.
        let mut domains = BTreeMap::<&str, (usize, usize, usize)>::new();
        for status in &statuses {
            let entry = domains.entry(&status.domain).or_default();
            entry.1 += 1;
            entry.0 += usize::from(status.revision >= revision as u64);
        }
        for member in &unreachable {
            domains.entry(&member.profile.domain).or_default().2 += 1;
        }
        let complete = domains
            .values()
            .all(|(in_force, reachable, _)| in_force == reachable);
        if complete || start.elapsed() >= wait {
            for (domain, (in_force, reachable, missing)) in &domains {
                println!(
                    "  {domain}: in force on {in_force} of {reachable} daemons, {missing} not seen"
                );
            }
            let missing = domains
                .values()
                .map(|(_, _, missing)| missing)
                .sum::<usize>();
            if complete && missing == 0 {
                println!(
                    "in force everywhere after {:.1} s",
                    start.elapsed().as_secs_f64()
                );
                return Ok(());
            }
            return Err(Failure::new(Code::NoteUnconfirmed, "").into());
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Prints the accepted notes.
pub async fn list(arguments: &[String]) -> Result<()> {
    let options = arguments::options();
    let Some(matches) = arguments::parse(&options, "note list --platform URL", arguments)? else {
        return Ok(());
    };
    let history = read_history(&arguments::platform(&matches)?).await?;
    println!("{:>9}  {:<32} {:<20} summary", "revision", "note", "author");
    for (index, note) in history.notes.iter().enumerate() {
        println!(
            "{:>9}  {:<32} {:<20} {}",
            index + 1,
            note.note,
            note.author,
            note.summary
        );
    }
    Ok(())
}

/// Prints the differences between the configurations of two revisions.
pub async fn diff(arguments: &[String]) -> Result<()> {
    let options = arguments::options();
    let brief = "note diff A B --platform URL";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    let history = read_history(&arguments::platform(&matches)?).await?;
    let revision = |index: usize, name: &str| -> Result<&Config, Failure> {
        let text = arguments::positional(&matches, index, name)?;
        let number = text.parse::<usize>().ok();
        number
            .and_then(|number| history.configs.get(number))
            .ok_or_else(|| arguments::usage_error(&format!("`{text}` is not an accepted revision")))
    };
    let (old, new) = (revision(0, "A")?, revision(1, "B")?);
    print_changes("route", &old.routes, &new.routes);
    print_changes("account", &old.accounts, &new.accounts);
    print_changes("key", &old.keys, &new.keys);
    for domain in old.evacuated.difference(&new.evacuated) {
        println!("- evacuation {domain}");
    }
    for domain in new.evacuated.difference(&old.evacuated) {
        println!("+ evacuation {domain}");
    }
    if old.limits != new.limits {
        println!("- limits {}", to_json(&old.limits));
        println!("+ limits {}", to_json(&new.limits));
    }
    Ok(())
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Prints removed, added and changed entries of one kind.
fn print_changes<'a, T, M>(kind: &str, old: &'a M, new: &'a M)
where
    T: Serialize + PartialEq + 'a,
    &'a M: IntoIterator<Item = (&'a std::sync::Arc<str>, &'a T)>,
{
    let old = old.into_iter().collect::<BTreeMap<_, _>>();
    let new = new.into_iter().collect::<BTreeMap<_, _>>();
    for (name, entry) in &old {
        if new.get(name) != Some(entry) {
            println!("- {kind} {name} {}", to_json(entry));
        }
    }
    for (name, entry) in &new {
        if old.get(name) != Some(entry) {
            println!("+ {kind} {name} {}", to_json(entry));
        }
    }
}
