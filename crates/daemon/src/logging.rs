//! Structured logs on standard output.
//!
//! Lines are gathered in a bounded buffer that a thread of its own writes out
//! a few times a second. When the reader of standard output is slow, lines
//! are dropped and counted; a request never waits for its log line.

use std::io::{self, Write};
use std::mem;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use cardamomshed_code::Event;
use cardamomshed_note::LogFormat;
use slog::{Drain, Logger, o};

/// Bytes of lines that wait to be written.
const CAPACITY: usize = 2 * 1024 * 1024;
/// Time between two writes.
const WRITE_EVERY: Duration = Duration::from_millis(100);

/// A logger of the given form whose lines carry the daemon's name, and what
/// writes out the last of them when it is dropped.
pub fn logger(form: LogFormat, node: &str) -> (Logger, Flush) {
    let values = o!("node" => node.to_owned());
    let buffer = Buffer::default();
    let logger = match form {
        LogFormat::Off => Logger::root(slog::Discard, values),
        LogFormat::Json => {
            buffer.start();
            let drain = slog_json::Json::new(buffer.clone())
                .add_default_keys()
                .build();
            Logger::root(Mutex::new(drain).fuse(), values)
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stdout());
            let drain = slog_term::FullFormat::new(decorator).build();
            Logger::root(drain.fuse(), values)
        }
    };
    (logger, Flush(buffer))
}

/// Writes out the lines that wait when it is dropped.
#[derive(Debug)]
pub struct Flush(Buffer);

impl Drop for Flush {
    fn drop(&mut self) {
        self.0.write_out();
    }
}

#[derive(Debug, Default)]
struct Lines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Lines that wait to be written; a clone shares them.
#[derive(Clone, Debug, Default)]
struct Buffer(Arc<Mutex<Lines>>);

impl Buffer {
    /// Starts the thread that writes the lines out, which ends with the
    /// process.
    fn start(&self) {
        let lines = self.clone();
        // Without the thread lines are dropped and counted, as with a reader
        // that does not read.
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                loop {
                    thread::sleep(WRITE_EVERY);
                    lines.write_out();
                }
            });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Lines> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_out(&self) {
        let taken = mem::take(&mut *self.lock());
        let mut output = io::stdout().lock();
        // A reader that is gone leaves nobody to tell.
        let _ = output.write_all(&taken.bytes);
        if taken.dropped > 0 {
            let _ = writeln!(
                output,
                "{{\"msg\":\"{}\",\"event\":{},\"count\":{}}}",
                Event::LinesDropped.text(),
                Event::LinesDropped.number(),
                taken.dropped
            );
        }
        let _ = output.flush();
    }
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut lines = self.lock();
        if lines.bytes.len() + bytes.len() > CAPACITY {
            lines.dropped += u64::from(bytes.ends_with(b"\n"));
        } else {
            lines.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
