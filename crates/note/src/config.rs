//! The configuration that a sequence of release notes adds up to.

use std::collections::HashSet;
use std::path::Path;
use std::sync::Arc;

use cardamomshed_code::{Code, Failure};
use indexmap::IndexMap;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_saphyr::Spanned;

use crate::release::{Account, Grant, Limits, Note, Route, Section};
use crate::{Name, yaml};

/// Longest path of a route, in bytes.
const MAX_PATH: usize = 512;
/// Most retries of a route.
const MAX_RETRIES: u8 = 16;
/// Deepest call chain that may be set.
const MAX_DEPTH: u8 = 32;

/// The configuration in force at one revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// Number of release notes merged; it never falls.
    pub revision: u64,
    /// Routes by name.
    pub routes: IndexMap<Arc<str>, Route>,
    /// Client accounts by name.
    pub accounts: IndexMap<Arc<str>, Account>,
    /// Granted keys by name. Each refers to an account in `accounts`.
    pub keys: IndexMap<Arc<str>, Grant>,
    /// Whether requests need a key, but on open routes.
    #[serde(default = "yes")]
    pub keyed: bool,
    /// Connections that each target of a service accepts; a service that is
    /// left out has no limit but its slots.
    #[serde(default)]
    pub connections: IndexMap<Arc<str>, u32>,
    /// Path of the health check of each service's targets.
    #[serde(default)]
    pub health_paths: IndexMap<Arc<str>, Arc<str>>,
    /// Limits that hold everywhere.
    pub limits: Limits,
}

const fn yes() -> bool {
    true
}

impl Default for Config {
    fn default() -> Self {
        Self {
            revision: 0,
            routes: IndexMap::new(),
            accounts: IndexMap::new(),
            keys: IndexMap::new(),
            keyed: true,
            connections: IndexMap::new(),
            health_paths: IndexMap::new(),
            limits: Limits::default(),
        }
    }
}

/// Most lender slots of each failure domain.
const MAX_LENDER_SLOTS: u16 = 512;
/// Smallest burst, in requests.
const MIN_BURST: f64 = 2.0;
/// Smallest burst, in seconds of the rate.
const MIN_BURST_SECONDS: f64 = 0.1;

/// Where in a note something does not fit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Misfit {
    /// Section, such as `routes`.
    pub section: &'static str,
    /// List within it, such as `add`.
    pub list: &'static str,
    /// Place in the list.
    pub index: usize,
    /// What is wrong.
    pub failure: Failure,
}

/// Things of one kind, by what a note needs to know of them.
trait Named {
    fn name(&self) -> &Name;
}

impl Named for Route {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Named for Account {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Named for Grant {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Config {
    /// Merges the next note.
    ///
    /// # Errors
    ///
    /// The first thing in the note that does not fit this configuration.
    pub fn apply(&self, note: &Note) -> Result<Self, Misfit> {
        if note.is_empty() {
            return Err(misfit("note", "", 0, Code::NoteEmpty, &note.note));
        }
        let mut next = self.clone();
        next.revision += 1;
        merge("routes", &mut next.routes, &note.routes)?;
        merge("accounts", &mut next.accounts, &note.accounts)?;
        merge("keys", &mut next.keys, &note.keys)?;
        if let Some(limits) = &note.limits {
            check_limits(limits)?;
            next.limits = limits.clone();
        }
        next.check_routes(note)?;
        next.check_accounts(note)?;
        next.check_keys(note)?;
        Ok(next)
    }

    /// Reads a note from a file and merges it; for checks before it is sent.
    ///
    /// # Errors
    ///
    /// Those of [`yaml::read`] and [`Self::apply`], with line and column.
    pub fn apply_file(&self, path: &Path) -> Result<(Note, Self), Failure> {
        let (note, text) = yaml::read::<Note>(path)?;
        let next = self
            .apply(&note)
            .map_err(|misfit| yaml::in_file(path, &misfit.locate(&text)))?;
        Ok((note, next))
    }

    fn check_routes(&self, note: &Note) -> Result<(), Misfit> {
        for (list, index, route) in changed(&note.routes) {
            let wrong = |code, detail: &str| misfit("routes", list, index, code, detail);
            if !is_path(&route.path) {
                return Err(wrong(Code::NameInvalid, &route.path));
            }
            if route.retries > MAX_RETRIES {
                return Err(wrong(Code::ValueRange, "retries: at most 16"));
            }
            if route.timeout.get().is_zero() {
                return Err(wrong(Code::ValueRange, "timeout: above zero"));
            }
            let same_path = |other: &Route| other.path == route.path && other.name != route.name;
            if self.routes.values().any(same_path) {
                return Err(wrong(Code::NameTaken, &route.path));
            }
        }
        for (list, index, route) in changed(&note.routes) {
            let accounts = route.accounts.iter().flatten();
            if let Some(unknown) = accounts
                .into_iter()
                .find(|name| !self.accounts.contains_key(&***name))
            {
                return Err(misfit(
                    "routes",
                    list,
                    index,
                    Code::ReferenceUnknown,
                    unknown,
                ));
            }
        }
        Ok(())
    }

    fn check_accounts(&self, note: &Note) -> Result<(), Misfit> {
        for (list, index, account) in changed(&note.accounts) {
            // Prepaid tokens need room in the burst to travel.
            let least = (account.rate.get() * MIN_BURST_SECONDS).max(MIN_BURST);
            if f64::from(account.burst) < least {
                let detail = "burst: 2 or more, and a tenth of a second of the rate or more";
                return Err(misfit("accounts", list, index, Code::ValueRange, detail));
            }
        }
        for (index, name) in note.accounts.withdraw.iter().enumerate() {
            let in_route = |route: &Route| route.accounts.iter().flatten().any(|n| n == name);
            let used = self.keys.values().any(|key| key.account == *name)
                || self.routes.values().any(in_route);
            if used {
                let detail = format!("`{name}` is still named by a key or route");
                let code = Code::ReferenceUnknown;
                return Err(misfit("accounts", "withdraw", index, code, &detail));
            }
        }
        Ok(())
    }

    fn check_keys(&self, note: &Note) -> Result<(), Misfit> {
        for (list, index, key) in changed(&note.keys) {
            if !self.accounts.contains_key(&*key.account) {
                let code = Code::ReferenceUnknown;
                return Err(misfit("keys", list, index, code, &key.account));
            }
            let same = |other: &&Grant| other.digest == key.digest && other.name != key.name;
            if let Some(other) = self.keys.values().find(same) {
                let detail = format!("the digest is that of `{}`", other.name);
                return Err(misfit("keys", list, index, Code::NameTaken, &detail));
            }
        }
        Ok(())
    }
}

impl Misfit {
    /// The failure with the line and column of the entry in the note.
    pub fn locate(&self, text: &str) -> Failure {
        let (line, column) = self.place(text).unwrap_or((1, 1));
        let place = match self.list {
            "" => self.section.to_owned(),
            list => format!("{}.{list}[{}]", self.section, self.index),
        };
        Failure::new(
            self.failure.code,
            format!("{line}:{column}: {place}: {}", self.failure.detail),
        )
    }

    fn place(&self, text: &str) -> Option<(u64, u64)> {
        type Entries = IndexMap<String, Vec<Spanned<IgnoredAny>>>;
        #[derive(Deserialize)]
        struct Places {
            #[serde(default)]
            routes: Entries,
            #[serde(default)]
            accounts: Entries,
            #[serde(default)]
            keys: Entries,
        }
        let places = yaml::parse::<Places>(text).ok()?;
        let section = match self.section {
            "routes" => places.routes,
            "accounts" => places.accounts,
            _ => places.keys,
        };
        let entry = section.get(self.list)?.get(self.index)?;
        Some((entry.referenced.line(), entry.referenced.column()))
    }
}

/// Entries of a section that are in force afterwards.
fn changed<T>(section: &Section<T>) -> impl Iterator<Item = (&'static str, usize, &T)> {
    let added = section.add.iter().enumerate();
    let changed = section.change.iter().enumerate();
    added
        .map(|(index, entry)| ("add", index, entry))
        .chain(changed.map(|(index, entry)| ("change", index, entry)))
}

fn merge<T: Named + Clone>(
    section: &'static str,
    entries: &mut IndexMap<Arc<str>, T>,
    change: &Section<T>,
) -> Result<(), Misfit> {
    let mut seen = HashSet::new();
    let mut repeated = |name: &Name| !seen.insert(name.to_text());
    for (index, name) in change.withdraw.iter().enumerate() {
        if repeated(name) || entries.shift_remove(&**name).is_none() {
            return Err(misfit(
                section,
                "withdraw",
                index,
                Code::ReferenceUnknown,
                name,
            ));
        }
    }
    for (index, entry) in change.change.iter().enumerate() {
        let name = entry.name();
        let known = entries.get_mut(&**name).filter(|_| !repeated(name));
        let Some(known) = known else {
            return Err(misfit(
                section,
                "change",
                index,
                Code::ReferenceUnknown,
                name,
            ));
        };
        *known = entry.clone();
    }
    for (index, entry) in change.add.iter().enumerate() {
        let name = entry.name();
        if repeated(name) || entries.contains_key(&**name) {
            return Err(misfit(section, "add", index, Code::NameTaken, name));
        }
        entries.insert(name.to_text(), entry.clone());
    }
    Ok(())
}

fn check_limits(limits: &Limits) -> Result<(), Misfit> {
    let wrong = |detail| Err(misfit("limits", "", 0, Code::ValueRange, detail));
    if limits.depth == 0 || limits.depth > MAX_DEPTH {
        return wrong("depth: 1 to 32");
    }
    if limits.lender_slots == 0 || limits.lender_slots > MAX_LENDER_SLOTS {
        return wrong("lender_slots: 1 to 512");
    }
    Ok(())
}

fn is_path(path: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"/-_.~".contains(&byte);
    path.starts_with('/')
        && path.len() <= MAX_PATH
        && path.bytes().all(allowed)
        && !path.contains("//")
        && !path
            .split('/')
            .any(|segment| segment == "." || segment == "..")
}

fn misfit(
    section: &'static str,
    list: &'static str,
    index: usize,
    code: Code,
    detail: &str,
) -> Misfit {
    Misfit {
        section,
        list,
        index,
        failure: Failure::new(code, detail),
    }
}
