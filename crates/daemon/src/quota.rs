//! Quota as this daemon holds it.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;

use cardamomshed_policy::Moment;
use cardamomshed_policy::quota::{Lender, Wallet};
use tokio::sync::Notify;

use crate::directory::Directory;

/// Quota as this daemon holds it.
#[derive(Debug, Default)]
pub struct Quota {
    /// Who holds which lender slot.
    pub directory: Directory,
    /// Prepaid quota tokens.
    pub wallet: Mutex<Wallet>,
    /// Quota shares held, by lender slot.
    pub lenders: Mutex<BTreeMap<u16, Lender>>,
    /// Millionths of an account's bound that its first lender hands out.
    pub whole: AtomicU32,
    /// When the actor that holds lender slots looked last, on the leases'
    /// clock. A long time ago says that this process was paused.
    pub looked: Mutex<Moment>,
    /// When this process went on after it was paused last.
    pub resumed: Mutex<Option<Moment>>,
    /// Wakes requests that wait for quota tokens.
    pub arrived: Notify,
    /// Wakes the actor that holds lender slots.
    pub wake: Notify,
}
