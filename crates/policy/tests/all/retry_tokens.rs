//! Conservation of attempt tokens over call trees.

use cardamomshed_policy::retry::Escrow;

use crate::check;

/// Traverses a call tree and spends tokens on some of its calls. Each entry of
/// `shape` gives the number of callees of one call and whether it retries.
/// Returns the number of tokens spent.
fn traverse(escrow: &mut Escrow, shape: &mut std::slice::Iter<'_, u8>, depth: u8) -> u32 {
    let mut spent = 0;
    let Some(children) = shape.next() else {
        return 0;
    };
    for _ in 0..children % 4 {
        let lent = escrow.lend();
        let mut callee = Escrow::new(lent);
        if depth < 16 {
            spent += traverse(&mut callee, shape, depth + 1);
        }
        if children % 3 == 0 && callee.spend() {
            spent += 1;
        }
        escrow.restore(lent, callee.held());
    }
    if children % 2 == 0 && escrow.spend() {
        spent += 1;
    }
    spent
}

#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn conserves_tokens(tokens: u8, shape: Vec<u8>) -> bool {
    let tokens = tokens % 17;
    let mut root = Escrow::new(tokens);
    let spent = traverse(&mut root, &mut shape.iter(), 0);
    spent + u32::from(root.held()) == u32::from(tokens)
}

#[test]
fn tokens_conserved() {
    check(conserves_tokens as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn overreported_tokens_ignored() {
    let mut escrow = Escrow::new(4);
    let lent = escrow.lend();
    escrow.restore(lent, 200);
    escrow.restore(lent, 200);
    assert_eq!(escrow.held(), 4);
}
