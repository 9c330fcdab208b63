//! Settings and release notes.
//!
//! A daemon reads its settings once from a file. Everything else that
//! operators decide comes in release notes: numbered, append-only changes to
//! one [`Config`]. This crate holds the schema of both, checks them with
//! line and column, and merges a note into the configuration in force. It
//! does no I/O beyond reading the files it is given.

mod config;
mod digest;
mod figure;
mod lookup;
mod name;
mod release;
mod settings;
mod yaml;

pub use config::Config;
pub use digest::{Digest, Key};
pub use figure::{Length, PerSecond, Size};
pub use lookup::{Access, Lookup, Names};
pub use name::Name;
pub use release::{Account, Grant, Limits, Note, Route, Section, Share, Unconfirmed};
pub use settings::{LogForm, Settings, Sidecar, Timing, Tls};
pub use yaml::{MAX_FILE, parse, read};
