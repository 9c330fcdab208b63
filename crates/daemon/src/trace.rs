//! Recent decisions about requests, reported by `shedctl explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

use cardamomshed_code::Event;
use cardamomshed_policy::Moment;
use cardamomshed_wire::Request;
use serde::{Deserialize, Serialize};

use crate::sync::lock;

/// Number of decisions that are retained.
const CAPACITY: usize = 32_768;

/// A decision about a request, as reported by the admin interface.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Name of the daemon that decided.
    pub node: String,
    /// Wall-clock time in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Number of the event.
    pub event: u16,
    /// Description of the event.
    pub text: String,
    /// Alternatives and figures on which the decision was based.
    pub detail: String,
}

#[derive(Debug)]
struct Decision {
    request: Request,
    at: Moment,
    event: Event,
    detail: String,
}

/// Ring buffer of recent decisions.
#[derive(Debug, Default)]
pub struct Trace {
    decisions: Mutex<VecDeque<Decision>>,
}

impl Trace {
    /// Records a decision and evicts the oldest one if the buffer is full.
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

    /// Returns the retained decisions about one request, oldest first. `epoch_us`
    /// is the wall-clock time at [`Moment::ZERO`], in microseconds since the Unix
    /// epoch.
    pub fn explain(&self, node: &str, request: Request, epoch_us: u64) -> Vec<Entry> {
        let decisions = lock(&self.decisions);
        let matching = decisions.iter().filter(|entry| entry.request == request);
        let entries = matching.map(|entry| Entry {
            node: node.to_owned(),
            at_us: epoch_us + entry.at.as_micros(),
            event: entry.event.number(),
            text: entry.event.text().to_owned(),
            detail: entry.detail.clone(),
        });
        entries.collect()
    }
}
