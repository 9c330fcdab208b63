//! Overhead of the daemons on a call: sent directly, through one daemon, and
//! through two daemons over a link. The paths alternate within one run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::Method;
use cardamomshed_daemon::Options;
use cardamomshed_http as http;
use cardamomshed_note::{LogFormat, Settings};
use cardamomshed_standin::experiment::{Bound, Experiment, cpu_time, resident_memory};
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::shape::Shape;
use cardamomshed_standin::thread;
use hdrhistogram::Histogram;

/// Rounds; each one measures every path once.
const ROUNDS: usize = 6;
/// Concurrent calls, and calls per path and round.
const CALLS: [(usize, usize); 3] = [(1, 300), (64, 4_000), (1_000, 6_000)];
/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Measured path to the target, with its totals.
struct Path {
    name: &'static str,
    to: SocketAddr,
    latency: Histogram<u64>,
    elapsed: Duration,
    cpu: Duration,
    calls: u64,
}

/// Sends `calls` calls, `open` concurrently, and returns their latencies in µs.
async fn call(to: SocketAddr, key: String, body: Vec<u8>, open: usize, calls: usize) -> Vec<u64> {
    let client = http::Client::new(http::Config {
        timeout: Some(Duration::from_secs(20)),
        connections: 0,
        ..http::Config::default()
    });
    let workers = (0..open).map(|_| {
        let (client, key, body) = (client.clone(), key.clone(), body.clone());
        actix_rt::spawn(async move {
            let mut latencies = Vec::new();
            for _ in 0..calls.div_ceil(open) {
                let start = Instant::now();
                let request = client
                    .request(Method::POST, format!("http://{to}/hop-0"))
                    .insert_header(("authorization", format!("Bearer {key}")));
                let sent = client.send(request, body.clone().into(), MAX_RESPONSE_BYTES);
                let answer = sent.await.expect("a complete answer");
                assert!(answer.status.is_success(), "status {}", answer.status);
                latencies.push(start.elapsed().as_micros() as u64);
            }
            latencies
        })
    });
    let mut all = Vec::new();
    for worker in workers.collect::<Vec<_>>() {
        all.extend(worker.await.expect("a caller ends"));
    }
    all
}

fn run(path: &mut Path, key: &str, body: &[u8], open: usize, calls: usize) {
    let (to, key, body) = (path.to, key.to_owned(), body.to_vec());
    let (start, cpu) = (Instant::now(), cpu_time());
    let latencies = thread::run(move || call(to, key, body, open, calls));
    path.elapsed += start.elapsed();
    path.cpu += cpu_time().saturating_sub(cpu);
    path.calls += latencies.len() as u64;
    for micros in latencies {
        path.latency.saturating_record(micros.max(1));
    }
}

fn paths(fleet: &Fleet) -> [Path; 3] {
    let path = |name, to| Path {
        name,
        to,
        latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds"),
        elapsed: Duration::ZERO,
        cpu: Duration::ZERO,
        calls: 0,
    };
    // The only announced target is beside the first daemon.
    [
        path("direct", fleet.targets[0].address()),
        path("one daemon", fleet.daemons[0].node.settings.callers),
        path("two daemons", fleet.daemons[1].node.settings.callers),
    ]
}

fn enable_log(settings: &mut Settings) {
    settings.log = LogFormat::Json;
}

fn main() {
    let mut experiment = Experiment::from_arguments("path");
    let mut shape = Shape::chain(1, 2, 2_000, Duration::ZERO);
    shape.timeout = Duration::from_secs(20);
    let fleet = Fleet::start_with(shape, Kind::Daemon(Options::default()), enable_log);
    // Once the second target has expired, the second daemon has to send its
    // calls over a link.
    fleet.targets[1].stop_announcing();
    std::thread::sleep(Duration::from_secs(4));
    for target in &fleet.targets {
        target.change(|behaviour| {
            behaviour.service_time = Duration::ZERO;
            behaviour.connection_cost = Duration::ZERO;
        });
    }
    for size in [1_024, 1_024 * 1_024] {
        for (open, calls) in CALLS {
            let calls = if size > 1_024 {
                calls.min(open.max(100))
            } else {
                calls
            };
            if size > 1_024 && open > 64 {
                // A thousand bodies of 1 MB at both ends and at each daemon take
                // half of the memory of the computer that runs the bench.
                continue;
            }
            measure(&mut experiment, &fleet, size, open, calls);
        }
    }
    experiment.finish();
}

fn measure(experiment: &mut Experiment, fleet: &Fleet, size: usize, open: usize, calls: usize) {
    fleet.targets[0].change(|behaviour| behaviour.body_len = size);
    let body = vec![b'x'; size];
    let key = &fleet.keys[0];
    let mut paths = paths(fleet);
    for path in &mut paths {
        // Opens connections and links before the measurement.
        run(path, key, &body, open, open);
        path.latency.reset();
        (path.elapsed, path.cpu, path.calls) = (Duration::ZERO, Duration::ZERO, 0);
    }
    let idle_memory = resident_memory();
    for round in 0..ROUNDS {
        for index in 0..paths.len() {
            run(&mut paths[(index + round) % 3], key, &body, open, calls);
        }
    }
    let kilobytes = size / 1_024;
    let label =
        |path: &Path, what: &str| format!("{kilobytes} KB, {open} open, {}: {what}", path.name);
    let direct = &paths[0];
    for path in &paths[1..] {
        for quantile in [0.5, 0.99, 0.999] {
            let with = path.latency.value_at_quantile(quantile) as f64;
            let without = direct.latency.value_at_quantile(quantile) as f64;
            // The target applies to a daemon that is not saturated. A thousand
            // concurrent calls on one core measure its throughput instead.
            let has_target = (quantile - 0.99).abs() < 1e-9 && open == 1 && size == 1_024;
            let bound = if has_target {
                Bound::AtMost(1.6)
            } else {
                Bound::None
            };
            experiment.add(
                &label(path, &format!("p{} added", quantile * 100.0)),
                "ms",
                Some(without / 1e3),
                (with - without) / 1e3,
                bound,
            );
        }
        let rate = path.calls as f64 / path.elapsed.as_secs_f64();
        let base = direct.calls as f64 / direct.elapsed.as_secs_f64();
        experiment.add(
            &label(path, "calls a second"),
            "1/s",
            Some(base),
            rate,
            Bound::None,
        );
        let per_call = path.cpu.as_secs_f64() * 1e6 / path.calls as f64;
        let base = direct.cpu.as_secs_f64() * 1e6 / direct.calls as f64;
        experiment.add(
            &label(path, "processor time of all added"),
            "us",
            Some(base),
            per_call - base,
            Bound::None,
        );
    }
    let memory_per_call = (resident_memory() - idle_memory).max(0.0) / open as f64 / 1_024.0;
    let name = format!("{kilobytes} KB, {open} open: memory of all, a call");
    experiment.add(&name, "KB", None, memory_per_call, Bound::None);
}
