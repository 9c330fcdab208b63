//! What is known of one member.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::key::hash;

/// State of a member; of two records with one incarnation the later state
/// in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer a probe.
    #[serde(rename = "s")]
    Suspect,
    /// It did not overrule a suspicion in time.
    #[serde(rename = "f")]
    Failed,
    /// It said that it left.
    #[serde(rename = "l")]
    Left,
}

impl State {
    /// Whether the member is probed and may be sent work.
    pub const fn takes_part(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// What a member tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Profile {
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: Arc<str>,
    /// Region of the failure domain.
    #[serde(rename = "r")]
    pub region: Arc<str>,
    /// Address of its gossip socket.
    #[serde(rename = "g")]
    pub gossip: SocketAddr,
    /// Address at which it accepts peer links.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
    /// Address of its admin listener.
    #[serde(rename = "m")]
    pub admin: SocketAddr,
    /// Service of the target beside it, if there is one.
    #[serde(rename = "v")]
    pub service: Option<Arc<str>>,
    /// Slots of the target.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Whether the target takes new calls.
    #[serde(rename = "o")]
    pub open: bool,
    /// Lender slots of its failure domain that it holds.
    #[serde(rename = "l")]
    pub lends: Vec<u16>,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Unique name.
    #[serde(rename = "n")]
    pub name: Arc<str>,
    /// Raised by the member itself only.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// State as far as the sender knows.
    #[serde(rename = "s")]
    pub state: State,
    /// What the member tells of itself.
    #[serde(rename = "p")]
    pub profile: Profile,
}

impl Record {
    /// Hash of name and incarnation.
    pub fn digest(&self) -> u64 {
        hash(self.name.bytes().chain(self.incarnation.to_be_bytes()))
    }

    /// Hash of the name.
    pub(super) fn name_hash(&self) -> u64 {
        hash(self.name.bytes())
    }

    /// Whether this record is newer than `other`, which has the same name.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
