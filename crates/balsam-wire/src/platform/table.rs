//! Conditional transactions and ordered reads.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row's version that a transaction depends on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The version that the row must have; 0 if it must be absent.
    pub version: u64,
}

/// A write of one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WriteBody {
    /// The row's key.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<Value>,
}

/// Writes that take effect together if all conditions hold, and not at all otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TxRequest {
    /// The conditions.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// The writes.
    #[serde(default)]
    pub writes: Vec<WriteBody>,
}

impl TxRequest {
    /// Makes a transaction without conditions and writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition on a row's version; version 0 requires the row to be absent.
    #[must_use]
    pub fn with_condition(mut self, key: impl Into<String>, version: u64) -> Self {
        let key = key.into();
        self.conditions.push(Condition { key, version });
        self
    }

    /// Adds a write, or a deletion if `value` is `None`.
    #[must_use]
    pub fn with_write(mut self, key: impl Into<String>, value: Option<Value>) -> Self {
        let key = key.into();
        self.writes.push(WriteBody { key, value });
        self
    }
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxResponse {
    /// Whether the writes took effect.
    pub committed: bool,
    /// The rows whose conditions did not hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<String>,
}

/// A read of rows by key or by prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Rows to read by key; absent rows are left out of the answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<String>,
    /// Reads the rows whose keys begin with this text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// With `prefix`, reads only rows whose keys are greater than this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
    /// With `prefix`, the largest number of rows by prefix; `None` for the server's own limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

impl ReadRequest {
    /// Makes a read of `keys`.
    pub fn of_keys(keys: impl IntoIterator<Item = String>) -> Self {
        Self {
            keys: keys.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Adds the rows whose keys begin with `prefix` and are greater than `after`.
    #[must_use]
    pub fn with_prefix(mut self, prefix: impl Into<String>, after: Option<String>) -> Self {
        self.prefix = Some(prefix.into());
        self.after = after;
        self
    }
}

/// One row of a read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The row's key.
    pub key: String,
    /// The number of times the key was written, deletions included.
    pub version: u64,
    /// The row's value.
    pub value: Value,
}

/// The rows of a read in key order, all as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// The rows.
    pub rows: Vec<TableRow>,
}
