//! Options that several commands share.

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshed_code::{Code, Failure};
use cardamomshed_platform::Client;
use getopts::{Matches, Options};

/// Time for one request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of one command, the common ones among them.
pub fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "platform", "base address of the platform", "URL");
    options.optmulti("", "daemon", "admin address of a daemon", "ADDRESS");
    options.optflag("h", "help", "show this help");
    options
}

/// Parses the options of a command. `None` says that its help was shown.
///
/// # Errors
///
/// [`Code::UsageInvalid`].
pub fn parse(
    options: &Options,
    brief: &str,
    arguments: &[String],
) -> Result<Option<Matches>, Failure> {
    let matches = options
        .parse(arguments)
        .map_err(|error| usage(&error.to_string()))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(&format!("Usage: shedctl {brief}")));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// A failure of the command line.
pub fn usage(detail: &str) -> Failure {
    Failure::new(Code::UsageInvalid, detail)
}

/// The free argument at a place.
///
/// # Errors
///
/// [`Code::UsageInvalid`] where there is none.
pub fn free<'a>(matches: &'a Matches, place: usize, what: &str) -> Result<&'a str, Failure> {
    let argument = matches.free.get(place).map(String::as_str);
    argument.ok_or_else(|| usage(&format!("{what} is missing")))
}

/// Value of an option, or a default.
///
/// # Errors
///
/// [`Code::UsageInvalid`] where it does not parse.
pub fn value<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
    default: T,
) -> Result<T, Failure> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| usage(&format!("--{name}: `{text}` is not valid"))),
    }
}

/// Client of the platform that the options name.
///
/// # Errors
///
/// [`Code::UsageInvalid`] where they name none.
pub fn platform(matches: &Matches) -> Result<Client, Failure> {
    let base = matches
        .opt_str("platform")
        .ok_or_else(|| usage("--platform URL is missing"))?;
    Ok(Client::new(&base, PLATFORM_TIMEOUT))
}

/// Admin addresses that the options name.
///
/// # Errors
///
/// [`Code::UsageInvalid`] where one is not an address.
pub fn daemons(matches: &Matches) -> Result<Vec<SocketAddr>, Failure> {
    let parse = |text: &String| {
        text.parse()
            .map_err(|_| usage(&format!("--daemon: `{text}` is no address and port")))
    };
    matches.opt_strs("daemon").iter().map(parse).collect()
}
