//! Claims are kept for a return of the store, and written again after it.

use std::sync::Arc;

use cardamomshed_policy::Moment;
use cardamomshed_policy::claim::{Found, Grace, Journal, Limits, Repair, Stage, Written};

use crate::at;

fn written(key: &str, stage: Stage, era: u64) -> Written<u8> {
    Written {
        key: key.into(),
        claim: 1,
        stage,
        value: (stage != Stage::Removed).then_some(0),
        bytes: 10,
        era,
        is_same_era: true,
    }
}

/// Rows that the next check takes.
fn batch(kept: &Journal<u8>) -> Vec<Arc<str>> {
    kept.batch().map(|row| Arc::clone(&row.key)).collect()
}

/// State with the settled rows `a` to `d`, written in that order in era 0.
fn four_rows() -> Journal<u8> {
    let mut kept = Journal::new(Limits::default());
    for (second, key) in ["a", "b", "c", "d"].into_iter().enumerate() {
        kept.record(written(key, Stage::Settled, 0), at(second as u64));
    }
    kept
}

/// Guards against memory that grows with the claims, and against drops that nobody sees.
#[test]
fn oldest_dropped_beyond_limits() {
    for limits in [Limits { rows: 2, bytes: 99 }, Limits { rows: 9, bytes: 25 }] {
        let mut kept = Journal::new(limits);
        for key in ["a", "b", "c", "b"] {
            kept.record(written(key, Stage::Open, 0), at(1));
        }
        assert_eq!((kept.len(), kept.take_dropped()), (2, 1), "{limits:?}");
        kept.start(1);
        assert_eq!(batch(&kept), ["b".into(), "c".into()]);
        let larger = Written {
            bytes: 90,
            ..written("b", Stage::Settled, 0)
        };
        assert!(kept.amend(larger).is_none());
        assert!(kept.len() < 2 && kept.take_dropped() > 0);
    }
}

/// Guards against rows that end their retention during an outage of the store, before
/// which they were written last.
#[test]
fn retention_counts_to_newest() {
    let mut kept = four_rows();
    kept.record(written("e", Stage::Open, 0), at(62));
    assert_eq!((kept.len(), kept.take_dropped()), (3, 0));
}

/// Guards against a check of all rows where the copy is seconds old, and against one that
/// ends at a row that the copy did not hold.
#[test]
fn intact_row_ends_check() {
    let mut kept = four_rows();
    kept.record(
        Written {
            is_same_era: false,
            ..written("e", Stage::Settled, 0)
        },
        at(5),
    );
    kept.start(1);
    kept.record_found("e", true);
    assert_eq!(batch(&kept), ["d", "c", "b", "a"].map(Arc::from));
    kept.record_rewrite("d", 1, true, at(6));
    kept.record_found("c", true);
    assert!(!kept.is_rewriting());
    // Rows written in the era of the check need none, but do in the next one.
    kept.record(written("f", Stage::Open, 1), at(7));
    assert!(!kept.is_rewriting());
    kept.start(2);
    let order = ["f", "d", "e", "c", "b", "a"];
    assert_eq!(batch(&kept), order.map(Arc::from));
}

/// Guards against a settlement that finds no row because the store lacks the claim.
#[test]
fn settlement_during_check() {
    let mut kept = Journal::new(Limits::default());
    kept.record(written("a", Stage::Open, 0), at(0));
    assert!(kept.amend(written("a", Stage::Settled, 1)).is_some());
    kept.start(1);
    let foreign = Written {
        claim: 2,
        ..written("a", Stage::Settled, 1)
    };
    assert!(kept.amend(foreign).is_some());
    kept.record_blocked("a");
    assert!(kept.is_blocked() && batch(&kept).is_empty());
    assert!(kept.amend(written("a", Stage::Settled, 1)).is_none());
    kept.retry_blocked();
    let stages = kept.batch().map(|row| row.stage).collect::<Vec<_>>();
    assert_eq!(stages, [Stage::Settled]);
}

/// Guards against rows of other daemons that are overwritten, and against claims that
/// return from the copy after they were settled or released.
#[test]
fn repair_by_found_row() {
    use Repair::{Blocked, Conflict, Create, Intact, Nothing, Replace};
    let own = Found {
        claim: Some(1),
        is_open: true,
        version: 5,
    };
    let own_settled = Found {
        is_open: false,
        ..own
    };
    let other = Found {
        claim: Some(2),
        ..own
    };
    let other_settled = Found {
        claim: None,
        ..own_settled
    };
    let found = [
        None,
        Some(own),
        Some(own_settled),
        Some(other),
        Some(other_settled),
    ];
    let repairs = |stage| found.map(|found| Repair::choose(&written("a", stage, 0), found));
    let open = [Create, Intact, Nothing, Blocked, Conflict];
    assert_eq!(repairs(Stage::Open), open);
    let settled = [Create, Replace(5), Intact, Blocked, Conflict];
    assert_eq!(repairs(Stage::Settled), settled);
    let removed = [Nothing, Replace(5), Nothing, Nothing, Nothing];
    assert_eq!(repairs(Stage::Removed), removed);
}

/// Guards against a key that is claimed before other daemons have written their rows
/// again, and against one that is refused for ever.
#[test]
fn keys_held_after_return() {
    let mut hold = Grace::default();
    assert_eq!(hold.observe(Some(0), at(1)), None);
    assert!(hold.is_over(true, at(1)));
    assert_eq!(hold.observe(Some(1), at(10)), Some(1));
    assert_eq!(hold.observe(Some(0), at(11)), None);
    let almost = Moment::from_millis(12_999);
    assert!(!hold.is_over(false, almost) && hold.is_over(false, at(13)));
    assert!(!hold.is_over(true, at(14)) && hold.is_over(true, at(15)));
    // The era that a process finds at its start may have begun just before.
    let mut young = Grace::default();
    assert_eq!(young.observe(Some(1), at(1)), None);
    assert!(!young.is_over(false, at(2)));
}
