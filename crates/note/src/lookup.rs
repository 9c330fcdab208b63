//! The configuration in the form in which each request consults it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use cardamomshed_code::Code;
use cardamomshed_policy::{AccountKey, RouteKey};
use indexmap::IndexSet;

use crate::release::Route;
use crate::{Config, Digest, Name};

/// Names and the small keys that stand for them while a process runs. A key
/// never changes its meaning, whatever notes come.
#[derive(Debug, Default)]
pub struct Names {
    accounts: Mutex<IndexSet<Arc<str>>>,
    routes: Mutex<IndexSet<Arc<str>>>,
}

impl Names {
    /// Key of a client account's name.
    pub fn account(&self, name: &Arc<str>) -> AccountKey {
        AccountKey(intern(&self.accounts, name))
    }

    /// Key of a route's name.
    pub fn route(&self, name: &Arc<str>) -> RouteKey {
        RouteKey(intern(&self.routes, name))
    }
}

fn intern(names: &Mutex<IndexSet<Arc<str>>>, name: &Arc<str>) -> u32 {
    let mut names = names.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(place) = names.get_index_of(name) {
        return place as u32;
    }
    names.insert_full(Arc::clone(name)).0 as u32
}

/// A route with its key.
#[derive(Clone, Debug)]
pub struct Access {
    /// Key of its name.
    pub key: RouteKey,
    /// The route.
    pub route: Arc<Route>,
    /// The route to each of the services that share it, with their weights;
    /// empty where one service has it whole.
    pub shares: Vec<(f64, Arc<Route>)>,
}

impl Access {
    fn new(route: &Route, names: &Names) -> Self {
        let shares = route.shares.iter().map(|share| {
            let service = share.service.clone();
            let route = Route {
                service,
                ..route.clone()
            };
            (share.weight, Arc::new(route))
        });
        Self {
            key: names.route(&route.name.to_text()),
            shares: shares.collect(),
            route: Arc::new(route.clone()),
        }
    }
}

#[derive(Clone, Debug)]
struct Holder {
    digest: Digest,
    account: Arc<str>,
    key: AccountKey,
}

/// The configuration in the form in which each request consults it.
#[derive(Clone, Debug, Default)]
pub struct Lookup {
    /// The configuration itself.
    pub config: Arc<Config>,
    /// Routes without a host, by path without a slash at its end.
    routes: HashMap<Arc<str>, Access>,
    /// Routes of each host, by path as it is declared.
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Access>>,
    holders: HashMap<Digest, Holder>,
}

impl Lookup {
    /// Connections that each target of a service accepts.
    pub fn connections(&self, service: &str) -> u32 {
        let most = self.config.connections.get(service).copied();
        most.filter(|most| *most > 0).unwrap_or(u32::MAX)
    }

    /// Prepares a configuration.
    pub fn new(config: Config, names: &Names) -> Self {
        let mut routes = HashMap::new();
        let mut hosts = HashMap::<_, HashMap<_, _>>::new();
        for route in config.routes.values() {
            let access = Access::new(route, names);
            let among = match &route.host {
                None => &mut routes,
                Some(host) => hosts.entry(Arc::clone(host)).or_default(),
            };
            among.insert(Arc::clone(&route.path), access);
        }
        let holders = config.keys.values().map(|grant| {
            let holder = Holder {
                digest: grant.digest,
                account: grant.account.to_text(),
                key: names.account(&grant.account.to_text()),
            };
            (grant.digest, holder)
        });
        Self {
            routes,
            hosts,
            holders: holders.collect(),
            config: Arc::new(config),
        }
    }

    /// Route with the longest path that is a whole-segment prefix of `path`.
    pub fn route(&self, path: &str) -> Option<&Access> {
        let mut prefix = path.split_once('?').map_or(path, |(path, _)| path);
        loop {
            let trimmed = match prefix {
                "/" => "/",
                prefix => prefix.trim_end_matches('/'),
            };
            if let Some(access) = self.routes.get(trimmed) {
                return Some(access);
            }
            if prefix.is_empty() || prefix == "/" {
                return None;
            }
            prefix = match prefix.rfind('/') {
                Some(0) => "/",
                Some(place) => &prefix[..place],
                None => return None,
            };
        }
    }

    /// Route of this host with the longest path, ending with a slash, with
    /// which `path` begins.
    pub fn host_route(&self, host: &str, path: &str) -> Option<&Access> {
        let routes = self.hosts.get(host)?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let ends = path.rmatch_indices('/').map(|(place, _)| place + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }

    /// Client account whose key has this digest.
    pub fn holder(&self, digest: &Digest) -> Option<(&Arc<str>, AccountKey)> {
        let holder = self.holders.get(digest)?;
        holder
            .digest
            .matches(digest)
            .then_some((&holder.account, holder.key))
    }

    /// Whether a client account may use a route.
    ///
    /// # Errors
    ///
    /// [`Code::RouteUnknown`] for a route that only targets may call,
    /// [`Code::AccountForbidden`] for one that is closed to the account.
    pub fn permit(route: &Route, account: &str) -> Result<(), Code> {
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
