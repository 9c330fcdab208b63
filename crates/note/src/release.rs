//! The release note, the only way in which operators drive the system.

use std::sync::Arc;

use cardamomshed_policy::Priority;
use serde::{Deserialize, Serialize};

use crate::{Digest, Length, Name, PerSecond, Size};

/// A change to the configuration: what is added, changed and withdrawn.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Unique name, by which a lost answer of the platform is settled.
    pub note: Name,
    /// Who wrote it.
    pub author: Arc<str>,
    /// Why.
    #[serde(default)]
    pub summary: Arc<str>,
    /// Routes.
    #[serde(default)]
    pub routes: Section<Route>,
    /// Client accounts with their rates and bursts.
    #[serde(default)]
    pub accounts: Section<Account>,
    /// Keys.
    #[serde(default)]
    pub keys: Section<Grant>,
    /// Limits that hold everywhere; left out, they stay as they are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
}

/// Changes to the things of one kind.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section<T> {
    /// Things that did not exist.
    #[serde(default = "Vec::new")]
    pub add: Vec<T>,
    /// Things that exist and take this new form.
    #[serde(default = "Vec::new")]
    pub change: Vec<T>,
    /// Names of things that cease to exist.
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
    /// Whether nothing is changed.
    pub const fn is_empty(&self) -> bool {
        self.add.is_empty() && self.change.is_empty() && self.withdraw.is_empty()
    }
}

/// A route from a path to a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Host of the requests, in lower case; left out, any host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// Path prefix, whole segments only; the longest that matches wins.
    pub path: Arc<str>,
    /// Service that serves it.
    pub service: Name,
    /// Services that serve it in proportion to their weights, instead of
    /// `service`; empty for one service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<Share>,
    /// How important its requests are.
    pub priority: Priority,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Longest time from accepting a request to its answer.
    pub timeout: Length,
    /// Time within which an answer is worth most to the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective: Option<Length>,
    /// Attempts beyond the first, over the whole call chain.
    #[serde(default)]
    pub retries: u8,
    /// Client accounts that may use it; left out, it is open to all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounts: Option<Vec<Name>>,
    /// Whether only targets may call it, not callers.
    #[serde(default)]
    pub internal: bool,
    /// Whether requests need no key.
    #[serde(default)]
    pub open: bool,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Part of the requests, beside the weights of the other services.
    pub weight: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: Name,
    /// Requests a second over the whole fleet.
    pub rate: PerSecond,
    /// Requests that may come at once over the whole fleet.
    pub burst: u32,
    /// Whether rate and burst are without effect.
    #[serde(default)]
    pub unlimited: bool,
    /// Goes before the priority of the routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
}

/// A key granted to a client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Unique name.
    pub name: Name,
    /// Client account that presents it.
    pub account: Name,
    /// Digest of the key.
    pub digest: Digest,
}

/// What a daemon does with keys that it can no longer confirm, because it
/// has reached neither the platform nor an up-to-date peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unconfirmed {
    /// Goes on serving.
    #[default]
    Serve,
    /// Refuses after `unconfirmed_after`.
    Refuse,
}

/// Limits that hold everywhere.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Longest call chain.
    pub depth: u8,
    /// Largest request head.
    pub head: Size,
    /// Time that a caller has to send a request head.
    pub head_timeout: Length,
    /// Time for which a caller's unused connection is kept.
    pub idle: Length,
    /// Largest request or answer body.
    pub body: Size,
    /// Lender slots of each failure domain, among whose holders the quota is
    /// divided; about one for 16 daemons.
    pub lender_slots: u16,
    /// What happens to keys that can no longer be confirmed.
    pub unconfirmed_keys: Unconfirmed,
    /// Time without confirmation after which that happens.
    pub unconfirmed_after: Length,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            depth: 16,
            head: Size::from_bytes(16 * 1024),
            head_timeout: Length::from_millis(5_000),
            idle: Length::from_millis(75_000),
            body: Size::from_bytes(4 * 1024 * 1024),
            lender_slots: 2,
            unconfirmed_keys: Unconfirmed::Serve,
            unconfirmed_after: Length::from_millis(60_000),
        }
    }
}

impl Note {
    /// Whether it changes nothing.
    pub const fn is_empty(&self) -> bool {
        self.routes.is_empty()
            && self.accounts.is_empty()
            && self.keys.is_empty()
            && self.limits.is_none()
    }
}
