//! Conversion of moments between the clocks of two processes.

use std::time::Duration;

use crate::confirmation::Date;
use crate::moment::Moment;

/// Largest relative error of an interval measured on two clocks, each of which
/// is slewed by at most 500 ppm.
const MAX_DRIFT: f64 = 0.001;

/// Bound on the offset between the local clock and that of another process.
///
/// It comes from an exchange that this process started: the other clock read
/// `remote` no earlier than the local clock read `local`. The time for which a
/// message is in transit or queued therefore never makes a converted date later
/// than the true one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offset {
    /// Identity of the other process; a restart makes the offset void.
    pub(super) process: u64,
    /// Local clock when the request was sent.
    pub(super) local: Moment,
    /// Remote clock when the response was made.
    pub(super) remote: Moment,
}

impl Offset {
    /// The latest local date that is certainly not after `remote` on the other
    /// clock.
    pub(super) fn local_date(&self, remote: Moment) -> Date {
        let local = Date::of(self.local);
        let later = remote.since(self.remote);
        if later > Duration::ZERO {
            return local.after(later.mul_f64(1.0 - MAX_DRIFT));
        }
        let earlier = self.remote.since(remote);
        local.before(earlier.mul_f64(1.0 + MAX_DRIFT))
    }

    /// Whether this offset bounds moments at least as tightly as `other`.
    pub(super) fn is_tighter(&self, other: &Self) -> bool {
        self.process != other.process || Date::of(self.local) >= other.local_date(self.remote)
    }
}
