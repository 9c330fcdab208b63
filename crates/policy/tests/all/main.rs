//! Tests of the policies, one file per feature.

mod admission_level;
mod claim_rewrite;
mod confirmation_reads;
mod decision_preview;
mod evacuation_state;
mod even_load;
mod gate_fairness;
mod gate_order;
mod gate_reserve;
mod gate_slowdown;
mod member_census;
mod member_confirmation;
mod member_contacts;
mod member_departure;
mod member_gossip;
mod memory_account;
mod pipeline_order;
#[path = "../play/mod.rs"]
mod play;
mod price_fanout;
mod quota_bound;
mod region_choice;
mod region_spill;
mod registration_order;
mod reserved_returns;
mod retry_budget;
mod retry_tokens;
mod rotation_weights;
mod route_choice;
mod route_preview;
mod route_rejection;
mod store_era;
mod wallet_prefetch;
mod warmup_limit;
mod window_backpressure;

use std::net::SocketAddr;

use cardamomshed_policy::member::{Profile, Record, State};
use quickcheck::{Gen, QuickCheck, Testable};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Generated cases per property.
const CASES: u64 = 200;
/// Size parameter of generated values.
const SIZE: usize = 120;

/// Seed of all generators: 1 unless `CARDAMOMSHED_SEED` is set, as
/// `scripts/soak` does.
fn seed() -> u64 {
    let given = std::env::var("CARDAMOMSHED_SEED").ok();
    given.map_or(1, |seed| seed.parse().expect("the seed is a number"))
}

/// Random number generator with the seed of the run.
fn random() -> StdRng {
    StdRng::seed_from_u64(seed())
}

/// Record of a member of a failure domain that has just joined.
fn member_record(domain: &str, name: &str, port: u16) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Record {
        name: name.into(),
        incarnation: 1,
        state: State::Alive,
        profile: Profile {
            domain: domain.into(),
            region: "region".into(),
            gossip: address,
            peer: address,
            admin: address,
            service: None,
            slots: 0,
            open: true,
            lender_slots: Vec::new(),
            departure: None,
        },
    }
}

/// Checks a property on generated cases. Properties take their arguments by
/// value, as the library passes them.
fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed()))
        .tests(CASES)
        .quickcheck(property);
}
