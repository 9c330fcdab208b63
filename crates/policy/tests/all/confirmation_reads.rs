//! Reads of the store by daemons whose configuration is not confirmed.

use std::time::Duration;

use cardamomshed_policy::confirmation::read_age;

/// Bound on withdrawn keys of the users' installations.
const WITHDRAW_WITHIN: Duration = Duration::from_secs(5);
/// Longest time between two confirmations of a poller: the wait of a read at the
/// store, and the lag by which its answer is dated back.
const POLLER_AGE: Duration = Duration::from_millis(2_100);
/// Fraction of the bound at which keys are refused.
const LEASE: f64 = 0.85;
/// Longest time of a read that succeeds.
const READ_TIME: Duration = Duration::from_secs(1);

#[test]
fn reads_staggered() {
    let ages = (0..8).map(|rank| read_age(WITHDRAW_WITHIN, rank));
    let ages = ages.collect::<Vec<_>>();
    assert!(
        ages.is_sorted_by(|first, second| first < second),
        "{ages:?}"
    );
}

#[test]
fn poller_awaited() {
    assert!(read_age(WITHDRAW_WITHIN, 0) > POLLER_AGE);
}

#[test]
fn lease_renewed_in_time() {
    for rank in [0, 1, 100, usize::MAX] {
        let age = read_age(WITHDRAW_WITHIN, rank);
        let left = WITHDRAW_WITHIN.mul_f64(LEASE).saturating_sub(age);
        assert!(left >= READ_TIME, "rank {rank} has {left:?} for its read");
    }
}
