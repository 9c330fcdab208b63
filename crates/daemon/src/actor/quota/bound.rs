//! Conversion of a client account's configuration to the quota policy's bound.

use cardamomshed_note::Account;
use cardamomshed_policy::quota::Bound;

/// Rate (requests per second) and burst (requests) of a client account.
pub(super) fn bound(account: &Account) -> Bound {
    Bound {
        rate: account.rate.get(),
        burst: f64::from(account.burst),
    }
}
