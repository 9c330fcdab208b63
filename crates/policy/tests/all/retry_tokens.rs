//! Attempt tokens are conserved over any call tree.

use cardamomshed_policy::retry::{Budget, Escrow};

use crate::check;

/// Spends tokens over a call tree that `shape` describes: each entry makes a
/// call with that many calls below it. Gives the tokens spent.
fn walk(escrow: &mut Escrow, shape: &mut std::slice::Iter<'_, u8>, depth: u8) -> u32 {
    let mut spent = 0;
    let Some(children) = shape.next() else {
        return 0;
    };
    for _ in 0..children % 4 {
        let lent = escrow.lend();
        let mut below = Escrow::new(lent);
        if depth < 16 {
            spent += walk(&mut below, shape, depth + 1);
        }
        if children % 3 == 0 && below.spend() {
            spent += 1;
        }
        escrow.restore(lent, below.held());
    }
    if children % 2 == 0 && escrow.spend() {
        spent += 1;
    }
    spent
}

#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn conserved(tokens: u8, shape: Vec<u8>) -> bool {
    let tokens = tokens % 17;
    let mut root = Escrow::new(tokens);
    let spent = walk(&mut root, &mut shape.iter(), 0);
    spent + u32::from(root.held()) == u32::from(tokens)
}

#[test]
fn tokens_conserved() {
    check(conserved as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn lies_gain_nothing() {
    let mut escrow = Escrow::new(4);
    let lent = escrow.lend();
    escrow.restore(lent, 200);
    escrow.restore(lent, 200);
    assert_eq!(escrow.held(), 4);
}

#[test]
fn budget_follows_success() {
    let mut budget = Budget::default();
    while budget.spend() {}
    for _ in 0..100 {
        budget.earn();
    }
    let retries = std::iter::from_fn(|| budget.spend().then_some(())).count();
    assert_eq!(retries, 9, "a tenth of the successes, less rounding");
}
