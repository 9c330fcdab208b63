//! Structured logs on standard output.
//!
//! Lines are written by a thread of their own behind a bounded channel. When
//! the reader of standard output is slow, lines are dropped and counted; a
//! request never waits for its log line.

use std::io;
use std::sync::Mutex;

use cardamomshed_note::LogForm;
use slog::{Drain, Logger, o};
use slog_async::OverflowStrategy;

/// Lines that wait to be written.
const CHANNEL: usize = 8_192;

/// A logger of the given form whose lines carry the daemon's name.
pub fn logger(form: LogForm, node: &str) -> Logger {
    let values = o!("node" => node.to_owned());
    match form {
        LogForm::Off => Logger::root(slog::Discard, values),
        LogForm::Json => {
            let drain = slog_json::Json::new(io::stdout())
                .add_default_keys()
                .build();
            Logger::root(in_background(drain.fuse()), values)
        }
        LogForm::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stdout());
            let drain = slog_term::FullFormat::new(decorator).build();
            Logger::root(in_background(drain.fuse()), values)
        }
    }
}

fn in_background<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(Mutex::new(drain).fuse())
        .chan_size(CHANNEL)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse()
}
