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
use std::time::Duration;

use cardamomshed_policy::gate::{Load, Offer, Ticket};
use cardamomshed_policy::member::{Config, Fleet, Profile, Record, State};
use cardamomshed_policy::route::{Balancer, Outcome};
use cardamomshed_policy::{AccountKey, Moment, Priority, RouteKey, TargetKey};
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

/// View of a member that has just started.
fn started_member(domain: &str, name: &str, port: u16, incarnation: u64) -> Fleet {
    let record = member_record(domain, name, port);
    Fleet::new(Config::default(), record.name, incarnation, record.profile)
}

/// Moment this many seconds after the start.
fn at(seconds: u64) -> Moment {
    Moment::ZERO + Duration::from_secs(seconds)
}

/// A call of normal priority.
fn offer(ticket: u64, deadline: Moment) -> Offer {
    Offer {
        ticket: Ticket(ticket),
        account: AccountKey(0),
        route: RouteKey(0),
        priority: Priority::Normal,
        depth: 0,
        deadline,
    }
}

/// Load of a target with ten slots and this service time in milliseconds.
fn load(running: u32, waiting: u32, service_ms: u64) -> Load {
    Load {
        running,
        waiting,
        limit: 10,
        service_time: Duration::from_millis(service_ms),
        rejection: 0.0,
    }
}

/// Records a call to a target that was answered with this load.
fn answer(balancer: &mut Balancer, key: TargetKey, load: Load, now: Moment) {
    balancer.record_start(key, now);
    balancer.record_end(key, Outcome::Answered, Some(load), now);
}

/// Checks a property on generated cases. Properties take their arguments by
/// value, as the library passes them.
fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed()))
        .tests(CASES)
        .quickcheck(property);
}
