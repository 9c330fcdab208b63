//! The order of the members of a failure domain, the same at each of them.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::node::Node;
use crate::sync::lock;

/// Place of a member's name in the order.
pub(super) fn order(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Live members of the own failure domain that come before this one.
pub(super) fn rank(node: &Node) -> usize {
    let own = order(&node.name);
    let fleet = lock(&node.fleet);
    let domain = &fleet.own().profile.domain;
    fleet
        .members()
        .filter(|record| record.state.takes_part() && record.profile.domain == *domain)
        .filter(|record| order(&record.name) < own)
        .count()
}
