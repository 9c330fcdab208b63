//! Tests of the policies, one file a feature.

mod admission_level;
mod gate_fairness;
mod gate_order;
mod gate_reserve;
mod member_gossip;
mod price_chain;
mod quota_bound;
mod registration_order;
mod retry_budget;
mod retry_tokens;
mod rotation_weights;
mod route_choice;
mod wallet_waste;

use quickcheck::{Gen, QuickCheck, Testable};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Cases of one property.
const CASES: u64 = 200;
/// Size of generated values.
const SIZE: usize = 120;

/// Seed of every generator; `scripts/soak` sets others.
fn seed() -> u64 {
    let given = std::env::var("CARDAMOMSHED_SEED").ok();
    given.map_or(1, |seed| seed.parse().expect("the seed is a number"))
}

/// A generator of random numbers with the fixed seed.
fn random() -> StdRng {
    StdRng::seed_from_u64(seed())
}

/// Checks a property on generated cases. Properties take their values as the
/// library generates them, owned.
fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed()))
        .tests(CASES)
        .quickcheck(property);
}
