//! Communication with the other members of the fleet and this daemon's rank among
//! them. The functions apply decisions of the membership policy.

use std::collections::BTreeSet;
use std::sync::Arc;

use cardamomshed_code::Event;
use cardamomshed_policy::Moment;
use cardamomshed_policy::evacuation::Reading;
use cardamomshed_policy::member::{
    Change, Departure, Fleet, Output, Record, Size, State, rank_key,
};
use cardamomshed_policy::registration::Incarnation;
use cardamomshed_wire::Frame;

use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Daemons of each failure domain that poll the store.
const POLLERS: usize = 3;
/// Pollers of each failure domain where daemons run as sidecars. Calls to the
/// platform's store are billed there, and a daemon whose configuration is not
/// confirmed reads the store itself.
const SIDECAR_POLLERS: usize = 1;

/// Applies the output of the membership policy: queues its packets, updates routing
/// and the lender directory, logs changes and wakes the actors concerned. May be
/// called from any thread.
pub fn apply_output(node: &Node, output: Output) {
    for send in output.sends {
        // The receiver exists for as long as the process.
        let _ = node.members.outgoing.send(send);
    }
    let now = node.clock.now();
    let mut evacuations_changed = output.evacuations_changed;
    for change in &output.changes {
        node.routing.services.update(&change.record, now);
        node.quota.directory.update(&change.record);
        log_change(node, change);
        if *change.record.profile.domain == *node.settings.domain {
            // A lender slot may have become free.
            node.quota.wake.notify_one();
        }
        if change.record.state == State::Alive && change.before == Some(State::Failed) {
            node.members.rejoin.notify_one();
        }
        // The first member of a failure domain may make its name known.
        let is_new = change.before.is_none();
        evacuations_changed |=
            is_new && lock(&node.evacuation.ignored).contains(&change.record.profile.domain);
    }
    if evacuations_changed {
        apply_evacuations(node);
    }
    if let Some(era) = output.store_era {
        node.store_era.observe(era);
    }
    if let Some(name) = output.newer_note {
        *lock(&node.configuration.newer_member) = Some(name);
        node.configuration.wake.notify_one();
    }
    if let Some(departure) = output.held_departure {
        restore_departure(node, departure);
    }
    if let Some(confirmed) = output.confirmed {
        node.confirm_configuration(confirmed, "peer");
    }
}

/// Carries out the evacuations that are known now, by rows of the store and by release
/// notes: closes the targets of evacuated failure domains, reopens the others, and logs
/// what changed.
pub fn apply_evacuations(node: &Node) {
    let mut applied = lock(&node.evacuation.domains);
    let mut domains = lock(&node.members.fleet).evacuated().clone();
    domains.extend(noted_evacuations(node));
    if domains == *applied {
        return;
    }
    node.evacuation.apply(&domains);
    node.routing.services.set_evacuated(&domains);
    let count = i64::try_from(domains.len()).unwrap_or(i64::MAX);
    node.metrics.evacuated.set(count);
    for domain in domains.difference(&applied) {
        node.log_event(Event::EvacuationBegun, format_args!("domain={domain}"));
    }
    for domain in applied.difference(&domains) {
        node.log_event(Event::EvacuationEnded, format_args!("domain={domain}"));
        if **domain == *node.settings.domain {
            // Targets may have become cold meanwhile.
            node.local_target.suspect_cold();
        }
    }
    *applied = domains;
}

/// Failure domains that release notes have evacuated. Names that no known failure domain
/// has are logged once and left out.
fn noted_evacuations(node: &Node) -> BTreeSet<Arc<str>> {
    let config = Arc::clone(&node.lookup().config);
    let is_known = |domain: &Arc<str>| is_known_domain(node, domain);
    let (domains, unknown) = config.evacuated.iter().cloned().partition(is_known);
    let unknown: BTreeSet<Arc<str>> = unknown;
    let mut ignored = lock(&node.evacuation.ignored);
    for domain in unknown.difference(&ignored) {
        node.log_event(Event::EvacuationIgnored, format_args!("domain={domain:?}"));
    }
    *ignored = unknown;
    domains
}

/// Records the failure domains for which a read of the store, sent at `sent`, found
/// an evacuation row.
pub fn record_evacuations(node: &Node, reading: Reading, sent: Moment) {
    let output = lock(&node.members.fleet).record_evacuations(reading, sent);
    apply_output(node, output);
}

/// Tells the members of the local failure domain of a return of the store from a copy,
/// unless a member reported it.
pub fn record_store_era(node: &Node, era: u64) {
    let output = lock(&node.members.fleet).record_store_era(era);
    apply_output(node, output);
}

/// Whether a failure domain is in the settings or has a known member.
pub fn is_known_domain(node: &Node, domain: &str) -> bool {
    let mut configured = node.settings.domains.iter();
    configured.any(|known| **known == *domain)
        || lock(&node.members.fleet)
            .members()
            .any(|record| *record.profile.domain == *domain)
}

/// Marks the target as leaving if a peer holds its departure, which a process of this
/// daemon before a restart may have told it.
fn restore_departure(node: &Node, departure: Departure) {
    let incarnation = Incarnation {
        instance: departure.instance,
        born_ms: departure.born_ms,
    };
    let is_known = lock(&node.registration).leaving() == Some(&incarnation);
    let is_restored = !is_known
        && lock(&node.registration).deregister(&incarnation.instance, Some(incarnation.born_ms));
    if !is_known && !is_restored {
        return;
    }
    node.departures.confirm(&incarnation);
    if is_restored {
        node.local_target.set_leaving();
        node.log_event(
            Event::DepartureReturned,
            format_args!("instance={}", incarnation.instance),
        );
        publish(node);
        // The receiver exists for as long as the process.
        let _ = node.departures.unstored.send(incarnation);
    }
}

/// Advertises the departure of the local target to the members, which confirm that they
/// hold it.
pub fn announce_departure(node: &Node, incarnation: &Incarnation) {
    let departure = Departure {
        instance: Arc::clone(&incarnation.instance),
        born_ms: incarnation.born_ms,
    };
    let output = lock(&node.members.fleet).announce_departure(&departure, &mut rand::rng());
    apply_output(node, output);
}

/// Broadcasts the time of the last confirmation of the configuration within the
/// local failure domain.
pub fn broadcast_confirmation(node: &Node) {
    let Some(confirmed) = node.configuration.confirmed() else {
        return;
    };
    let output = {
        let mut fleet = lock(&node.members.fleet);
        fleet.confirm(confirmed);
        fleet.broadcast(node.clock.now())
    };
    apply_output(node, output);
}

fn log_change(node: &Node, change: &Change) {
    let event = match (change.before, change.record.state) {
        (None | Some(State::Failed | State::Left), State::Alive) => Event::MemberJoined,
        (_, State::Suspect) => Event::MemberSuspected,
        (before, State::Failed) if before != Some(State::Failed) => Event::MemberFailed,
        (before, State::Left) if before != Some(State::Left) => Event::MemberLeft,
        _ => return,
    };
    node.log_event(
        event,
        format_args!(
            "node={} domain={} incarnation={}",
            change.record.name, change.record.profile.domain, change.record.incarnation
        ),
    );
}

/// Publishes the current state of the target and the lender slots to the fleet, and
/// updates this daemon's own routing and lender directory.
pub fn publish(node: &Node) {
    let output = {
        let mut fleet = lock(&node.members.fleet);
        let mut profile = fleet.own().profile.clone();
        let announcement = node.local_target.announcement();
        profile.open = announcement
            .as_ref()
            .is_some_and(|target| !target.leaving && !node.local_target.is_withdrawn());
        profile.slots = node.local_target.slots();
        profile.service = announcement.map(|target| target.service);
        profile.lender_slots = lock(&node.quota.lenders).keys().copied().collect();
        let output = fleet.set_profile(profile, &mut rand::rng());
        node.routing.services.update(fleet.own(), node.clock.now());
        node.quota.directory.update(fleet.own());
        output
    };
    apply_output(node, output);
}

/// Requests the differing member records from another member. `round` counts the
/// requests of this daemon.
pub fn request_members(node: &Arc<Node>, round: u32) {
    let chosen = exchange_partner(&lock(&node.members.fleet), round);
    if let Some(name) = chosen {
        request_members_from(node, &name);
    }
}

/// Member to exchange records with: the first of the failure domain in even
/// rounds, and a random one of it in odd rounds. A relay, or a daemon that knows no
/// other of its failure domain, turns to the other domains instead in odd rounds.
fn exchange_partner(fleet: &Fleet, round: u32) -> Option<Arc<str>> {
    let domain = &fleet.own().profile.domain;
    let live = fleet
        .members()
        .filter(|record| record.state == State::Alive);
    let (local, foreign): (Vec<_>, Vec<_>) =
        live.partition(|record| record.profile.domain == *domain);
    let is_even = round.is_multiple_of(2);
    let first = local.iter().min_by_key(|record| rank_key(&record.name));
    let random = |records: &[&Record]| {
        let index = (!records.is_empty()).then(|| rand::random_range(0..records.len()))?;
        Some(Arc::clone(&records[index].name))
    };
    match first {
        Some(first) if is_even => Some(Arc::clone(&first.name)),
        Some(_) if !fleet.is_relay() || foreign.is_empty() => random(&local),
        _ => random(&foreign),
    }
}

/// Requests the member records that differ, by the digests of the record groups,
/// from the member `name`. Does nothing if that member is unknown.
pub fn request_members_from(node: &Arc<Node>, name: &Arc<str>) {
    let address = lock(&node.members.fleet)
        .get(name)
        .map(|record| record.profile.peer);
    if let Some(address) = address {
        let peer = Peer {
            node: Arc::clone(name),
            address,
        };
        request_members_at(node, &peer);
    }
}

/// Requests the member records that differ from a daemon that may not be a known
/// member.
pub fn request_members_at(node: &Node, peer: &Peer) {
    let request = {
        let fleet = lock(&node.members.fleet);
        Frame::RequestMembers {
            digests: fleet.group_digests(),
            record: Some(Box::new(fleet.own().clone())),
            uncounted: !fleet.is_counted(),
        }
    };
    node.links.send(peer, request);
}

/// Takes over the sizes of the failure domains unless some have been received since
/// the start. `source` is whether they come from the store or a peer.
pub fn receive_sizes(node: &Node, sizes: Vec<Size>, source: &str) {
    let size = {
        let mut fleet = lock(&node.members.fleet);
        if !fleet.receive_sizes(sizes, node.clock.now()) {
            return;
        }
        fleet.size()
    };
    node.log_event(
        Event::FleetCounted,
        format_args!("members={size} by={source}"),
    );
    node.quota.wake.notify_one();
}

/// Live members of the local failure domain except this one.
fn local_members(fleet: &Fleet) -> impl Iterator<Item = &Record> {
    let domain = &fleet.own().profile.domain;
    fleet
        .members()
        .filter(move |record| record.state.is_active() && record.profile.domain == *domain)
}

/// Number of live members of the local failure domain, including this one.
pub fn domain_size(node: &Node) -> usize {
    local_members(&lock(&node.members.fleet)).count() + 1
}

/// Number of live members of the local failure domain that precede this one in the
/// order of [`rank_key`]; 0 for the first.
pub fn rank(node: &Node) -> usize {
    let own = rank_key(&node.name);
    let before = |record: &&Record| rank_key(&record.name) < own;
    local_members(&lock(&node.members.fleet))
        .filter(before)
        .count()
}

/// Whether this daemon is a poller of its failure domain according to its view of
/// the members. Daemons with different views may disagree, so there may be more
/// or fewer pollers than [`poller_count`].
pub fn is_poller(node: &Node) -> bool {
    rank(node) < poller_count(node)
}

/// Number of pollers of each failure domain.
pub const fn poller_count(node: &Node) -> usize {
    match node.settings.sidecar {
        Some(_) => SIDECAR_POLLERS,
        None => POLLERS,
    }
}
