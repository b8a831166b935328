//! The transactional table.

use balsam_types::Map;
use balsam_wire::platform::{
    Condition, ReadRequest, ReadResponse, TableRow, TxRequest, TxResponse, WriteBody,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::Bound;

/// The largest number of rows of one read by prefix.
const READ_LIMIT: usize = 1_000;

#[derive(Debug)]
struct Row {
    version: u64,
    value: Value,
}

/// Rows in key order.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    /// The versions of deleted rows, so that a row that is written again continues its count.
    deleted: Map<String, u64>,
}

impl Table {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies all writes of `tx` if all of its conditions hold, and none otherwise.
    pub fn transact(&mut self, tx: TxRequest) -> TxResponse {
        let conflicts: Vec<String> = tx
            .conditions
            .into_iter()
            .filter(|condition| !self.holds(condition))
            .map(|condition| condition.key)
            .collect();
        let committed = conflicts.is_empty();
        if committed {
            for write in tx.writes {
                self.write(write);
            }
        }
        TxResponse {
            committed,
            conflicts,
        }
    }

    /// Returns the wanted rows in key order.
    pub fn read(&self, request: &ReadRequest) -> ReadResponse {
        let mut found: BTreeMap<&str, &Row> = BTreeMap::new();
        for key in &request.keys {
            if let Some((key, row)) = self.rows.get_key_value(key) {
                found.insert(key, row);
            }
        }
        if let Some(prefix) = &request.prefix {
            found.extend(self.rows_of_prefix(prefix, request));
        }
        let row = |(key, row): (&str, &Row)| TableRow {
            key: key.to_owned(),
            version: row.version,
            value: row.value.clone(),
        };
        ReadResponse {
            rows: found.into_iter().map(row).collect(),
        }
    }

    fn rows_of_prefix<'a>(
        &'a self,
        prefix: &'a str,
        request: &'a ReadRequest,
    ) -> impl Iterator<Item = (&'a str, &'a Row)> {
        let start = match request.after.as_deref() {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let limit = request.limit.unwrap_or(READ_LIMIT).min(READ_LIMIT);
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .map(|(key, row)| (key.as_str(), row))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .take(limit)
    }

    fn holds(&self, condition: &Condition) -> bool {
        let version = self.rows.get(&condition.key).map_or(0, |row| row.version);
        version == condition.version
    }

    fn write(&mut self, write: WriteBody) {
        let WriteBody { key, value } = write;
        match value {
            Some(value) => {
                let former = self.deleted.remove(&key);
                let former = former.or_else(|| self.rows.get(&key).map(|row| row.version));
                let version = former.unwrap_or(0) + 1;
                self.rows.insert(key, Row { version, value });
            }
            None => {
                if let Some(row) = self.rows.remove(&key) {
                    self.deleted.insert(key, row.version + 1);
                }
            }
        }
    }
}
