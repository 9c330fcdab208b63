//! Recent load of each client account at one ingress.

use std::collections::HashMap;
use std::time::Duration;

use crate::key::AccountKey;
use crate::moment::Moment;

/// Interval at which the recorded loads are halved.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Load below which an account is evicted.
const MIN_LOAD: f64 = 0.05;

/// Exponentially decaying request count of each account.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    accounts: HashMap<AccountKey, f64>,
    /// Sum of `accounts`.
    total: f64,
    decayed_at: Moment,
}

impl Usage {
    /// Records a request and returns the account's load relative to the mean
    /// over the accounts with load.
    pub fn record(&mut self, account: AccountKey, now: Moment) -> f64 {
        if now.since(self.decayed_at) >= HALF_LIFE {
            self.decay(now);
        }
        let load = self.accounts.entry(account).or_insert(0.0);
        *load += 1.0;
        self.total += 1.0;
        *load * self.accounts.len() as f64 / self.total
    }

    /// What [`Self::record`] would return, without a change.
    pub fn preview(&self, account: AccountKey, now: Moment) -> f64 {
        self.clone().record(account, now)
    }

    fn decay(&mut self, now: Moment) {
        self.decayed_at = now;
        self.accounts.retain(|_, load| {
            *load *= 0.5;
            *load >= MIN_LOAD
        });
        self.total = self.accounts.values().sum();
    }
}
