//! The holder of a share, which hands out prepaid tokens.

use std::collections::HashMap;
use std::time::Duration;

use super::{Bound, Bucket, validity};
use crate::key::AccountKey;
use crate::moment::Moment;

/// Time after which every daemon has a release note in force.
pub const RAISE_AFTER: Duration = Duration::from_secs(6);

/// A lease on a share.
///
/// The holder counts from the moment before it asked, the next holder from
/// the moment it last saw the row unchanged, each on a clock of its own;
/// the margin covers their drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The share may not be used from this moment on.
    pub until: Moment,
}

impl Lease {
    /// Share of the lease's length that covers the drift of two clocks.
    const MARGIN: f64 = 0.05;

    /// A lease that was asked for at `asked` and granted.
    pub fn granted(asked: Moment, length: Duration) -> Self {
        Self {
            until: asked + length.mul_f64(1.0 - Self::MARGIN),
        }
    }

    /// Whether the share may be used.
    pub fn holds(self, now: Moment) -> bool {
        now < self.until
    }

    /// Time for which a row must be seen unchanged before its lease is
    /// taken over.
    pub fn wait_out(length: Duration) -> Duration {
        length.mul_f64(1.0 + Self::MARGIN)
    }
}

/// Hands out prepaid tokens from the shares it holds.
#[derive(Debug, Default)]
pub struct Lender {
    lease: Option<Lease>,
    accounts: HashMap<AccountKey, Account>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    share: Bound,
    /// A larger share that comes into force at that moment, when no other
    /// holder counts on the earlier division any more.
    raise: Option<(Bound, Moment)>,
    bucket: Bucket,
}

impl Lender {
    /// Takes over or renews the lease.
    pub const fn set_lease(&mut self, lease: Lease) {
        self.lease = Some(lease);
    }

    /// Gives the lease up.
    pub fn clear_lease(&mut self) {
        self.lease = None;
        self.accounts.clear();
    }

    /// Whether the lease holds.
    pub fn holds(&self, now: Moment) -> bool {
        self.lease.is_some_and(|lease| lease.holds(now))
    }

    /// Sets the share of an account. A new share starts with no tokens,
    /// since an earlier holder may just have handed out its last.
    /// A larger share comes into force after `raise_after`, when no other
    /// holder counts on the earlier division any more.
    pub fn set_share(
        &mut self,
        account: AccountKey,
        share: Bound,
        raise_after: Duration,
        now: Moment,
    ) {
        let bound = reserve(share);
        let entry = self.accounts.entry(account).or_insert_with(|| Account {
            share,
            raise: None,
            bucket: Bucket::new(bound, 0.0, now),
        });
        let kept = Bound {
            rate: share.rate.min(entry.share.rate),
            burst: share.burst.min(entry.share.burst),
        };
        if kept != entry.share {
            entry.set_share(kept, now);
        }
        // Each raise waits its own time; one that is taken back ends.
        if share == kept {
            entry.raise = None;
        } else if entry.raise.is_none_or(|(pending, _)| pending != share) {
            entry.raise = Some((share, now + raise_after));
        }
    }

    /// Keeps only the accounts for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(AccountKey) -> bool) {
        self.accounts.retain(|account, _| keep(*account));
    }

    /// Hands out up to `wanted` tokens, valid for [`validity`] of the share.
    pub fn lend(&mut self, account: AccountKey, wanted: u32, now: Moment) -> u32 {
        if !self.holds(now) {
            return 0;
        }
        let Some(entry) = self.accounts.get_mut(&account) else {
            return 0;
        };
        if let Some((share, _)) = entry.raise.take_if(|(_, due)| *due <= now) {
            entry.set_share(share, now);
        }
        entry.bucket.take(wanted, now)
    }
}

impl Account {
    fn set_share(&mut self, share: Bound, now: Moment) {
        self.share = share;
        self.bucket.set_bound(reserve(share), now);
    }
}

/// The bound of the bucket for a share: the tokens that may be outstanding
/// during their validity come out of the burst.
fn reserve(share: Bound) -> Bound {
    Bound {
        rate: share.rate,
        burst: share.burst - share.rate * validity(share).as_secs_f64(),
    }
}
