//! Command line of the daemon.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use cardamomshed_code::{Code, Failure};
use cardamomshed_daemon::daemon::Bound;
use cardamomshed_daemon::{Options, logging, reload, tls};
use cardamomshed_note::Settings;
use tokio::signal::unix::{SignalKind, signal};

/// Action that the command line selects.
enum Command {
    Help(String),
    Version,
    Check(PathBuf),
    Run(PathBuf),
}

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("s", "settings", "settings file", "FILE");
    options.optflag("c", "check", "check the settings and exit");
    options.optflag("h", "help", "show this help");
    options.optflag("V", "version", "show the version");
    options
}

fn parse(arguments: &[String]) -> Result<Command, Failure> {
    let options = options();
    let usage = |error: String| Failure::new(Code::UsageInvalid, error);
    let matches = options
        .parse(arguments)
        .map_err(|error| usage(error.to_string()))?;
    if matches.opt_present("help") {
        let brief = "Usage: cardamomshed --settings FILE [--check]";
        return Ok(Command::Help(options.usage(brief)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    if let Some(extra) = matches.free.first() {
        return Err(usage(format!("unexpected argument `{extra}`")));
    }
    let path = matches
        .opt_str("settings")
        .map(PathBuf::from)
        .ok_or_else(|| usage("--settings FILE is missing".to_owned()))?;
    if matches.opt_present("check") {
        return Ok(Command::Check(path));
    }
    Ok(Command::Run(path))
}

/// Reads the settings file and checks the certificate that it names.
fn read(path: &std::path::Path) -> Result<Settings, Failure> {
    let settings = Settings::read(path)?;
    if let Some(files) = &settings.tls {
        tls::load(files)?;
    }
    Ok(settings)
}

/// Runs the daemon until SIGTERM or SIGINT, then shuts it down.
async fn run(settings: Settings, path: &Path) -> Result<()> {
    let (log, _guard) = logging::logger(settings.log, &settings.node);
    let daemon = Bound::new(settings)?.start(Options::default(), log)?;
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    let hangup = signal(SignalKind::hangup()).context("SIGHUP")?;
    let reload = reload::Watcher::new(path).run(Arc::clone(daemon.node()), hangup);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = reload => {}
    }
    daemon.leave().await.stop().await;
    Ok(())
}

fn execute(arguments: &[String]) -> Result<()> {
    match parse(arguments)? {
        Command::Help(text) => print!("{text}"),
        Command::Version => println!("cardamomshed {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => {
            read(&path)?;
            println!("{}: valid", path.display());
        }
        Command::Run(path) => {
            let settings = read(&path)?;
            actix::System::new().block_on(run(settings, &path))?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    match execute(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cardamomshed: {error:#}");
            ExitCode::FAILURE
        }
    }
}
