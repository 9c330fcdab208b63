//! Description of a load run.

use std::net::SocketAddr;
use std::time::Duration;

/// A load run: targets, traffic, stages and client behaviour.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the arrivals and of the choice of daemons.
    pub seed: u64,
    /// Caller addresses of the daemons; each attempt uses one at random.
    pub daemons: Vec<SocketAddr>,
    /// Request streams of the run.
    pub sources: Vec<Source>,
    /// Stages of the run, in order.
    pub stages: Vec<Stage>,
    /// Retry policy of the callers.
    pub retry: Retry,
    /// Timeout of one attempt.
    pub timeout: Duration,
    /// Maximum number of requests open at once. Further requests are not sent
    /// and count as unknown.
    pub max_open: usize,
}

/// A stream of identical requests.
#[derive(Clone, Debug)]
pub struct Source {
    /// Name of the stream in the report.
    pub name: String,
    /// Key that the requests present.
    pub key: String,
    /// Mean arrival rate at factor 1, in requests per second.
    pub rate: f64,
    /// HTTP method of the requests.
    pub method: String,
    /// Path of the requests, from the leading slash.
    pub path: String,
    /// Body of the requests.
    pub body: Vec<u8>,
    /// Whether each request carries an idempotency key.
    pub idempotent: bool,
}

/// A period with a constant mean arrival rate.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    /// Duration of the stage.
    pub duration: Duration,
    /// Factor that is applied to the rate of every source.
    pub factor: f64,
}

/// Retry policy for attempts that are not answered with a success.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Maximum number of attempts of a request beyond the first.
    pub max_retries: u32,
    /// Mean delay before a retry; the actual delay is uniform between half and
    /// one and a half times this value.
    pub backoff: Duration,
    /// Whether a `Retry-After` header replaces `backoff`.
    pub honour_retry_after: bool,
}

impl Retry {
    /// No retries.
    pub const NONE: Self = Self {
        max_retries: 0,
        backoff: Duration::ZERO,
        honour_retry_after: false,
    };
}

impl Source {
    /// Creates a stream of `GET` requests without a body or idempotency key.
    pub fn get(name: &str, key: &str, path: &str, rate: f64) -> Self {
        Self {
            name: name.to_owned(),
            key: key.to_owned(),
            rate,
            method: "GET".to_owned(),
            path: path.to_owned(),
            body: Vec::new(),
            idempotent: false,
        }
    }
}
