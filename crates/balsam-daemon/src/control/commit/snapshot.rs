//! Snapshots of the control state.

use crate::control::edge::rows::{decode_row, encode_bytes, encode_row, remaining};
use crate::control::edge::{Platform, PlatformError};
use balsam_decide::control::ControlState;
use balsam_wire::platform::{ReadRequest, SNAPSHOT_ROW, SnapshotRow, TxRequest, snapshot_object};
use std::time::Duration;
use tokio::time::Instant;

/// Writes the object of `state` and then row `snapshot`, unless the row names a newer one.
///
/// # Errors
///
/// Returns a [`PlatformError`]; the former snapshot then stays in use.
pub async fn write_snapshot(
    platform: &impl Platform,
    state: &ControlState,
    wait: Duration,
) -> Result<(), PlatformError> {
    let until = Instant::now() + wait;
    let row = SnapshotRow {
        epoch: state.epoch,
        object: snapshot_object(state.epoch),
    };
    let request = ReadRequest::of_keys([SNAPSHOT_ROW.to_owned()]);
    let former = platform.read(&request, remaining(until)).await?.rows.pop();
    let version = former.as_ref().map_or(0, |row| row.version);
    if let Some(former) = former {
        let former: SnapshotRow = decode_row(former)?;
        if former.epoch >= state.epoch {
            return Ok(());
        }
    }
    let content = encode_bytes(&row.object, state)?;
    let object = row.object.clone();
    platform
        .put_object(&object, content, remaining(until))
        .await?;
    let request = TxRequest::new()
        .with_condition(SNAPSHOT_ROW, version)
        .with_write(SNAPSHOT_ROW, Some(encode_row(SNAPSHOT_ROW, &row)?));
    platform.transact(&request, remaining(until)).await?;
    Ok(())
}
