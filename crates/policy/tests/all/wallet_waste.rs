//! Prepaid tokens of an account that calls rarely are not asked for in vain.

use std::time::Duration;

use cardamomshed_policy::quota::{Spend, Wallet};
use cardamomshed_policy::{AccountKey, Moment};

const ACCOUNT: AccountKey = AccountKey(0);
/// Validity of the tokens handed out here.
const VALIDITY: Duration = Duration::from_millis(200);

/// Asks as a daemon does for one request, with a lender that answers at once.
fn request(wallet: &mut Wallet, now: Moment) -> u32 {
    wallet.record_use(ACCOUNT, now);
    let mut asked = 0;
    while wallet.spend(ACCOUNT, now) == Spend::Wait {
        let wanted = wallet.request(ACCOUNT, true, Duration::from_millis(120), now);
        assert!(wanted > 0, "a waiting request asks");
        asked += wanted;
        wallet.receive(ACCOUNT, wanted, now, VALIDITY);
    }
    let ahead = wallet.request(ACCOUNT, false, Duration::from_millis(120), now);
    if ahead > 0 {
        wallet.receive(ACCOUNT, ahead, now, VALIDITY);
    }
    asked + ahead
}

#[test]
fn sparse_use_exact() {
    let mut wallet = Wallet::default();
    let times = (0..100).map(|step| Moment::from_millis(step * 300));
    let asked = times.map(|now| request(&mut wallet, now)).sum::<u32>();
    assert_eq!(asked, 100, "one token a request");
}

#[test]
fn busy_use_ahead() {
    let mut wallet = Wallet::default();
    let mut now = Moment::ZERO;
    let mut asked = 0;
    for _ in 0..2_000 {
        now = now + Duration::from_millis(5);
        asked += request(&mut wallet, now);
    }
    assert!(asked <= 2_100, "{asked} tokens for 2000 requests");
}
