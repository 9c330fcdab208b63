//! Quota state shared between the request path and the quota actor.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;

use cardamomshed_policy::Moment;
use cardamomshed_policy::quota::{Lender, Wallet};
use tokio::sync::Notify;

use crate::directory::Directory;

/// Quota state of one daemon.
#[derive(Debug, Default)]
pub struct Quota {
    /// Known holders of the lender slots.
    pub directory: Directory,
    /// Prepaid tokens for this ingress.
    pub wallet: Mutex<Wallet>,
    /// Lender slots held by this daemon, by slot number.
    pub lenders: Mutex<BTreeMap<u16, Lender>>,
    /// Share of an account's bound that its first lender has, in millionths.
    pub primary_share: AtomicU32,
    /// Last run of the quota actor's loop. A long gap since then indicates that this
    /// process was paused.
    pub last_poll: Mutex<Moment>,
    /// When the last pause of this process was detected.
    pub resumed_at: Mutex<Option<Moment>>,
    /// Wakes requests that wait for tokens.
    pub grant_arrived: Notify,
    /// Wakes the quota actor.
    pub wake: Notify,
}
