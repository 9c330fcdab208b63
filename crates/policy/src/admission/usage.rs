//! Recent load of each client account at one ingress.

use std::collections::HashMap;
use std::time::Duration;

use crate::key::AccountKey;
use crate::moment::Moment;

/// Time in which a past request loses half its weight.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Load below which an account is forgotten.
const FORGET: f64 = 0.05;

/// Recent load of each account.
#[derive(Debug, Default)]
pub struct Usage {
    accounts: HashMap<AccountKey, f64>,
    /// Sum of `accounts`.
    total: f64,
    decayed: Moment,
}

impl Usage {
    /// Counts a request; gives the account's load as a multiple of the mean
    /// over the accounts with load.
    pub fn count(&mut self, account: AccountKey, now: Moment) -> f64 {
        if now.since(self.decayed) >= HALF_LIFE {
            self.decay(now);
        }
        let load = self.accounts.entry(account).or_insert(0.0);
        *load += 1.0;
        self.total += 1.0;
        *load * self.accounts.len() as f64 / self.total
    }

    fn decay(&mut self, now: Moment) {
        self.decayed = now;
        self.accounts.retain(|_, load| {
            *load *= 0.5;
            *load >= FORGET
        });
        self.total = self.accounts.values().sum();
    }
}
