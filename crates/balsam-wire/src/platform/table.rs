//! Conditional transactions on the platform's table, and reads in key order.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row version that a transaction depends on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key of the row.
    pub key: String,
    /// The required row version; 0 requires the row to be absent.
    pub version: u64,
}

/// A write of one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WriteBody {
    /// The key of the row.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<Value>,
}

/// A transaction: all writes take effect if all conditions hold, and none otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TxRequest {
    /// The conditions, all of which must hold.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// The writes to apply.
    #[serde(default)]
    pub writes: Vec<WriteBody>,
}

impl TxRequest {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition on a row version; version 0 requires the row to be absent.
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

/// The response to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxResponse {
    /// Whether the writes took effect.
    pub committed: bool,
    /// The keys of the rows whose conditions did not hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<String>,
}

/// A read of rows by key or by prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Rows to read by key; absent rows are omitted from the response.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<String>,
    /// Reads the rows whose keys have this prefix.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// With `prefix`, reads only rows whose keys are greater than this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
    /// With `prefix`, the maximum number of rows to return; `None` uses the limit of the server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

impl ReadRequest {
    /// Creates a read of the rows with `keys`.
    pub fn of_keys(keys: impl IntoIterator<Item = String>) -> Self {
        Self {
            keys: keys.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Adds the rows whose keys have this prefix and are greater than `after`.
    #[must_use]
    pub fn with_prefix(mut self, prefix: impl Into<String>, after: Option<String>) -> Self {
        self.prefix = Some(prefix.into());
        self.after = after;
        self
    }
}

/// A row in a read response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The key of the row.
    pub key: String,
    /// The number of writes to the key so far, including deletions.
    pub version: u64,
    /// The value of the row.
    pub value: Value,
}

/// The rows of a read in key order, from a consistent snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// The rows that were read.
    pub rows: Vec<TableRow>,
}
