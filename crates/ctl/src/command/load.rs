//! `shedctl load`: open-loop HTTP load.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use anyhow::Result;
use cardamomshed_code::Failure;
use cardamomshed_load::{Plan, Report, Retry, Source, Stage};
use getopts::Matches;

use crate::arguments::{self, option, usage_error};

/// Generates load and prints a report.
pub async fn run(arguments: &[String]) -> Result<()> {
    let mut options = arguments::options();
    options.optmulti(
        "",
        "to",
        "address of a daemon's callers' listener",
        "ADDRESS",
    );
    options.optmulti(
        "",
        "source",
        "NAME,KEY,RATE,METHOD,PATH[,once]: a stream of requests, RATE a second",
        "SOURCE",
    );
    options.optmulti(
        "",
        "stage",
        "SECONDS,FACTOR: a stretch of load (10,1)",
        "STAGE",
    );
    options.optopt(
        "",
        "retries",
        "further attempts of a refused request (0)",
        "N",
    );
    options.optopt(
        "",
        "pause",
        "milliseconds before a further attempt (10)",
        "MS",
    );
    options.optflag("", "honour", "honour Retry-After");
    options.optopt("", "timeout", "seconds until a caller gives up (5)", "S");
    options.optopt("", "max-open", "requests open at once (10000)", "N");
    options.optopt("", "body", "bytes of each request body (0)", "N");
    options.optopt("", "seed", "seed of the arrivals (1)", "N");
    options.optflag("", "json", "print JSON instead of a table");
    let brief = "load --to ADDRESS --source SOURCE [OPTIONS]";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    let plan = plan(&matches)?;
    let is_terminal = std::io::stderr().is_terminal();
    let report = cardamomshed_load::run(plan, |report| {
        if is_terminal {
            print_progress(report);
        }
    });
    let report = report.await;
    if is_terminal {
        eprintln!();
    }
    if matches.opt_present("json") {
        println!("{:#}", report.to_json());
    } else {
        print!("{report}");
    }
    Ok(())
}

/// Overwrites the progress line on standard error.
fn print_progress(report: &Report) {
    let total = report.total();
    let refused = total.refused.values().sum::<u64>();
    eprint!(
        "\roffered {:>9}  answered {:>9}  refused {refused:>9}  unknown {:>7}",
        total.offered, total.answered, total.unknown
    );
    // A failure to write progress does not affect the result.
    let _ = std::io::stderr().flush();
}

/// Builds the plan from the options.
fn plan(matches: &Matches) -> Result<Plan, Failure> {
    let addresses = matches.opt_strs("to");
    let daemons = addresses.iter().map(|text| {
        text.parse()
            .map_err(|_| usage_error(&format!("--to: `{text}` is not an address and port")))
    });
    let daemons = daemons.collect::<Result<Vec<_>, _>>()?;
    if daemons.is_empty() {
        return Err(usage_error("--to ADDRESS is missing"));
    }
    let body = vec![b'x'; option(matches, "body", 0)?];
    let sources = matches.opt_strs("source");
    let sources = sources.iter().map(|text| source(text, &body));
    let sources = sources.collect::<Result<Vec<_>, _>>()?;
    if sources.is_empty() {
        return Err(usage_error("--source SOURCE is missing"));
    }
    let stages = matches.opt_strs("stage");
    let mut stages = stages
        .iter()
        .map(|text| stage(text))
        .collect::<Result<Vec<_>, _>>()?;
    if stages.is_empty() {
        stages.push(stage("10,1")?);
    }
    Ok(Plan {
        seed: option(matches, "seed", 1)?,
        daemons,
        sources,
        stages,
        retry: Retry {
            max_retries: option(matches, "retries", 0)?,
            backoff: Duration::from_millis(option(matches, "pause", 10)?),
            honour_retry_after: matches.opt_present("honour"),
        },
        timeout: seconds(option(matches, "timeout", 5.0)?, "--timeout")?,
        max_open: option(matches, "max-open", 10_000)?,
    })
}

/// Converts seconds to a duration; `option` is named in the error.
fn seconds(number: f64, option: &str) -> Result<Duration, Failure> {
    Duration::try_from_secs_f64(number).map_err(|_| usage_error(&format!("{option}: out of range")))
}

/// Parses `NAME,KEY,RATE,METHOD,PATH[,once]`.
fn source(text: &str, body: &[u8]) -> Result<Source, Failure> {
    let invalid = || {
        usage_error(&format!(
            "--source: `{text}` is not NAME,KEY,RATE,METHOD,PATH[,once]"
        ))
    };
    let parts = text.split(',').collect::<Vec<_>>();
    let ([name, key, rate, method, path] | [name, key, rate, method, path, "once"]) =
        parts.as_slice()
    else {
        return Err(invalid());
    };
    let rate = rate.parse::<f64>().map_err(|_| invalid())?;
    if !rate.is_finite() || rate <= 0.0 {
        return Err(invalid());
    }
    Ok(Source {
        name: (*name).to_owned(),
        key: (*key).to_owned(),
        rate,
        method: (*method).to_owned(),
        path: (*path).to_owned(),
        body: body.to_vec(),
        idempotent: parts.len() == 6,
    })
}

/// Parses `SECONDS,FACTOR`.
fn stage(text: &str) -> Result<Stage, Failure> {
    let invalid = || usage_error(&format!("--stage: `{text}` is not SECONDS,FACTOR"));
    let (duration, factor) = text.split_once(',').ok_or_else(invalid)?;
    let factor = factor.parse::<f64>().map_err(|_| invalid())?;
    if !factor.is_finite() || factor < 0.0 {
        return Err(invalid());
    }
    Ok(Stage {
        duration: seconds(duration.parse().map_err(|_| invalid())?, "--stage")?,
        factor,
    })
}
