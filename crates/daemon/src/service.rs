//! Services and their targets as this daemon routes to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use cardamomshed_policy::member::Record;
use cardamomshed_policy::retry::Budget;
use cardamomshed_policy::route::{Balancer, Choice, Outcome, Tier, Transition};
use cardamomshed_policy::{Moment, TargetKey, gate};
use indexmap::IndexMap;
use serde::Serialize;

use crate::sync::lock;

/// A daemon with a target of some service beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the daemon.
    pub node: Arc<str>,
    /// Where it accepts peer links.
    pub address: SocketAddr,
}

#[derive(Debug, Default)]
struct Service {
    balancer: Balancer,
    budget: Budget,
    peers: HashMap<TargetKey, Peer>,
}

#[derive(Clone, Debug)]
struct Place {
    service: Arc<str>,
    target: TargetKey,
    peer: Peer,
    open: bool,
    linked: bool,
}

#[derive(Debug, Default)]
struct Table {
    services: IndexMap<Arc<str>, Service>,
    /// Place of each daemon's target by the daemon's name.
    places: HashMap<Arc<str>, Place>,
}

/// A chosen target and the daemon beside it.
#[derive(Clone, Debug)]
pub struct Picked {
    /// Why it was chosen.
    pub choice: Choice,
    /// The daemon beside it.
    pub peer: Peer,
    /// The daemon beside the rejected option.
    pub rejected: Option<Arc<str>>,
}

/// Services and their targets.
#[derive(Debug)]
pub struct Services {
    domain: Arc<str>,
    region: Arc<str>,
    table: Mutex<Table>,
}

/// One service at a glance.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Summary {
    /// Name of the service.
    pub service: Arc<str>,
    /// Targets known.
    pub targets: usize,
    /// Targets ejected.
    pub ejected: usize,
}

impl Services {
    /// No service; the own failure domain and region decide on tiers.
    pub fn new(domain: Arc<str>, region: Arc<str>) -> Self {
        Self {
            domain,
            region,
            table: Mutex::default(),
        }
    }

    /// Brings the targets up to date with a member's record.
    pub fn update(&self, record: &Record, now: Moment) {
        let mut table = lock(&self.table);
        let profile = &record.profile;
        let serves = profile.service.clone().filter(|_| record.state.is_active());
        let known = table.places.get(&record.name).cloned();
        let same = known.as_ref().is_some_and(|place| {
            Some(&place.service) == serves.as_ref() && place.peer.address == profile.peer
        });
        if !same {
            table.remove(&record.name);
            let Some(service) = serves else {
                return;
            };
            table.insert(record, service, self.tier(record), now);
        }
        let open = profile.open && record.state.is_active();
        table.set_open(&record.name, Some(open), None);
    }

    /// Says whether a daemon can be reached over its link.
    pub fn set_linked(&self, node: &str, linked: bool) {
        lock(&self.table).set_open(node, None, Some(linked));
    }

    /// Chooses a target of a service.
    pub fn pick(
        &self,
        service: &str,
        exclude: &[TargetKey],
        remote: bool,
        now: Moment,
    ) -> Option<Picked> {
        let mut table = lock(&self.table);
        let entry = table.services.get_mut(service)?;
        let choice = entry
            .balancer
            .choose(exclude, remote, &mut rand::rng(), now)?;
        let peer = entry.peers.get(&choice.target)?.clone();
        let name_of = |key: TargetKey| Some(Arc::clone(&entry.peers.get(&key)?.node));
        let rejected = choice.rejected.and_then(|(key, _)| name_of(key));
        entry.balancer.record_start(choice.target, now);
        Some(Picked {
            choice,
            peer,
            rejected,
        })
    }

    /// Notes the end of a call; gives the change in the target's standing.
    pub fn finished(
        &self,
        service: &str,
        target: TargetKey,
        outcome: Outcome,
        load: Option<gate::Load>,
        now: Moment,
    ) -> Option<Transition> {
        let mut table = lock(&self.table);
        let entry = table.services.get_mut(service)?;
        if outcome == Outcome::Answered {
            entry.budget.record_success();
        }
        entry.balancer.record_end(target, outcome, load, now)
    }

    /// Spends a retry of the service's budget.
    pub fn spend_retry(&self, service: &str) -> bool {
        let mut table = lock(&self.table);
        let entry = table.services.get_mut(service);
        entry.is_some_and(|entry| entry.budget.spend())
    }

    /// Changes the bounds of every service's retry budget.
    pub fn set_retry_bounds(&self, ratio: f64, capacity: f64) {
        for service in lock(&self.table).services.values_mut() {
            service.budget.set_bounds(ratio, capacity);
        }
    }

    /// Every service at a glance.
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
        let place = Place {
            service,
            target,
            peer,
            open: true,
            linked: true,
        };
        self.places.insert(Arc::clone(&record.name), place);
    }

    fn remove(&mut self, node: &str) {
        let Some(place) = self.places.remove(node) else {
            return;
        };
        if let Some(entry) = self.services.get_mut(&place.service) {
            entry.balancer.remove(place.target);
            entry.peers.remove(&place.target);
        }
    }

    fn set_open(&mut self, node: &str, open: Option<bool>, linked: Option<bool>) {
        let Some(place) = self.places.get_mut(node) else {
            return;
        };
        place.open = open.unwrap_or(place.open);
        place.linked = linked.unwrap_or(place.linked);
        if let Some(entry) = self.services.get_mut(&place.service) {
            let takes_calls = place.open && place.linked;
            entry.balancer.set_open(place.target, takes_calls);
        }
    }
}
