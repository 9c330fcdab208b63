//! The schema of release notes, the only interface through which operators
//! change the configuration of a running fleet.

use std::sync::Arc;

use cardamomshed_policy::Priority;
use serde::{Deserialize, Serialize};

use crate::{Digest, Name, Rate, Size, Timespan};

/// A release note: one set of changes to the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Unique name. After a lost response from the platform, the sender finds
    /// by this name whether the note was accepted.
    pub note: Name,
    /// Author of the note.
    pub author: Arc<str>,
    /// Reason for the change; empty by default.
    #[serde(default)]
    pub summary: Arc<str>,
    /// Changes to routes.
    #[serde(default)]
    pub routes: Section<Route>,
    /// Changes to client accounts.
    #[serde(default)]
    pub accounts: Section<Account>,
    /// Changes to granted keys.
    #[serde(default)]
    pub keys: Section<Grant>,
    /// Changes to the evacuated failure domains. Omitted if there are none, since daemons
    /// reject a note with a field that their version does not know.
    #[serde(default, skip_serializing_if = "Evacuations::is_empty")]
    pub evacuations: Evacuations,
    /// New fleet-wide limits; the limits in force are kept if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
}

/// Changes to the entries of one kind, such as routes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section<T> {
    /// Entries to add; none of them may exist.
    #[serde(default = "Vec::new")]
    pub add: Vec<T>,
    /// Entries to replace; each of them must exist.
    #[serde(default = "Vec::new")]
    pub change: Vec<T>,
    /// Names of entries to remove; each of them must exist.
    #[serde(default)]
    pub withdraw: Vec<Name>,
}

impl<T> Default for Section<T> {
    fn default() -> Self {
        Self {
            add: Vec::new(),
            change: Vec::new(),
            withdraw: Vec::new(),
        }
    }
}

impl<T> Section<T> {
    /// Returns whether the section changes nothing.
    pub const fn is_empty(&self) -> bool {
        self.add.is_empty() && self.change.is_empty() && self.withdraw.is_empty()
    }
}

/// Changes to the set of evacuated failure domains, whose targets receive no requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Evacuations {
    /// Domains to evacuate; none of them may be evacuated.
    pub add: Vec<Name>,
    /// Domains whose evacuation ends; each of them must be evacuated.
    pub withdraw: Vec<Name>,
}

impl Evacuations {
    /// Returns whether nothing changes.
    pub const fn is_empty(&self) -> bool {
        self.add.is_empty() && self.withdraw.is_empty()
    }
}

/// A route from a path to a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name of the route.
    pub name: Name,
    /// Host of the requests, in lower case; any host if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// Path prefix. It matches whole segments only, and the longest match is
    /// used.
    pub path: Arc<str>,
    /// Service that receives the requests.
    pub service: Name,
    /// Services that receive the requests in proportion to their weights,
    /// instead of `service`; empty for a single service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<Share>,
    /// Priority of the requests, unless the client account sets one.
    pub priority: Priority,
    /// Whether a request may be executed more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Deadline of a request, counted from its acceptance; above zero.
    pub timeout: Timespan,
    /// Target latency, within which an answer has its full value to the
    /// caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective: Option<Timespan>,
    /// Retries of a request over its whole call chain, at most 16.
    #[serde(default)]
    pub retries: u8,
    /// Client accounts that may use the route; all if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounts: Option<Vec<Name>>,
    /// Regions in which the requests may be served; all if absent. Not empty in
    /// a release note.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<Vec<Name>>,
    /// Whether only targets may call the route.
    #[serde(default)]
    pub internal: bool,
    /// Whether requests are accepted without a key.
    #[serde(default)]
    pub open: bool,
}

/// A service that receives part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the service.
    pub service: Name,
    /// Weight, relative to the weights of the route's other services.
    pub weight: f64,
}

/// A client account with its quota.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name of the account.
    pub name: Name,
    /// Sustained requests per second over the whole fleet.
    pub rate: Rate,
    /// Requests that the whole fleet accepts at once: at least 2 and a tenth
    /// of a second of `rate`.
    pub burst: u32,
    /// Whether `rate` and `burst` are ignored.
    #[serde(default)]
    pub unlimited: bool,
    /// Priority of the account's requests, which overrides that of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Regions in which the account's requests may be served, in addition to
    /// those of the route; all if absent. Not empty in a release note.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<Vec<Name>>,
}

/// A key granted to a client account, identified by its digest.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Unique name of the grant.
    pub name: Name,
    /// Client account whose callers present the key.
    pub account: Name,
    /// Digest of the key; unique among all grants.
    pub digest: Digest,
}

/// Policy for keys that a daemon can no longer confirm, because it has
/// reached neither the platform nor an up-to-date peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unconfirmed {
    /// Requests with such keys are served.
    #[default]
    Serve,
    /// Requests with such keys are refused after
    /// [`Limits::unconfirmed_after`].
    Refuse,
}

/// Limits that apply to the whole fleet.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum length of a call chain, 1 to 32.
    pub depth: u8,
    /// Maximum size of a request head.
    pub head: Size,
    /// Timeout for receiving a request head from a caller.
    pub head_timeout: Timespan,
    /// Idle timeout of a caller's connection.
    pub idle: Timespan,
    /// Maximum size of a request or response body.
    pub body: Size,
    /// Lender slots per failure domain, 1 to 512. The quota is divided among
    /// the daemons that hold them; about one slot per 16 daemons is suitable.
    pub lender_slots: u16,
    /// Policy for keys that can no longer be confirmed.
    pub unconfirmed_keys: Unconfirmed,
    /// Time without confirmation after which that policy applies.
    pub unconfirmed_after: Timespan,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            depth: 16,
            head: Size::from_bytes(16 * 1024),
            head_timeout: Timespan::from_millis(5_000),
            idle: Timespan::from_millis(75_000),
            body: Size::from_bytes(4 * 1024 * 1024),
            lender_slots: 2,
            unconfirmed_keys: Unconfirmed::Serve,
            unconfirmed_after: Timespan::from_millis(60_000),
        }
    }
}

impl Note {
    /// Returns whether the note changes nothing.
    pub const fn is_empty(&self) -> bool {
        self.routes.is_empty()
            && self.accounts.is_empty()
            && self.keys.is_empty()
            && self.evacuations.is_empty()
            && self.limits.is_none()
    }
}
