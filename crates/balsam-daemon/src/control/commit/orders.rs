//! Rows that hold the claims and recorded outcomes of orders.

use crate::control::edge::rows::{decode_row, encode_row};
use crate::control::edge::{OrderSnafu, Platform, PlatformError};
use balsam_decide::orders::{ClaimRow, OrderKey, ReadRow, RowWrite, TxResult};
use balsam_types::Map;
use balsam_wire::platform::{OrderRow, ReadRequest, TxRequest, order_row_key, parse_order_row_key};
use snafu::ResultExt;
use std::time::Duration;

/// Writes order rows in one conditional transaction.
///
/// A lost reply gives [`TxResult::Unsettled`]; the state machine of orders then reads the rows back.
pub async fn write_orders(
    platform: &impl Platform,
    writes: Vec<RowWrite>,
    time_limit: Duration,
) -> TxResult {
    let request = match order_request(writes) {
        Ok(request) => request,
        Err(error) => {
            log::error!("cannot encode the order rows: {error}");
            return TxResult::Unsettled;
        }
    };
    match platform.transact(&request, time_limit).await {
        Ok(response) if response.committed => TxResult::Committed,
        Ok(response) => {
            let keys = response.conflicts.iter();
            TxResult::Conflicts(keys.filter_map(|key| parse_order_row_key(key)).collect())
        }
        Err(error) => {
            log::debug!("cannot write the order rows: {error}");
            TxResult::Unsettled
        }
    }
}

/// Reads the rows of `keys`; returns `None` if the table does not respond or a row is invalid.
pub async fn read_orders(
    platform: &impl Platform,
    keys: Vec<OrderKey>,
    time_limit: Duration,
) -> Option<Vec<ReadRow>> {
    match read_rows(platform, keys, time_limit).await {
        Ok(rows) => Some(rows),
        Err(error) => {
            log::debug!("cannot read the order rows: {error}");
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

async fn read_rows(
    platform: &impl Platform,
    keys: Vec<OrderKey>,
    time_limit: Duration,
) -> Result<Vec<ReadRow>, PlatformError> {
    let request = ReadRequest::of_keys(keys.iter().map(order_row_key));
    let response = platform.read(&request, time_limit).await?;
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
