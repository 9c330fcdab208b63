//! Clients that come back when `Retry-After` says so, with and without reservations.

use std::collections::VecDeque;
use std::time::Duration;

use cardamomshed_policy::admission::Usage;
use cardamomshed_policy::price::{Pricer, Table};
use cardamomshed_policy::reservation::{Decision, Schedule, Shedding};
use cardamomshed_policy::{AccountKey, Moment, Priority, RouteKey};
use rand::{Rng, SeedableRng, rngs::StdRng};

const ROUTE: RouteKey = RouteKey(0);
const ACCOUNTS: u32 = 20;
/// Slots of the target and time of a call: 100 requests a second.
const SLOTS: usize = 10;
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Time that a client waits; it comes back once, after at most a third of it.
const PATIENCE: Duration = Duration::from_secs(3);
/// Begin of the load of twice the capacity; before and after it the load is 0.95.
const BEGIN_MS: u64 = 3_000;
const RUNS: u64 = 10;

/// Counts of the overload.
#[derive(Debug, Default)]
struct Outcome {
    clients: u32,
    refused_twice: u32,
    admitted: u32,
    admitted_of_first: u32,
    /// Reserved slots in the order of the refusals.
    slots: Vec<u64>,
}

/// Plays a load, with or without reservations. Account 0 sends `weight` times what
/// another sends, and comes back `repeats` times after 10 ms, whatever it is told.
fn play(overload_ms: u64, weight: f64, repeats: u32, reserving: bool) -> Outcome {
    let mut outcome = Outcome::default();
    (0..RUNS).for_each(|run| {
        let mut random = StdRng::seed_from_u64(crate::seed() + run);
        let (mut table, mut pricer) = (Table::default(), Pricer::default());
        let (mut usage, mut schedule) = (Usage::default(), Schedule::default());
        let (mut running, mut waiting) = (VecDeque::new(), 0);
        let end = BEGIN_MS + overload_ms;
        // Account, whether its first request belongs to the overload, and earlier requests.
        let mut returns = vec![Vec::<(u32, bool, u32)>::new(); end as usize + 5_000];
        for ms in 1..end + 3_000 {
            let now = Moment::from_millis(ms);
            let is_overload = (BEGIN_MS..end).contains(&ms);
            while running.pop_front_if(|finish| *finish <= ms).is_some() {
                table.observe(ROUTE, pricer.price() * SERVICE_TIME.as_secs_f64(), now);
                schedule.record_admitted(ROUTE, now);
            }
            while waiting > 0 && running.len() < SLOTS {
                waiting -= 1;
                running.push_back(ms + SERVICE_TIME.as_millis() as u64);
            }
            let calls = (running.len() + waiting) as f64;
            pricer.tick(calls / SLOTS as f64, SERVICE_TIME, now);
            let mut arrivals = std::mem::take(&mut returns[ms as usize]);
            for account in 0..ACCOUNTS {
                let own = if account == 0 { weight } else { 1.0 };
                let part = own / (weight + f64::from(ACCOUNTS - 1));
                if random.random_bool(part * if is_overload { 0.2 } else { 0.095 }) {
                    outcome.clients += u32::from(is_overload);
                    arrivals.push((account, is_overload, 0));
                }
            }
            for (number, is_counted, earlier) in arrivals {
                let account = AccountKey(number);
                let load = usage.record(account, now);
                let share = table.share(ROUTE, Priority::Normal, load, now);
                let shedding = Shedding::at_share(share, random.random());
                let decision = schedule.admit(ROUTE, account, shedding, random.random(), now);
                let is_refused = [shedding == Shedding::Refused, decision == Decision::Refused];
                if !is_refused[usize::from(reserving)] {
                    waiting += 1;
                    outcome.admitted += u32::from(is_overload);
                    outcome.admitted_of_first += u32::from(is_overload && number == 0);
                    continue;
                }
                let is_repeated = number == 0 && repeats > 0;
                if earlier >= if is_repeated { repeats } else { 1 } {
                    outcome.refused_twice += u32::from(is_counted);
                    continue;
                }
                let before = |draw| table.retry_after(ROUTE, Priority::Normal, draw, now);
                let latest = before(0.5).min(PATIENCE.mul_f64(0.8 / 3.0));
                let (earliest, draw) = (Duration::ZERO, random.random());
                let place = schedule.reserve(ROUTE, account, earliest, latest, now, draw);
                let place = place.filter(|_| reserving);
                assert!(place.is_none_or(|place| place.delay <= latest), "{place:?}");
                outcome.slots.extend(place.map(|place| place.slot));
                let told = place.map_or_else(|| before(draw), |place| place.delay);
                let wait = told.min(PATIENCE / 3).as_millis() as u64 + 1;
                let wait = if is_repeated { 10 } else { wait };
                returns[(ms + wait) as usize].push((number, is_counted, earlier + 1));
            }
        }
    });
    outcome
}

/// Guards against clients that come back as told and are refused again more often than
/// without reservations, admissions beyond what the price allows, earlier times for later
/// refusals, and an account that gains by sending more or by ignoring `Retry-After`.
#[test]
fn refused_twice_less() {
    for (weight, repeats) in [(1.0, 0), (5.0, 0), (1.0, 5)] {
        for overload_ms in [2_000, 10_000] {
            // Before and after, that is, without and with reservations.
            let outcomes = [false, true].map(|on| play(overload_ms, weight, repeats, on));
            let twice = |one: &Outcome| f64::from(one.refused_twice) / f64::from(one.clients);
            let share = |one: &Outcome| f64::from(one.admitted_of_first) / f64::from(one.admitted);
            let twice = outcomes.each_ref().map(twice);
            let [before, after] = outcomes.each_ref().map(share);
            let admitted = outcomes.each_ref().map(|one| one.admitted);
            let slots = &outcomes[1].slots;
            let ordered = slots.windows(2).filter(|pair| pair[0] <= pair[1]).count();
            println!("{overload_ms} ms, {weight} {repeats}: refused twice {twice:.3?}");
            println!("  admitted {admitted:?}, share of account 0 {before:.3} {after:.3}");
            assert!(twice[1] < twice[0], "{twice:?}");
            // Each account may owe one request, or half of what it is admitted in 1 s.
            let owed = RUNS as u32 * ACCOUNTS.max(100 / 2);
            assert!(admitted[1] <= admitted[0] + owed, "{admitted:?}");
            // Three standard errors of the difference of two shares of that many requests.
            let error = 3.0 * (2.0 * before * (1.0 - before) / f64::from(admitted[1])).sqrt();
            assert!(after <= before + error, "{before} {after} {error}");
            // A later refusal gets an earlier slot only where the former account has its
            // share of that slot, or where the capacity has grown.
            assert!(ordered * 10 > slots.len() * 9, "{ordered}");
        }
    }
}

/// Guards against slots that hold more than half of the admitted rate, times that do not
/// follow the order, and reservations that are redeemed twice or outside of their time.
#[test]
fn slots_hold_half() {
    let mut schedule = Schedule::default();
    let now = Moment::from_millis(1_010);
    let reserve = |schedule: &mut Schedule, account| {
        let (earliest, latest) = (Duration::ZERO, Duration::from_millis(1_995));
        schedule.reserve(ROUTE, AccountKey(account), earliest, latest, now, 0.5)
    };
    assert_eq!(reserve(&mut schedule, 0), None, "no capacity is known");
    (0..100).for_each(|_| schedule.record_admitted(ROUTE, now));
    let places = (0..101).map_while(|account| reserve(&mut schedule, account));
    let places = places.collect::<Vec<_>>();
    // The current slot, the last that `latest` cuts and its group are not filled.
    assert!((90..=100).contains(&places.len()), "{}", places.len());
    assert!(places.is_sorted_by_key(|place| place.delay));
    let start = (now + places[50].delay).as_micros() - 25_000;
    for (ms, expected) in [(-51, 0), (-50, 1), (0, 1), (449, 1), (450, 0)] {
        let at = Moment::from_micros(start.saturating_add_signed(ms * 1_000));
        let mut schedule = schedule.clone();
        assert!(!schedule.redeem(ROUTE, AccountKey(999), at), "not reserved");
        let redeemed = (0..2).filter(|_| schedule.redeem(ROUTE, AccountKey(50), at));
        assert_eq!(redeemed.count(), expected, "{ms}");
    }
    let expired = schedule.take_expired(now + Duration::from_secs(9));
    assert_eq!(expired, places.len() as u64);
}
