//! The shared row of requests that broke their upstream connection.

use crate::control::edge::rows::{decode_row, encode_row};
use crate::control::edge::{Platform, PlatformError};
use balsam_decide::quarantine::CrashCount;
use balsam_wire::platform::{CRASH_ROW, CrashRow, ReadRequest, TxRequest};
use std::time::Duration;

/// The shared row as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedCrashes {
    /// The version of the row; 0 if it is absent.
    pub version: u64,
    /// The counts of all daemons.
    pub counts: Vec<CrashCount>,
}

/// Reads the shared row; `None` if the table does not answer or the row cannot be interpreted.
pub async fn read_crashes(platform: &impl Platform, wait: Duration) -> Option<SharedCrashes> {
    match try_read(platform, wait).await {
        Ok(shared) => Some(shared),
        Err(error) => {
            log::debug!("crash counts: {error}");
            None
        }
    }
}

/// Writes the shared row if it is unchanged since `shared.version`; returns whether it was, or
/// `None` if the table did not answer.
///
/// A lost answer is not settled: each daemon writes only its own counts, so that writing them again
/// counts nothing twice.
pub async fn write_crashes(
    platform: &impl Platform,
    shared: SharedCrashes,
    wait: Duration,
) -> Option<bool> {
    match try_write(platform, shared, wait).await {
        Ok(committed) => Some(committed),
        Err(error) => {
            log::debug!("crash counts: {error}");
            None
        }
    }
}

async fn try_read(
    platform: &impl Platform,
    wait: Duration,
) -> Result<SharedCrashes, PlatformError> {
    let request = ReadRequest::of_keys([CRASH_ROW.to_owned()]);
    let Some(row) = platform.read(&request, wait).await?.rows.pop() else {
        return Ok(SharedCrashes::default());
    };
    let version = row.version;
    let row: CrashRow = decode_row(row)?;
    let counts = row.counts.into_iter().map(CrashCount::from).collect();
    Ok(SharedCrashes { version, counts })
}

async fn try_write(
    platform: &impl Platform,
    shared: SharedCrashes,
    wait: Duration,
) -> Result<bool, PlatformError> {
    let counts = shared.counts.into_iter().map(Into::into).collect();
    let value = encode_row(CRASH_ROW, &CrashRow { counts })?;
    let request = TxRequest::new()
        .with_condition(CRASH_ROW, shared.version)
        .with_write(CRASH_ROW, Some(value));
    Ok(platform.transact(&request, wait).await?.committed)
}
