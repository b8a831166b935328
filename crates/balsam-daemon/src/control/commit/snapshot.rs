//! Writes of snapshots of the control state.

use crate::control::edge::rows::{decode_row, encode_bytes, encode_row, remaining};
use crate::control::edge::{Platform, PlatformError};
use balsam_decide::control::ControlState;
use balsam_wire::platform::{ReadRequest, SNAPSHOT_ROW, SnapshotRow, TxRequest, snapshot_object};
use std::time::Duration;
use tokio::time::Instant;

/// Writes a snapshot object of `state` and then row `snapshot`, which refers to it.
///
/// Nothing is written if the row already refers to a snapshot of the same or a later epoch.
///
/// # Errors
///
/// Returns a [`PlatformError`] if a read or write fails; if the row was not written, the previous
/// snapshot stays in use.
pub async fn write_snapshot(
    platform: &impl Platform,
    state: &ControlState,
    time_limit: Duration,
) -> Result<(), PlatformError> {
    let deadline = Instant::now() + time_limit;
    let row = SnapshotRow {
        epoch: state.epoch,
        object: snapshot_object(state.epoch),
    };
    let request = ReadRequest::of_keys([SNAPSHOT_ROW.to_owned()]);
    let existing = platform
        .read(&request, remaining(deadline))
        .await?
        .rows
        .pop();
    let version = existing.as_ref().map_or(0, |row| row.version);
    if let Some(existing) = existing {
        let existing: SnapshotRow = decode_row(existing)?;
        if existing.epoch >= state.epoch {
            return Ok(());
        }
    }
    let content = encode_bytes(&row.object, state)?;
    let object = row.object.clone();
    platform
        .put_object(&object, content, remaining(deadline))
        .await?;
    let request = TxRequest::new()
        .with_condition(SNAPSHOT_ROW, version)
        .with_write(SNAPSHOT_ROW, Some(encode_row(SNAPSHOT_ROW, &row)?));
    platform.transact(&request, remaining(deadline)).await?;
    Ok(())
}
