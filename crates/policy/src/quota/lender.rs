//! Leases on shares, and the lender that grants prepaid tokens from them.

use std::collections::HashMap;
use std::time::Duration;

use super::{Bound, Bucket, validity};
use crate::key::AccountKey;
use crate::moment::Moment;

/// Time within which every daemon applies a new release note.
pub const RAISE_AFTER: Duration = Duration::from_secs(6);

/// A lease on a share.
///
/// The holder measures the lease from the time of its request, its successor
/// from the time at which it first saw the row unchanged. The two use different
/// clocks, and a margin covers their drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Time from which the share must not be used.
    pub until: Moment,
}

impl Lease {
    /// Margin for the drift between two clocks, as a fraction of the lease's
    /// length.
    const MARGIN: f64 = 0.05;

    /// A lease that was requested at `requested` and then granted.
    pub fn granted(requested: Moment, length: Duration) -> Self {
        Self {
            until: requested + length.mul_f64(1.0 - Self::MARGIN),
        }
    }

    /// Whether the share may be used.
    pub fn is_valid(self, now: Moment) -> bool {
        now < self.until
    }

    /// Time for which a row must stay unchanged before its lease may be taken
    /// over.
    pub fn takeover_after(length: Duration) -> Duration {
        length.mul_f64(1.0 + Self::MARGIN)
    }
}

/// Grants prepaid tokens from the shares of a leased slot.
#[derive(Debug, Default)]
pub struct Lender {
    lease: Option<Lease>,
    accounts: HashMap<AccountKey, Account>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    share: Bound,
    /// A larger share and the time at which it takes effect. By then no other
    /// holder uses the earlier division.
    pending_raise: Option<(Bound, Moment)>,
    bucket: Bucket,
    /// Whether an allowance was added.
    has_allowance: bool,
}

impl Lender {
    /// Acquires or renews the lease.
    pub const fn set_lease(&mut self, lease: Lease) {
        self.lease = Some(lease);
    }

    /// Releases the lease and all shares.
    pub fn clear_lease(&mut self) {
        self.lease = None;
        self.accounts.clear();
    }

    /// Whether the lease is valid.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.lease.is_some_and(|lease| lease.is_valid(now))
    }

    /// Sets the share of an account.
    ///
    /// A new share starts without tokens, since its previous holder may just
    /// have granted the last ones. A smaller share takes effect at once, a
    /// larger one after `raise_after`, when no other holder uses the earlier
    /// division any more.
    pub fn set_share(
        &mut self,
        account: AccountKey,
        share: Bound,
        raise_after: Duration,
        now: Moment,
    ) {
        let bound = bucket_bound(share);
        let entry = self.accounts.entry(account).or_insert_with(|| Account {
            share,
            pending_raise: None,
            bucket: Bucket::new(bound, 0.0, now),
            has_allowance: false,
        });
        let lowered = Bound {
            rate: share.rate.min(entry.share.rate),
            burst: share.burst.min(entry.share.burst),
        };
        if lowered != entry.share {
            entry.set_share(lowered, now);
        }
        // Every raise waits `raise_after` from its own start. A withdrawn
        // raise is dropped.
        if share == lowered {
            entry.pending_raise = None;
        } else if entry
            .pending_raise
            .is_none_or(|(pending, _)| pending != share)
        {
            entry.pending_raise = Some((share, now + raise_after));
        }
    }

    /// Adds `tokens` to an account during the next second, once in the life of the
    /// lender. They are in excess of its share, and the rest is dropped when that is
    /// lowered.
    pub fn add_allowance(&mut self, account: AccountKey, tokens: f64, now: Moment) {
        let entry = self.accounts.get_mut(&account);
        if let Some(entry) = entry.filter(|entry| !entry.has_allowance) {
            entry.has_allowance = true;
            entry.bucket.add_allowance(tokens, now);
        }
    }

    /// Removes the accounts for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(AccountKey) -> bool) {
        self.accounts.retain(|account, _| keep(*account));
    }

    /// Grants up to `wanted` tokens, valid for [`validity`] of the share.
    /// Grants none without a valid lease or a share.
    pub fn lend(&mut self, account: AccountKey, wanted: u32, now: Moment) -> u32 {
        if !self.has_lease(now) {
            return 0;
        }
        let Some(entry) = self.accounts.get_mut(&account) else {
            return 0;
        };
        entry.apply_raise(now);
        entry.bucket.take(wanted, now)
    }

    /// Tokens of allowances that were granted to the account since the last call.
    pub fn report_allowance(&mut self, account: AccountKey) -> f64 {
        let entry = self.accounts.get_mut(&account);
        entry.map_or(0.0, |entry| entry.bucket.report_extra())
    }

    /// Tokens that could be granted now, without a change.
    pub fn available(&self, account: AccountKey, now: Moment) -> f64 {
        let entry = self.accounts.get(&account).copied();
        let entry = entry.filter(|_| self.has_lease(now));
        entry.map_or(0.0, |mut entry| {
            entry.apply_raise(now);
            entry.bucket.tokens(now)
        })
    }
}

impl Account {
    /// Applies a larger share that is due.
    fn apply_raise(&mut self, now: Moment) {
        if let Some((share, _)) = self.pending_raise.take_if(|(_, due)| *due <= now) {
            self.set_share(share, now);
        }
    }

    fn set_share(&mut self, share: Bound, now: Moment) {
        self.share = share;
        self.bucket.set_bound(bucket_bound(share), now);
    }
}

/// Bound of the token bucket of a share. The tokens that may be outstanding
/// during their validity are deducted from the burst.
fn bucket_bound(share: Bound) -> Bound {
    Bound {
        rate: share.rate,
        burst: share.burst - share.rate * validity(share).as_secs_f64(),
    }
}
