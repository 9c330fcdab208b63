//! Reserved slots: long calls of a low priority must not occupy all slots while
//! short calls of a higher priority arrive.

use std::time::Duration;

use cardamomshed_policy::gate::{Change, Config, Decision, Gate, Offer, Ticket};
use cardamomshed_policy::{Moment, Priority, RouteKey};
use indexmap::IndexMap;

/// Duration of a long call.
const LONG: Duration = Duration::from_millis(880);
/// Duration of a short call.
const SHORT: Duration = Duration::from_millis(55);

struct Simulation {
    gate: Gate,
    now: Moment,
    /// End of each running call.
    ends: IndexMap<Ticket, Moment>,
    /// All short calls offered so far.
    short: Vec<Ticket>,
    last_ticket: u64,
    started_short: usize,
}

impl Simulation {
    fn new() -> Self {
        Self {
            gate: Gate::new(Config::new(22).fixed(), Moment::ZERO),
            now: Moment::ZERO,
            ends: IndexMap::new(),
            short: Vec::new(),
            last_ticket: 0,
            started_short: 0,
        }
    }

    fn offer(&mut self, short: bool) {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let (route, priority, wait) = if short {
            self.short.push(ticket);
            (RouteKey(0), Priority::High, Duration::from_millis(300))
        } else {
            (RouteKey(1), Priority::Normal, Duration::from_secs(5))
        };
        let offer = Offer {
            route,
            priority,
            ..crate::offer(ticket.0, self.now + wait)
        };
        let mut changes = Vec::new();
        if self.gate.offer(offer, self.now, &mut changes) == Decision::Run {
            changes.push(Change::Run(ticket));
        }
        self.apply(&changes);
    }

    fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            if let Change::Run(ticket) = change {
                let short = self.short.contains(ticket);
                self.started_short += usize::from(short);
                let length = if short { SHORT } else { LONG };
                self.ends.insert(*ticket, self.now + length);
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(5);
        let now = self.now;
        let ended = self.ends.extract_if(.., |_, end| *end <= now);
        let ended = ended.map(|(ticket, _)| ticket).collect::<Vec<_>>();
        for ticket in ended {
            let length = if self.short.contains(&ticket) {
                SHORT
            } else {
                LONG
            };
            let mut changes = Vec::new();
            self.gate.finish(ticket, Some(length), now, &mut changes);
            self.apply(&changes);
        }
        let mut changes = Vec::new();
        self.gate.tick(now, &mut changes);
        self.apply(&changes);
    }
}

#[test]
fn short_calls_start() {
    let mut simulation = Simulation::new();
    // 80 short and 40 long calls per second, which need 39.6 s of slot time
    // per second, for 22 slots.
    for step in 0..2_400u32 {
        simulation.step();
        if step % 5 < 2 {
            simulation.offer(true);
        }
        if step % 5 == 3 {
            simulation.offer(false);
        }
    }
    let share = simulation.started_short as f64 / simulation.short.len() as f64;
    assert!(
        share > 0.97,
        "{share} of the short calls started before their deadline"
    );
}
