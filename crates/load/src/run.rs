//! Making the load.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep, sleep_until};

use crate::plan::{Plan, Source};
use crate::report::{Report, Tally};

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// End of one attempt.
enum End {
    Answered,
    Failed,
    Unknown,
    Refused { code: u16, retry_after: Option<f64> },
}

struct Run {
    plan: Plan,
    client: awc::Client,
    report: RefCell<Report>,
    open: RefCell<usize>,
    start: Instant,
}

/// Makes the load and waits for its last answer. `progress` is called about
/// once a second with the report so far.
pub async fn run(plan: Plan, mut progress: impl FnMut(&Report)) -> Report {
    let connector = awc::Connector::new()
        .limit(0)
        .timeout(Duration::from_secs(2))
        .conn_keep_alive(Duration::from_secs(30));
    let client = awc::Client::builder()
        .connector(connector)
        .timeout(plan.timeout)
        .disable_redirects()
        .finish();
    let run = Rc::new(Run {
        client,
        report: RefCell::default(),
        open: RefCell::new(0),
        start: Instant::now(),
        plan,
    });
    run.prepare();
    run.send_all(&mut progress).await;
    let longest = run.plan.timeout * (run.plan.retry.attempts + 1) + Duration::from_secs(3);
    let until = Instant::now() + longest;
    while *run.open.borrow() > 0 && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    let mut report = run.report.borrow().clone();
    report.elapsed = run.start.elapsed();
    report
}

impl Run {
    fn prepare(&self) {
        let mut report = self.report.borrow_mut();
        for source in &self.plan.sources {
            report.tallies.insert(source.name.clone(), Tally::default());
        }
    }

    async fn send_all(self: &Rc<Self>, progress: &mut impl FnMut(&Report)) {
        let mut random = StdRng::seed_from_u64(self.plan.seed);
        let total = self
            .plan
            .sources
            .iter()
            .map(|source| source.rate)
            .sum::<f64>();
        let mut stage_start = Duration::ZERO;
        let mut due = Duration::ZERO;
        let mut told = Duration::ZERO;
        for stage in &self.plan.stages {
            let end = stage_start + stage.length;
            let rate = total * stage.factor;
            due = due.max(stage_start);
            // A rate of zero makes the first arrival infinitely late.
            loop {
                let draw: f64 = random.random();
                let gap = -(1.0 - draw).ln() / rate;
                due += Duration::try_from_secs_f64(gap).unwrap_or(Duration::MAX / 2);
                if due >= end {
                    break;
                }
                if self.start.elapsed() < due {
                    sleep_until(self.start + due).await;
                }
                self.send(&mut random, total, due);
                if due >= told + Duration::from_secs(1) {
                    told = due;
                    progress(&self.report.borrow());
                }
            }
            sleep_until(self.start + end).await;
            stage_start = end;
        }
    }

    /// Sends one request of a source drawn by its rate.
    fn send(self: &Rc<Self>, random: &mut StdRng, total: f64, due: Duration) {
        let mut draw = random.random::<f64>() * total;
        let place = self.plan.sources.iter().position(|source| {
            draw -= source.rate;
            draw <= 0.0
        });
        let place = place.unwrap_or(self.plan.sources.len() - 1);
        let seed = random.random();
        self.tally(place, |tally| tally.offered += 1);
        self.report.borrow_mut().slot(due).0 += 1;
        if *self.open.borrow() >= self.plan.max_open {
            self.tally(place, |tally| tally.unknown += 1);
            return;
        }
        *self.open.borrow_mut() += 1;
        let run = Rc::clone(self);
        actix_rt::spawn(async move {
            run.request(place, seed, due).await;
            *run.open.borrow_mut() -= 1;
        });
    }

    async fn request(&self, place: usize, seed: u64, due: Duration) {
        let mut random = StdRng::seed_from_u64(seed);
        let source = &self.plan.sources[place];
        let idempotency = format!("{seed:016x}");
        let mut attempt = 0;
        loop {
            let daemon = random.random_range(0..self.plan.daemons.len());
            let end = self.attempt(source, daemon, &idempotency).await;
            let retry_after = match &end {
                End::Refused { retry_after, .. } => *retry_after,
                End::Unknown | End::Failed => None,
                End::Answered => {
                    self.succeed(place, due);
                    return;
                }
            };
            if attempt == self.plan.retry.attempts {
                self.tally(place, |tally| match end {
                    End::Refused { code, .. } => *tally.refused.entry(code).or_insert(0) += 1,
                    End::Failed => tally.failed += 1,
                    _ => tally.unknown += 1,
                });
                return;
            }
            attempt += 1;
            self.tally(place, |tally| tally.retries += 1);
            let honoured = retry_after.filter(|_| self.plan.retry.honour);
            let pause = honoured.map_or(self.plan.retry.pause, Duration::from_secs_f64);
            sleep(pause.mul_f64(0.5 + random.random::<f64>())).await;
        }
    }

    async fn attempt(&self, source: &Source, daemon: usize, idempotency: &str) -> End {
        let url = format!("http://{}{}", self.plan.daemons[daemon], source.path);
        let method = source.method.parse().unwrap_or_default();
        let mut request = self
            .client
            .request(method, url)
            .insert_header(("authorization", format!("Bearer {}", source.key)));
        if source.idempotent {
            request = request.insert_header(("idempotency-key", idempotency));
        }
        let Ok(mut response) = request.send_body(source.body.clone()).await else {
            return End::Unknown;
        };
        let status = response.status();
        let retry_after = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let Ok(body) = response.body().limit(MAX_ANSWER).await else {
            return End::Unknown;
        };
        if status.is_success() {
            return End::Answered;
        }
        let problem = serde_json::from_slice::<serde_json::Value>(&body).unwrap_or_default();
        let code = problem.get("code").and_then(serde_json::Value::as_u64);
        let ran = problem.get("ran").and_then(serde_json::Value::as_str);
        match (code, ran) {
            (Some(code), Some("no")) => End::Refused {
                code: u16::try_from(code).unwrap_or(0),
                retry_after,
            },
            (Some(_), _) => End::Unknown,
            (None, _) => End::Failed,
        }
    }

    fn succeed(&self, place: usize, due: Duration) {
        let now = self.start.elapsed();
        self.tally(place, |tally| tally.answered += 1);
        let mut report = self.report.borrow_mut();
        report.slot(now).1 += 1;
        let micros = (now.saturating_sub(due)).as_micros() as u64;
        report.latency.saturating_record(micros.max(1));
    }

    fn tally(&self, place: usize, change: impl FnOnce(&mut Tally)) {
        let mut report = self.report.borrow_mut();
        if let Some((_, tally)) = report.tallies.get_index_mut(place) {
            change(tally);
        }
    }
}
