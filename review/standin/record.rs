//! Record of what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// A line of the record that is printed as well.
    pub fn report(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.file.lock().unwrap().flush();
    }
}
