//! Settings and release notes.
//!
//! A daemon reads its [`Settings`] from a local file. All other operator
//! input is a sequence of release notes: numbered, append-only changes to
//! one [`Config`]. This crate defines the schema of both, validates them
//! with errors that give line and column, and merges a note into the
//! configuration in force. Its only I/O is reading the given files.

mod config;
mod digest;
mod lookup;
mod machine;
mod name;
mod quantity;
mod release;
mod settings;
mod yaml;

pub use config::{Config, Warmup};
pub use digest::{Digest, Key};
pub use lookup::{Interner, Lookup, Match};
pub use name::Name;
pub use quantity::{Rate, Size, Timespan};
pub use release::{Account, Evacuations, Grant, Limits, Note, Route, Section, Share, Unconfirmed};
pub use settings::{DEFAULT_COLD_SLACK, LogFormat, Settings, Sidecar, Timing, Tls};
pub use yaml::{MAX_FILE_BYTES, parse, read};
