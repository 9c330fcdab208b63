//! The operators' command line tool.
//!
//! It reads and writes release notes through the platform's store and queries
//! the admin listeners of daemons. It keeps no local state.

mod admin;
mod arguments;
mod command;

use std::process::ExitCode;

use anyhow::Result;
use cardamomshed_code::{Code, Failure};

const USAGE: &str = "\
Usage: shedctl COMMAND [OPTIONS]

Commands:
  note check FILE     check a release note against the notes in force
  note apply FILE     send a release note and wait until it is in force
  note list           list the accepted release notes
  note diff A B       show what changed between two revisions
  key new             make a key, shown once, and its digest
  status              show failure domains, services, targets and accounts
  explain REQUEST-ID  tell what became of a request, from several daemons
  preview PATH        tell where a request would go now, without sending it
  load                drive HTTP load and report what came of it
  report FILE...      turn experiment results into a page with plots

Common options:
  --platform URL      base address of the platform's service
  --daemon ADDRESS    admin address of any daemon; may be given again
  -h, --help          show this help
  -V, --version       show the version

`shedctl COMMAND --help` lists the options of a command.";

/// Runs the command that the arguments name.
async fn dispatch(arguments: &[String]) -> Result<()> {
    let strs = arguments.iter().map(String::as_str).collect::<Vec<_>>();
    match strs.as_slice() {
        [] => Err(Failure::new(Code::UsageInvalid, "no command given; see --help").into()),
        ["-h" | "--help" | "help", ..] => {
            println!("{USAGE}");
            Ok(())
        }
        ["-V" | "--version", ..] => {
            println!("shedctl {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        ["note", "check", ..] => command::note::check(&arguments[2..]).await,
        ["note", "apply", ..] => command::note::apply(&arguments[2..]).await,
        ["note", "list", ..] => command::note::list(&arguments[2..]).await,
        ["note", "diff", ..] => command::note::diff(&arguments[2..]).await,
        ["key", "new", ..] => command::key::new(&arguments[2..]),
        ["status", ..] => command::status::show(&arguments[1..]).await,
        ["explain", ..] => command::explain::show(&arguments[1..]).await,
        ["preview", ..] => command::preview::show(&arguments[1..]).await,
        ["load", ..] => command::load::run(&arguments[1..]).await,
        ["report", ..] => command::report::write(&arguments[1..]),
        [first, ..] => {
            let detail = format!("unknown command `{first}`; see --help");
            Err(Failure::new(Code::UsageInvalid, detail).into())
        }
    }
}

fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    match actix_rt::System::new().block_on(dispatch(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shedctl: {error:#}");
            ExitCode::FAILURE
        }
    }
}
