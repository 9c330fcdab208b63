//! Runs one case of the review: `standin CASE FOLDER`. Exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in
//! the environment, the disruption is left out.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod upstream;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// What every case is given.
pub struct Setting {
    pub record: Record,
    /// Folder for settings and logs, removed at the end.
    pub temporary: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments = std::env::args().collect::<Vec<_>>();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let setting = Setting {
        record: Record::create(Path::new(folder)),
        temporary: temporary.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    // A panic, such as for a port that was taken meanwhile, ends the case early.
    let run = std::panic::AssertUnwindSafe(|| cases::run(case, &setting));
    let verdict = std::panic::catch_unwind(run)
        .unwrap_or_else(|_| Verdict::NotRun("it ended with a panic".to_owned()));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match verdict {
        Verdict::Held => {
            setting.record.report("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            setting.record.report("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(cause) => {
            setting
                .record
                .report(&format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
