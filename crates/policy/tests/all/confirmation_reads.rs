//! Reads of the store by daemons whose configuration is not confirmed.

use std::time::Duration;

use cardamomshed_policy::Moment;
use cardamomshed_policy::confirmation::{Reads, read_age};

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

/// Guards against a withdrawn key that is confirmed by a store that has lost its
/// withdrawal.
#[test]
fn returned_store_unconfirmed() {
    const SETTLE: Duration = Duration::from_secs(1);
    let at = |seconds| Moment::ZERO + Duration::from_secs(seconds);
    let mut reads = Reads::default();
    assert!(!reads.confirm(3, at(1), SETTLE), "nothing was read");
    reads.record(7, at(1));
    reads.record_revision(3);
    assert!(
        reads.confirm(3, at(1), SETTLE),
        "the first era is no return"
    );
    assert!(!reads.confirm(4, at(2), SETTLE), "a peer has a newer one");
    reads.record(8, at(5));
    assert!(!reads.confirm(3, at(9), SETTLE), "read before the return");
    reads.record_revision(2);
    assert!(!reads.confirm(3, at(9), SETTLE), "an older copy");
    reads.record_revision(3);
    assert!(!reads.confirm(3, at(5), SETTLE), "a newer one may be lost");
    assert!(reads.confirm(3, at(6), SETTLE));
}
