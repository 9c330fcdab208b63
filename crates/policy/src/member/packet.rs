//! Gossip packets.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Record;

/// One gossip packet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Packet {
    /// Name of the sender.
    #[serde(rename = "s")]
    pub sender: Arc<str>,
    /// Revision of the newest release note in force at the sender.
    #[serde(rename = "h")]
    pub head: u64,
    /// Milliseconds since the sender last knew that note to be the newest.
    #[serde(rename = "c")]
    pub confirmed_ms: u32,
    /// Digest of the members that the sender takes for live.
    #[serde(rename = "d")]
    pub digest: u64,
    /// What the packet asks or answers.
    #[serde(rename = "p")]
    pub payload: Payload,
    /// Changes that travel along.
    #[serde(rename = "r")]
    pub records: Vec<Record>,
}

/// What a packet asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Payload {
    /// Asks for an acknowledgement.
    #[serde(rename = "i")]
    Ping {
        /// Repeated by the acknowledgement.
        #[serde(rename = "q")]
        sequence: u64,
    },
    /// Tells the receiver, which may tell a part of its failure domain on.
    #[serde(rename = "t")]
    Tell,
    /// Asks the receiver to probe another member.
    #[serde(rename = "f")]
    PingFor {
        /// Repeated by the acknowledgement.
        #[serde(rename = "q")]
        sequence: u64,
        /// Name of the member to probe.
        #[serde(rename = "a")]
        about: Arc<str>,
    },
    /// Acknowledges a ping.
    #[serde(rename = "k")]
    Ack {
        /// From the ping.
        #[serde(rename = "q")]
        sequence: u64,
    },
    /// Carries changes and asks for nothing.
    #[serde(rename = "u")]
    Push,
}
