//! An in-memory table of order rows.

#![allow(dead_code, reason = "each test file uses its own part of this module")]

use balsam_decide::orders::{ClaimRow, OrderKey, ReadRow, RecordedOutcome, RowWrite, TxResult};
use balsam_types::{MemberName, OrderId, ResponseHead, ServiceName};
use std::collections::BTreeMap;

/// The rows with their versions.
#[derive(Debug, Default)]
pub struct OrderTable {
    rows: BTreeMap<OrderKey, (u64, ClaimRow)>,
}

impl OrderTable {
    /// Applies a conditional transaction completely or not at all.
    pub fn apply(&mut self, writes: &[RowWrite]) -> TxResult {
        let version = |key| self.rows.get(key).map_or(0, |row| row.0);
        let conflicts: Vec<OrderKey> = writes
            .iter()
            .filter(|write| version(&write.key) != write.version)
            .map(|write| write.key.clone())
            .collect();
        if !conflicts.is_empty() {
            return TxResult::Conflicts(conflicts);
        }
        for write in writes {
            let row = (write.version + 1, write.row.clone());
            self.rows.insert(write.key.clone(), row);
        }
        TxResult::Committed
    }

    /// Reads the rows of `keys`.
    pub fn read(&self, keys: &[OrderKey]) -> Vec<ReadRow> {
        let read = |key: &OrderKey| ReadRow {
            key: key.clone(),
            row: self.row(key).cloned(),
        };
        keys.iter().map(read).collect()
    }

    /// Returns one row.
    pub fn row(&self, key: &OrderKey) -> Option<&(u64, ClaimRow)> {
        self.rows.get(key)
    }
}

/// Creates the key of an order.
pub fn order_key(id: &str) -> OrderKey {
    OrderKey {
        service: ServiceName::new("orders").expect("service name"),
        member: MemberName::new("m").expect("member name"),
        id: OrderId::new(id).expect("order id"),
    }
}

/// Creates the outcome of an answered order.
pub fn answered(body: &[u8]) -> RecordedOutcome {
    RecordedOutcome::Answered {
        head: ResponseHead {
            status: 200,
            headers: Vec::new(),
            body_length_bytes: None,
        },
        body: Some(body.to_vec()),
    }
}
