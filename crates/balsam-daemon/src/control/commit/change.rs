//! Commits of changes to the control state.
//!
//! If the reply to a write is lost, the log row is read back to learn whether the write took effect.

use crate::control::edge::rows::{decode_row, encode_row};
use crate::control::edge::{Clock, Platform, PlatformError};
use balsam_decide::node::CommitResult;
use balsam_types::control::LogEntry;
use balsam_types::{AttemptId, TimeMs};
use balsam_wire::platform::{CONTROL_ROW, ControlRow, ReadRequest, TxRequest, log_row_key};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The interval at which the log row is read back while a write has no reply.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(500);

/// The delay before a write is repeated, so that a table that refuses requests at once is not
/// flooded with them.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Commits `entry` if the table is at the epoch before it, and tries until `deadline`.
///
/// A write without a reply may have taken effect, so the log row is read back. If the row has the
/// attempt id of `entry`, the write is committed; if it has another one, another change was
/// committed under this epoch. If the row is absent, the same conditional write is repeated. An
/// entry whose epoch is too high for the table is never committed, and its result is
/// [`CommitResult::Unsettled`].
pub async fn commit_change(
    platform: &impl Platform,
    clock: &impl Clock,
    entry: &LogEntry,
    deadline: TimeMs,
) -> CommitResult {
    let time_limit = Duration::from_millis(deadline.since(clock.now()));
    match timeout(time_limit, write_until_known(platform, entry, time_limit)).await {
        Ok(Ok(result)) => result,
        Ok(Err(error)) => {
            log::error!("cannot encode the change of epoch {}: {error}", entry.epoch);
            CommitResult::Unsettled
        }
        Err(_) => CommitResult::Unsettled,
    }
}

/// Repeats the write until its reply or the log row shows the result.
async fn write_until_known(
    platform: &impl Platform,
    entry: &LogEntry,
    time_limit: Duration,
) -> Result<CommitResult, PlatformError> {
    let request = commit_request(entry)?;
    loop {
        // The write keeps running while the log row is read back, because a slow table may reply
        // late. The read-back gives the result if the reply was lost.
        let written = tokio::select! {
            written = platform.transact(&request, time_limit) => written,
            result = poll_log_row(platform, entry, time_limit) => return Ok(result),
        };
        if matches!(&written, Ok(response) if response.committed) {
            return Ok(CommitResult::Committed);
        }
        if let Some(result) = read_back(platform, entry, time_limit).await {
            return Ok(result);
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reads the log row back at intervals until it shows the result of the commit.
async fn poll_log_row(
    platform: &impl Platform,
    entry: &LogEntry,
    time_limit: Duration,
) -> CommitResult {
    loop {
        sleep(READ_BACK_INTERVAL).await;
        if let Some(result) = read_back(platform, entry, time_limit).await {
            return result;
        }
    }
}

/// Builds the conditional write of `entry`.
///
/// Every commit writes row `control` exactly once and nothing else writes it, so that the version of
/// the row equals its epoch.
fn commit_request(entry: &LogEntry) -> Result<TxRequest, PlatformError> {
    let log_key = log_row_key(entry.epoch);
    let control = ControlRow {
        epoch: entry.epoch,
        attempt: entry.attempt,
    };
    let control_value = encode_row(CONTROL_ROW, &control)?;
    let log_value = encode_row(&log_key, entry)?;
    Ok(TxRequest::new()
        .with_condition(CONTROL_ROW, entry.epoch.0.saturating_sub(1))
        .with_condition(log_key.clone(), 0)
        .with_write(CONTROL_ROW, Some(control_value))
        .with_write(log_key, Some(log_value)))
}

/// Returns the result that the log row shows, or `None` if the row is absent or cannot be read.
async fn read_back(
    platform: &impl Platform,
    entry: &LogEntry,
    time_limit: Duration,
) -> Option<CommitResult> {
    let request = ReadRequest::of_keys([log_row_key(entry.epoch)]);
    let row = platform.read(&request, time_limit).await.ok()?.rows.pop()?;
    let committed_attempt = decode_row::<AttemptField>(row).ok()?.attempt;
    if committed_attempt == entry.attempt {
        return Some(CommitResult::Committed);
    }
    Some(CommitResult::Lost)
}

/// The field of a log row that identifies the commit.
///
/// The other fields are ignored, because a newer version of the daemon may have written them.
#[derive(serde::Deserialize)]
struct AttemptField {
    attempt: AttemptId,
}
