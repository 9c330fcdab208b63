//! Membership records.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::key::hash;

/// State of a member. Of two records with the same incarnation, the one with the
/// greater state takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// The member acknowledges probes.
    #[serde(rename = "a")]
    Alive,
    /// The member did not acknowledge a probe.
    #[serde(rename = "s")]
    Suspect,
    /// The member did not refute a suspicion in time.
    #[serde(rename = "f")]
    Failed,
    /// The member announced its departure.
    #[serde(rename = "l")]
    Left,
}

impl State {
    /// Whether the member is probed regularly and may receive calls.
    pub const fn is_active(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Notice of a target that it leaves.
///
/// Members keep the latest notice of each other member, also if a later record of that
/// member lacks it, and return it to a process of that member that does not know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Departure {
    /// Start of the target, in milliseconds of its wall clock; zero if unknown.
    #[serde(rename = "b")]
    pub born_ms: u64,
    /// Identity of the target.
    #[serde(rename = "i")]
    pub instance: Arc<str>,
}

/// Attributes that a member advertises.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Profile {
    /// Failure domain of the member.
    #[serde(rename = "d")]
    pub domain: Arc<str>,
    /// Region of the failure domain.
    #[serde(rename = "r")]
    pub region: Arc<str>,
    /// Address of the gossip socket.
    #[serde(rename = "g")]
    pub gossip: SocketAddr,
    /// Address of the listener for peer links.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
    /// Address of the admin listener.
    #[serde(rename = "m")]
    pub admin: SocketAddr,
    /// Service of the local target, if there is one.
    #[serde(rename = "v")]
    pub service: Option<Arc<str>>,
    /// Concurrent calls that the target accepts.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Whether the target accepts new calls.
    #[serde(rename = "o")]
    pub open: bool,
    /// Lender slots of the failure domain that the member holds.
    #[serde(rename = "l")]
    pub lender_slots: Vec<u16>,
    /// Latest departure of a target of the member.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub departure: Option<Departure>,
}

/// Hash of a member's name that orders the members of a failure domain, lowest
/// first. It is the same at every member.
pub fn rank_key(name: &str) -> u64 {
    hash(name.bytes())
}

/// Versioned record of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Name, unique in the fleet.
    #[serde(rename = "n")]
    pub name: Arc<str>,
    /// Version of the record. Only the member itself raises it.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// State in the view of the sender.
    #[serde(rename = "s")]
    pub state: State,
    /// Attributes advertised by the member.
    #[serde(rename = "p")]
    pub profile: Profile,
}

impl Record {
    /// Hash of name and incarnation. The state is not part of it.
    pub fn digest(&self) -> u64 {
        hash(self.name.bytes().chain(self.incarnation.to_be_bytes()))
    }

    /// Whether this record replaces `other`, a record of the same member.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
