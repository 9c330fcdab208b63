//! Parsing of command line arguments, shared by the commands.

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshed_code::{Code, Failure};
use cardamomshed_platform::Client;
use getopts::{Matches, Options};

/// Timeout of one request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the options that all commands accept, to be extended by a command.
pub fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "platform", "base address of the platform", "URL");
    options.optmulti("", "daemon", "admin address of a daemon", "ADDRESS");
    options.optflag("h", "help", "show this help");
    options
}

/// Parses the arguments of a command. Returns `None` if `--help` was given, in
/// which case the help is printed. `brief` is the usage line after `shedctl`.
///
/// # Errors
///
/// [`Code::UsageInvalid`] for an unknown option or a missing value.
pub fn parse(
    options: &Options,
    brief: &str,
    arguments: &[String],
) -> Result<Option<Matches>, Failure> {
    let matches = options
        .parse(arguments)
        .map_err(|error| usage_error(&error.to_string()))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(&format!("Usage: shedctl {brief}")));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Creates a failure with [`Code::UsageInvalid`].
pub fn usage_error(detail: &str) -> Failure {
    Failure::new(Code::UsageInvalid, detail)
}

/// Returns the positional argument at an index, which errors call `name`.
///
/// # Errors
///
/// [`Code::UsageInvalid`] if there is none.
pub fn positional<'a>(matches: &'a Matches, index: usize, name: &str) -> Result<&'a str, Failure> {
    let argument = matches.free.get(index).map(String::as_str);
    argument.ok_or_else(|| usage_error(&format!("{name} is missing")))
}

/// Returns the parsed value of an option, or a default if it is not given.
///
/// # Errors
///
/// [`Code::UsageInvalid`] if the value does not parse.
pub fn option<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
    default: T,
) -> Result<T, Failure> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| usage_error(&format!("--{name}: invalid value `{text}`"))),
    }
}

/// Creates a client of the platform at the address given by `--platform`.
///
/// # Errors
///
/// [`Code::UsageInvalid`] if the option is missing.
pub fn platform(matches: &Matches) -> Result<Client, Failure> {
    let base = matches
        .opt_str("platform")
        .ok_or_else(|| usage_error("--platform URL is missing"))?;
    Ok(Client::new(&base, PLATFORM_TIMEOUT))
}

/// Returns the admin addresses given by `--daemon`.
///
/// # Errors
///
/// [`Code::UsageInvalid`] if one of them is not an address and port.
pub fn daemons(matches: &Matches) -> Result<Vec<SocketAddr>, Failure> {
    let parse = |text: &String| {
        text.parse()
            .map_err(|_| usage_error(&format!("--daemon: `{text}` is not an address and port")))
    };
    matches.opt_strs("daemon").iter().map(parse).collect()
}
