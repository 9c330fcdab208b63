//! `shedctl preview`: where a request would go now, and why, without sending it.

use std::fmt::Write as _;

use anyhow::Result;
use serde::Deserialize;
use serde_json::Value;

use crate::{admin, arguments};

/// What a daemon reports of a request that was not sent.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Preview {
    node: String,
    interface: String,
    revision: u64,
    confirmed_ms_ago: Option<u64>,
    leaving: bool,
    route: Option<Route>,
    admission: Option<Admission>,
    outcome: Outcome,
    services: Vec<Service>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Route {
    name: String,
    priority: String,
    timeout_ms: u64,
    regions: Option<Vec<String>>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Admission {
    access: Option<Refusal>,
    quota: Option<Quota>,
    price: Option<f64>,
    level: Option<f64>,
    share: f64,
    memory: Memory,
    body_limit: u64,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Quota {
    held: u32,
    lendable: Option<f64>,
    source: String,
    lender: Option<String>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Memory {
    full: bool,
    used: u64,
    room: bool,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Outcome {
    verdict: String,
    wait_ms: Option<f64>,
    share: f64,
    refusal: Option<Refusal>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Refusal {
    code: u16,
    title: String,
    status: u16,
    detail: String,
    retry_after_s: Option<[f64; 2]>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Service {
    name: String,
    share: f64,
    next: Option<bool>,
    outcome: Outcome,
    choice: Option<Choice>,
    local: Option<Local>,
    candidates: Vec<Candidate>,
    candidates_total: usize,
    excluded: Vec<Excluded>,
    excluded_total: usize,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Choice {
    node: String,
    alternative: Option<String>,
    alternative_load: Option<f64>,
    load: f64,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Local {
    windows: String,
    gate: String,
    wait_ms: f64,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Candidate {
    node: String,
    domain: String,
    region: String,
    tier: String,
    load: f64,
    report_age_ms: Option<u64>,
    service_time_ms: Option<f64>,
    slowdown: f64,
    price: f64,
    share: f64,
    rank: f64,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Excluded {
    node: String,
    domain: String,
    region: String,
    cause: String,
}

/// Prints what would become of a request at one daemon.
pub async fn show(arguments: &[String]) -> Result<()> {
    let mut options = arguments::options();
    options.optopt("", "host", "host of the request", "HOST");
    options.optopt("", "method", "method of the request (GET)", "METHOD");
    options.optopt("", "account", "client account whose key it has", "NAME");
    options.optopt("", "size", "length of its body (0)", "BYTES");
    options.optflag("", "json", "print JSON for programs");
    let brief = "preview PATH --daemon ADDRESS [--host HOST] [--method METHOD] \
                 [--account NAME] [--size BYTES] [--json]";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    let path = arguments::positional(&matches, 0, "PATH")?;
    let size = arguments::option::<u64>(&matches, "size", 0)?;
    let daemons = arguments::daemons(&matches)?;
    let &[daemon] = daemons.as_slice() else {
        return Err(arguments::usage_error("give one --daemon ADDRESS").into());
    };
    let mut query = vec![("path", path.to_owned()), ("size", size.to_string())];
    for name in ["host", "method", "account"] {
        query.extend(matches.opt_str(name).map(|value| (name, value)));
    }
    let document = admin::get_with::<Value>(daemon, "/preview", &query).await?;
    let text = if matches.opt_present("json") {
        serde_json::to_string_pretty(&document)?
    } else {
        describe(&serde_json::from_value(document)?)
    };
    println!("{}", text.trim_end());
    Ok(())
}

/// The preview as text for people.
fn describe(preview: &Preview) -> String {
    let mut text = format!("outcome: {}\n", outcome(&preview.outcome));
    let confirmed = preview.confirmed_ms_ago.map_or_else(
        || "not confirmed since the start".to_owned(),
        |age| format!("confirmed {age} ms ago"),
    );
    let leaving = if preview.leaving { ", leaving" } else { "" };
    line(
        &mut text,
        &format!(
            "daemon: {}, {} interface, note {} ({confirmed}){leaving}",
            preview.node, preview.interface, preview.revision
        ),
    );
    if let Some(route) = &preview.route {
        let regions = route.regions.as_ref();
        let regions = regions.map_or_else(|| "any".to_owned(), |names| names.join(", "));
        line(
            &mut text,
            &format!(
                "route: {}, priority {}, timeout {} ms, regions: {regions}",
                route.name, route.priority, route.timeout_ms
            ),
        );
    }
    if let Some(admission) = &preview.admission {
        describe_admission(&mut text, admission);
    }
    for service in &preview.services {
        describe_service(&mut text, service);
    }
    text
}

fn describe_admission(text: &mut String, admission: &Admission) {
    let access = admission.access.as_ref();
    let access = access.map_or_else(|| "accepted".to_owned(), refusal);
    line(text, &format!("key and configuration: {access}"));
    if let Some(quota) = &admission.quota {
        let lendable = quota.lendable.map_or_else(
            || "no lender".to_owned(),
            |tokens| format!("{tokens:.1} to lend"),
        );
        let lender = quota.lender.as_deref().unwrap_or_default();
        line(
            text,
            &format!(
                "rate: {} tokens held, {lendable} here; the next one: {} {lender}",
                quota.held, quota.source
            ),
        );
    }
    let price = admission.price.map(|price| format!("price {price:.3}"));
    let level = admission.level.map(|level| format!("level {level:.1}"));
    let basis = price.or(level).unwrap_or_default();
    line(
        text,
        &format!(
            "load shedding: {basis}, admits {}",
            percent(admission.share)
        ),
    );
    let memory = &admission.memory;
    let state = match (memory.full, memory.room) {
        (true, _) => "nearly used up",
        (false, true) => "has room",
        (false, false) => "has no room for this body",
    };
    line(
        text,
        &format!(
            "memory: {} bytes reserved, {state}; body limit {} bytes",
            memory.used, admission.body_limit
        ),
    );
}

fn describe_service(text: &mut String, service: &Service) {
    let next = match service.next {
        Some(true) => ", next",
        Some(false) => "",
        None => ", order not drawn yet",
    };
    line(
        text,
        &format!(
            "\nservice {} ({} of the route{next}): {}",
            service.name,
            percent(service.share),
            outcome(&service.outcome)
        ),
    );
    if let Some(choice) = &service.choice {
        let alternative = choice.alternative.as_ref().zip(choice.alternative_load);
        let alternative = alternative.map_or_else(
            || "no alternative".to_owned(),
            |(node, load)| format!("compared with {node} (load {load:.2})"),
        );
        line(
            text,
            &format!(
                "  first choice: {} (load {:.2}), {alternative}",
                choice.node, choice.load
            ),
        );
    }
    if let Some(local) = &service.local {
        line(
            text,
            &format!(
                "  at the local target: windows {}, gate {}, wait {:.1} ms",
                local.windows, local.gate, local.wait_ms
            ),
        );
    }
    line(
        text,
        &format!(
            "  {:<24} {:<14} {:<10} {:<7} {:>6} {:>6} {:>6} {:>9} {:>9} {:>5} {:>7}",
            "candidate",
            "domain",
            "region",
            "tier",
            "chosen",
            "rank",
            "load",
            "age ms",
            "time ms",
            "slow",
            "price"
        ),
    );
    for candidate in &service.candidates {
        let age = candidate.report_age_ms;
        let age = age.map_or_else(|| "-".to_owned(), |age| age.to_string());
        let time = candidate.service_time_ms;
        let time = time.map_or_else(|| "-".to_owned(), |time| format!("{time:.1}"));
        line(
            text,
            &format!(
                "  {:<24} {:<14} {:<10} {:<7} {:>6} {:>6.2} {:>6.2} {age:>9} {time:>9} {:>5.2} {:>7.3}",
                candidate.node,
                candidate.domain,
                candidate.region,
                candidate.tier,
                percent(candidate.share),
                candidate.rank,
                candidate.load,
                candidate.slowdown,
                candidate.price
            ),
        );
    }
    omitted(text, service.candidates.len(), service.candidates_total);
    for target in &service.excluded {
        line(
            text,
            &format!(
                "  excluded: {} in {}, {}: {}",
                target.node,
                target.domain,
                target.region,
                target.cause.replace('-', " ")
            ),
        );
    }
    omitted(text, service.excluded.len(), service.excluded_total);
}

fn omitted(text: &mut String, listed: usize, total: usize) {
    if listed < total {
        line(
            text,
            &format!("  and {} more, {total} in all", total - listed),
        );
    }
}

fn outcome(outcome: &Outcome) -> String {
    let mut text = outcome.verdict.clone();
    if let Some(wait) = outcome.wait_ms {
        let _ = write!(text, ", expected wait {wait:.1} ms");
    }
    if let Some(refused) = &outcome.refusal {
        if outcome.share > 0.0 {
            let _ = write!(text, " for {}, the others refused", percent(outcome.share));
        }
        let _ = write!(text, ": {}", refusal(refused));
    }
    text
}

fn refusal(refusal: &Refusal) -> String {
    let mut text = format!(
        "CS{}, status {}: {}",
        refusal.code, refusal.status, refusal.title
    );
    if !refusal.detail.is_empty() {
        let _ = write!(text, " ({})", refusal.detail);
    }
    if let Some([low, high]) = refusal.retry_after_s {
        let _ = write!(text, "; Retry-After {low:.3} to {high:.3} s");
    }
    text
}

fn percent(share: f64) -> String {
    format!("{:.0} %", share * 100.0)
}

fn line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}
