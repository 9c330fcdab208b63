//! What came of the load.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// Length of one slot of the timeline.
const SLOT: Duration = Duration::from_millis(100);
/// Highest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Outcomes of one source's requests.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Tally {
    /// Requests that were to be sent.
    pub offered: u64,
    /// Requests answered as a whole with a success.
    pub answered: u64,
    /// Requests refused at last with "not run", by result code.
    pub refused: IndexMap<u16, u64>,
    /// Requests whose execution is unknown, and those cut or unanswered.
    pub unknown: u64,
    /// Answers with another status, from the target.
    pub failed: u64,
    /// Attempts beyond the first.
    pub retries: u64,
}

impl Tally {
    /// One line: what was offered, answered and not.
    pub fn summary(&self) -> String {
        let codes = self.refused.iter();
        let codes = codes.map(|(code, count)| format!("CS{code}: {count}"));
        format!(
            "offered {}, answered {}, unknown {}, failed {}, refused {}",
            self.offered,
            self.answered,
            self.unknown,
            self.failed,
            codes.collect::<Vec<_>>().join(", ")
        )
    }
}

/// What came of the load.
#[derive(Clone, Debug)]
pub struct Report {
    /// Time from the first arrival to the last answer.
    pub elapsed: Duration,
    /// Outcomes by source.
    pub tallies: IndexMap<String, Tally>,
    /// Latency of successes in microseconds.
    pub latency: Histogram<u64>,
    /// Requests offered and answered in each slot of 100 ms.
    pub timeline: Vec<(u64, u64)>,
}

impl Report {
    /// An empty report.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants.
    pub fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("constant bounds of the histogram are valid");
        Self {
            elapsed: Duration::ZERO,
            tallies: IndexMap::new(),
            latency,
            timeline: Vec::new(),
        }
    }

    /// Outcomes of all sources.
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        for tally in self.tallies.values() {
            total.offered += tally.offered;
            total.answered += tally.answered;
            total.unknown += tally.unknown;
            total.failed += tally.failed;
            total.retries += tally.retries;
            for (code, count) in &tally.refused {
                *total.refused.entry(*code).or_insert(0) += count;
            }
        }
        total
    }

    /// Latency at a quantile, in microseconds.
    pub fn latency_us(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }

    /// Smallest share of its requests that a source saw answered.
    pub fn worst_share(&self) -> f64 {
        let share = |tally: &Tally| tally.answered as f64 / tally.offered.max(1) as f64;
        self.tallies.values().map(share).fold(1.0, f64::min)
    }

    /// Answers a second between two moments of the run.
    pub fn goodput(&self, from: Duration, to: Duration) -> f64 {
        let slot = |moment: Duration| (moment.as_millis() / SLOT.as_millis()) as usize;
        let end = slot(to).min(self.timeline.len());
        let start = slot(from).min(end);
        let answered = self.timeline[start..end]
            .iter()
            .map(|(_, ok)| ok)
            .sum::<u64>();
        answered as f64 / (end - start).max(1) as f64 / SLOT.as_secs_f64()
    }

    /// Share of the requests offered between two moments that were answered
    /// meanwhile.
    pub fn share(&self, from: Duration, to: Duration) -> f64 {
        let slot = |moment: Duration| (moment.as_millis() / SLOT.as_millis()) as usize;
        let end = slot(to).min(self.timeline.len());
        let start = slot(from).min(end);
        let sum = |total: (u64, u64), slot: &(u64, u64)| (total.0 + slot.0, total.1 + slot.1);
        let (offered, answered) = self.timeline[start..end].iter().fold((0, 0), sum);
        answered as f64 / offered.max(1) as f64
    }

    pub(crate) fn slot(&mut self, at: Duration) -> &mut (u64, u64) {
        let place = (at.as_millis() / SLOT.as_millis()) as usize;
        if self.timeline.len() <= place {
            self.timeline.resize(place + 1, (0, 0));
        }
        &mut self.timeline[place]
    }

    /// The report as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let total = self.total();
        serde_json::json!({
            "elapsed_s": self.elapsed.as_secs_f64(),
            "goodput_per_s": total.answered as f64 / self.elapsed.as_secs_f64().max(1e-9),
            "worst_share": self.worst_share(),
            "latency_us": {
                "p50": self.latency_us(0.5),
                "p99": self.latency_us(0.99),
                "p999": self.latency_us(0.999),
                "max": self.latency.max(),
            },
            "total": total,
            "sources": self.tallies,
        })
    }
}

impl Default for Report {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<24} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7}",
            "source", "offered", "answered", "refused", "unknown", "failed", "share"
        )?;
        let total = self.total();
        let rows = self
            .tallies
            .iter()
            .map(|(name, tally)| (name.as_str(), tally));
        for (name, tally) in rows.chain([("total", &total)]) {
            let refused = tally.refused.values().sum::<u64>();
            let share = tally.answered as f64 / tally.offered.max(1) as f64;
            writeln!(
                f,
                "{name:<24} {:>9} {:>9} {refused:>9} {:>9} {:>9} {share:>7.4}",
                tally.offered, tally.answered, tally.unknown, tally.failed
            )?;
        }
        writeln!(
            f,
            "goodput {:.1}/s over {:.1} s; worst source {:.4}; retries {}",
            total.answered as f64 / self.elapsed.as_secs_f64().max(1e-9),
            self.elapsed.as_secs_f64(),
            self.worst_share(),
            total.retries
        )?;
        if !total.refused.is_empty() {
            let codes = total.refused.iter();
            let codes = codes.map(|(code, count)| format!("CS{code}: {count}"));
            writeln!(f, "refused: {}", codes.collect::<Vec<_>>().join(", "))?;
        }
        writeln!(f, "latency of answered requests:")?;
        for quantile in [0.5, 0.9, 0.99, 0.999, 1.0] {
            let millis = self.latency_us(quantile) as f64 / 1_000.0;
            writeln!(f, "  p{:<6} {millis:>10.3} ms", quantile * 100.0)?;
        }
        Ok(())
    }
}
