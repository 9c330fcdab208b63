//! What clients sent and were answered and what targets ran, and the promises that
//! these break.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

/// Statuses that promise that a request has not run and will not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Length of the windows by which the service over time is reported.
const WINDOW: Duration = Duration::from_secs(2);
/// Smallest fraction of the requests that has to be served in a run, of each route and
/// in each failure domain, and by a recovered fleet.
const MIN_SERVED: f64 = 0.4;

/// What kind of request an attempt is and where it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// Path prefix of the route.
    pub prefix: &'static str,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Failure domain of the client.
    pub domain: &'static str,
}

/// One attempt of a client.
#[derive(Clone, Debug)]
struct Attempt {
    sent_at: Instant,
    origin: Origin,
    /// Status of the response; zero for none.
    status: u16,
    runs: Vec<Run>,
}

/// Execution of a request by a target.
#[derive(Clone, Debug)]
struct Run {
    at: Instant,
    instance: Rc<str>,
}

#[derive(Debug, Default)]
struct State {
    attempts: IndexMap<Rc<str>, Attempt>,
    /// Responses that belong to another request or are not the target's.
    mixed: Vec<String>,
    /// Descriptions of what was done to the fleet, with its time.
    events: Vec<(Duration, String)>,
    /// Time from which the fleet counts as recovered.
    recovered_at: Option<Instant>,
}

/// Shared record of one run.
#[derive(Clone, Debug)]
pub struct Ledger {
    started: Instant,
    state: Rc<RefCell<State>>,
}

/// Promises that were broken, by attempt, and the service that clients got.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Unrepeatable requests that ran more than once.
    pub twice: Vec<String>,
    /// Unrepeatable requests that were refused with a promise and ran.
    pub refused: Vec<String>,
    /// Responses that belong to another request or are not the target's.
    pub mixed: Vec<String>,
    /// Shortfalls of service.
    pub short: Vec<String>,
    /// Attempts of clients.
    pub attempts: usize,
    /// Attempts by status; zero for none.
    pub statuses: IndexMap<u16, usize>,
    /// Fraction served by window, and over the run.
    pub served: Vec<f64>,
    /// Fraction of all attempts that were served.
    pub served_in_all: f64,
    /// The same, by route and by failure domain of the clients.
    pub served_by: IndexMap<&'static str, f64>,
}

impl Verdict {
    /// Whether every promise was kept.
    pub const fn is_kept(&self) -> bool {
        self.twice.is_empty()
            && self.refused.is_empty()
            && self.mixed.is_empty()
            && self.short.is_empty()
    }
}

impl Ledger {
    /// Creates an empty ledger whose times count from now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            state: Rc::default(),
        }
    }

    /// Records that a client sends an attempt.
    pub fn send(&self, id: &Rc<str>, origin: Origin) {
        let attempt = Attempt {
            sent_at: Instant::now(),
            origin,
            status: 0,
            runs: Vec::new(),
        };
        let mut state = self.state.borrow_mut();
        state.attempts.insert(Rc::clone(id), attempt);
    }

    /// Records the response to an attempt.
    pub fn answer(&self, id: &str, status: u16) {
        if let Some(attempt) = self.state.borrow_mut().attempts.get_mut(id) {
            attempt.status = status;
        }
    }

    /// Records a response that a client must not get.
    pub fn mix(&self, detail: String) {
        self.state.borrow_mut().mixed.push(detail);
    }

    /// Records that a target begins to run a request. Calls of targets are no
    /// attempts of clients and are not recorded.
    pub fn run(&self, id: &str, instance: &Rc<str>) {
        if let Some(attempt) = self.state.borrow_mut().attempts.get_mut(id) {
            attempt.runs.push(Run {
                at: Instant::now(),
                instance: Rc::clone(instance),
            });
        }
    }

    /// Records what is done to the fleet.
    pub fn event(&self, text: String) {
        let at = self.started.elapsed();
        self.state.borrow_mut().events.push((at, text));
    }

    /// Records that faults have ended long enough ago for the fleet to serve again.
    pub fn recover(&self) {
        self.state.borrow_mut().recovered_at = Some(Instant::now());
    }

    /// What was done to the fleet, a line each.
    pub fn events(&self) -> Vec<String> {
        let state = self.state.borrow();
        let lines = state.events.iter();
        lines
            .map(|(at, text)| format!("{:8.3} {text}", at.as_secs_f64()))
            .collect()
    }

    /// Judges the run.
    pub fn verdict(&self) -> Verdict {
        let state = self.state.borrow();
        let mut verdict = Verdict {
            mixed: state.mixed.clone(),
            attempts: state.attempts.len(),
            ..Verdict::default()
        };
        let mut windows = Vec::<(usize, usize)>::new();
        let mut recovered = (0, 0);
        let mut parts = IndexMap::<&str, (usize, usize)>::new();
        for (id, attempt) in &state.attempts {
            *verdict.statuses.entry(attempt.status).or_default() += 1;
            if !attempt.origin.repeatable && attempt.runs.len() > 1 {
                verdict.twice.push(self.describe(id, attempt));
            }
            let is_promise = PROMISES.contains(&attempt.status);
            if !attempt.origin.repeatable && is_promise && !attempt.runs.is_empty() {
                verdict.refused.push(self.describe(id, attempt));
            }
            let is_served = usize::from((200..300).contains(&attempt.status));
            let sent = attempt.sent_at.duration_since(self.started).as_millis();
            let index = usize::try_from(sent / WINDOW.as_millis()).unwrap_or(usize::MAX);
            if windows.len() <= index {
                windows.resize(index + 1, (0, 0));
            }
            windows[index].0 += 1;
            windows[index].1 += is_served;
            for part in [attempt.origin.prefix, attempt.origin.domain] {
                let part = parts.entry(part).or_default();
                part.0 += 1;
                part.1 += is_served;
            }
            if state.recovered_at.is_some_and(|at| attempt.sent_at >= at) {
                recovered.0 += 1;
                recovered.1 += is_served;
            }
        }
        let fraction = |(sent, served): (usize, usize)| served as f64 / sent.max(1) as f64;
        verdict.served = windows.iter().copied().map(fraction).collect();
        let sum = |(sent, served), window: &(usize, usize)| (sent + window.0, served + window.1);
        verdict.served_in_all = fraction(windows.iter().fold((0, 0), sum));
        for (part, counts) in parts {
            let served = fraction(counts);
            if served < MIN_SERVED {
                let detail = format!("{served:.3} served of {part} over the run");
                verdict.short.push(detail);
            }
            verdict.served_by.insert(part, served);
        }
        if verdict.served_in_all < MIN_SERVED {
            let detail = format!("{:.3} served over the run", verdict.served_in_all);
            verdict.short.push(detail);
        }
        if recovered.0 > 0 && fraction(recovered) < MIN_SERVED {
            let detail = format!("{:.3} served after the faults", fraction(recovered));
            verdict.short.push(detail);
        }
        verdict
    }

    fn describe(&self, id: &str, attempt: &Attempt) -> String {
        let since = |at: Instant| at.duration_since(self.started).as_secs_f64();
        let mut text = format!(
            "{id} {} in {} sent {:.3} status {}",
            attempt.origin.prefix,
            attempt.origin.domain,
            since(attempt.sent_at),
            attempt.status
        );
        for run in &attempt.runs {
            // Writing to a string does not fail.
            let _ = write!(text, ", ran {:.3} on {}", since(run.at), run.instance);
        }
        text
    }
}
