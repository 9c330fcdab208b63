//! Services, their targets and the choice of a target for each call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use cardamomshed_policy::member::Record;
use cardamomshed_policy::retry::Budget;
use cardamomshed_policy::route::{Balancer, Choice, Outcome, Tier, Transition};
use cardamomshed_policy::{Moment, TargetKey};
use cardamomshed_wire::Load;
use indexmap::IndexMap;
use serde::Serialize;

use crate::sync::lock;

/// A daemon as the destination of calls and other frames.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the daemon.
    pub node: Arc<str>,
    /// Address at which it accepts peer links.
    pub address: SocketAddr,
}

#[derive(Debug, Default)]
struct Service {
    balancer: Balancer,
    budget: Budget,
    peers: HashMap<TargetKey, Peer>,
}

/// Target of one daemon.
#[derive(Clone, Debug)]
struct Endpoint {
    service: Arc<str>,
    target: TargetKey,
    peer: Peer,
    /// Whether the daemon advertises that its target accepts calls.
    open: bool,
    /// Whether the daemon is reachable over its link. True until a dial fails,
    /// since only a call opens a link.
    linked: bool,
}

#[derive(Debug, Default)]
struct Table {
    services: IndexMap<Arc<str>, Service>,
    /// Targets by the name of their daemon.
    endpoints: HashMap<Arc<str>, Endpoint>,
}

/// A target that was selected for a call.
#[derive(Clone, Debug)]
pub struct Selection {
    /// Key, tier and load of the target, and the alternative.
    pub choice: Choice,
    /// Daemon of the target.
    pub peer: Peer,
    /// Name of the daemon of the rejected alternative.
    pub rejected: Option<Arc<str>>,
}

/// All services that members of the fleet advertise, with their targets.
#[derive(Debug)]
pub struct Services {
    domain: Arc<str>,
    region: Arc<str>,
    table: Mutex<Table>,
}

/// Number of targets of one service, for the status of the daemon.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Summary {
    /// Name of the service.
    pub service: Arc<str>,
    /// Number of targets, ejected and closed ones included.
    pub targets: usize,
    /// Number of targets that are ejected for their failures.
    pub ejected: usize,
}

impl Services {
    /// Creates an empty set of services. `domain` and `region` are those of this
    /// daemon and determine the tier of each target.
    pub fn new(domain: Arc<str>, region: Arc<str>) -> Self {
        Self {
            domain,
            region,
            table: Mutex::default(),
        }
    }

    /// Adds, replaces, removes, opens or closes the target of a member according
    /// to the member's record.
    pub fn update(&self, record: &Record, now: Moment) {
        let mut table = lock(&self.table);
        let profile = &record.profile;
        let service = profile.service.clone().filter(|_| record.state.is_active());
        let current = table.endpoints.get(&record.name).cloned();
        let unchanged = current.as_ref().is_some_and(|endpoint| {
            Some(&endpoint.service) == service.as_ref() && endpoint.peer.address == profile.peer
        });
        if !unchanged {
            table.remove(&record.name);
            let Some(service) = service else {
                return;
            };
            table.insert(record, service, self.tier(record), now);
        }
        let open = profile.open && record.state.is_active();
        table.set_availability(&record.name, Some(open), None);
    }

    /// Sets whether a daemon is reachable over its link. Targets of unreachable
    /// daemons are not selected. A link to an address that the daemon no longer
    /// advertises says nothing about it and is ignored.
    pub fn set_linked(&self, peer: &Peer, linked: bool) {
        let mut table = lock(&self.table);
        let endpoint = table.endpoints.get(&peer.node);
        if endpoint.is_some_and(|endpoint| endpoint.peer == *peer) {
            table.set_availability(&peer.node, None, Some(linked));
        }
    }

    /// Selects a target that is not in `exclude` and counts a call to it as in
    /// flight. Targets in other regions are considered only if `allow_remote` is
    /// set. Returns `None` if the service is unknown or no target is available.
    pub fn select(
        &self,
        service: &str,
        exclude: &[TargetKey],
        allow_remote: bool,
        now: Moment,
    ) -> Option<Selection> {
        let mut table = lock(&self.table);
        let entry = table.services.get_mut(service)?;
        let choice = entry
            .balancer
            .choose(exclude, allow_remote, &mut rand::rng(), now)?;
        let peer = entry.peers.get(&choice.target)?.clone();
        let node_of = |key: TargetKey| Some(Arc::clone(&entry.peers.get(&key)?.node));
        let rejected = choice.rejected.and_then(|(key, _)| node_of(key));
        entry.balancer.record_start(choice.target, now);
        Some(Selection {
            choice,
            peer,
            rejected,
        })
    }

    /// Records the end of a call, its outcome and the load that the reply
    /// reported. Returns the change in the target's ejection state, if any.
    pub fn record_end(
        &self,
        service: &str,
        target: TargetKey,
        outcome: Outcome,
        load: Option<Load>,
        now: Moment,
    ) -> Option<Transition> {
        let mut table = lock(&self.table);
        let entry = table.services.get_mut(service)?;
        if let Some(load) = load {
            entry.balancer.record_price(target, load.price(), now);
        }
        let load = load.map(Into::into);
        entry.balancer.record_end(target, outcome, load, now)
    }

    /// Records a request for a service, which allows some retries.
    pub fn record_request(&self, service: &str, now: Moment) {
        if let Some(entry) = lock(&self.table).services.get_mut(service) {
            entry.budget.record_request(now);
        }
    }

    /// Deducts requests from the service's budget that count as retries, although
    /// it did not allow them.
    pub fn charge_retries(&self, service: &str, requests: f64, now: Moment) {
        if let Some(entry) = lock(&self.table).services.get_mut(service) {
            entry.budget.charge(requests, now);
        }
    }

    /// Spends a retry of the service's budget. Returns false if none is available
    /// or the service is unknown.
    pub fn spend_retry(&self, service: &str, now: Moment) -> bool {
        let mut table = lock(&self.table);
        let entry = table.services.get_mut(service);
        entry.is_some_and(|entry| entry.budget.spend(now))
    }

    /// Sets the retries per request and the slack, in retries, of the budget of
    /// every known service.
    pub fn set_retry_bounds(&self, ratio: f64, slack: f64) {
        for service in lock(&self.table).services.values_mut() {
            service.budget.set_bounds(ratio, slack);
        }
    }

    /// Numbers of targets by service.
    pub fn summary(&self) -> Vec<Summary> {
        let table = lock(&self.table);
        let summaries = table.services.iter().map(|(name, service)| Summary {
            service: Arc::clone(name),
            targets: service.balancer.len(),
            ejected: service.balancer.ejected(),
        });
        summaries.collect()
    }

    fn tier(&self, record: &Record) -> Tier {
        if record.profile.domain == self.domain {
            Tier::Domain
        } else if record.profile.region == self.region {
            Tier::Region
        } else {
            Tier::Remote
        }
    }
}

impl Table {
    fn insert(&mut self, record: &Record, service: Arc<str>, tier: Tier, now: Moment) {
        let entry = self.services.entry(Arc::clone(&service)).or_default();
        let target = entry.balancer.insert(tier, record.profile.slots, now);
        let peer = Peer {
            node: Arc::clone(&record.name),
            address: record.profile.peer,
        };
        entry.peers.insert(target, peer.clone());
        let endpoint = Endpoint {
            service,
            target,
            peer,
            open: true,
            linked: true,
        };
        self.endpoints.insert(Arc::clone(&record.name), endpoint);
    }

    fn remove(&mut self, node: &str) {
        let Some(endpoint) = self.endpoints.remove(node) else {
            return;
        };
        if let Some(entry) = self.services.get_mut(&endpoint.service) {
            entry.balancer.remove(endpoint.target);
            entry.peers.remove(&endpoint.target);
        }
    }

    fn set_availability(&mut self, node: &str, open: Option<bool>, linked: Option<bool>) {
        let Some(endpoint) = self.endpoints.get_mut(node) else {
            return;
        };
        endpoint.open = open.unwrap_or(endpoint.open);
        endpoint.linked = linked.unwrap_or(endpoint.linked);
        if let Some(entry) = self.services.get_mut(&endpoint.service) {
            let available = endpoint.open && endpoint.linked;
            entry.balancer.set_open(endpoint.target, available);
        }
    }
}
