//! Grants over the fleet never exceed rate x time + burst.
//!
//! The naive model is one global list of the moments at which requests were
//! let through; every interval of it is held against the bound.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_policy::quota::{
    Bound, Lease, Lender, RAISE_AFTER, Spend, Wallet, holders, validity,
};
use cardamomshed_policy::{AccountKey, Moment};

use crate::check;

const ACCOUNT: AccountKey = AccountKey(0);
const LEASE: Duration = Duration::from_secs(2);

/// One step: which wallet, how long before it, and what goes wrong.
type Step = (u8, u8, u8);

struct Grant {
    wallet: usize,
    tokens: u32,
    asked: Moment,
    arrives: Moment,
}

/// Two lenders and three wallets with lost and late grants, paused holders
/// and replaced lenders; gives when requests were let through.
fn run(bound: Bound, steps: &[Step]) -> Vec<Moment> {
    let share = bound.share(500_000);
    let mut lenders = [Lender::default(), Lender::default()];
    let mut wallets = [Wallet::default(), Wallet::default(), Wallet::default()];
    let mut flying = VecDeque::<Grant>::new();
    let mut passed = Vec::new();
    let mut now = Moment::from_millis(10);
    for lender in &mut lenders {
        lender.set_lease(Lease::granted(now, LEASE));
        lender.set_share(ACCOUNT, share, RAISE_AFTER, now);
    }
    for (who, wait, fault) in steps {
        now = now + Duration::from_millis(u64::from(*wait) % 40);
        let wallet = usize::from(*who) % wallets.len();
        let lender = usize::from(*fault) % 2;
        match fault {
            // A lender is replaced: its successor waits out the lease, or
            // takes over at once where it was given back.
            250.. => {
                lenders[lender].clear_lease();
                now = now + Lease::takeover_after(LEASE);
                lenders[lender] = Lender::default();
                lenders[lender].set_lease(Lease::granted(now, LEASE));
                lenders[lender].set_share(ACCOUNT, share, RAISE_AFTER, now);
            }
            // Leases are renewed.
            200..250 => lenders[lender].set_lease(Lease::granted(now, LEASE)),
            _ => {}
        }
        while flying.front().is_some_and(|grant| grant.arrives <= now) {
            if let Some(grant) = flying.pop_front() {
                let valid = validity(bound);
                wallets[grant.wallet].receive(ACCOUNT, grant.tokens, grant.asked, valid);
            }
        }
        for _ in 0..=(fault % 8) {
            wallets[wallet].record_use(ACCOUNT, now);
            if wallets[wallet].spend(ACCOUNT, now) == Spend::Spent {
                passed.push(now);
            }
        }
        let wanted = wallets[wallet].request(ACCOUNT, true, Duration::from_millis(20), now);
        let tokens = lenders[lender].lend(ACCOUNT, wanted, now);
        // Every fifth grant is lost, some are late.
        if fault % 5 != 0 {
            let late = Duration::from_millis(u64::from(fault % 3) * 30);
            flying.push_back(Grant {
                wallet,
                tokens,
                asked: now,
                arrives: now + late,
            });
        }
    }
    passed
}

fn within_bound(bound: Bound, passed: &[Moment]) -> bool {
    (0..passed.len()).all(|first| {
        (first..passed.len()).all(|last| {
            let length = passed[last].since(passed[first]).as_secs_f64();
            let allowed = bound.rate * length + bound.burst;
            (last - first + 1) as f64 <= allowed + 1e-6
        })
    })
}

#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn never_over(rate: u16, burst: u8, steps: Vec<Step>) -> bool {
    let rate = f64::from(rate % 400 + 10);
    let bound = Bound {
        rate,
        burst: f64::from(burst % 60).max(rate * 0.1).max(2.0).ceil(),
    };
    within_bound(bound, &run(bound, &steps))
}

#[test]
fn over_grant_never() {
    check(never_over as fn(u16, u8, Vec<Step>) -> bool);
}

#[test]
fn most_is_granted() {
    let bound = Bound {
        rate: 200.0,
        burst: 40.0,
    };
    // Two wallets ask for far more than the rate; nothing is lost.
    let steps = (0..2_000u32).map(|place| ((place % 2) as u8, 5, 7 + (place % 2) as u8));
    let passed = run(bound, &steps.collect::<Vec<_>>());
    assert!(within_bound(bound, &passed));
    let length = passed[passed.len() - 1].since(passed[0]).as_secs_f64();
    let share = passed.len() as f64 / (bound.rate * length);
    assert!(share > 0.9, "only {share} of the rate was granted");
}

#[test]
fn paused_lender_lapses() {
    let now = Moment::from_millis(1);
    let mut lender = Lender::default();
    lender.set_lease(Lease::granted(now, LEASE));
    let bound = Bound {
        rate: 100.0,
        burst: 100.0,
    };
    lender.set_share(ACCOUNT, bound, RAISE_AFTER, now);
    let later = now + Duration::from_millis(500);
    assert!(lender.lend(ACCOUNT, 5, later) == 5);
    // The holder is paused past its lease and wakes before its successor
    // has waited it out.
    let woken = now + LEASE;
    assert_eq!(lender.lend(ACCOUNT, 5, woken), 0);
    assert!(now + Lease::takeover_after(LEASE) > woken);
}

#[test]
fn withdrawn_raise_ends() {
    let mut lender = Lender::default();
    let now = Moment::from_millis(1);
    lender.set_lease(Lease::granted(now, Duration::from_mins(10)));
    let bound = |figure| Bound {
        rate: figure,
        burst: figure,
    };
    lender.set_share(ACCOUNT, bound(10.0), RAISE_AFTER, now);
    // A raise that is taken back before it is in force must not come later.
    lender.set_share(ACCOUNT, bound(1_000.0), RAISE_AFTER, now);
    lender.set_share(
        ACCOUNT,
        bound(10.0),
        RAISE_AFTER,
        now + Duration::from_secs(1),
    );
    assert!(lender.lend(ACCOUNT, 1_000, now + Duration::from_secs(8)) <= 10);
    assert!(lender.lend(ACCOUNT, 1_000, now + Duration::from_secs(9)) <= 10);
    // A second raise waits its own time.
    let start = now + Duration::from_secs(20);
    lender.set_share(ACCOUNT, bound(20.0), RAISE_AFTER, start);
    lender.set_share(
        ACCOUNT,
        bound(1_000.0),
        RAISE_AFTER,
        start + Duration::from_secs(5),
    );
    assert!(lender.lend(ACCOUNT, 1_000, start + Duration::from_secs(7)) <= 20);
    assert!(lender.lend(ACCOUNT, 1_000, start + Duration::from_secs(8)) <= 20);
}

#[test]
fn raised_share_waits() {
    let mut lender = Lender::default();
    let now = Moment::from_millis(1);
    lender.set_lease(Lease::granted(now, Duration::from_mins(10)));
    let small = Bound {
        rate: 10.0,
        burst: 10.0,
    };
    lender.set_share(ACCOUNT, small, RAISE_AFTER, now);
    let large = Bound {
        rate: 1_000.0,
        burst: 1_000.0,
    };
    let second = now + Duration::from_secs(1);
    lender.set_share(ACCOUNT, large, RAISE_AFTER, second);
    assert!(lender.lend(ACCOUNT, 1_000, second + Duration::from_secs(5)) <= 10);
    let raised = second + Duration::from_secs(6);
    lender.lend(ACCOUNT, 1, raised);
    assert!(lender.lend(ACCOUNT, 1_000, raised + Duration::from_secs(1)) > 100);
}

fn shares_fit(burst: u32, domains: u8) -> bool {
    let domains = (0..=domains % 8).map(|place| Arc::from(format!("d{place}")));
    let domains = domains.collect::<Vec<Arc<str>>>();
    let bound = Bound {
        rate: 50.0,
        burst: f64::from(burst % 10_000 + 2),
    };
    let (slots, share) = holders("account", bound, &domains, 2);
    let again = holders("account", bound, &domains, 2);
    let total = share.burst * slots.len() as f64;
    again.0 == slots
        && total <= bound.burst + 1e-9
        && share.rate * slots.len() as f64 <= 50.0 + 1e-9
}

#[test]
fn shares_never_exceed() {
    check(shares_fit as fn(u32, u8) -> bool);
}
