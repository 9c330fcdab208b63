//! Services, their targets and the choice of a target for each call.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use cardamomshed_code::{Code, Failure};
use cardamomshed_note::Name;
use cardamomshed_policy::member::Record;
use cardamomshed_policy::retry::Budget;
use cardamomshed_policy::route::{self, Availability, Balancer, Choice, Outcome, Tier, Transition};
use cardamomshed_policy::{Moment, RegionKey, TargetKey};
use cardamomshed_wire::Load;
use indexmap::{IndexMap, IndexSet};
use rand::Rng;
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
    /// Targets in this region whose failure domain is not evacuated.
    near: usize,
}

/// Target of one daemon.
#[derive(Clone, Debug)]
struct Endpoint {
    service: Arc<str>,
    target: TargetKey,
    peer: Peer,
    /// Failure domain of the daemon.
    domain: Arc<str>,
    /// Region of the failure domain.
    region: Arc<str>,
    tier: Tier,
    /// Slots that the daemon advertises.
    slots: u32,
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
    /// Regions of all targets since the start, by [`RegionKey`].
    regions: IndexSet<Arc<str>>,
    /// Evacuated failure domains, whose targets are closed.
    evacuated: BTreeSet<Arc<str>>,
}

/// Restrictions on the selection of a target for one attempt of a call, by name.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Service that is called.
    pub service: &'a str,
    /// Targets that are not selected.
    pub exclude: &'a [TargetKey],
    /// Regions whose targets may be selected; `None` for every region.
    pub regions: Option<&'a [Name]>,
    /// Whether the budget of the slow link allows another call.
    pub remote: bool,
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

/// How the selection of a target would be made.
#[derive(Debug, Default)]
pub struct Preview {
    /// Candidates, exclusions and the most likely choice.
    pub route: route::Preview,
    /// The targets by name.
    pub places: HashMap<TargetKey, Place>,
}

/// Daemon and location of a target.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of its daemon.
    pub node: Arc<str>,
    /// Failure domain of the daemon.
    pub domain: Arc<str>,
    /// Region of the failure domain.
    pub region: Arc<str>,
}

/// Availability of a target whose daemon is not known.
const UNKNOWN: Availability = Availability {
    open: false,
    linked: false,
    evacuated: false,
};

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
            Some(&endpoint.service) == service.as_ref()
                && endpoint.peer.address == profile.peer
                && endpoint.domain == profile.domain
                && endpoint.region == profile.region
        });
        if !unchanged {
            table.remove(&record.name);
            let Some(service) = service else {
                return;
            };
            table.insert(record, service, self.tier(record), now);
        }
        table.set_slots(&record.name, profile.slots);
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

    /// Closes the targets of evacuated failure domains, those included that are added
    /// later, and reopens the others.
    pub fn set_evacuated(&self, domains: &BTreeSet<Arc<str>>) {
        let mut table = lock(&self.table);
        table.evacuated.clone_from(domains);
        for service in table.services.values_mut() {
            service.near = 0;
        }
        let nodes = table.endpoints.keys().cloned().collect::<Vec<_>>();
        for node in nodes {
            table.set_availability(&node, None, None);
            table.count_near(&node, 1);
        }
    }

    /// Targets of a service in the failure domain of one of them, itself included.
    pub fn domain_targets(&self, service: &str, target: TargetKey) -> Vec<TargetKey> {
        let table = lock(&self.table);
        let domain_of = |peer: &Peer| Some(&table.endpoints.get(&peer.node)?.domain);
        let entry = table.services.get(service);
        let peers = entry.map(|entry| &entry.peers);
        let domain = peers
            .and_then(|peers| peers.get(&target))
            .and_then(domain_of);
        let peers = peers.into_iter().flatten();
        let beside = peers.filter(|(key, peer)| **key == target || domain_of(peer) == domain);
        beside.map(|(key, _)| *key).collect()
    }

    /// Checks whether a service has a target, available or not, in one of these regions.
    ///
    /// # Errors
    ///
    /// [`Code::RegionUnavailable`].
    pub fn check_regions(&self, service: &str, regions: Option<&[Name]>) -> Result<(), Failure> {
        let Some(regions) = regions else {
            return Ok(());
        };
        let table = lock(&self.table);
        let entry = table.services.get(service);
        if entry.is_some_and(|entry| entry.balancer.has_target_in(&table.region_keys(regions))) {
            return Ok(());
        }
        let names = regions.iter().map(|region| &**region).collect::<Vec<_>>();
        let detail = format!("service {service} regions {names:?}");
        Err(Failure::new(Code::RegionUnavailable, detail))
    }

    /// Selects a target that the query permits and counts a call to it as in
    /// flight. A call that cannot run in the local region, because that is not
    /// allowed or because all targets there are evacuated, uses the slow link
    /// whatever its budget. Returns `None` if the service is unknown or no target is
    /// available.
    pub fn select(&self, query: &Query<'_>, now: Moment) -> Option<Selection> {
        let mut table = lock(&self.table);
        let regions = query.regions.map(|regions| table.region_keys(regions));
        let restrictions = route::Query {
            exclude: query.exclude,
            regions: regions.as_deref(),
            remote: query.remote || !self.may_stay(&table, query),
        };
        let entry = table.services.get_mut(query.service)?;
        let choice = entry
            .balancer
            .choose(&restrictions, &mut rand::rng(), now)?;
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

    /// Whether a call may run in the local region: that is allowed, and not all targets
    /// there are evacuated.
    fn may_stay(&self, table: &Table, query: &Query<'_>) -> bool {
        let is_local = |region: &Name| **region == *self.region;
        let is_allowed = query
            .regions
            .is_none_or(|regions| regions.iter().any(is_local));
        let near = table
            .services
            .get(query.service)
            .map_or(0, |entry| entry.near);
        is_allowed && (table.evacuated.is_empty() || near > 0)
    }

    /// Previews the selection that [`Self::select`] makes. Changes nothing; `random` is
    /// not the source of selections. Empty if the service is unknown.
    pub fn preview(&self, query: &Query<'_>, random: &mut impl Rng, now: Moment) -> Preview {
        let table = lock(&self.table);
        let regions = query.regions.map(|regions| table.region_keys(regions));
        let restrictions = route::Query {
            exclude: query.exclude,
            regions: regions.as_deref(),
            remote: query.remote || !self.may_stay(&table, query),
        };
        let Some(entry) = table.services.get(query.service) else {
            return Preview::default();
        };
        let endpoint = |peer: &Peer| table.endpoints.get(&peer.node);
        let known = |key| {
            let endpoint = entry.peers.get(&key).and_then(endpoint);
            endpoint.map_or(UNKNOWN, |known| availability(known, &table.evacuated))
        };
        let places = entry.peers.iter().filter_map(|(key, peer)| {
            let endpoint = endpoint(peer)?;
            let place = Place {
                node: Arc::clone(&peer.node),
                domain: Arc::clone(&endpoint.domain),
                region: Arc::clone(&endpoint.region),
            };
            Some((*key, place))
        });
        Preview {
            places: places.collect(),
            route: entry.balancer.preview(&restrictions, known, random, now),
        }
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
    /// Keys of the regions that have or had a target. The others have no key.
    fn region_keys(&self, regions: &[Name]) -> Vec<RegionKey> {
        let index = |region: &Name| self.regions.get_index_of(&**region);
        let indexes = regions.iter().filter_map(index);
        indexes.map(|index| RegionKey(index as u32)).collect()
    }

    fn insert(&mut self, record: &Record, service: Arc<str>, tier: Tier, now: Moment) {
        let profile = &record.profile;
        let region = self.regions.insert_full(Arc::clone(&profile.region)).0;
        let region = RegionKey(region as u32);
        let entry = self.services.entry(Arc::clone(&service)).or_default();
        let target = entry.balancer.insert(tier, region, profile.slots, now);
        let peer = Peer {
            node: Arc::clone(&record.name),
            address: profile.peer,
        };
        entry.peers.insert(target, peer.clone());
        let endpoint = Endpoint {
            service,
            target,
            peer,
            domain: Arc::clone(&profile.domain),
            region: Arc::clone(&profile.region),
            tier,
            slots: record.profile.slots,
            open: true,
            linked: true,
        };
        self.endpoints.insert(Arc::clone(&record.name), endpoint);
        self.count_near(&record.name, 1);
    }

    /// Adds `change` to the count of near targets of its service if the target of
    /// this daemon is one.
    fn count_near(&mut self, node: &str, change: isize) {
        let Some(endpoint) = self.endpoints.get(node) else {
            return;
        };
        if endpoint.tier == Tier::Remote || self.evacuated.contains(&endpoint.domain) {
            return;
        }
        if let Some(entry) = self.services.get_mut(&endpoint.service) {
            entry.near = entry.near.saturating_add_signed(change);
        }
    }

    fn remove(&mut self, node: &str) {
        self.count_near(node, -1);
        let Some(endpoint) = self.endpoints.remove(node) else {
            return;
        };
        if let Some(entry) = self.services.get_mut(&endpoint.service) {
            entry.balancer.remove(endpoint.target);
            entry.peers.remove(&endpoint.target);
        }
    }

    fn set_slots(&mut self, node: &str, slots: u32) {
        let endpoint = self.endpoints.get_mut(node);
        let Some(endpoint) = endpoint.filter(|endpoint| endpoint.slots != slots) else {
            return;
        };
        endpoint.slots = slots;
        if let Some(entry) = self.services.get_mut(&endpoint.service) {
            entry.balancer.set_slots(endpoint.target, slots);
        }
    }

    fn set_availability(&mut self, node: &str, open: Option<bool>, linked: Option<bool>) {
        let Some(endpoint) = self.endpoints.get_mut(node) else {
            return;
        };
        endpoint.open = open.unwrap_or(endpoint.open);
        endpoint.linked = linked.unwrap_or(endpoint.linked);
        let availability = availability(endpoint, &self.evacuated);
        if let Some(entry) = self.services.get_mut(&endpoint.service) {
            let is_open = availability.exclusion().is_none();
            entry.balancer.set_open(endpoint.target, is_open);
        }
    }
}

fn availability(endpoint: &Endpoint, evacuated: &BTreeSet<Arc<str>>) -> Availability {
    Availability {
        open: endpoint.open,
        linked: endpoint.linked,
        evacuated: evacuated.contains(&endpoint.domain),
    }
}
