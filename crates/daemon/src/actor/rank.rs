//! The order of the members of a failure domain, the same at each of them.

use std::hash::{DefaultHasher, Hash, Hasher};

use cardamomshed_policy::member::{Fleet, Record};

use crate::node::Node;
use crate::sync::lock;

/// Place of a member's name in the order.
pub(super) fn order(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Live members of the own failure domain, without this one.
fn near(fleet: &Fleet) -> impl Iterator<Item = &Record> {
    let domain = &fleet.own().profile.domain;
    fleet
        .members()
        .filter(move |record| record.state.takes_part() && record.profile.domain == *domain)
}

/// Live members of the own failure domain, this one among them.
pub(super) fn members(node: &Node) -> usize {
    near(&lock(&node.fleet)).count() + 1
}

/// Live members of the own failure domain that come before this one.
pub(super) fn rank(node: &Node) -> usize {
    let own = order(&node.name);
    let before = |record: &&Record| order(&record.name) < own;
    near(&lock(&node.fleet)).filter(before).count()
}
