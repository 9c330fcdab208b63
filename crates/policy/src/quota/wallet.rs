//! Prepaid tokens at one ingress.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::key::AccountKey;
use crate::moment::Moment;

/// Weight of one period in the smoothed use.
const SMOOTHING: f64 = 0.3;
/// Period over which use is measured.
const PERIOD: Duration = Duration::from_millis(60);
/// Share of one period's use below which more tokens are asked for.
const LOW_WATER: f64 = 0.4;
/// Time after which a lender that did not answer is asked again.
const SILENT_FOR: Duration = Duration::from_secs(2);
/// Use of one period from which tokens are asked for ahead.
const BUSY: f64 = 1.0;
/// Tokens asked for, in periods' use. What is held lapses when the traffic
/// moves to another ingress, so it is kept small.
const ASK_PERIODS: f64 = 1.25;

/// Tokens that came in one grant.
#[derive(Clone, Copy, Debug)]
struct Grant {
    tokens: u32,
    until: Moment,
}

#[derive(Debug, Default)]
struct Account {
    /// Grants by the end of their validity, none of them empty.
    grants: VecDeque<Grant>,
    /// Smoothed requests a period.
    use_per_period: f64,
    used: u32,
    period_start: Moment,
    /// An ask is outstanding since this moment.
    asked: Option<Moment>,
    /// Asks in a row that the account's first lender did not answer.
    unanswered: u8,
    /// When the last of them was given up.
    silent_at: Moment,
    /// Every lender was without tokens; none is asked until then.
    dry_until: Moment,
    /// The last ask went to a daemon that lends no more.
    turned_away: bool,
}

/// What becomes of a request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spend {
    /// A token was spent.
    Paid,
    /// There is none at hand, and a lender may have one.
    Wait,
    /// No lender has one.
    Dry,
}

/// Prepaid tokens at one ingress, for every account that calls here.
#[derive(Debug, Default)]
pub struct Wallet {
    accounts: HashMap<AccountKey, Account>,
}

impl Wallet {
    /// Counts a request.
    pub fn count(&mut self, account: AccountKey, now: Moment) {
        let entry = self.accounts.entry(account).or_default();
        entry.measure(now);
        entry.used += 1;
    }

    /// Spends one token.
    pub fn spend(&mut self, account: AccountKey, now: Moment) -> Spend {
        let entry = self.accounts.entry(account).or_default();
        entry.drop_lapsed(now);
        let Some(grant) = entry.grants.front_mut() else {
            return if now < entry.dry_until {
                Spend::Dry
            } else {
                Spend::Wait
            };
        };
        grant.tokens -= 1;
        if grant.tokens == 0 {
            entry.grants.pop_front();
        }
        Spend::Paid
    }

    /// Tokens to ask for now, zero while there are enough or an earlier ask
    /// is outstanding for less than `patience`. `waiting` says that a request
    /// waits for a token; without one, tokens are asked for ahead only where
    /// they will be used before they lapse.
    pub fn ask(
        &mut self,
        account: AccountKey,
        waiting: bool,
        patience: Duration,
        now: Moment,
    ) -> u32 {
        let entry = self.accounts.entry(account).or_default();
        entry.drop_lapsed(now);
        let outstanding = entry.asked.is_some_and(|since| now.since(since) < patience);
        if outstanding || now < entry.dry_until {
            return 0;
        }
        let held = entry.grants.iter().map(|grant| grant.tokens).sum::<u32>();
        let ahead = entry.use_per_period >= BUSY;
        let pace = if waiting {
            entry.use_per_period.max(f64::from(entry.used))
        } else {
            entry.use_per_period
        };
        if (!waiting && !ahead) || f64::from(held) > pace * LOW_WATER {
            return 0;
        }
        if entry.asked.is_some() {
            entry.unanswered = entry.unanswered.saturating_add(1);
            entry.silent_at = now;
        }
        entry.asked = Some(now);
        ((pace * ASK_PERIODS) as u32).max(1)
    }

    /// Lenders to pass over, since they did not answer lately.
    pub fn silent_lenders(&self, account: AccountKey, now: Moment) -> u8 {
        let entry = self.accounts.get(&account);
        let lately = entry.filter(|entry| now.since(entry.silent_at) < SILENT_FOR);
        lately.map_or(0, |entry| entry.unanswered)
    }

    /// Notes that the first lender answered.
    pub fn heard_first(&mut self, account: AccountKey) {
        self.accounts.entry(account).or_default().unanswered = 0;
    }

    /// Takes in tokens that were asked for at `asked` and are valid for
    /// `validity` from then, whenever the answer arrives.
    pub fn receive(&mut self, account: AccountKey, tokens: u32, asked: Moment, validity: Duration) {
        let entry = self.accounts.entry(account).or_default();
        entry.asked = None;
        entry.turned_away = false;
        if tokens > 0 {
            entry.grants.push_back(Grant {
                tokens,
                until: asked + validity,
            });
        }
    }

    /// Notes that the daemon that was asked lends no more, so that the account
    /// may have tokens elsewhere.
    pub fn turned_away(&mut self, account: AccountKey) {
        let entry = self.accounts.entry(account).or_default();
        entry.asked = None;
        entry.turned_away = true;
    }

    /// Whether the daemon that was asked last lends no more.
    pub fn is_turned_away(&self, account: AccountKey) -> bool {
        self.accounts
            .get(&account)
            .is_some_and(|entry| entry.turned_away)
    }

    /// Drops every token, since their validity cannot be told any more.
    pub fn drop_grants(&mut self) {
        for entry in self.accounts.values_mut() {
            entry.grants.clear();
            entry.asked = None;
        }
    }

    /// Notes that the last ask was not sent.
    pub fn withdraw_ask(&mut self, account: AccountKey) {
        self.accounts.entry(account).or_default().asked = None;
    }

    /// Notes that every lender was without tokens.
    pub fn set_dry(&mut self, account: AccountKey, until: Moment) {
        let entry = self.accounts.entry(account).or_default();
        entry.asked = None;
        entry.turned_away = false;
        entry.dry_until = until;
    }

    /// Forgets accounts without use, to bound the memory.
    pub fn forget_idle(&mut self, now: Moment) {
        const IDLE: Duration = Duration::from_mins(1);
        self.accounts
            .retain(|_, entry| now.since(entry.period_start) < IDLE);
    }
}

impl Account {
    fn drop_lapsed(&mut self, now: Moment) {
        while self.grants.front().is_some_and(|grant| grant.until <= now) {
            self.grants.pop_front();
        }
    }

    fn measure(&mut self, now: Moment) {
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
