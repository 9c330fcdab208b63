//! The notice that the target beside this daemon leaves.

use cardamomshed_policy::registration::Incarnation;
use tokio::sync::oneshot;

/// The notice that the target beside this daemon leaves, to be kept where a
/// restart of the daemon finds it.
#[derive(Debug)]
pub struct Departure {
    /// The target that leaves.
    pub incarnation: Incarnation,
    /// Told once the notice is kept.
    pub kept: oneshot::Sender<()>,
}
