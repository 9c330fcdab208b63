//! What load is made.

use std::net::SocketAddr;
use std::time::Duration;

/// Load of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Fixes arrivals and the choice of daemons.
    pub seed: u64,
    /// Daemons that callers connect to.
    pub daemons: Vec<SocketAddr>,
    /// Who calls what, and how often.
    pub sources: Vec<Source>,
    /// Changes of the load over time.
    pub stages: Vec<Stage>,
    /// What callers do with refusals.
    pub retry: Retry,
    /// Time after which a caller gives up.
    pub timeout: Duration,
    /// Largest number of requests open at once; further ones count as
    /// unanswered.
    pub max_open: usize,
}

/// A stream of equal requests.
#[derive(Clone, Debug)]
pub struct Source {
    /// Name in the report.
    pub name: String,
    /// Key that is presented.
    pub key: String,
    /// Requests a second at factor one.
    pub rate: f64,
    /// Method of the requests.
    pub method: String,
    /// Path of the requests.
    pub path: String,
    /// Body of the requests.
    pub body: Vec<u8>,
    /// Whether each request carries an idempotency key.
    pub idempotent: bool,
}

/// A stretch of time with one load.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    /// Length of the stretch.
    pub length: Duration,
    /// Factor on every source's rate.
    pub factor: f64,
}

/// What callers do with refusals.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Further attempts of one request.
    pub attempts: u32,
    /// Pause before a further attempt.
    pub pause: Duration,
    /// Whether `Retry-After` is honoured where it is given.
    pub honour: bool,
}

impl Retry {
    /// Callers that take no for an answer.
    pub const NONE: Self = Self {
        attempts: 0,
        pause: Duration::ZERO,
        honour: false,
    };
}

impl Source {
    /// A stream of `GET` requests.
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
