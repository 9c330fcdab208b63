//! Prices of call chains: the fan-out is fitted without request identifiers on
//! calls, and the requests that cost most at the bottleneck are shed first.

use std::time::Duration;

use cardamomshed_policy::price::{Fanout, Pricer, Table};
use cardamomshed_policy::{Moment, Priority, RouteKey};

const STATUS: RouteKey = RouteKey(0);
const CHARGE: RouteKey = RouteKey(1);
const LOOKUP: RouteKey = RouteKey(2);
const LIST: RouteKey = RouteKey(3);

#[test]
fn ratio_fit() {
    let mut fanout = Fanout::default();
    // Each status request makes four look-ups and a charge none. The counts
    // vary between windows, since the fit cannot separate routes in fixed
    // proportion.
    for window in 0..60u64 {
        let (status, charge) = (5 + window % 7, 3 + window % 5);
        (0..status).for_each(|_| fanout.record_inbound(STATUS));
        (0..charge).for_each(|_| fanout.record_inbound(CHARGE));
        (0..status * 4).for_each(|_| fanout.record_outbound(LOOKUP));
        fanout.tick(Moment::from_millis(500 * (window + 1)));
    }
    let (status, charge) = (fanout.ratio(STATUS, LOOKUP), fanout.ratio(CHARGE, LOOKUP));
    assert!((status - 4.0).abs() < 0.4, "{status}");
    assert!(charge < 0.4, "{charge}");
    let price = fanout.price(STATUS, |route| if route == LOOKUP { 0.5 } else { 0.0 });
    assert!((price - 2.0).abs() < 0.2, "{price}");
}

#[test]
fn price_follows_load() {
    let mut pricer = Pricer::default();
    let service_time = Duration::from_millis(100);
    let mut now = Moment::ZERO;
    let mut run = |pricer: &mut Pricer, load: f64, windows: u32| {
        for _ in 0..windows {
            now = now + Duration::from_millis(100);
            pricer.tick(load, service_time, now);
        }
        pricer.price()
    };
    assert!(
        run(&mut pricer, 0.9, 20) <= 0.0,
        "a target with spare capacity has a price"
    );
    let pressed = run(&mut pricer, 3.0, 20);
    assert!(pressed > 1.0, "{pressed}");
    let most = run(&mut pricer, 3.0, 600);
    assert!(most * service_time.as_secs_f64() <= 24.1, "{most}");
    assert!(
        run(&mut pricer, 0.3, 60) <= 0.0,
        "the price stays up after the load has fallen"
    );
}

/// A target with a capacity of 88 s of slot time per second receives 58 s of
/// look-ups and 30 s of lists, and a surge adds as much again.
#[test]
fn costly_shed_first() {
    let now = Moment::from_millis(1);
    let mut table = Table::default();
    let price_per_second = 3.0;
    table.observe(STATUS, 4.0 * 0.055 * price_per_second, now);
    table.observe(LIST, 0.88 * price_per_second, now);
    let share = |route, priority| table.share(route, priority, 1.0, now);
    let (status, list) = (
        share(STATUS, Priority::Normal),
        share(LIST, Priority::Normal),
    );
    assert!(status > list + 0.3, "status {status}, list {list}");
    assert!(list >= 0.12, "a route starves");
    assert!(
        share(LIST, Priority::Critical) > list,
        "critical requests are shed first"
    );
    assert!(
        share(CHARGE, Priority::Normal) >= 1.0,
        "a route without a price is shed"
    );
    let heavy = table.share(STATUS, Priority::Normal, 8.0, now);
    assert!(heavy < status, "a heavy account is not cut first");
}

#[test]
fn stale_price_falls() {
    let now = Moment::from_millis(1);
    let mut table = Table::default();
    table.observe(STATUS, 20.0, now);
    assert!(table.share(STATUS, Priority::Normal, 1.0, now) < 0.3);
    let delay = table.retry_after(STATUS, Priority::Normal, 0.5, now);
    assert!(delay > Duration::from_secs(1), "{delay:?}");
    let later = now + Duration::from_secs(5);
    assert!(table.share(STATUS, Priority::Normal, 1.0, later) >= 1.0);
}
