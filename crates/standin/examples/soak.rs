//! Randomised soak of the daemon's program, by seeds. Exits with 1 if a promise was
//! broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result};
use cardamomshed_standin::soak::fault::Group;
use cardamomshed_standin::soak::{self, Report};

/// Broken promises that are printed of each kind.
const PRINTED: usize = 5;

fn options() -> getopts::Options {
    let groups = Group::ALL.map(|(name, _)| name).join(",");
    let mut options = getopts::Options::new();
    options.optopt("", "program", "the daemon's program", "FILE");
    options.optopt("", "template", "settings template", "FILE");
    options.optopt("", "seed", "first seed (1)", "N");
    options.optopt("", "count", "number of seeds (1)", "N");
    options.optopt("", "vms", "VMs (24)", "N");
    options.optopt("", "seconds", "time with faults (30)", "S");
    options.optopt("", "rate", "requests a second (480)", "N");
    options.optopt(
        "",
        "faults",
        &format!("comma-separated: {groups}"),
        "GROUPS",
    );
    options.optopt("", "folder", "where logs are kept (/tmp/soak)", "FOLDER");
    options.optflag("", "events", "print what was done to the fleet");
    options.optflag("h", "help", "show this help");
    options
}

fn execute() -> Result<bool> {
    let matches = options().parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options().usage("Usage: soak [options]"));
        return Ok(true);
    }
    let text = |name: &str, default: &str| matches.opt_str(name).unwrap_or_else(|| default.into());
    let first = text("seed", "1").parse::<u64>().context("--seed")?;
    let count = text("count", "1").parse::<u64>().context("--count")?;
    let all = Group::ALL
        .map(|(name, _)| name)
        .into_iter()
        .filter(|name| *name != "unmarked");
    let groups = text("faults", &all.collect::<Vec<_>>().join(","));
    let mut kept = true;
    for seed in first..first + count {
        let options = soak::Options {
            program: PathBuf::from(text("program", "target/release/cardamomshed")),
            template: PathBuf::from(text("template", "deploy/settings.yaml")),
            folder: PathBuf::from(text("folder", "/tmp/soak")).join(seed.to_string()),
            seed,
            vms: text("vms", "24").parse().context("--vms")?,
            faults_for: Duration::from_secs_f64(
                text("seconds", "30").parse().context("--seconds")?,
            ),
            rate: text("rate", "480").parse().context("--rate")?,
            groups: Group::parse(&groups)?,
        };
        let report = actix::System::new().block_on(soak::run(options))?;
        print(seed, &report, matches.opt_present("events"));
        kept &= report.verdict.is_kept();
    }
    Ok(kept)
}

fn print(seed: u64, report: &Report, events: bool) {
    if events {
        for event in &report.events {
            println!("{event}");
        }
    }
    let verdict = &report.verdict;
    let ended = report.events.iter();
    let ended = ended.filter(|event| event.ends_with("ended by itself"));
    println!(
        "seed {seed}: TWICE {} REFUSED {} MIXED {} SHORT {} of {} attempts; served {:.3}, \
         statuses {:?}; members {:?} to {:?}; {} unended; {} daemons ended by themselves",
        verdict.twice.len(),
        verdict.refused.len(),
        verdict.mixed.len(),
        verdict.short.len(),
        verdict.attempts,
        verdict.served_in_all,
        verdict.statuses,
        report.members.iter().min(),
        report.members.iter().max(),
        report.unended,
        ended.count(),
    );
    let windows = verdict.served.iter().map(|served| format!("{served:.2}"));
    println!("  served by 2 s: {}", windows.collect::<Vec<_>>().join(" "));
    let parts = verdict.served_by.iter();
    let parts = parts.map(|(part, served)| format!("{part} {served:.2}"));
    println!("  served by part: {}", parts.collect::<Vec<_>>().join(" "));
    let kinds = [
        ("TWICE", &verdict.twice),
        ("REFUSED", &verdict.refused),
        ("MIXED", &verdict.mixed),
        ("SHORT", &verdict.short),
    ];
    for (rule, broken) in kinds {
        for line in broken.iter().take(PRINTED) {
            println!("  {rule}: {line}");
        }
    }
}

fn main() -> ExitCode {
    match execute() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error:#}");
            ExitCode::from(2)
        }
    }
}
