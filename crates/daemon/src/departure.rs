//! Departure of the local target.

use cardamomshed_policy::registration::Incarnation;
use tokio::sync::{mpsc, watch};

/// Departures that survive a restart of the daemon.
#[derive(Debug)]
pub struct Departures {
    /// Departures to be stored.
    pub unstored: mpsc::UnboundedSender<Incarnation>,
    /// The last leaving target whose departure the store or a peer has confirmed.
    pub confirmed: watch::Sender<Option<Incarnation>>,
}

impl Departures {
    /// No confirmed departure. `unstored` receives those to be stored.
    pub fn new(unstored: mpsc::UnboundedSender<Incarnation>) -> Self {
        let (confirmed, _) = watch::channel(None);
        Self {
            unstored,
            confirmed,
        }
    }

    /// Records that the store or a peer holds a departure.
    pub fn confirm(&self, incarnation: &Incarnation) {
        self.confirmed.send_replace(Some(incarnation.clone()));
    }
}
