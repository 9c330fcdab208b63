//! What the daemon tells the other members of the fleet, and its place among
//! them. The policy decides; the functions here carry out.

use std::sync::Arc;

use cardamomshed_code::Event;
use cardamomshed_policy::member::{Change, Fleet, Output, Record, State};
use cardamomshed_wire::Frame;

use crate::directory::order;
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Pollers of each failure domain.
const POLLERS: usize = 3;
/// The same on the platform, where calls to the store are paid and a daemon
/// that nobody confirms the configuration to reads by itself.
const READERS: usize = 1;

/// Carries out what the policy decided, from any thread.
pub fn post(node: &Node, output: Output) {
    for send in output.sends {
        // The gossip actor ends only with the process.
        let _ = node.members.sends.send(send);
    }
    let now = node.clock.now();
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
    }
    if let Some(name) = output.newer_note {
        *lock(&node.configuration.newer) = Some(name);
        node.configuration.wake.notify_one();
    }
    if let Some(confirmed) = output.confirmed {
        node.configuration.confirm_at(confirmed);
    }
}

/// Tells the own failure domain that the configuration was confirmed.
pub fn tell_domain(node: &Node) {
    let output = {
        let mut fleet = lock(&node.members.fleet);
        fleet.confirm(node.configuration.confirmed());
        fleet.broadcast(node.clock.now())
    };
    post(node, output);
}

fn log_change(node: &Node, change: &Change) {
    let event = match (change.before, change.record.state) {
        (None | Some(State::Failed | State::Left), State::Alive) => Event::MemberJoined,
        (_, State::Suspect) => Event::MemberSuspected,
        (before, State::Failed) if before != Some(State::Failed) => Event::MemberFailed,
        (before, State::Left) if before != Some(State::Left) => Event::MemberLeft,
        _ => return,
    };
    node.note_event(
        event,
        format_args!(
            "node={} domain={} incarnation={}",
            change.record.name, change.record.profile.domain, change.record.incarnation
        ),
    );
}

/// Tells the fleet, and this daemon's own routing, of the target and of the
/// lender slots as they are.
pub fn publish(node: &Arc<Node>) {
    let output = {
        let mut fleet = lock(&node.members.fleet);
        let mut profile = fleet.own().profile.clone();
        let announcement = node.beside.announcement();
        profile.open = announcement
            .as_ref()
            .is_some_and(|target| !target.leaving && !node.beside.is_withdrawn());
        profile.slots = announcement.as_ref().map_or(0, |target| target.slots);
        profile.service = announcement.map(|target| target.service);
        profile.lender_slots = lock(&node.quota.lenders).keys().copied().collect();
        let output = fleet.set_profile(profile, &mut rand::rng());
        node.routing.services.update(fleet.own(), node.clock.now());
        node.quota.directory.update(fleet.own());
        output
    };
    post(node, output);
}

/// Asks any member for the members that differ.
pub fn ask_members(node: &Arc<Node>) {
    let chosen = {
        let fleet = lock(&node.members.fleet);
        let live = fleet
            .members()
            .filter(|record| record.state == State::Alive)
            .collect::<Vec<_>>();
        if live.is_empty() {
            return;
        }
        Arc::clone(&live[rand::random_range(0..live.len())].name)
    };
    ask_member(node, &chosen);
}

/// Asks a member that knows others for those that differ.
pub fn ask_member(node: &Arc<Node>, name: &Arc<str>) {
    let address = lock(&node.members.fleet)
        .get(name)
        .map(|record| record.profile.peer);
    if let Some(address) = address {
        let peer = Peer {
            node: Arc::clone(name),
            address,
        };
        let digests = lock(&node.members.fleet).group_digests();
        node.links.send(&peer, Frame::RequestMembers { digests });
    }
}

/// Live members of the own failure domain, without this one.
fn near(fleet: &Fleet) -> impl Iterator<Item = &Record> {
    let domain = &fleet.own().profile.domain;
    fleet
        .members()
        .filter(move |record| record.state.is_active() && record.profile.domain == *domain)
}

/// Live members of the own failure domain, this one among them.
pub fn members(node: &Node) -> usize {
    near(&lock(&node.members.fleet)).count() + 1
}

/// Live members of the own failure domain that come before this one.
pub fn rank(node: &Node) -> usize {
    let own = order(&node.name);
    let before = |record: &&Record| order(&record.name) < own;
    near(&lock(&node.members.fleet)).filter(before).count()
}

/// Whether this daemon is one of the pollers of its failure domain, by the
/// members that it knows. Any number of daemons may think so.
pub fn is_poller(node: &Node) -> bool {
    rank(node) < readers(node)
}

/// Pollers of each failure domain.
pub const fn readers(node: &Node) -> usize {
    match node.settings.sidecar {
        Some(_) => READERS,
        None => POLLERS,
    }
}
