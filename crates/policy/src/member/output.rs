//! Effects of membership events, which the caller carries out.

use std::sync::Arc;

use super::{Departure, Packet, Record, State};
use crate::confirmation::Date;

/// Outgoing packet.
#[derive(Clone, Debug)]
pub struct Send {
    /// Gossip address of the receiver.
    pub to: std::net::SocketAddr,
    /// Packet to send.
    pub packet: Packet,
}

/// Change of another member's record, for the log and for routing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Record after the change.
    pub record: Record,
    /// State before the change, `None` if the member was unknown.
    pub before: Option<State>,
}

/// Effects of a call to [`Fleet`](super::Fleet).
#[derive(Debug, Default)]
pub struct Output {
    /// Packets to send.
    pub sends: Vec<Send>,
    /// Changes of other members' records.
    pub changes: Vec<Change>,
    /// Name of a member that advertises a newer release note than the local one.
    pub newer_note: Option<Arc<str>>,
    /// When a member with the same release note last knew it to be the newest.
    /// `None` as well if the member's clock is not known yet.
    pub confirmed: Option<Date>,
    /// Member whose digest keeps differing. The caller requests records from it.
    pub diverged: Option<Arc<str>>,
    /// Whether the set of evacuated failure domains changed.
    pub evacuations_changed: bool,
    /// Era of the store that another member reports, if it is higher than the known one.
    pub store_era: Option<u64>,
    /// Departure of the local target that another member holds.
    pub held_departure: Option<Departure>,
}
