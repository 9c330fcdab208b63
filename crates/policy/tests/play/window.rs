//! Windows of the callers, which admit as many calls at once as the targets serve.

use cardamomshed_policy::Moment;
use cardamomshed_policy::gate::{Change, Decision, Ticket};

use super::{Chooser, Play};

impl<C: Chooser> Play<C> {
    /// Sends a call once it fits into the window of its caller.
    pub(super) fn enter(&mut self, id: usize, now: Moment) {
        let offer = self.offer_of(id);
        let mut changes = Vec::new();
        let window = &mut self.choosers[self.calls[id].chooser].2;
        match window.offer(offer, now, &mut changes) {
            Decision::Run => self.send(id, now),
            Decision::Wait => {}
            Decision::Shed(_) => self.refuse(now),
        }
        self.apply_window(changes, now);
    }

    /// Records the end of a call at the window of its caller.
    pub(super) fn leave(&mut self, id: usize, now: Moment) {
        let call = &self.calls[id];
        let mut changes = Vec::new();
        let window = &mut self.choosers[call.chooser].2;
        if self.setup.windowed {
            let latency = now.since(call.entered);
            window.observe(call.load.pressure(), call.is_shed, latency);
        }
        window.finish(Ticket(id as u64), now, &mut changes);
        self.apply_window(changes, now);
    }

    pub(super) fn tick_windows(&mut self, now: Moment) {
        for index in 0..self.choosers.len() {
            let mut changes = Vec::new();
            self.choosers[index].2.tick(now, &mut changes);
            self.apply_window(changes, now);
        }
    }

    fn apply_window(&mut self, changes: Vec<Change>, now: Moment) {
        for change in changes {
            match change {
                Change::Run(ticket) => {
                    let id = ticket.0 as usize;
                    self.calls[id].entered = now;
                    self.send(id, now);
                }
                Change::Shed(..) => self.refuse(now),
            }
        }
    }
}
