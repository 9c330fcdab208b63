//! Token prefetch: an ingress requests no tokens that expire unused for an
//! account with rare requests.

use std::time::Duration;

use cardamomshed_policy::quota::{Spend, Wallet};
use cardamomshed_policy::{AccountKey, Moment};

const ACCOUNT: AccountKey = AccountKey(0);
/// Validity of the granted tokens.
const VALIDITY: Duration = Duration::from_millis(200);

/// Performs the token requests of a daemon for one client request, with a
/// lender that answers at once. Returns the number of tokens requested.
fn request(wallet: &mut Wallet, now: Moment) -> u32 {
    wallet.record_use(ACCOUNT, now);
    let mut requested = 0;
    while wallet.spend(ACCOUNT, now) == Spend::Wait {
        let wanted = wallet.request(ACCOUNT, true, Duration::from_millis(120), now);
        assert!(wanted > 0, "no token was requested for a waiting request");
        requested += wanted;
        wallet.receive(ACCOUNT, wanted, now, VALIDITY);
    }
    let prefetched = wallet.request(ACCOUNT, false, Duration::from_millis(120), now);
    if prefetched > 0 {
        wallet.receive(ACCOUNT, prefetched, now, VALIDITY);
    }
    requested + prefetched
}

#[test]
fn sparse_use_exact() {
    let mut wallet = Wallet::default();
    let arrivals = (0..100).map(|step| Moment::from_millis(step * 300));
    let requested = arrivals.map(|now| request(&mut wallet, now)).sum::<u32>();
    assert_eq!(requested, 100, "expected one token per request");
}

#[test]
fn busy_use_prefetched() {
    let mut wallet = Wallet::default();
    let mut now = Moment::ZERO;
    let mut requested = 0;
    for _ in 0..2_000 {
        now = now + Duration::from_millis(5);
        requested += request(&mut wallet, now);
    }
    assert!(
        requested <= 2_100,
        "requested {requested} tokens for 2000 requests"
    );
}
