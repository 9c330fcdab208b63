//! Open-loop HTTP load.
//!
//! Requests are sent at the moments that a seed decides, whether or not
//! earlier ones were answered, and latency is counted from those moments;
//! a slow system therefore cannot slow down its own measurement.

mod plan;
mod report;
mod run;

pub use plan::{Plan, Retry, Source, Stage};
pub use report::{Report, Tally};
pub use run::run;
