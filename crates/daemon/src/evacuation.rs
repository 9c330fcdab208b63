//! Evacuated failure domains as they are in force in this daemon.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use tokio::sync::watch;

/// Evacuations in force.
#[derive(Debug)]
pub struct Evacuation {
    /// Failure domain of this daemon.
    domain: Arc<str>,
    /// Evacuated domains. Locked for as long as a change is carried out, so that an
    /// older set never replaces a newer one.
    pub domains: Mutex<BTreeSet<Arc<str>>>,
    /// Domains that release notes have evacuated and that no known failure domain has.
    pub ignored: Mutex<BTreeSet<Arc<str>>>,
    /// Whether the domain of this daemon is among them.
    local: watch::Sender<bool>,
}

impl Evacuation {
    /// Creates the state of a daemon in `domain` that knows of no evacuation.
    pub fn new(domain: Arc<str>) -> Self {
        Self {
            domain,
            domains: Mutex::default(),
            ignored: Mutex::default(),
            local: watch::Sender::new(false),
        }
    }

    /// Sets whether the local target may receive calls, from the evacuated domains.
    pub fn apply(&self, domains: &BTreeSet<Arc<str>>) {
        self.local.send_replace(domains.contains(&self.domain));
    }

    /// Waits until the failure domain of this daemon is evacuated.
    pub async fn reached(&self) {
        let mut local = self.local.subscribe();
        // The state holds the sender, so waiting cannot fail.
        let _ = local.wait_for(|is_evacuated| *is_evacuated).await;
    }
}
