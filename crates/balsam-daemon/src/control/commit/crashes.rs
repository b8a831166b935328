//! The row with the counts of requests whose upstream connection broke, which all daemons share.

use crate::control::edge::rows::{decode_row, encode_row};
use crate::control::edge::{Platform, PlatformError};
use balsam_decide::quarantine::CrashCount;
use balsam_wire::platform::{CRASH_ROW, CrashRow, ReadRequest, TxRequest};
use std::time::Duration;

/// The contents and the version of the shared row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedCrashes {
    /// The version of the row, or 0 if it does not exist.
    pub version: u64,
    /// The counts of all daemons.
    pub counts: Vec<CrashCount>,
}

/// Reads the shared row; returns `None` if the table does not respond or the row is invalid.
pub async fn read_crashes(platform: &impl Platform, time_limit: Duration) -> Option<SharedCrashes> {
    match read_row(platform, time_limit).await {
        Ok(shared) => Some(shared),
        Err(error) => {
            log::debug!("cannot read the crash counts: {error}");
            None
        }
    }
}

/// Writes the shared row if its version is still `shared.version`.
///
/// Returns whether the row was written, or `None` if that is unknown. A lost reply is not followed
/// by a read-back: each daemon changes only its own counts in the row, so that a repeated write
/// counts nothing twice.
pub async fn write_crashes(
    platform: &impl Platform,
    shared: SharedCrashes,
    time_limit: Duration,
) -> Option<bool> {
    match write_row(platform, shared, time_limit).await {
        Ok(committed) => Some(committed),
        Err(error) => {
            log::debug!("cannot write the crash counts: {error}");
            None
        }
    }
}

async fn read_row(
    platform: &impl Platform,
    time_limit: Duration,
) -> Result<SharedCrashes, PlatformError> {
    let request = ReadRequest::of_keys([CRASH_ROW.to_owned()]);
    let Some(row) = platform.read(&request, time_limit).await?.rows.pop() else {
        return Ok(SharedCrashes::default());
    };
    let version = row.version;
    let row: CrashRow = decode_row(row)?;
    let counts = row.counts.into_iter().map(CrashCount::from).collect();
    Ok(SharedCrashes { version, counts })
}

async fn write_row(
    platform: &impl Platform,
    shared: SharedCrashes,
    time_limit: Duration,
) -> Result<bool, PlatformError> {
    let counts = shared.counts.into_iter().map(Into::into).collect();
    let value = encode_row(CRASH_ROW, &CrashRow { counts })?;
    let request = TxRequest::new()
        .with_condition(CRASH_ROW, shared.version)
        .with_write(CRASH_ROW, Some(value));
    Ok(platform.transact(&request, time_limit).await?.committed)
}
