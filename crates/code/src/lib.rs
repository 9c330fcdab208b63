//! Numbered result codes and log events.
//!
//! Operators search logs and responses by number, so the meaning of a number
//! never changes. Both lists are in one crate that all others depend on.
//! `docs/codes.md` and `docs/events.md` list them for readers, and a test
//! compares those pages with this source.

mod event;
mod result;

pub use event::Event;
pub use result::{Code, Failure, Ran};
