//! Distribution of the state of evacuations with the gossip packets.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::{Fleet, Output, Packet, Payload};
use crate::evacuation::Reading;
use crate::moment::Moment;

/// Age of a process from which it broadcasts a change that it learned from another
/// failure domain. For a younger one, every evacuation is a change, and many may have
/// started at once.
const MIN_BROADCAST_AGE: Duration = Duration::from_secs(5);

impl Fleet {
    /// Names of the evacuated failure domains.
    pub const fn evacuated(&self) -> &BTreeSet<Arc<str>> {
        self.evacuations.domains()
    }

    /// Records the evacuations that this daemon read from the store by a request
    /// sent at `sent`. A change is broadcast to the local failure domain.
    pub fn record_evacuations(&mut self, reading: Reading, sent: Moment) -> Output {
        let mut output = Output {
            evacuations_changed: self.evacuations.record(reading, sent),
            ..Output::default()
        };
        if output.evacuations_changed {
            output.sends = self.domain_sends(Vec::new());
        }
        output
    }

    /// Merges the evacuations of a packet. A change that another failure domain
    /// reports is broadcast to the local one, whose readers may not reach the store.
    pub(super) fn merge_evacuations(&mut self, packet: &Packet, now: Moment, output: &mut Output) {
        let Some(state) = &packet.evacuations else {
            return;
        };
        output.evacuations_changed = self.evacuations.merge(state);
        if output.evacuations_changed && self.is_foreign_news(packet, now) {
            output.sends.extend(self.domain_sends(Vec::new()));
        }
    }

    /// Whether a change in a packet is to be broadcast: it comes from another failure
    /// domain, and this process is not so young that everything is a change to it.
    pub(super) fn is_foreign_news(&self, packet: &Packet, now: Moment) -> bool {
        let is_foreign = packet.payload != Payload::Broadcast
            && self
                .get(&packet.sender)
                .is_some_and(|sender| !self.is_local(sender));
        is_foreign && now.since(Moment::ZERO) >= MIN_BROADCAST_AGE
    }
}
