//! Structured logs on standard output.
//!
//! JSON lines are collected in a bounded buffer, which a separate thread writes
//! ten times a second. If the reader of standard output is slow, lines are
//! dropped and counted, so that logging does not block requests. Text lines are
//! written directly.

use std::io::{self, Write};
use std::mem;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use cardamomshed_code::Event;
use cardamomshed_note::LogFormat;
use slog::{Drain, Logger, o};

/// Largest amount of buffered lines, in bytes.
const CAPACITY_BYTES: usize = 2 * 1024 * 1024;
/// Interval between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest write, in bytes: `PIPE_BUF` of Linux, up to which a write to a pipe is
/// atomic. Collectors may cut longer ones.
const MAX_WRITE_BYTES: usize = 4_096;

/// Creates a logger whose lines include the daemon's name. The guard must be kept
/// until the end of the process, because it writes the last lines when dropped.
pub fn logger(format: LogFormat, node: &str) -> (Logger, Guard) {
    let values = o!("node" => node.to_owned());
    let buffer = Buffer::default();
    let logger = match format {
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
    (logger, Guard(buffer))
}

/// Writes the buffered lines when dropped.
#[derive(Debug)]
pub struct Guard(Buffer);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.write_lines();
    }
}

/// Buffered lines and the number of lines dropped since the last write.
#[derive(Debug, Default)]
struct Lines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Shared buffer of lines to be written.
#[derive(Clone, Debug, Default)]
struct Buffer(Arc<Mutex<Lines>>);

impl Buffer {
    /// Starts the writer thread, which runs until the process exits.
    fn start(&self) {
        let buffer = self.clone();
        // If the thread cannot be started, lines are dropped and counted once the
        // buffer is full, as with a blocked reader.
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                loop {
                    thread::sleep(WRITE_INTERVAL);
                    buffer.write_lines();
                }
            });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Lines> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes and clears the buffered lines, and reports dropped lines.
    fn write_lines(&self) {
        let lines = mem::take(&mut *self.lock());
        let mut output = io::stdout().lock();
        // If standard output is closed, the error cannot be reported anywhere.
        let _ = write_whole_lines(&mut output, &lines.bytes);
        if lines.dropped > 0 {
            let _ = writeln!(
                output,
                "{{\"msg\":\"{}\",\"event\":{},\"count\":{}}}",
                Event::LinesDropped.text(),
                Event::LinesDropped.number(),
                lines.dropped
            );
        }
        let _ = output.flush();
    }
}

/// Writes lines in writes of at most 4,096 bytes that end at the end of a
/// line. Only a longer line is split.
///
/// # Errors
///
/// Those of `output`.
pub fn write_whole_lines(output: &mut impl Write, mut lines: &[u8]) -> io::Result<()> {
    while !lines.is_empty() {
        let longest = &lines[..lines.len().min(MAX_WRITE_BYTES)];
        let end = longest.iter().rposition(|byte| *byte == b'\n');
        let (write, rest) = lines.split_at(end.map_or(longest.len(), |end| end + 1));
        output.write_all(write)?;
        output.flush()?;
        lines = rest;
    }
    Ok(())
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut lines = self.lock();
        if lines.bytes.len() + bytes.len() > CAPACITY_BYTES {
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
