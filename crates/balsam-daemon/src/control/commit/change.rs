//! Commits of changes, with lost answers settled by reading the log back.

use crate::control::edge::rows::{decode_row, encode_row};
use crate::control::edge::{Clock, Platform, PlatformError};
use balsam_decide::node::CommitResult;
use balsam_types::control::LogEntry;
use balsam_types::{AttemptId, TimeMs};
use balsam_wire::platform::{CONTROL_ROW, ControlRow, ReadRequest, TxRequest, log_row_key};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The period of read-backs while a write is not answered.
const READ_BACK_PERIOD: Duration = Duration::from_millis(500);

/// The pause after an exchange that failed at once, so that a refusing table is not flooded.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Commits `entry` if the table is at the epoch before it.
///
/// A write without an answer may have taken effect, so the log row is read back: the own attempt
/// id proves the commit, another one proves its failure, and an absent row allows the same
/// conditional write again. A write ahead of the table is never committed and ends unsettled.
pub async fn commit_change(
    platform: &impl Platform,
    clock: &impl Clock,
    entry: &LogEntry,
    give_up_at: TimeMs,
) -> CommitResult {
    let wait = Duration::from_millis(give_up_at.since(clock.now()));
    match timeout(wait, settle(platform, entry, wait)).await {
        Ok(Ok(result)) => result,
        Ok(Err(error)) => {
            log::error!("change of epoch {}: {error}", entry.epoch);
            CommitResult::Unsettled
        }
        Err(_) => CommitResult::Unsettled,
    }
}

/// Writes until the log row shows how the commit ended.
async fn settle(
    platform: &impl Platform,
    entry: &LogEntry,
    wait: Duration,
) -> Result<CommitResult, PlatformError> {
    let request = commit_request(entry)?;
    loop {
        // The write is not cut off early: a slow table answers late, and a read-back settles the
        // commit if the answer was lost.
        let written = tokio::select! {
            written = platform.transact(&request, wait) => written,
            result = watch_log(platform, entry, wait) => return Ok(result),
        };
        if matches!(&written, Ok(response) if response.committed) {
            return Ok(CommitResult::Committed);
        }
        if let Some(result) = read_back(platform, entry, wait).await {
            return Ok(result);
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Reads the log row back again and again until it shows how the commit ended.
async fn watch_log(platform: &impl Platform, entry: &LogEntry, wait: Duration) -> CommitResult {
    loop {
        sleep(READ_BACK_PERIOD).await;
        if let Some(result) = read_back(platform, entry, wait).await {
            return result;
        }
    }
}

/// Every commit writes row `control` exactly once and nothing else writes it, so its version is its
/// epoch.
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

/// Returns what the log row shows of the commit; `None` if it is absent or cannot be read.
async fn read_back(
    platform: &impl Platform,
    entry: &LogEntry,
    wait: Duration,
) -> Option<CommitResult> {
    let request = ReadRequest::of_keys([log_row_key(entry.epoch)]);
    let row = platform.read(&request, wait).await.ok()?.rows.pop()?;
    let found = decode_row::<AttemptOnly>(row).ok()?.attempt;
    if found == entry.attempt {
        return Some(CommitResult::Committed);
    }
    Some(CommitResult::Lost)
}

/// The part of a log row that settles a commit; the rest may be of a newer version.
#[derive(serde::Deserialize)]
struct AttemptOnly {
    attempt: AttemptId,
}
