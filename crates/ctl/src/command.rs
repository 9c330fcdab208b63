//! The commands, one module each.

pub mod explain;
pub mod key;
pub mod load;
pub mod note;
pub mod report;
pub mod status;
