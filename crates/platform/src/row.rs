//! Rows and the changes to them.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key, unique within its table.
    pub key: String,
    /// Set by the service with each write; never used twice for one key,
    /// also where the row was deleted in between.
    pub version: u64,
    /// Contents.
    pub value: Value,
}

/// What a write expects of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
    /// Anything.
    Any,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Operation {
    /// Table of the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Condition of the write.
    pub expect: Expect,
    /// New contents; `None` deletes the row.
    pub value: Option<Value>,
}
