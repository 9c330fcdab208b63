//! What was sent, answered and run, with times since the start of the case.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Duration,
    /// Machine that the request was sent to.
    pub machine: String,
    /// API key, empty for none.
    pub key: String,
    pub answered: Option<Duration>,
    /// Status of the answer; zero for none.
    pub status: u16,
    /// Times at which an upstream began to run it, with the upstream's id.
    pub runs: Vec<(Duration, String)>,
}

#[derive(Default)]
struct State {
    requests: BTreeMap<String, Sent>,
    lines: Vec<(Duration, String)>,
}

#[derive(Clone)]
pub struct Ledger {
    started: Instant,
    state: Arc<Mutex<State>>,
}

impl Ledger {
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            state: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notes what the case does or sees.
    pub fn note(&self, text: impl Into<String>) {
        let (at, text) = (self.now(), text.into());
        println!("{:8.3} {text}", at.as_secs_f64());
        self.state.lock().unwrap().lines.push((at, text));
    }

    pub fn send(&self, id: &str, machine: &str, key: &str) {
        let sent = Sent {
            at: self.now(),
            machine: machine.to_owned(),
            key: key.to_owned(),
            answered: None,
            status: 0,
            runs: Vec::new(),
        };
        let mut state = self.state.lock().unwrap();
        state.requests.insert(id.to_owned(), sent);
    }

    pub fn answer(&self, id: &str, status: u16) {
        let now = self.now();
        if let Some(sent) = self.state.lock().unwrap().requests.get_mut(id) {
            sent.answered = Some(now);
            sent.status = status;
        }
    }

    pub fn run(&self, id: &str, instance: &str) {
        let now = self.now();
        if let Some(sent) = self.state.lock().unwrap().requests.get_mut(id) {
            sent.runs.push((now, instance.to_owned()));
        }
    }

    pub fn requests(&self) -> BTreeMap<String, Sent> {
        self.state.lock().unwrap().requests.clone()
    }

    /// Writes the record of the case.
    pub fn write(&self, path: &Path) {
        let state = self.state.lock().unwrap();
        let mut lines = state.lines.clone();
        for (id, sent) in &state.requests {
            let mut text = format!("request {id} to {} key {:?}", sent.machine, sent.key);
            match sent.answered {
                Some(at) if sent.status > 0 => {
                    let _ = write!(text, ", {} at {:.3}", sent.status, at.as_secs_f64());
                }
                _ => text.push_str(", no answer"),
            }
            for (at, instance) in &sent.runs {
                let _ = write!(text, ", ran {:.3} on {instance}", at.as_secs_f64());
            }
            lines.push((sent.at, text));
        }
        lines.sort();
        let lines = lines
            .iter()
            .map(|(at, text)| format!("{:8.3} {text}\n", at.as_secs_f64()));
        if let Err(error) = std::fs::write(path, lines.collect::<String>()) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}
