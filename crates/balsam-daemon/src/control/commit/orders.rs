//! Rows of order claims and outcomes.

use crate::control::edge::rows::{decode_row, encode_row};
use crate::control::edge::{OrderSnafu, Platform, PlatformError};
use balsam_decide::orders::{ClaimRow, OrderKey, ReadRow, RowWrite, TxResult};
use balsam_types::Map;
use balsam_wire::platform::{OrderRow, ReadRequest, TxRequest, order_row_key, parse_order_row_key};
use snafu::ResultExt;
use std::time::Duration;

/// Writes order rows in one conditional transaction.
///
/// A lost answer is reported as unsettled; the orders machine reads the rows back.
pub async fn write_orders(
    platform: &impl Platform,
    writes: Vec<RowWrite>,
    wait: Duration,
) -> TxResult {
    let request = match order_request(writes) {
        Ok(request) => request,
        Err(error) => {
            log::error!("order rows: {error}");
            return TxResult::Unsettled;
        }
    };
    match platform.transact(&request, wait).await {
        Ok(response) if response.committed => TxResult::Committed,
        Ok(response) => {
            let keys = response.conflicts.iter();
            TxResult::Conflicts(keys.filter_map(|key| parse_order_row_key(key)).collect())
        }
        Err(error) => {
            log::debug!("order rows: {error}");
            TxResult::Unsettled
        }
    }
}

/// Reads the rows of `keys`; `None` if the table does not answer or a row cannot be interpreted.
pub async fn read_orders(
    platform: &impl Platform,
    keys: Vec<OrderKey>,
    wait: Duration,
) -> Option<Vec<ReadRow>> {
    match try_read(platform, keys, wait).await {
        Ok(rows) => Some(rows),
        Err(error) => {
            log::debug!("order rows: {error}");
            None
        }
    }
}

fn order_request(writes: Vec<RowWrite>) -> Result<TxRequest, PlatformError> {
    let mut request = TxRequest::new();
    for write in writes {
        let key = order_row_key(&write.key);
        let value = Some(encode_row(&key, &OrderRow::from(write.row))?);
        request = request
            .with_condition(key.clone(), write.version)
            .with_write(key, value);
    }
    Ok(request)
}

async fn try_read(
    platform: &impl Platform,
    keys: Vec<OrderKey>,
    wait: Duration,
) -> Result<Vec<ReadRow>, PlatformError> {
    let request = ReadRequest::of_keys(keys.iter().map(order_row_key));
    let response = platform.read(&request, wait).await?;
    let mut found: Map<String, (u64, ClaimRow)> = balsam_types::new_map();
    for row in response.rows {
        let (key, version) = (row.key.clone(), row.version);
        let row: OrderRow = decode_row(row)?;
        let row = ClaimRow::try_from(row).with_context(|_| OrderSnafu {
            subject: key.clone(),
        })?;
        found.insert(key, (version, row));
    }
    let read_row = |key: OrderKey| ReadRow {
        row: found.remove(&order_row_key(&key)),
        key,
    };
    Ok(keys.into_iter().map(read_row).collect())
}
