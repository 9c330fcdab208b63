//! Requests to a member for a newer configuration are limited in rate, and the time
//! for which the configuration has been outdated is measured per revision.

use std::time::Duration;

use cardamomshed_daemon::configuration::Timer;
use cardamomshed_policy::Moment;

/// Time between two packets, shorter than the interval between two requests.
const SHORT: Duration = Duration::from_millis(10);

#[test]
fn fetch_requests_limited() {
    let mut requested = Timer::default();
    let mut now = Moment::ZERO;
    // Each packet of a burst of gossip advertises the newer revision.
    let requests = (0..50).filter(|_| {
        now = now + SHORT;
        requested.may_request(7, now)
    });
    assert_eq!(
        requests.count(),
        2,
        "one request per 250 ms, for 500 ms of packets"
    );
    assert!(
        requested.may_request(8, now),
        "a still newer revision is requested at once"
    );
}

#[test]
fn revision_restarts_period() {
    let mut outdated = Timer::default();
    let start = Moment::ZERO;
    assert_eq!(outdated.elapsed(7, start), Duration::ZERO);
    assert_eq!(outdated.elapsed(7, start + SHORT * 3), SHORT * 3);
    assert_eq!(outdated.elapsed(9, start + SHORT * 4), Duration::ZERO);
    assert_eq!(outdated.elapsed(9, start + SHORT * 5), SHORT);
}
