//! The configuration that results from a sequence of release notes.

use std::collections::{BTreeSet, HashSet};
use std::path::Path;
use std::sync::Arc;

use cardamomshed_code::{Code, Failure};
use indexmap::IndexMap;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_saphyr::Spanned;

use crate::release::{Account, Evacuations, Grant, Limits, Note, Route, Section};
use crate::{Name, Rate, Timespan, yaml};

/// Maximum length of a route's path.
const MAX_PATH_BYTES: usize = 512;
/// Maximum number of retries of a route.
const MAX_RETRIES: u8 = 16;
/// Maximum call chain length that a note may set.
const MAX_DEPTH: u8 = 32;

/// The configuration in force at one revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// Number of release notes merged; it never decreases.
    pub revision: u64,
    /// Routes by name.
    pub routes: IndexMap<Arc<str>, Route>,
    /// Client accounts by name.
    pub accounts: IndexMap<Arc<str>, Account>,
    /// Granted keys by name. Each refers to an entry of `accounts`.
    pub keys: IndexMap<Arc<str>, Grant>,
    /// Whether requests need a key, except on open routes.
    #[serde(default = "yes")]
    pub keyed: bool,
    /// Maximum number of connections that each target of a service accepts.
    /// A service without an entry is limited by its slots only.
    #[serde(default)]
    pub connections: IndexMap<Arc<str>, u32>,
    /// Health check path of the targets, by service.
    #[serde(default)]
    pub health_paths: IndexMap<Arc<str>, Arc<str>>,
    /// Limits on the targets of a service while they are cold. A service without an
    /// entry has none.
    #[serde(default)]
    pub warmups: IndexMap<Arc<str>, Warmup>,
    /// Failure domains that release notes have evacuated.
    #[serde(default)]
    pub evacuated: BTreeSet<Arc<str>>,
    /// Fleet-wide limits.
    pub limits: Limits,
}

/// What a target of a service sustains while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Warmup {
    /// Time for which a target is cold after a start.
    pub length: Timespan,
    /// Requests that a cold target sustains; above zero and finite.
    pub rate: Rate,
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
            warmups: IndexMap::new(),
            evacuated: BTreeSet::new(),
            limits: Limits::default(),
        }
    }
}

/// Maximum number of lender slots per failure domain.
const MAX_LENDER_SLOTS: u16 = 512;
/// Minimum burst of an account, in requests.
const MIN_BURST_REQUESTS: f64 = 2.0;
/// Minimum burst of an account, in seconds of its rate.
const MIN_BURST_S: f64 = 0.1;

/// An entry of a note that the configuration cannot accept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Section of the note, such as `routes`.
    pub section: &'static str,
    /// List within the section, such as `add`; empty for the section itself.
    pub list: &'static str,
    /// Index in the list, from zero.
    pub index: usize,
    /// Code and detail, without the position in the file.
    pub failure: Failure,
}

/// An entry of a note that is identified by name.
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
    /// Merges a note and returns the configuration of the next revision.
    ///
    /// # Errors
    ///
    /// The first entry of the note that this configuration cannot accept.
    pub fn apply(&self, note: &Note) -> Result<Self, Violation> {
        if note.is_empty() {
            return Err(violation("note", "", 0, Code::NoteEmpty, &note.note));
        }
        let mut next = self.clone();
        next.revision += 1;
        merge("routes", &mut next.routes, &note.routes)?;
        merge("accounts", &mut next.accounts, &note.accounts)?;
        merge("keys", &mut next.keys, &note.keys)?;
        merge_evacuations(&mut next.evacuated, &note.evacuations)?;
        if let Some(limits) = &note.limits {
            check_limits(limits)?;
            next.limits = limits.clone();
        }
        next.check_routes(note)?;
        next.check_accounts(note)?;
        next.check_keys(note)?;
        Ok(next)
    }

    /// Regions in which requests of a client account on a route may be served;
    /// `None` if neither restricts them. The result is empty if the two have no
    /// region in common. An unknown account, such as that of calls without a key,
    /// has no restriction.
    pub fn allowed_regions(&self, route: &Route, account: &str) -> Option<Vec<Name>> {
        let account = self.accounts.get(account);
        let account = account.and_then(|account| account.regions.as_deref());
        match (route.regions.as_deref(), account) {
            (Some(of_route), Some(of_account)) => {
                let common = of_route.iter().filter(|region| of_account.contains(region));
                Some(common.cloned().collect())
            }
            (of_route, of_account) => of_route.or(of_account).map(<[Name]>::to_vec),
        }
    }

    /// Reads a note from a file and merges it, which validates the note before
    /// it is sent.
    ///
    /// # Errors
    ///
    /// Those of [`yaml::read`] and [`Self::apply`], with line and column.
    pub fn apply_file(&self, path: &Path) -> Result<(Note, Self), Failure> {
        self.check_file(path, None)
    }

    /// Like [`Self::apply_file`] with a check of the failure domains that the note
    /// evacuates, if all domains of the deployment are known.
    ///
    /// # Errors
    ///
    /// Those of [`Self::apply_file`], and [`Code::ValueRange`] for a domain that is not
    /// among `domains`.
    pub fn check_file(
        &self,
        path: &Path,
        domains: Option<&[Name]>,
    ) -> Result<(Note, Self), Failure> {
        let (note, text) = yaml::read::<Note>(path)?;
        let next = self
            .apply(&note)
            .and_then(|next| check_domains(&note.evacuations, domains).map(|()| next))
            .map_err(|violation| yaml::in_file(path, &violation.locate(&text)))?;
        Ok((note, next))
    }

    fn check_routes(&self, note: &Note) -> Result<(), Violation> {
        for (list, index, route) in upserts(&note.routes) {
            let invalid = |code, detail: &str| violation("routes", list, index, code, detail);
            if !is_valid_path(&route.path) {
                return Err(invalid(Code::NameInvalid, &route.path));
            }
            if route.retries > MAX_RETRIES {
                return Err(invalid(Code::ValueRange, "retries: must be at most 16"));
            }
            if route.timeout.get().is_zero() {
                return Err(invalid(Code::ValueRange, "timeout: must be above zero"));
            }
            check_regions("routes", list, index, route.regions.as_deref())?;
            let same_path = |other: &Route| other.path == route.path && other.name != route.name;
            if self.routes.values().any(same_path) {
                return Err(invalid(Code::NameTaken, &route.path));
            }
        }
        for (list, index, route) in upserts(&note.routes) {
            let accounts = route.accounts.iter().flatten();
            if let Some(unknown) = accounts
                .into_iter()
                .find(|name| !self.accounts.contains_key(&***name))
            {
                return Err(violation(
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

    fn check_accounts(&self, note: &Note) -> Result<(), Violation> {
        for (list, index, account) in upserts(&note.accounts) {
            // Prepaid tokens are taken out of the burst, which must therefore
            // cover those that are in transit between daemons.
            let min_burst = (account.rate.get() * MIN_BURST_S).max(MIN_BURST_REQUESTS);
            if f64::from(account.burst) < min_burst {
                let detail = "burst: must be at least 2 and a tenth of a second of the rate";
                return Err(violation("accounts", list, index, Code::ValueRange, detail));
            }
            check_regions("accounts", list, index, account.regions.as_deref())?;
        }
        for (index, name) in note.accounts.withdraw.iter().enumerate() {
            let listed = |route: &Route| route.accounts.iter().flatten().any(|other| other == name);
            let used = self.keys.values().any(|key| key.account == *name)
                || self.routes.values().any(listed);
            if used {
                let detail = format!("`{name}` is still referenced by a key or route");
                let code = Code::ReferenceUnknown;
                return Err(violation("accounts", "withdraw", index, code, &detail));
            }
        }
        Ok(())
    }

    fn check_keys(&self, note: &Note) -> Result<(), Violation> {
        for (list, index, key) in upserts(&note.keys) {
            if !self.accounts.contains_key(&*key.account) {
                let code = Code::ReferenceUnknown;
                return Err(violation("keys", list, index, code, &key.account));
            }
            let same_digest = |other: &&Grant| other.digest == key.digest && other.name != key.name;
            if let Some(other) = self.keys.values().find(same_digest) {
                let detail = format!("the digest is already granted as `{}`", other.name);
                return Err(violation("keys", list, index, Code::NameTaken, &detail));
            }
        }
        Ok(())
    }
}

impl Violation {
    /// Returns the failure with the line and column of the entry in the text
    /// of the note, or 1:1 if the entry cannot be found.
    pub fn locate(&self, text: &str) -> Failure {
        let (line, column) = self.position(text).unwrap_or((1, 1));
        let path = match self.list {
            "" => self.section.to_owned(),
            list => format!("{}.{list}[{}]", self.section, self.index),
        };
        Failure::new(
            self.failure.code,
            format!("{line}:{column}: {path}: {}", self.failure.detail),
        )
    }

    fn position(&self, text: &str) -> Option<(u64, u64)> {
        type Entries = IndexMap<String, Vec<Spanned<IgnoredAny>>>;
        #[derive(Deserialize)]
        struct Sections {
            #[serde(default)]
            routes: Entries,
            #[serde(default)]
            accounts: Entries,
            #[serde(default)]
            keys: Entries,
            #[serde(default)]
            evacuations: Entries,
        }
        let sections = yaml::parse::<Sections>(text).ok()?;
        let section = match self.section {
            "routes" => sections.routes,
            "accounts" => sections.accounts,
            "evacuations" => sections.evacuations,
            _ => sections.keys,
        };
        let entry = section.get(self.list)?.get(self.index)?;
        Some((entry.referenced.line(), entry.referenced.column()))
    }
}

/// Iterates over the entries that a section adds or changes, with the name of
/// the list and the index in it.
fn upserts<T>(section: &Section<T>) -> impl Iterator<Item = (&'static str, usize, &T)> {
    let added = section.add.iter().enumerate();
    let changed = section.change.iter().enumerate();
    added
        .map(|(index, entry)| ("add", index, entry))
        .chain(changed.map(|(index, entry)| ("change", index, entry)))
}

/// Applies one section in the order withdraw, change, add. A name may occur
/// only once in the whole section.
fn merge<T: Named + Clone>(
    section: &'static str,
    entries: &mut IndexMap<Arc<str>, T>,
    changes: &Section<T>,
) -> Result<(), Violation> {
    let mut seen = HashSet::new();
    let mut repeated = |name: &Name| !seen.insert(name.to_arc());
    for (index, name) in changes.withdraw.iter().enumerate() {
        if repeated(name) || entries.shift_remove(&**name).is_none() {
            return Err(violation(
                section,
                "withdraw",
                index,
                Code::ReferenceUnknown,
                name,
            ));
        }
    }
    for (index, entry) in changes.change.iter().enumerate() {
        let name = entry.name();
        let existing = entries.get_mut(&**name).filter(|_| !repeated(name));
        let Some(existing) = existing else {
            return Err(violation(
                section,
                "change",
                index,
                Code::ReferenceUnknown,
                name,
            ));
        };
        *existing = entry.clone();
    }
    for (index, entry) in changes.add.iter().enumerate() {
        let name = entry.name();
        if repeated(name) || entries.contains_key(&**name) {
            return Err(violation(section, "add", index, Code::NameTaken, name));
        }
        entries.insert(name.to_arc(), entry.clone());
    }
    Ok(())
}

/// Applies the evacuations of a note, first those that end. A name may occur only once.
fn merge_evacuations(
    evacuated: &mut BTreeSet<Arc<str>>,
    changes: &Evacuations,
) -> Result<(), Violation> {
    let invalid =
        |list, index, code, name: &Name| Err(violation("evacuations", list, index, code, name));
    for (index, name) in changes.withdraw.iter().enumerate() {
        if !evacuated.remove(&**name) {
            return invalid("withdraw", index, Code::ReferenceUnknown, name);
        }
    }
    for (index, name) in changes.add.iter().enumerate() {
        if changes.withdraw.contains(name) || !evacuated.insert(name.to_arc()) {
            return invalid("add", index, Code::NameTaken, name);
        }
    }
    Ok(())
}

/// Rejects the evacuation of a failure domain that is not among `domains`.
fn check_domains(changes: &Evacuations, domains: Option<&[Name]>) -> Result<(), Violation> {
    let is_unknown = |name: &Name| domains.is_some_and(|domains| !domains.contains(name));
    let Some(index) = changes.add.iter().position(is_unknown) else {
        return Ok(());
    };
    let detail = format!(
        "`{}` is not a failure domain of the settings",
        changes.add[index]
    );
    let code = Code::ValueRange;
    Err(violation("evacuations", "add", index, code, &detail))
}

/// Rejects an empty list of regions, which would admit no request at all. An entry
/// without a restriction has no list.
fn check_regions(
    section: &'static str,
    list: &'static str,
    index: usize,
    regions: Option<&[Name]>,
) -> Result<(), Violation> {
    if regions.is_some_and(<[Name]>::is_empty) {
        let detail = "regions: must not be empty; omit it to allow every region";
        return Err(violation(section, list, index, Code::ValueRange, detail));
    }
    Ok(())
}

fn check_limits(limits: &Limits) -> Result<(), Violation> {
    let invalid = |detail| Err(violation("limits", "", 0, Code::ValueRange, detail));
    if limits.depth == 0 || limits.depth > MAX_DEPTH {
        return invalid("depth: must be from 1 to 32");
    }
    if limits.lender_slots == 0 || limits.lender_slots > MAX_LENDER_SLOTS {
        return invalid("lender_slots: must be from 1 to 512");
    }
    Ok(())
}

fn is_valid_path(path: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"/-_.~".contains(&byte);
    path.starts_with('/')
        && path.len() <= MAX_PATH_BYTES
        && path.bytes().all(allowed)
        && !path.contains("//")
        && !path
            .split('/')
            .any(|segment| segment == "." || segment == "..")
}

fn violation(
    section: &'static str,
    list: &'static str,
    index: usize,
    code: Code,
    detail: &str,
) -> Violation {
    Violation {
        section,
        list,
        index,
        failure: Failure::new(code, detail),
    }
}
