//! Prometheus metrics of a daemon.

use prometheus::{
    Counter, Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// Registry and handles of all metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Root requests, by client account and outcome (`answered` or the number of
    /// the result code).
    pub requests: IntCounterVec,
    /// Time from the acceptance of a root request to its complete response, in
    /// seconds.
    pub latency: Histogram,
    /// Calls started on the local target.
    pub executions: IntCounter,
    /// Calls started on the local target while it was cold, or may have been.
    pub cold_calls: IntCounter,
    /// Calls shed in the queue of the local target, by result code.
    pub shed: IntCounterVec,
    /// Time that calls waited in the queue of the local target, in seconds.
    pub wait: Histogram,
    /// Attempts of calls after the first.
    pub retries: IntCounter,
    /// Reservations for refused requests that come back, by outcome.
    pub reservations: IntCounterVec,
    /// Calls resumed on a new link.
    pub resumed: IntCounter,
    /// Late responses of the local target that were skipped.
    pub late_responses: IntCounter,
    /// Broken responses of the local target, by service and defect.
    pub broken_responses: IntCounterVec,
    /// Bytes sent to other daemons, by purpose.
    pub bytes: IntCounterVec,
    /// Bytes that are reserved, by kind.
    pub memory: IntGaugeVec,
    /// Requests and answers that found no memory, by cause.
    pub unreserved: IntCounterVec,
    /// Connections of callers that were closed, by cause.
    pub closed: IntCounterVec,
    /// Open root requests.
    pub open: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Revision of the release note in force.
    pub revision: IntGauge,
    /// Evacuated failure domains.
    pub evacuated: IntGauge,
    /// Claims and answers dropped from memory for its bound, which could not be written
    /// again after a return of the store.
    pub dropped_claims: IntCounter,
    /// Tokens that a lender slot held here granted from the start allowance, in excess of
    /// its shares.
    pub start_allowance: Counter,
}

fn histogram(name: &str, help: &str) -> prometheus::Result<Histogram> {
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec()))
}

fn counters(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), labels)
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// If two metrics have the same name, which a test rules out.
    pub fn new() -> prometheus::Result<Self> {
        let metrics = Self {
            registry: Registry::new(),
            requests: counters(
                "cardamomshed_requests_total",
                "Root requests by client account and outcome",
                &["account", "outcome"],
            )?,
            latency: histogram(
                "cardamomshed_request_seconds",
                "Time from accepting a root request to its whole answer",
            )?,
            executions: IntCounter::new(
                "cardamomshed_executions_total",
                "Calls that started on the target",
            )?,
            cold_calls: IntCounter::new(
                "cardamomshed_cold_calls_total",
                "Calls that started on the target while it was cold or may have been",
            )?,
            shed: counters(
                "cardamomshed_shed_total",
                "Calls shed beside the target, by result code",
                &["code"],
            )?,
            wait: histogram(
                "cardamomshed_wait_seconds",
                "Time that calls waited beside the target",
            )?,
            retries: IntCounter::new("cardamomshed_retries_total", "Further attempts of calls")?,
            reservations: counters(
                "cardamomshed_reservations_total",
                "Reservations for refused requests that come back, by outcome",
                &["outcome"],
            )?,
            resumed: IntCounter::new("cardamomshed_resumed_total", "Calls resumed on a new link")?,
            late_responses: IntCounter::new(
                "cardamomshed_late_responses_total",
                "Late responses of the target that were skipped",
            )?,
            broken_responses: counters(
                "cardamomshed_broken_responses_total",
                "Broken responses of the target, by service and defect",
                &["service", "defect"],
            )?,
            bytes: counters(
                "cardamomshed_bytes_total",
                "Bytes sent to other daemons, by purpose",
                &["purpose"],
            )?,
            memory: IntGaugeVec::new(
                Opts::new("cardamomshed_memory_bytes", "Reserved memory by kind"),
                &["kind"],
            )?,
            unreserved: counters(
                "cardamomshed_memory_refusals_total",
                "Requests and answers that found no memory, by cause",
                &["cause"],
            )?,
            closed: counters(
                "cardamomshed_connections_closed_total",
                "Connections of callers that were closed, by cause",
                &["cause"],
            )?,
            open: IntGauge::new("cardamomshed_open_requests", "Requests that are open")?,
            connections: IntGauge::new(
                "cardamomshed_open_connections",
                "Connections of callers that are open",
            )?,
            revision: IntGauge::new(
                "cardamomshed_revision",
                "Revision of the release note in force",
            )?,
            evacuated: IntGauge::new(
                "cardamomshed_evacuated_domains",
                "Failure domains that are evacuated",
            )?,
            start_allowance: Counter::new(
                "cardamomshed_quota_start_allowance_total",
                "Tokens granted from the start allowance, in excess of the lender's shares",
            )?,
            dropped_claims: IntCounter::new(
                "cardamomshed_dropped_claims_total",
                "Claims and answers that are no longer kept for a return of the store",
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        self.registry.register(Box::new(self.requests.clone()))?;
        self.registry.register(Box::new(self.latency.clone()))?;
        self.registry.register(Box::new(self.executions.clone()))?;
        self.registry.register(Box::new(self.cold_calls.clone()))?;
        self.registry.register(Box::new(self.shed.clone()))?;
        self.registry.register(Box::new(self.wait.clone()))?;
        self.registry.register(Box::new(self.retries.clone()))?;
        self.registry
            .register(Box::new(self.reservations.clone()))?;
        self.registry.register(Box::new(self.resumed.clone()))?;
        self.registry
            .register(Box::new(self.late_responses.clone()))?;
        self.registry
            .register(Box::new(self.broken_responses.clone()))?;
        self.registry.register(Box::new(self.bytes.clone()))?;
        self.registry.register(Box::new(self.memory.clone()))?;
        self.registry.register(Box::new(self.unreserved.clone()))?;
        self.registry.register(Box::new(self.closed.clone()))?;
        self.registry.register(Box::new(self.open.clone()))?;
        self.registry.register(Box::new(self.connections.clone()))?;
        self.registry.register(Box::new(self.revision.clone()))?;
        self.registry.register(Box::new(self.evacuated.clone()))?;
        self.registry
            .register(Box::new(self.start_allowance.clone()))?;
        self.registry
            .register(Box::new(self.dropped_claims.clone()))
    }

    /// Renders all metrics in the Prometheus text format, or a comment with the
    /// error if that fails.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        encoded.map_or_else(
            |error| format!("# {error}\n"),
            |()| String::from_utf8_lossy(&buffer).into_owned(),
        )
    }
}
