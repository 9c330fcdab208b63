//! Execution of a load run.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use cardamomshed_http as http;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep, sleep_until};

use crate::plan::{Plan, Source};
use crate::report::{Report, Tally};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Outcome of one attempt.
enum Outcome {
    /// Complete response with a success status.
    Answered,
    /// Error status of the target.
    Failed,
    /// No complete response, or execution is unknown.
    Unknown,
    /// Refusal by the daemon before execution.
    Refused {
        code: u16,
        retry_after: Option<Duration>,
    },
}

struct Run {
    plan: Plan,
    client: http::Client,
    report: RefCell<Report>,
    /// Number of requests that are open.
    open: RefCell<usize>,
    start: Instant,
}

/// Executes a plan and waits for the last response. While requests are sent,
/// `progress` is called about once per second with the report so far.
pub async fn run(plan: Plan, mut progress: impl FnMut(&Report)) -> Report {
    let client = http::Client::new(http::Config {
        connect: Duration::from_secs(2),
        timeout: Some(plan.timeout),
        keep_alive: Duration::from_secs(30),
        connections: 0,
    });
    let run = Rc::new(Run {
        client,
        report: RefCell::default(),
        open: RefCell::new(0),
        start: Instant::now(),
        plan,
    });
    run.prepare();
    run.send_all(&mut progress).await;
    let longest_request =
        run.plan.timeout * (run.plan.retry.max_retries + 1) + Duration::from_secs(3);
    let deadline = Instant::now() + longest_request;
    while *run.open.borrow() > 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(5)).await;
    }
    let mut report = run.report.borrow().clone();
    report.elapsed = run.start.elapsed();
    report
}

impl Run {
    /// Adds an empty entry for every source, in the order of the plan.
    fn prepare(&self) {
        let mut report = self.report.borrow_mut();
        for source in &self.plan.sources {
            report.tallies.insert(source.name.clone(), Tally::default());
        }
    }

    /// Starts the requests of all stages, with exponentially distributed gaps.
    async fn send_all(self: &Rc<Self>, progress: &mut impl FnMut(&Report)) {
        let mut rng = StdRng::seed_from_u64(self.plan.seed);
        let total_rate = self
            .plan
            .sources
            .iter()
            .map(|source| source.rate)
            .sum::<f64>();
        let mut stage_start = Duration::ZERO;
        let mut due = Duration::ZERO;
        let mut last_progress = Duration::ZERO;
        for stage in &self.plan.stages {
            let end = stage_start + stage.duration;
            let rate = total_rate * stage.factor;
            due = due.max(stage_start);
            // At a rate of zero the gap is infinite and the stage has no arrival.
            loop {
                let uniform: f64 = rng.random();
                let gap = -(1.0 - uniform).ln() / rate;
                due += Duration::try_from_secs_f64(gap).unwrap_or(Duration::MAX / 2);
                if due >= end {
                    break;
                }
                if self.start.elapsed() < due {
                    sleep_until(self.start + due).await;
                }
                self.send(&mut rng, total_rate, due);
                if due >= last_progress + Duration::from_secs(1) {
                    last_progress = due;
                    progress(&self.report.borrow());
                }
            }
            sleep_until(self.start + end).await;
            stage_start = end;
        }
    }

    /// Starts one request of a source that is drawn in proportion to its rate.
    fn send(self: &Rc<Self>, rng: &mut StdRng, total_rate: f64, due: Duration) {
        let mut remaining = rng.random::<f64>() * total_rate;
        let index = self.plan.sources.iter().position(|source| {
            remaining -= source.rate;
            remaining <= 0.0
        });
        let index = index.unwrap_or(self.plan.sources.len() - 1);
        let seed = rng.random();
        self.tally(index, |tally| tally.offered += 1);
        self.report.borrow_mut().bucket(due).0 += 1;
        if *self.open.borrow() >= self.plan.max_open {
            self.tally(index, |tally| tally.unknown += 1);
            return;
        }
        *self.open.borrow_mut() += 1;
        let run = Rc::clone(self);
        actix_rt::spawn(async move {
            run.request(index, seed, due).await;
            *run.open.borrow_mut() -= 1;
        });
    }

    /// Sends one request, retries it according to the plan and records its
    /// outcome.
    async fn request(&self, index: usize, seed: u64, due: Duration) {
        let mut rng = StdRng::seed_from_u64(seed);
        let source = &self.plan.sources[index];
        let idempotency_key = format!("{seed:016x}");
        let mut attempt = 0;
        loop {
            let daemon = rng.random_range(0..self.plan.daemons.len());
            let outcome = self.attempt(source, daemon, &idempotency_key).await;
            let retry_after = match &outcome {
                Outcome::Refused { retry_after, .. } => *retry_after,
                Outcome::Unknown | Outcome::Failed => None,
                Outcome::Answered => {
                    self.record_success(index, due);
                    return;
                }
            };
            if attempt == self.plan.retry.max_retries {
                self.tally(index, |tally| match outcome {
                    Outcome::Refused { code, .. } => *tally.refused.entry(code).or_insert(0) += 1,
                    Outcome::Failed => tally.failed += 1,
                    _ => tally.unknown += 1,
                });
                return;
            }
            attempt += 1;
            self.tally(index, |tally| tally.retries += 1);
            let retry_after = retry_after.filter(|_| self.plan.retry.honour_retry_after);
            let backoff = retry_after.unwrap_or(self.plan.retry.backoff);
            sleep(backoff.mul_f64(0.5 + rng.random::<f64>())).await;
        }
    }

    /// Sends one attempt to a daemon and classifies the response.
    async fn attempt(&self, source: &Source, daemon: usize, idempotency_key: &str) -> Outcome {
        let url = format!("http://{}{}", self.plan.daemons[daemon], source.path);
        let method = source.method.parse::<Method>().unwrap_or_default();
        let mut request = self
            .client
            .request(method, url)
            .insert_header(("authorization", format!("Bearer {}", source.key)));
        if source.idempotent {
            request = request.insert_header(("idempotency-key", idempotency_key));
        }
        let body = source.body.clone().into();
        let sent = self.client.send(request, body, MAX_RESPONSE_BYTES).await;
        let Ok(response) = sent else {
            return Outcome::Unknown;
        };
        let retry_after = response
            .headers
            .get("retry-after")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        if response.status.is_success() {
            return Outcome::Answered;
        }
        let problem =
            serde_json::from_slice::<serde_json::Value>(&response.body).unwrap_or_default();
        let code = problem.get("code").and_then(serde_json::Value::as_u64);
        let ran = problem.get("ran").and_then(serde_json::Value::as_str);
        match (code, ran) {
            (Some(code), Some("no")) => Outcome::Refused {
                code: u16::try_from(code).unwrap_or(0),
                retry_after,
            },
            (Some(_), _) => Outcome::Unknown,
            (None, _) => Outcome::Failed,
        }
    }

    /// Records an answered request and its latency.
    fn record_success(&self, index: usize, due: Duration) {
        let now = self.start.elapsed();
        self.tally(index, |tally| tally.answered += 1);
        let mut report = self.report.borrow_mut();
        report.bucket(now).1 += 1;
        let latency_us = (now.saturating_sub(due)).as_micros() as u64;
        report.latency.saturating_record(latency_us.max(1));
    }

    /// Updates the counts of the source at an index.
    fn tally(&self, index: usize, change: impl FnOnce(&mut Tally)) {
        let mut report = self.report.borrow_mut();
        if let Some((_, tally)) = report.tallies.get_index_mut(index) {
            change(tally);
        }
    }
}
