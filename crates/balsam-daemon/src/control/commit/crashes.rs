//! Counts of requests that broke their upstream connection.

use crate::control::edge::rows::{decode_row, encode_row, remaining};
use crate::control::edge::{Platform, PlatformError};
use balsam_types::{Fingerprint, ServiceName};
use balsam_wire::platform::{CrashRow, ReadRequest, TxRequest, crash_row_key};
use std::time::Duration;
use tokio::time::Instant;

/// Attempts to count a crash against concurrent counts of other dispatchers.
const ATTEMPTS: usize = 5;

/// Adds a crash to the shared count of `fingerprint` and returns the count; `None` if the table did
/// not confirm it.
///
/// A lost answer is not settled: a crash that is counted twice only quarantines a request earlier.
pub async fn count_crash(
    platform: &impl Platform,
    service: &ServiceName,
    fingerprint: Fingerprint,
    wait: Duration,
) -> Option<u32> {
    let until = Instant::now() + wait;
    for _ in 0..ATTEMPTS {
        match try_count(platform, service, fingerprint, until).await {
            Ok(Some(crashes)) => return Some(crashes),
            Ok(None) => {}
            Err(error) => {
                log::debug!("crash count of {fingerprint}: {error}");
                return None;
            }
        }
    }
    None
}

async fn try_count(
    platform: &impl Platform,
    service: &ServiceName,
    fingerprint: Fingerprint,
    until: Instant,
) -> Result<Option<u32>, PlatformError> {
    let key = crash_row_key(fingerprint);
    let request = ReadRequest::of_keys([key.clone()]);
    let former = platform.read(&request, remaining(until)).await?.rows.pop();
    let version = former.as_ref().map_or(0, |row| row.version);
    let former: Option<CrashRow> = former.map(decode_row).transpose()?;
    let crashes = former.map_or(0, |row| row.crashes).saturating_add(1);
    let row = CrashRow {
        service: service.clone(),
        crashes,
    };
    let request = TxRequest::new()
        .with_condition(key.clone(), version)
        .with_write(key.clone(), Some(encode_row(&key, &row)?));
    let response = platform.transact(&request, remaining(until)).await?;
    Ok(response.committed.then_some(crashes))
}
