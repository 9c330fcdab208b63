//! Distribution of the era of the store with the gossip packets, since most daemons
//! rarely call the store.

use std::num::NonZeroU64;

use super::{Fleet, Output, Packet};
use crate::moment::Moment;

impl Fleet {
    /// Records the era of the store that this daemon learned of. A rise is broadcast to
    /// the local failure domain.
    pub fn record_store_era(&mut self, era: u64) -> Output {
        let mut output = Output::default();
        let era = NonZeroU64::new(era);
        if era > self.store_era {
            self.store_era = era;
            output.sends = self.domain_sends(Vec::new());
        }
        output
    }

    /// Merges the era of a packet. A rise that another failure domain reports is broadcast
    /// to the local one, whose readers may not reach the store.
    pub(super) fn merge_store_era(&mut self, packet: &Packet, now: Moment, output: &mut Output) {
        if packet.store_era <= self.store_era {
            return;
        }
        self.store_era = packet.store_era;
        output.store_era = packet.store_era.map(NonZeroU64::get);
        if self.is_foreign_news(packet, now) {
            output.sends.extend(self.domain_sends(Vec::new()));
        }
    }
}
