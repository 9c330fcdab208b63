//! `shedctl explain`: the decisions of all daemons on one request, by time.

use std::net::SocketAddr;

use anyhow::Result;
use cardamomshed_code::{Code, Failure};
use serde::Deserialize;

use crate::{admin, arguments};

/// A decision that a daemon recorded.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Entry {
    node: String,
    at_us: u64,
    event: u16,
    text: String,
    detail: String,
}

/// Prints the decisions on a request in order of time.
pub async fn show(arguments: &[String]) -> Result<()> {
    let options = arguments::options();
    let brief = "explain REQUEST-ID --daemon ADDRESS";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    let request = arguments::positional(&matches, 0, "REQUEST-ID")?;
    let seeds = arguments::daemons(&matches)?;
    let (statuses, unreachable) = admin::query_fleet(&seeds).await?;
    let addresses = statuses.iter().filter_map(|status| {
        let own = status
            .members
            .iter()
            .find(|member| member.name == status.node);
        own.map(|member| member.profile.admin)
    });
    let mut entries = collect(request, addresses.collect()).await?;
    for member in unreachable {
        println!(
            "{} does not answer; what it decided is missing",
            member.name
        );
    }
    if entries.is_empty() {
        return Err(Failure::new(Code::RequestUnknown, request.to_owned()).into());
    }
    entries.sort_by_key(|entry| entry.at_us);
    let start = entries[0].at_us;
    for entry in entries {
        let elapsed_ms = (entry.at_us - start) as f64 / 1_000.0;
        println!(
            "{elapsed_ms:>10.3} ms  {:<24} [{}] {}: {}",
            entry.node, entry.event, entry.text, entry.detail
        );
    }
    Ok(())
}

/// Reads the decisions on a request from each daemon.
async fn collect(request: &str, daemons: Vec<SocketAddr>) -> Result<Vec<Entry>, Failure> {
    let mut entries = Vec::new();
    for daemon in daemons {
        let path = format!("/explain/{request}");
        entries.extend(admin::get::<Vec<Entry>>(daemon, &path).await?);
    }
    Ok(entries)
}
