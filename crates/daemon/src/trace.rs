//! Recent decisions, kept for `shedctl explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

use cardamomshed_code::Event;
use cardamomshed_policy::Moment;
use cardamomshed_wire::Request;
use serde::{Deserialize, Serialize};

use crate::sync::lock;

/// Decisions that are kept.
const CAPACITY: usize = 32_768;

/// One decision about one request.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Daemon that decided.
    pub node: String,
    /// Wall-clock time in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Number of the event.
    pub event: u16,
    /// What the event means.
    pub text: String,
    /// The options and figures behind the decision.
    pub detail: String,
}

#[derive(Debug)]
struct Decision {
    request: Request,
    at: Moment,
    event: Event,
    detail: String,
}

/// Recent decisions; the oldest are dropped.
#[derive(Debug, Default)]
pub struct Trace {
    decisions: Mutex<VecDeque<Decision>>,
}

impl Trace {
    /// Keeps a decision.
    pub fn record(&self, request: Request, at: Moment, event: Event, detail: String) {
        let mut decisions = lock(&self.decisions);
        if decisions.len() == CAPACITY {
            decisions.pop_front();
        }
        decisions.push_back(Decision {
            request,
            at,
            event,
            detail,
        });
    }

    /// Decisions about one request, the oldest first. `epoch_us` is the wall
    /// clock at the process's moment zero.
    pub fn explain(&self, node: &str, request: Request, epoch_us: u64) -> Vec<Entry> {
        let decisions = lock(&self.decisions);
        let about = decisions.iter().filter(|entry| entry.request == request);
        let entries = about.map(|entry| Entry {
            node: node.to_owned(),
            at_us: epoch_us + entry.at.as_micros(),
            event: entry.event.number(),
            text: entry.event.text().to_owned(),
            detail: entry.detail.clone(),
        });
        entries.collect()
    }
}
