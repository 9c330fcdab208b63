//! Open-loop HTTP load generator.
//!
//! Arrival times are drawn from a seed. Requests are sent at these times
//! whether or not earlier ones have been answered, and latency is measured
//! from the scheduled arrival. A slow system therefore does not reduce the
//! load that it is measured under (coordinated omission).

mod plan;
mod report;
mod run;

pub use plan::{Plan, Retry, Source, Stage};
pub use report::{Report, Tally};
pub use run::run;
