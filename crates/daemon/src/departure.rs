//! Departure of the local target.

use cardamomshed_policy::registration::Incarnation;
use tokio::sync::oneshot;

/// Departure to be persisted, so that it survives a restart of the daemon.
#[derive(Debug)]
pub struct Departure {
    /// The leaving target.
    pub incarnation: Incarnation,
    /// Completed once the attempt to store the departure has ended.
    pub stored: oneshot::Sender<()>,
}
