//! Quota bound: the requests admitted by the whole fleet never exceed rate x
//! time + burst.
//!
//! The reference model is one list of the times at which requests were
//! admitted. Every interval of it is checked against the bound.

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
/// Lease that lasts for a whole test.
const LONG_LEASE: Duration = Duration::from_mins(10);

/// One step of a generated case: wallet, delay in ms before the step, and
/// fault.
type Step = (u8, u8, u8);

const fn bound(rate: f64, burst: f64) -> Bound {
    Bound { rate, burst }
}

/// A lender with this share of the account and a lease that begins now.
fn lender(share: Bound, lease: Duration, now: Moment) -> Lender {
    let mut lender = Lender::default();
    lender.set_lease(Lease::granted(now, lease));
    lender.set_share(ACCOUNT, share, RAISE_AFTER, now);
    lender
}

struct Grant {
    wallet: usize,
    tokens: u32,
    requested: Moment,
    arrives: Moment,
}

/// Simulates two lenders and three wallets, with lost and late grants and with
/// replaced lenders. Returns the times at which requests were admitted.
fn run(bound: Bound, steps: &[Step]) -> Vec<Moment> {
    let share = bound.share(500_000);
    let mut wallets = [Wallet::default(), Wallet::default(), Wallet::default()];
    let mut in_flight = VecDeque::<Grant>::new();
    let mut admitted = Vec::new();
    let mut now = Moment::from_millis(10);
    let mut lenders = [(); 2].map(|()| lender(share, LEASE, now));
    for (wallet_number, wait, fault) in steps {
        now = now + Duration::from_millis(u64::from(*wait) % 40);
        let wallet = usize::from(*wallet_number) % wallets.len();
        let index = usize::from(*fault) % 2;
        match fault {
            // A lender is replaced. Its successor starts after the lease has
            // expired.
            250.. => {
                now = now + Lease::takeover_after(LEASE);
                lenders[index] = lender(share, LEASE, now);
            }
            // A lease is renewed.
            200..250 => lenders[index].set_lease(Lease::granted(now, LEASE)),
            _ => {}
        }
        while in_flight.front().is_some_and(|grant| grant.arrives <= now) {
            if let Some(grant) = in_flight.pop_front() {
                let valid = validity(bound);
                wallets[grant.wallet].receive(ACCOUNT, grant.tokens, grant.requested, valid);
            }
        }
        for _ in 0..=(fault % 8) {
            wallets[wallet].record_use(ACCOUNT, now);
            if wallets[wallet].spend(ACCOUNT, now) == Spend::Spent {
                admitted.push(now);
            }
        }
        let wanted = wallets[wallet].request(ACCOUNT, true, Duration::from_millis(20), now);
        let tokens = lenders[index].lend(ACCOUNT, wanted, now);
        // Every fifth grant is lost, others are late.
        if fault % 5 != 0 {
            let late = Duration::from_millis(u64::from(fault % 3) * 30);
            in_flight.push_back(Grant {
                wallet,
                tokens,
                requested: now,
                arrives: now + late,
            });
        }
    }
    admitted
}

fn within_bound(bound: Bound, admitted: &[Moment]) -> bool {
    (0..admitted.len()).all(|first| {
        (first..admitted.len()).all(|last| {
            let length = admitted[last].since(admitted[first]).as_secs_f64();
            let allowed = bound.rate * length + bound.burst;
            (last - first + 1) as f64 <= allowed + 1e-6
        })
    })
}

#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn stays_within_bound(rate: u16, burst: u8, steps: Vec<Step>) -> bool {
    let rate = f64::from(rate % 400 + 10);
    let burst = f64::from(burst % 60).max(rate * 0.1).max(2.0).ceil();
    let bound = bound(rate, burst);
    within_bound(bound, &run(bound, &steps))
}

#[test]
fn bound_held() {
    check(stays_within_bound as fn(u16, u8, Vec<Step>) -> bool);
}

#[test]
fn rate_granted() {
    let bound = bound(200.0, 40.0);
    // Two wallets request far more than the rate, and no grant is lost.
    let steps = (0..2_000u32).map(|index| ((index % 2) as u8, 5, 7 + (index % 2) as u8));
    let admitted = run(bound, &steps.collect::<Vec<_>>());
    assert!(within_bound(bound, &admitted));
    let length = admitted[admitted.len() - 1]
        .since(admitted[0])
        .as_secs_f64();
    let share = admitted.len() as f64 / (bound.rate * length);
    assert!(share > 0.9, "granted only {share} of the rate");
}

#[test]
fn paused_lender_expires() {
    let now = Moment::from_millis(1);
    let mut lender = lender(bound(100.0, 100.0), LEASE, now);
    let later = now + Duration::from_millis(500);
    assert!(lender.lend(ACCOUNT, 5, later) == 5);
    // The holder is paused past the end of its lease and resumes before its
    // successor may take over.
    let resumed = now + LEASE;
    assert_eq!(lender.lend(ACCOUNT, 5, resumed), 0);
    assert!(now + Lease::takeover_after(LEASE) > resumed);
}

/// Guards against accounts within their rate that are refused for seconds after a start
/// of the whole fleet, and against an excess beyond what the platform tolerates.
#[test]
fn start_allowance_bounded() {
    let whole = bound(15.0, 30.0);
    let start = Moment::from_millis(1);
    let started = || {
        let mut lender = lender(whole, LONG_LEASE, start);
        lender.add_allowance(ACCOUNT, whole.start_allowance(), start);
        lender
    };
    let mut lender = started();
    let granted_by = |lender: &mut Lender, millis: u64| -> u32 {
        let steps = (1..=millis / 10).map(|step| start + Duration::from_millis(10 * step));
        steps.map(|now| lender.lend(ACCOUNT, 100, now)).sum()
    };
    let first = granted_by(&mut lender, 1_000);
    assert!(f64::from(first) >= whole.rate + 10.0, "{first} in a second");
    let reported = lender.report_allowance(ACCOUNT);
    let excess = f64::from(first) - whole.rate;
    assert!((reported - excess).abs() < 1.0, "{reported}, not {excess}");
    lender.add_allowance(ACCOUNT, whole.start_allowance(), start);
    let all = first + granted_by(&mut lender, 5_000);
    let most = whole.rate * 5.0 + 0.05 * (whole.rate * 5.0 + whole.burst) + 10.0;
    assert!(f64::from(all) <= most, "{all} in five seconds");
    assert!(lender.report_allowance(ACCOUNT) < 1.0, "reported twice");
    // A lender that was not the first after all drops what it has not granted.
    let mut other = started();
    other.set_share(ACCOUNT, whole.share(1_000), RAISE_AFTER, start);
    assert_eq!(granted_by(&mut other, 1_000), 0);
}

#[test]
fn withdrawn_raise() {
    let now = Moment::from_millis(1);
    let mut lender = lender(bound(10.0, 10.0), LONG_LEASE, now);
    let set_share = |lender: &mut Lender, value, at| {
        lender.set_share(ACCOUNT, bound(value, value), RAISE_AFTER, at);
    };
    // A raise that is withdrawn before it takes effect must not take effect
    // later.
    set_share(&mut lender, 1_000.0, now);
    set_share(&mut lender, 10.0, now + Duration::from_secs(1));
    assert!(lender.lend(ACCOUNT, 1_000, now + Duration::from_secs(8)) <= 10);
    assert!(lender.lend(ACCOUNT, 1_000, now + Duration::from_secs(9)) <= 10);
    // A second raise waits from its own start, not from that of the first.
    let start = now + Duration::from_secs(20);
    set_share(&mut lender, 20.0, start);
    set_share(&mut lender, 1_000.0, start + Duration::from_secs(5));
    assert!(lender.lend(ACCOUNT, 1_000, start + Duration::from_secs(7)) <= 20);
    assert!(lender.lend(ACCOUNT, 1_000, start + Duration::from_secs(8)) <= 20);
}

#[test]
fn raise_delayed() {
    let now = Moment::from_millis(1);
    let mut lender = lender(bound(10.0, 10.0), LONG_LEASE, now);
    let large = bound(1_000.0, 1_000.0);
    let second = now + Duration::from_secs(1);
    lender.set_share(ACCOUNT, large, RAISE_AFTER, second);
    assert!(lender.lend(ACCOUNT, 1_000, second + Duration::from_secs(5)) <= 10);
    let raised = second + Duration::from_secs(6);
    lender.lend(ACCOUNT, 1, raised);
    assert!(lender.lend(ACCOUNT, 1_000, raised + Duration::from_secs(1)) > 100);
}

fn fits_bound(burst: u32, domains: u8) -> bool {
    let domains = (0..=domains % 8).map(|index| Arc::from(format!("d{index}")));
    let domains = domains.collect::<Vec<Arc<str>>>();
    let bound = bound(50.0, f64::from(burst % 10_000 + 2));
    let (slots, share) = holders("account", bound, &domains, 2);
    let again = holders("account", bound, &domains, 2);
    let total = share.burst * slots.len() as f64;
    again.0 == slots
        && total <= bound.burst + 1e-9
        && share.rate * slots.len() as f64 <= 50.0 + 1e-9
}

#[test]
fn shares_within_bound() {
    check(fits_bound as fn(u32, u8) -> bool);
}
