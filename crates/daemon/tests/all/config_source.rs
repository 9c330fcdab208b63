//! A newer configuration is fetched once, and from near by where that is soon.

use std::time::Duration;

use cardamomshed_daemon::configuration::Timer;
use cardamomshed_policy::Moment;

const SHORT: Duration = Duration::from_millis(10);

#[test]
fn asked_once_a_while() {
    let mut asked = Timer::default();
    let mut now = Moment::ZERO;
    // Every packet of a burst of gossip tells of the newer one.
    let asks = (0..50).filter(|_| {
        now = now + SHORT;
        asked.may_request(7, now)
    });
    assert_eq!(asks.count(), 2, "half a second of packets");
    assert!(asked.may_request(8, now), "another one is newer still");
}

#[test]
fn behind_counts_anew() {
    let mut behind = Timer::default();
    let start = Moment::ZERO;
    assert_eq!(behind.elapsed(7, start), Duration::ZERO);
    assert_eq!(behind.elapsed(7, start + SHORT * 3), SHORT * 3);
    assert_eq!(behind.elapsed(9, start + SHORT * 4), Duration::ZERO);
    assert_eq!(behind.elapsed(9, start + SHORT * 5), SHORT);
}
