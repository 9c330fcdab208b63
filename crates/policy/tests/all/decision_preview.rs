//! Previews of admission, quota and gates agree with the decision that follows, and have
//! no effect on it.

use std::fmt::Debug;
use std::time::Duration;

use cardamomshed_policy::admission::{Admission, Level, Method, Request};
use cardamomshed_policy::gate::{Config, Decision, Gate, Offer, Preview};
use cardamomshed_policy::quota::{Bound, Lease, Lender, Spend, Wallet};
use cardamomshed_policy::rotation::Rotation;
use cardamomshed_policy::{AccountKey, Moment, Priority, RouteKey};

const NOW: Moment = Moment::from_millis(1_000);
const ACCOUNT: AccountKey = AccountKey(1);
const ROUTE: RouteKey = RouteKey(1);

/// Result of a preview, after a check that it changed nothing.
fn unchanged<T: Debug, R>(state: &T, preview: impl FnOnce(&T) -> R) -> R {
    let before = format!("{state:?}");
    let result = preview(state);
    assert_eq!(before, format!("{state:?}"), "a preview has an effect");
    result
}

/// Guards against a preview that starts, queues or evicts calls, and against one that
/// disagrees with the gate.
#[test]
fn gate_agrees() {
    let config = Config::new(2).fixed().max_wait(Duration::from_millis(25));
    let mut gate = Gate::new(config, NOW);
    let mut decisions = Vec::new();
    for ticket in 0..12 {
        let offer = Offer {
            account: ACCOUNT,
            route: ROUTE,
            priority: Priority::ALL[3 - ticket as usize % 3],
            ..crate::offer(ticket, NOW + Duration::from_secs(1))
        };
        let expected = unchanged(&gate, |gate| gate.preview(offer, NOW));
        let decision = gate.offer(offer, NOW, &mut Vec::new());
        let agrees = match expected {
            Preview::Run => decision == Decision::Run,
            Preview::Wait(wait) => decision == Decision::Wait && !wait.is_zero(),
            Preview::Shed(shed) => decision == Decision::Shed(shed),
        };
        assert!(agrees, "{expected:?}, {decision:?}");
        decisions.push(decision);
    }
    let has = |wanted: fn(&Decision) -> bool| decisions.iter().any(wanted);
    assert!(has(|one| *one == Decision::Run) && has(|one| *one == Decision::Wait));
    assert!(has(|one| matches!(one, Decision::Shed(_))));
}

/// Guards against a share of admitted requests that is not that of the draws for which
/// the ingress admits.
#[test]
fn admission_agrees() {
    let request = |draw| Request {
        route: ROUTE,
        account: ACCOUNT,
        priority: Priority::Normal,
        draw,
    };
    for method in [Method::Levels, Method::AcceptRatio, Method::None] {
        let pressed = || {
            let mut admission = Admission::new(method);
            for _ in 0..30 {
                admission.admit(&request(0.5), NOW);
                admission.observe(ROUTE, Some(Level(312.0)), true, NOW);
            }
            admission
        };
        let admission = pressed();
        let share = unchanged(&admission, |admission| admission.share(&request(0.0), NOW));
        let is_random = method != Method::None;
        assert_eq!(share > 0.0 && share < 1.0, is_random, "{method:?} {share}");
        // Each draw is offered to the same state.
        let admits = |draw| pressed().admit(&request(draw), NOW).is_some();
        let admitted = (0..200).filter(|step| admits(f64::from(*step) / 200.0));
        let expected = admitted.count() as f64 / 200.0;
        assert!(
            (share - expected).abs() < 0.01,
            "{method:?} {share} {expected}"
        );
    }
}

/// Guards against tokens that a preview takes from the wallet or a lender, or that it
/// counts after their expiry.
#[test]
fn quota_agrees() {
    let mut wallet = Wallet::default();
    let look = |wallet: &Wallet, now| unchanged(wallet, |wallet| wallet.preview(ACCOUNT, now));
    assert_eq!(look(&wallet, NOW), (0, Spend::Wait));
    wallet.receive(ACCOUNT, 2, NOW, Duration::from_millis(100));
    assert_eq!(look(&wallet, NOW), (2, Spend::Spent));
    assert_eq!(wallet.spend(ACCOUNT, NOW), Spend::Spent);
    assert_eq!(look(&wallet, NOW), (1, Spend::Spent));
    let later = NOW + Duration::from_millis(100);
    wallet.set_exhausted(ACCOUNT, later + Duration::from_millis(1));
    assert_eq!(look(&wallet, later), (0, Spend::Exhausted));

    let mut lender = Lender::default();
    let share = Bound {
        rate: 10.0,
        burst: 20.0,
    };
    lender.set_lease(Lease::granted(NOW, Duration::from_mins(1)));
    lender.set_share(ACCOUNT, share, Duration::ZERO, NOW);
    let later = NOW + Duration::from_millis(550);
    let available = unchanged(&lender, |lender| lender.available(ACCOUNT, later));
    assert!((available - 5.5).abs() < 1e-6, "{available}");
    assert_eq!(lender.lend(ACCOUNT, 100, later), 5);
}

/// Guards against a preview that advances the rotation over the services of a route.
#[test]
fn rotation_agrees() {
    let mut rotation = Rotation::default();
    let weights = [0.5, 0.3, 0.2];
    assert_eq!(rotation.preview(&weights), None);
    rotation.next(&weights, 0.4);
    for _ in 0..10 {
        let expected = unchanged(&rotation, |rotation| rotation.preview(&weights));
        assert_eq!(rotation.next(&weights, 0.9), expected);
    }
    assert_eq!(rotation.preview(&[1.0, 1.0, 1.0]), None);
}
