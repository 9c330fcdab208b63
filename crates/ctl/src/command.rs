//! Commands of the tool, one module per group.

pub mod explain;
pub mod key;
pub mod load;
pub mod note;
pub mod preview;
pub mod report;
pub mod status;
