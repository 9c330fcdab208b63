//! Cases of the second review: `review-case NAME FOLDER`. With `TROUBLE=0` in the
//! environment a case leaves its disruption out. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run.

mod fleet;
mod http;
mod json;
mod ledger;
mod store;
mod upstream;

mod cases;

use std::path::Path;
use std::process::ExitCode;

use ledger::Ledger;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let ledger = Ledger::start();
    let outcome = match name.as_str() {
        "departure" => cases::departure::run(&ledger, trouble),
        "reader" => cases::reader::run(&ledger, trouble),
        "drill" => cases::drill::run(&ledger, trouble),
        _ => Err(format!("no case {name}")),
    };
    let code = match outcome {
        Ok(broken) if broken.is_empty() => {
            ledger.note("the rule held");
            0
        }
        Ok(broken) => {
            for text in broken {
                ledger.note(format!("broken: {text}"));
            }
            1
        }
        Err(cause) => {
            ledger.note(format!("the case could not run: {cause}"));
            2
        }
    };
    ledger.write(&Path::new(&folder).join("record.txt"));
    ExitCode::from(code)
}
