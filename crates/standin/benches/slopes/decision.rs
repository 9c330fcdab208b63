//! Slopes of routing and admission decisions and of call frames.

use std::time::Duration;

use cardamomshed_policy::admission::{Admission, Controller, Level, Method, Rank, Request};
use cardamomshed_policy::gate::{self, Gate, Offer, Ticket};
use cardamomshed_policy::route::{Balancer, Outcome, Query, Tier};
use cardamomshed_policy::{AccountKey, Moment, Priority, RegionKey, RouteKey};
use cardamomshed_standin::experiment::{Bound, Experiment};
use cardamomshed_wire::{Call, Frame, decode, encode};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fit::{Points, add_line, time_of};

pub(crate) fn decisions(experiment: &mut Experiment) {
    let mut route = Points::new();
    for size in [16u32, 64, 250, 1_000] {
        let mut balancer = Balancer::default();
        let mut random = StdRng::seed_from_u64(experiment.seed);
        for _ in 0..size {
            balancer.insert(Tier::Domain, RegionKey(0), 50, Moment::ZERO);
        }
        let now = Moment::from_millis(5);
        let query = Query {
            remote: true,
            ..Query::default()
        };
        let micros = time_of(200_000, |_| {
            if let Some(choice) = balancer.choose(&query, &mut random, now) {
                balancer.record_start(choice.target, now);
                balancer.record_end(choice.target, Outcome::Answered, None, now);
            }
        });
        route.push((f64::from(size), micros));
        if size == 1_000 {
            experiment.add(
                "routing decision, 1000 targets",
                "us",
                None,
                micros,
                Bound::AtMost(2.0),
            );
        }
    }
    add_line(experiment, "routing decision", "us", "target", &route);
    let (mut admit, mut offer) = (Points::new(), Points::new());
    for size in [8, 100, 1_000, 10_000] {
        let mut admission = Admission::new(Method::Levels);
        let micros = time_of(200_000, |index| {
            let request = Request {
                route: RouteKey(0),
                account: AccountKey(index % size),
                priority: Priority::Normal,
                draw: f64::from(index % 97) / 97.0,
            };
            admission.admit(&request, Moment::from_micros(u64::from(index)));
        });
        admit.push((f64::from(size), micros));
        let gate = time_gate(size);
        offer.push((f64::from(size), gate));
        if size == 10_000 {
            experiment.add(
                "admission at the ingress, 10000 accounts",
                "us",
                None,
                micros,
                Bound::AtMost(2.0),
            );
            experiment.add(
                "admission beside the target, 10000 accounts",
                "us",
                None,
                gate,
                Bound::AtMost(2.0),
            );
        }
    }
    add_line(
        experiment,
        "admission at the ingress",
        "us",
        "account",
        &admit,
    );
    add_line(
        experiment,
        "admission beside the target",
        "us",
        "account",
        &offer,
    );
}

/// Mean time in microseconds of an offer with the finish that frees its slot.
fn time_gate(accounts: u32) -> f64 {
    let config = gate::Config::new(50).max_wait(Duration::from_hours(1));
    let mut gate = Gate::new(config, Moment::ZERO);
    let mut controller = Controller::default();
    let mut running = std::collections::VecDeque::new();
    let mut changes = Vec::new();
    time_of(100_000, |index| {
        let now = Moment::from_micros(u64::from(index) * 20);
        changes.clear();
        let offer = Offer {
            route: RouteKey(0),
            ticket: Ticket(u64::from(index)),
            account: AccountKey(index % accounts),
            priority: Priority::Normal,
            depth: 0,
            deadline: Moment::from_millis(100_000_000),
        };
        controller.record_arrival(Rank(300.0));
        controller.tick(now);
        if gate.offer(offer, now, &mut changes) == gate::Decision::Run {
            running.push_back(offer.ticket);
        }
        // Once as many calls wait as there are accounts, up to 2,000, one call
        // finishes per arrival.
        if gate.load(now).waiting > accounts.min(2_000)
            && let Some(ticket) = running.pop_front()
        {
            gate.finish(ticket, Some(Duration::from_millis(1)), now, &mut changes);
        }
        for change in &changes {
            if let gate::Change::Run(ticket) = change {
                running.push_back(*ticket);
            }
        }
    })
}

pub(crate) fn frames(experiment: &mut Experiment) {
    let mut points = Points::new();
    for size in [256, 1_024, 4_096, 32_768] {
        let body = vec![b'x'; size];
        let call = Call {
            route: "route".into(),
            repeatable: false,
            repeated: false,
            id: 1_000_000,
            request: cardamomshed_wire::Request::random(),
            account: "account".into(),
            priority: Priority::Normal,
            rank: Rank(300.0),
            timeout_ms: 1_000,
            tokens: 2,
            depth: 3,
            service: "service-0001".into(),
            method: "POST".to_owned(),
            path: "/service-0001/things?page=2".to_owned(),
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            length: size as u64,
        };
        let frame = Frame::Call(Box::new(call));
        let micros = time_of(20_000, |_| {
            decode(&encode(&frame, &body)).expect("a frame");
        });
        points.push((size as f64, micros));
    }
    add_line(
        experiment,
        "call frame, encode and decode",
        "us",
        "byte",
        &points,
    );
    let mut admission = Admission::new(Method::Levels);
    let micros = time_of(100_000, |index| {
        let level = Some(Level(f32::from(index as u16 % 512)));
        admission.observe(RouteKey(0), level, false, Moment::from_millis(5));
    });
    experiment.add(
        "answer taken in at the ingress",
        "us",
        None,
        micros,
        Bound::None,
    );
}
