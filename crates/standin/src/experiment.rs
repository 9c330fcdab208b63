//! Results of an experiment: a printed table, and a JSON file that `report`
//! reads.

use std::fs;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;

/// Size of a memory page in bytes.
const PAGE_BYTES: f64 = 4096.0;
/// Clock tick of `/proc/self/stat` in milliseconds.
const TICK_MS: u64 = 10;

/// Measured figure of an experiment.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Measure {
    /// Name of the measure; a key in the result files.
    pub name: String,
    /// Unit of the figures.
    pub unit: String,
    /// Figure of the naive baseline, where one was measured.
    pub naive: Option<f64>,
    /// Figure of this project.
    pub ours: f64,
    /// Target as text, such as `<= 2`; empty without a target.
    pub target: String,
    /// Whether `ours` meets the target; `None` without a target.
    pub holds: Option<bool>,
}

/// Figures of one run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Experiment {
    /// Seed of arrivals, sizes and faults.
    pub seed: u64,
    /// Figures in the order of their measurement.
    pub measures: Vec<Measure>,
    #[serde(skip)]
    only: Vec<String>,
    #[serde(skip)]
    name: String,
}

/// Target of a figure.
#[derive(Clone, Copy, Debug)]
pub enum Bound {
    /// The figure is at least this.
    AtLeast(f64),
    /// The figure is at most this.
    AtMost(f64),
    /// There is no target.
    None,
}

impl Experiment {
    /// Creates an experiment from the command line: `--seed N`, 1 if absent,
    /// and `--only PART`, which may be repeated.
    ///
    /// # Panics
    ///
    /// Panics if the arguments are not valid.
    pub fn from_arguments(name: &str) -> Self {
        let mut options = getopts::Options::new();
        options.optopt("", "seed", "seed of arrivals, sizes and faults", "N");
        options.optmulti("", "only", "run this part only", "PART");
        options.optflag("", "bench", "given by cargo");
        let arguments = std::env::args().skip(1).collect::<Vec<_>>();
        let matches = options.parse(&arguments).expect("--seed N");
        let seed = matches
            .opt_str("seed")
            .map_or(1, |seed| seed.parse().expect("the seed is a number"));
        Self {
            seed,
            measures: Vec::new(),
            only: matches.opt_strs("only"),
            name: name.to_owned(),
        }
    }

    /// Whether the command line selects a part; every part without `--only`.
    pub fn selects(&self, part: &str) -> bool {
        self.only.is_empty() || self.only.iter().any(|only| only == part)
    }

    /// Adds a figure and prints it.
    pub fn add(&mut self, name: &str, unit: &str, naive: Option<f64>, ours: f64, bound: Bound) {
        let (target, holds) = match bound {
            Bound::AtLeast(least) => (format!(">= {least}"), Some(ours >= least)),
            Bound::AtMost(most) => (format!("<= {most}"), Some(ours <= most)),
            Bound::None => (String::new(), None),
        };
        let measure = Measure {
            name: name.to_owned(),
            unit: unit.to_owned(),
            naive,
            ours,
            target,
            holds,
        };
        println!("{}", row(&measure));
        self.measures.push(measure);
    }

    /// Prints the table and writes the JSON file. A run with `--only` writes no
    /// file, because its results are incomplete.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written.
    pub fn finish(&self) {
        println!("\n{} (seed {})", self.name, self.seed);
        println!(
            "{:<58} {:>10} {:>12} {:>12} {:>12} {:>6}",
            "measure", "unit", "naive", "ours", "target", "holds"
        );
        for measure in &self.measures {
            println!("{}", row(measure));
        }
        let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/experiments");
        if !self.only.is_empty() {
            return;
        }
        fs::create_dir_all(&directory).expect("the directory of the results is created");
        let path = directory.join(format!("{}.json", self.name));
        let json = serde_json::to_string_pretty(self).expect("the figures are valid JSON");
        fs::write(path, json).expect("the result file is written");
    }
}

/// Resident memory of this process in bytes; zero if it cannot be read.
pub fn resident_memory() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|field| field.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE_BYTES
}

/// Processor time of this process so far, user and system; zero if it cannot be
/// read.
pub fn cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks = ticks
        .filter_map(|field| field.parse::<u64>().ok())
        .sum::<u64>();
    Duration::from_millis(ticks * TICK_MS)
}

fn row(measure: &Measure) -> String {
    let naive = measure
        .naive
        .map_or_else(String::new, |naive| format!("{naive:.4}"));
    let holds = match measure.holds {
        Some(true) => "yes",
        Some(false) => "NO",
        None => "",
    };
    format!(
        "{:<58} {:>10} {naive:>12} {:>12.4} {:>12} {holds:>6}",
        measure.name, measure.unit, measure.ours, measure.target
    )
}
