//! Requests to a member for a newer configuration are limited in rate, and the
//! period for which a daemon is behind is counted per revision.

use std::time::Duration;

use cardamomshed_daemon::configuration::Timer;
use cardamomshed_policy::Moment;

/// Time between two packets, shorter than the time after which another member may
/// be asked.
const SHORT: Duration = Duration::from_millis(10);

#[test]
fn fetch_requests_limited() {
    let mut asked = Timer::default();
    let mut now = Moment::ZERO;
    // Each packet of a burst of gossip advertises the newer revision.
    let asks = (0..50).filter(|_| {
        now = now + SHORT;
        asked.may_request(7, now)
    });
    assert_eq!(
        asks.count(),
        2,
        "one request per 250 ms, for 500 ms of packets"
    );
    assert!(
        asked.may_request(8, now),
        "a still newer revision is requested at once"
    );
}

#[test]
fn revision_restarts_period() {
    let mut behind = Timer::default();
    let start = Moment::ZERO;
    assert_eq!(behind.elapsed(7, start), Duration::ZERO);
    assert_eq!(behind.elapsed(7, start + SHORT * 3), SHORT * 3);
    assert_eq!(behind.elapsed(9, start + SHORT * 4), Duration::ZERO);
    assert_eq!(behind.elapsed(9, start + SHORT * 5), SHORT);
}
