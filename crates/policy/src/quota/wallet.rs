//! Prepaid tokens at one ingress.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::key::AccountKey;
use crate::moment::Moment;

/// Weight of one period in the smoothed use.
const SMOOTHING: f64 = 0.3;
/// Minimum period over which use is measured.
const PERIOD: Duration = Duration::from_millis(60);
/// Fraction of one period's use; more tokens are requested when fewer are held.
const LOW_WATERMARK: f64 = 0.4;
/// Time for which a lender that did not answer is skipped.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(2);
/// Smallest use, in tokens per period, for which tokens are requested ahead of
/// need.
const MIN_PREFETCH_USE: f64 = 1.0;
/// Tokens per request, in periods of use. Tokens expire unused when traffic
/// moves to another ingress, so the number is small.
const REQUEST_PERIODS: f64 = 1.25;

/// Tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct Grant {
    tokens: u32,
    until: Moment,
}

#[derive(Clone, Debug, Default)]
struct Account {
    /// Grants by time of expiry, none of them empty.
    grants: VecDeque<Grant>,
    /// Smoothed number of requests per period.
    use_per_period: f64,
    used: u32,
    period_start: Moment,
    /// When the outstanding request to a lender was sent.
    requested: Option<Moment>,
    /// Consecutive requests that the account's first lender did not answer.
    unanswered: u8,
    /// When the last of them timed out.
    unresponsive_at: Moment,
    /// All lenders were without tokens; no request is sent until then.
    exhausted_until: Moment,
    /// The daemon that received the last request is no longer a lender.
    refused: bool,
}

/// Result of [`Wallet::spend`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spend {
    /// One token was spent.
    Spent,
    /// No token is held, but a lender may have some.
    Wait,
    /// No lender has tokens.
    Exhausted,
}

/// Prepaid tokens of every account with requests at this ingress.
#[derive(Debug, Default)]
pub struct Wallet {
    accounts: HashMap<AccountKey, Account>,
}

impl Wallet {
    /// Records a request of the account.
    pub fn record_use(&mut self, account: AccountKey, now: Moment) {
        let entry = self.accounts.entry(account).or_default();
        entry.update_use(now);
        entry.used += 1;
    }

    /// Spends one token.
    pub fn spend(&mut self, account: AccountKey, now: Moment) -> Spend {
        self.accounts.entry(account).or_default().spend(now)
    }

    /// Number of tokens that are held, and what [`Self::spend`] would return, without a
    /// change.
    pub fn preview(&self, account: AccountKey, now: Moment) -> (u32, Spend) {
        let mut entry = self.accounts.get(&account).cloned().unwrap_or_default();
        entry.remove_expired(now);
        let held = entry.grants.iter().map(|grant| grant.tokens).sum();
        (held, entry.spend(now))
    }

    /// Number of tokens to request now. It is zero while enough are held, while
    /// the lenders are exhausted, and while an earlier request has been
    /// outstanding for less than `timeout`.
    ///
    /// `waiting` says that a request of the account waits for a token.
    /// Otherwise tokens are requested only for accounts that will use them
    /// before they expire.
    pub fn request(
        &mut self,
        account: AccountKey,
        waiting: bool,
        timeout: Duration,
        now: Moment,
    ) -> u32 {
        let entry = self.accounts.entry(account).or_default();
        entry.remove_expired(now);
        let outstanding = entry
            .requested
            .is_some_and(|since| now.since(since) < timeout);
        if outstanding || now < entry.exhausted_until {
            return 0;
        }
        let held = entry.grants.iter().map(|grant| grant.tokens).sum::<u32>();
        let prefetch = entry.use_per_period >= MIN_PREFETCH_USE;
        let demand = if waiting {
            entry.use_per_period.max(f64::from(entry.used))
        } else {
            entry.use_per_period
        };
        if (!waiting && !prefetch) || f64::from(held) > demand * LOW_WATERMARK {
            return 0;
        }
        if entry.requested.is_some() {
            entry.unanswered = entry.unanswered.saturating_add(1);
            entry.unresponsive_at = now;
        }
        entry.requested = Some(now);
        ((demand * REQUEST_PERIODS) as u32).max(1)
    }

    /// Number of lenders to skip because they recently did not answer.
    pub fn unresponsive_lenders(&self, account: AccountKey, now: Moment) -> u8 {
        let entry = self.accounts.get(&account);
        let recent = entry.filter(|entry| now.since(entry.unresponsive_at) < UNRESPONSIVE_FOR);
        recent.map_or(0, |entry| entry.unanswered)
    }

    /// Records an answer of the account's first lender.
    pub fn record_first_answer(&mut self, account: AccountKey) {
        self.accounts.entry(account).or_default().unanswered = 0;
    }

    /// Adds tokens that were requested at `requested`. They are valid for
    /// `validity` from then on, regardless of when the response arrives.
    pub fn receive(
        &mut self,
        account: AccountKey,
        tokens: u32,
        requested: Moment,
        validity: Duration,
    ) {
        let entry = self.accounts.entry(account).or_default();
        entry.requested = None;
        entry.refused = false;
        if tokens > 0 {
            entry.grants.push_back(Grant {
                tokens,
                until: requested + validity,
            });
        }
    }

    /// Records that the daemon that received the request is no longer a lender.
    /// The account may have tokens elsewhere.
    pub fn record_refusal(&mut self, account: AccountKey) {
        let entry = self.accounts.entry(account).or_default();
        entry.requested = None;
        entry.refused = true;
    }

    /// Whether the daemon that received the last request is no longer a lender.
    pub fn is_refused(&self, account: AccountKey) -> bool {
        self.accounts
            .get(&account)
            .is_some_and(|entry| entry.refused)
    }

    /// Discards all tokens, for when their expiry can no longer be determined.
    pub fn clear_grants(&mut self) {
        for entry in self.accounts.values_mut() {
            entry.grants.clear();
            entry.requested = None;
        }
    }

    /// Records that the last request was not sent.
    pub fn cancel_request(&mut self, account: AccountKey) {
        self.accounts.entry(account).or_default().requested = None;
    }

    /// Records that all lenders were without tokens. No request is sent before
    /// `until`.
    pub fn set_exhausted(&mut self, account: AccountKey, until: Moment) {
        let entry = self.accounts.entry(account).or_default();
        entry.requested = None;
        entry.refused = false;
        entry.exhausted_until = until;
    }

    /// Evicts accounts without requests for a minute, to bound the memory.
    pub fn evict_idle(&mut self, now: Moment) {
        const MAX_IDLE: Duration = Duration::from_mins(1);
        self.accounts
            .retain(|_, entry| now.since(entry.period_start) < MAX_IDLE);
    }
}

impl Account {
    fn spend(&mut self, now: Moment) -> Spend {
        self.remove_expired(now);
        let Some(grant) = self.grants.front_mut() else {
            return if now < self.exhausted_until {
                Spend::Exhausted
            } else {
                Spend::Wait
            };
        };
        grant.tokens -= 1;
        if grant.tokens == 0 {
            self.grants.pop_front();
        }
        Spend::Spent
    }

    fn remove_expired(&mut self, now: Moment) {
        while self.grants.front().is_some_and(|grant| grant.until <= now) {
            self.grants.pop_front();
        }
    }

    fn update_use(&mut self, now: Moment) {
        let elapsed = now.since(self.period_start);
        if elapsed < PERIOD {
            return;
        }
        let periods = elapsed.as_secs_f64() / PERIOD.as_secs_f64();
        let recent = f64::from(self.used) / periods;
        self.use_per_period += SMOOTHING * (recent - self.use_per_period);
        self.used = 0;
        self.period_start = now;
    }
}
