//! Results of a load run.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// Width of one bucket of the timeline.
const BUCKET_WIDTH: Duration = Duration::from_millis(100);
/// Highest latency that the histogram records; higher ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Counts of one source's requests by outcome.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Tally {
    /// Requests that were due, whether or not they were sent.
    pub offered: u64,
    /// Requests with a complete and successful response.
    pub answered: u64,
    /// Requests whose last attempt was refused without execution, by result
    /// code.
    pub refused: IndexMap<u16, u64>,
    /// Requests that may or may not have been executed, including those without
    /// a complete response, and requests that were not sent.
    pub unknown: u64,
    /// Requests whose last response was an error status of the target.
    pub failed: u64,
    /// Attempts beyond the first of each request.
    pub retries: u64,
}

impl Tally {
    /// Formats the counts as one line, with refusals by result code.
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

/// Results of a load run: counts by source, latency and a timeline.
#[derive(Clone, Debug)]
pub struct Report {
    /// Time from the start of the run to its last response.
    pub elapsed: Duration,
    /// Counts by name of the source.
    pub tallies: IndexMap<String, Tally>,
    /// Latency of answered requests in microseconds, from the scheduled
    /// arrival to the complete response.
    pub latency: Histogram<u64>,
    /// Requests offered and answered in each bucket of 100 ms, by the time of
    /// the scheduled arrival and of the response.
    pub timeline: Vec<(u64, u64)>,
}

impl Report {
    /// Creates an empty report.
    ///
    /// # Panics
    ///
    /// Never, because the bounds of the histogram are valid constants.
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

    /// Returns the sum of the counts of all sources.
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

    /// Returns the latency at a quantile from 0 to 1, in microseconds.
    pub fn latency_us(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }

    /// Returns the lowest ratio of answered to offered requests of any source.
    pub fn min_success_ratio(&self) -> f64 {
        let ratio = |tally: &Tally| tally.answered as f64 / tally.offered.max(1) as f64;
        self.tallies.values().map(ratio).fold(1.0, f64::min)
    }

    /// Returns the answered requests per second between two times, counted from
    /// the start of the run and rounded down to whole buckets.
    pub fn goodput(&self, from: Duration, to: Duration) -> f64 {
        let bucket = |time: Duration| (time.as_millis() / BUCKET_WIDTH.as_millis()) as usize;
        let end = bucket(to).min(self.timeline.len());
        let start = bucket(from).min(end);
        let answered = self.timeline[start..end]
            .iter()
            .map(|(_, answered)| answered)
            .sum::<u64>();
        answered as f64 / (end - start).max(1) as f64 / BUCKET_WIDTH.as_secs_f64()
    }

    /// Returns the ratio of requests answered to requests offered between two
    /// times, counted from the start of the run and rounded down to whole
    /// buckets.
    pub fn success_ratio(&self, from: Duration, to: Duration) -> f64 {
        let bucket = |time: Duration| (time.as_millis() / BUCKET_WIDTH.as_millis()) as usize;
        let end = bucket(to).min(self.timeline.len());
        let start = bucket(from).min(end);
        let sum = |total: (u64, u64), bucket: &(u64, u64)| (total.0 + bucket.0, total.1 + bucket.1);
        let (offered, answered) = self.timeline[start..end].iter().fold((0, 0), sum);
        answered as f64 / offered.max(1) as f64
    }

    /// Returns the counts of the bucket at a time, extending the timeline.
    pub(crate) fn bucket(&mut self, at: Duration) -> &mut (u64, u64) {
        let index = (at.as_millis() / BUCKET_WIDTH.as_millis()) as usize;
        if self.timeline.len() <= index {
            self.timeline.resize(index + 1, (0, 0));
        }
        &mut self.timeline[index]
    }

    /// Returns the report as a JSON object.
    pub fn to_json(&self) -> serde_json::Value {
        let total = self.total();
        serde_json::json!({
            "elapsed_s": self.elapsed.as_secs_f64(),
            "goodput_per_s": total.answered as f64 / self.elapsed.as_secs_f64().max(1e-9),
            "worst_share": self.min_success_ratio(),
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
            let success_ratio = tally.answered as f64 / tally.offered.max(1) as f64;
            writeln!(
                f,
                "{name:<24} {:>9} {:>9} {refused:>9} {:>9} {:>9} {success_ratio:>7.4}",
                tally.offered, tally.answered, tally.unknown, tally.failed
            )?;
        }
        writeln!(
            f,
            "goodput {:.1}/s over {:.1} s; worst source {:.4}; retries {}",
            total.answered as f64 / self.elapsed.as_secs_f64().max(1e-9),
            self.elapsed.as_secs_f64(),
            self.min_success_ratio(),
            total.retries
        )?;
        if !total.refused.is_empty() {
            let codes = total.refused.iter();
            let codes = codes.map(|(code, count)| format!("CS{code}: {count}"));
            writeln!(f, "refused: {}", codes.collect::<Vec<_>>().join(", "))?;
        }
        writeln!(f, "latency of answered requests:")?;
        for quantile in [0.5, 0.9, 0.99, 0.999, 1.0] {
            let latency_ms = self.latency_us(quantile) as f64 / 1_000.0;
            writeln!(f, "  p{:<6} {latency_ms:>10.3} ms", quantile * 100.0)?;
        }
        Ok(())
    }
}
