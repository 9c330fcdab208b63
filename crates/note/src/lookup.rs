//! Indexes over the configuration for per-request lookups.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use cardamomshed_code::Code;
use cardamomshed_policy::{AccountKey, RouteKey};
use indexmap::IndexSet;

use crate::release::Route;
use crate::{Config, Digest, Name};

/// Interns the names of client accounts and routes as small integer keys.
///
/// A key maps to the same name for the life of the process, whichever notes
/// are applied. Keys are not stable across restarts.
#[derive(Debug, Default)]
pub struct Interner {
    accounts: Mutex<IndexSet<Arc<str>>>,
    routes: Mutex<IndexSet<Arc<str>>>,
}

impl Interner {
    /// Returns the key of a client account's name, adding it if it is new.
    pub fn account(&self, name: &Arc<str>) -> AccountKey {
        AccountKey(intern(&self.accounts, name))
    }

    /// Returns the key of a route's name, adding it if it is new.
    pub fn route(&self, name: &Arc<str>) -> RouteKey {
        RouteKey(intern(&self.routes, name))
    }
}

fn intern(names: &Mutex<IndexSet<Arc<str>>>, name: &Arc<str>) -> u32 {
    let mut names = names.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(index) = names.get_index_of(name) {
        return index as u32;
    }
    names.insert_full(Arc::clone(name)).0 as u32
}

/// A route as a lookup returns it, with its interned key.
#[derive(Clone, Debug)]
pub struct Match {
    /// Interned key of the route's name.
    pub key: RouteKey,
    /// The route itself.
    pub route: Arc<Route>,
    /// One copy of the route per weighted service, with the weight of that
    /// service; empty if a single service receives all requests.
    pub shares: Vec<(f64, Arc<Route>)>,
}

impl Match {
    fn new(route: &Route, names: &Interner) -> Self {
        let shares = route.shares.iter().map(|share| {
            let service = share.service.clone();
            let route = Route {
                service,
                ..route.clone()
            };
            (share.weight, Arc::new(route))
        });
        Self {
            key: names.route(&route.name.to_arc()),
            shares: shares.collect(),
            route: Arc::new(route.clone()),
        }
    }
}

#[derive(Clone, Debug)]
struct Owner {
    digest: Digest,
    account: Arc<str>,
    key: AccountKey,
}

/// A configuration with its routes indexed by path and host and its keys by
/// digest.
#[derive(Clone, Debug, Default)]
pub struct Lookup {
    /// The configuration that the indexes are built from.
    pub config: Arc<Config>,
    /// Routes without a host, by path without a trailing slash.
    routes: HashMap<Arc<str>, Match>,
    /// Routes of each host, by path as declared.
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Match>>,
    /// Client accounts by the digest of their keys.
    owners: HashMap<Digest, Owner>,
}

impl Lookup {
    /// Returns the maximum number of connections that each target of a service
    /// accepts; `u32::MAX` if the configuration sets none or zero.
    pub fn max_connections(&self, service: &str) -> u32 {
        let limit = self.config.connections.get(service).copied();
        limit.filter(|limit| *limit > 0).unwrap_or(u32::MAX)
    }

    /// Builds the indexes of a configuration, interning its names.
    pub fn new(config: Config, names: &Interner) -> Self {
        let mut routes = HashMap::new();
        let mut hosts = HashMap::<_, HashMap<_, _>>::new();
        for route in config.routes.values() {
            let entry = Match::new(route, names);
            let index = match &route.host {
                None => &mut routes,
                Some(host) => hosts.entry(Arc::clone(host)).or_default(),
            };
            index.insert(Arc::clone(&route.path), entry);
        }
        let owners = config.keys.values().map(|grant| {
            let owner = Owner {
                digest: grant.digest,
                account: grant.account.to_arc(),
                key: names.account(&grant.account.to_arc()),
            };
            (grant.digest, owner)
        });
        Self {
            routes,
            hosts,
            owners: owners.collect(),
            config: Arc::new(config),
        }
    }

    /// Finds the route without a host whose path is the longest prefix of
    /// `path` in whole segments. A query in `path` is ignored.
    pub fn route(&self, path: &str) -> Option<&Match> {
        let mut prefix = path.split_once('?').map_or(path, |(path, _)| path);
        loop {
            let trimmed = match prefix {
                "/" => "/",
                prefix => prefix.trim_end_matches('/'),
            };
            if let Some(entry) = self.routes.get(trimmed) {
                return Some(entry);
            }
            if prefix.is_empty() || prefix == "/" {
                return None;
            }
            prefix = match prefix.rfind('/') {
                Some(0) => "/",
                Some(slash) => &prefix[..slash],
                None => return None,
            };
        }
    }

    /// Finds the route of a host whose path ends with a slash and is the
    /// longest prefix of `path`. A query in `path` is ignored.
    pub fn host_route(&self, host: &str, path: &str) -> Option<&Match> {
        let routes = self.hosts.get(host)?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let ends = path.rmatch_indices('/').map(|(slash, _)| slash + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }

    /// Returns the name and the interned key of the client account that owns
    /// the key with this digest.
    pub fn account_by_digest(&self, digest: &Digest) -> Option<(&Arc<str>, AccountKey)> {
        let owner = self.owners.get(digest)?;
        owner
            .digest
            .matches(digest)
            .then_some((&owner.account, owner.key))
    }

    /// Checks that callers of a client account may use a route.
    ///
    /// # Errors
    ///
    /// [`Code::RouteUnknown`] for an internal route, which only targets may
    /// call, and [`Code::AccountForbidden`] if the route lists accounts and
    /// this one is not among them.
    pub fn authorize(route: &Route, account: &str) -> Result<(), Code> {
        if route.internal {
            return Err(Code::RouteUnknown);
        }
        let listed = |names: &Vec<Name>| names.iter().any(|name| &**name == account);
        match route.accounts.as_ref().map(listed) {
            Some(false) => Err(Code::AccountForbidden),
            _ => Ok(()),
        }
    }
}
