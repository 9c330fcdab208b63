//! Preview of the decision on a call.

use std::time::Duration;

use super::{Decision, Gate, Offer, Shed};
use crate::moment::Moment;

/// What would become of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preview {
    /// It would start at once.
    Run,
    /// It would be queued, and is expected to start after this time.
    Wait(Duration),
    /// It would be refused.
    Shed(Shed),
}

impl Gate {
    /// Decides on a call without an effect on this one or others: a copy of the gate
    /// takes the decision.
    pub fn preview(&self, offer: Offer, now: Moment) -> Preview {
        let ahead = self.queue.ahead_of(offer.priority);
        let wait = self.expected_wait(ahead, now);
        match self.clone().offer(offer, now, &mut Vec::new()) {
            Decision::Run => Preview::Run,
            Decision::Wait => Preview::Wait(wait),
            Decision::Shed(shed) => Preview::Shed(shed),
        }
    }
}
