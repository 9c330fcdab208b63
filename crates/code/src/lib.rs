//! Numbered result codes and log events.
//!
//! Operators search logs and answers by number, so a number must keep its
//! meaning for as long as the project lives. Both lists stand in one crate
//! that everything else depends on; `docs/codes.md` and `docs/events.md`
//! repeat them for people, and a test holds the pages against this source.

mod event;
mod result;

pub use event::Event;
pub use result::{Code, Failure, Ran};
