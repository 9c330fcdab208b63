//! The bound of a client account, as the quota policy takes it.

use cardamomshed_note::Account;
use cardamomshed_policy::quota::Bound;

/// Rate and burst of a client account.
pub(super) fn bound(account: &Account) -> Bound {
    Bound {
        rate: account.rate.get(),
        burst: f64::from(account.burst),
    }
}
