//! `shedctl status`: state of the fleet.

use std::collections::BTreeMap;

use anyhow::Result;

use crate::admin::{self, Status};
use crate::arguments;

/// Time without confirmation of its revision after which a daemon counts as
/// degraded.
const STALE_REVISION_MS: u64 = 10_000;

/// Prints failure domains, daemons, services and degraded parts of the fleet.
pub async fn show(arguments: &[String]) -> Result<()> {
    let options = arguments::options();
    let brief = "status --daemon ADDRESS";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    let (daemons, unreachable) = admin::query_fleet(&arguments::daemons(&matches)?).await?;
    print_domains(&daemons);
    print_daemons(&daemons);
    print_services(&daemons);
    let accounts = daemons.first().map_or(0, |daemon| daemon.accounts.len());
    println!("\nclient accounts in force: {accounts}");
    let mut degraded = Vec::new();
    for member in unreachable {
        degraded.push(format!(
            "{} does not answer ({})",
            member.name, member.state
        ));
    }
    degraded.extend(daemons.iter().flat_map(problems));
    println!(
        "\ndegraded: {}",
        if degraded.is_empty() { "nothing" } else { "" }
    );
    for problem in degraded {
        println!("  {problem}");
    }
    Ok(())
}

fn print_domains(daemons: &[Status]) {
    // Daemons, lowest and highest revision, lender slots.
    let mut domains = BTreeMap::<&str, (usize, u64, u64, usize)>::new();
    for daemon in daemons {
        let entry = domains.entry(&daemon.domain).or_insert((0, u64::MAX, 0, 0));
        entry.0 += 1;
        entry.1 = entry.1.min(daemon.revision);
        entry.2 = entry.2.max(daemon.revision);
        let own = daemon
            .members
            .iter()
            .find(|member| member.name == daemon.node);
        entry.3 += own.map_or(0, |member| member.profile.lender_slots.len());
    }
    println!(
        "{:<20} {:>8} {:>18} {:>13}",
        "failure domain", "daemons", "note in force", "lender slots"
    );
    for (domain, (count, min_revision, max_revision, lender_slots)) in domains {
        let revision = if min_revision == max_revision {
            format!("{max_revision}")
        } else {
            format!("{min_revision} to {max_revision}")
        };
        println!("{domain:<20} {count:>8} {revision:>18} {lender_slots:>13}");
    }
}

fn print_daemons(daemons: &[Status]) {
    println!(
        "\n{:<24} {:<14} {:<16} {:>8} {:>8} {:>6} {:>6}",
        "daemon", "domain", "service", "running", "waiting", "limit", "open"
    );
    for daemon in daemons {
        let own = daemon
            .members
            .iter()
            .find(|member| member.name == daemon.node);
        let service = own.and_then(|member| member.profile.service.as_deref());
        println!(
            "{:<24} {:<14} {:<16} {:>8} {:>8} {:>6} {:>6}",
            daemon.node,
            daemon.domain,
            service.unwrap_or("none"),
            daemon.load.running,
            daemon.load.waiting,
            daemon.load.limit,
            daemon.open_requests
        );
    }
}

fn print_services(daemons: &[Status]) {
    // Highest number of known and of ejected targets among the daemons.
    let mut services = BTreeMap::<&str, (usize, usize)>::new();
    for service in daemons.iter().flat_map(|daemon| &daemon.services) {
        let entry = services.entry(&service.name).or_default();
        entry.0 = entry.0.max(service.targets);
        entry.1 = entry.1.max(service.ejected);
    }
    println!(
        "\n{:<20} {:>8} {:>18}",
        "service", "targets", "ejected at most"
    );
    for (service, (targets, ejected)) in services {
        println!("{service:<20} {targets:>8} {ejected:>18}");
    }
}

/// Describes the degraded conditions that a daemon reports.
fn problems(daemon: &Status) -> Vec<String> {
    let mut problems = Vec::new();
    if daemon.leaving {
        problems.push(format!("{} is leaving", daemon.node));
    }
    match daemon.confirmed_ms_ago {
        Some(age) if age <= STALE_REVISION_MS => {}
        Some(age) => problems.push(format!(
            "{} has not known its note to be the newest for {} s",
            daemon.node,
            age / 1_000
        )),
        None => problems.push(format!(
            "{} has not known its note to be the newest since its start",
            daemon.node
        )),
    }
    let own = daemon
        .members
        .iter()
        .find(|member| member.name == daemon.node);
    if own.is_some_and(|member| member.profile.service.is_some() && !member.profile.open) {
        problems.push(format!(
            "the target beside {} takes no new calls",
            daemon.node
        ));
    }
    let ejected = daemon.services.iter().filter(|service| service.ejected > 0);
    for service in ejected {
        problems.push(format!(
            "{} has ejected {} of {} targets of {}",
            daemon.node, service.ejected, service.targets, service.name
        ));
    }
    problems
}
