//! Wire format of gossip packets.

use std::num::NonZeroU64;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Record;
use crate::evacuation::State;
use crate::moment::Moment;

/// One gossip packet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Packet {
    /// Name of the sender.
    #[serde(rename = "s")]
    pub sender: Arc<str>,
    /// Revision of the newest release note in force at the sender.
    #[serde(rename = "h")]
    pub revision: u64,
    /// Identity of the sender's process, on whose clock moments are given.
    #[serde(rename = "b")]
    pub process: u64,
    /// When the sender last knew that release note to be the newest, in
    /// microseconds on its clock; zero if it has not known it since its start.
    #[serde(rename = "c")]
    pub confirmed_us: u64,
    /// Digest of the members that are active in the sender's view, itself
    /// included.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Evacuations of failure domains; absent until the first one.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<State>,
    /// Era of the store, as far as the sender knows; absent until the store first returns
    /// from an old copy.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub store_era: Option<NonZeroU64>,
    /// Request or response.
    #[serde(rename = "p")]
    pub payload: Payload,
    /// Piggybacked records.
    #[serde(rename = "r")]
    pub records: Vec<Record>,
}

impl Packet {
    /// When the sender last knew its release note to be the newest, on its clock.
    pub(super) fn confirmed(&self) -> Option<Moment> {
        (self.confirmed_us > 0).then(|| Moment::from_micros(self.confirmed_us))
    }
}

/// Request or response of a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Payload {
    /// Requests an acknowledgement.
    #[serde(rename = "i")]
    Ping {
        /// Sequence number that the acknowledgement returns.
        #[serde(rename = "q")]
        sequence: u64,
    },
    /// Carries records that the receiver may forward to a part of its failure
    /// domain.
    #[serde(rename = "t")]
    Broadcast,
    /// Requests that the receiver probes another member.
    #[serde(rename = "f")]
    PingRequest {
        /// Sequence number that the acknowledgement returns.
        #[serde(rename = "q")]
        sequence: u64,
        /// Name of the member to probe.
        #[serde(rename = "a")]
        about: Arc<str>,
    },
    /// Acknowledges a ping.
    #[serde(rename = "k")]
    Ack {
        /// Sequence number of the ping.
        #[serde(rename = "q")]
        sequence: u64,
        /// Clock of the sender when it received the ping, in microseconds.
        #[serde(rename = "t")]
        clock_us: u64,
    },
    /// Carries records without a request.
    #[serde(rename = "u")]
    Push,
}
