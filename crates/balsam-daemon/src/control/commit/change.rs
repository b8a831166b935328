//! Commits of changes, with lost answers settled by reading the log back.

use crate::control::edge::rows::{decode_row, encode_row};
use crate::control::edge::{Clock, Platform, PlatformError};
use balsam_decide::node::CommitResult;
use balsam_types::control::LogEntry;
use balsam_types::{AttemptId, TimeMs};
use balsam_wire::platform::{CONTROL_ROW, ControlRow, ReadRequest, TxRequest, log_row_key};
use std::time::Duration;
use tokio::time::sleep;

/// The wait for one answer of the table; a lost answer is noticed after it.
const EXCHANGE_WAIT_MS: u64 = 500;

/// The pause after an exchange that failed at once, so that a refusing table is not flooded.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What the log row of the wanted epoch says of an attempt.
enum Settled {
    Own,
    Other,
    Absent,
}

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
    let request = match commit_request(entry) {
        Ok(request) => request,
        Err(error) => {
            log::error!("change of epoch {}: {error}", entry.epoch);
            return CommitResult::Unsettled;
        }
    };
    while let Some(wait) = next_wait(clock, give_up_at) {
        let written = platform.transact(&request, wait).await;
        if matches!(&written, Ok(response) if response.committed) {
            return CommitResult::Committed;
        }
        let Some(wait) = next_wait(clock, give_up_at) else {
            break;
        };
        match read_back(platform, entry, wait).await {
            Ok(Settled::Own) => return CommitResult::Committed,
            Ok(Settled::Other) => return CommitResult::Lost,
            Ok(Settled::Absent) | Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
    CommitResult::Unsettled
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

async fn read_back(
    platform: &impl Platform,
    entry: &LogEntry,
    wait: Duration,
) -> Result<Settled, PlatformError> {
    let request = ReadRequest::of_keys([log_row_key(entry.epoch)]);
    let response = platform.read(&request, wait).await?;
    let Some(row) = response.rows.into_iter().next() else {
        return Ok(Settled::Absent);
    };
    let attempt = decode_row::<AttemptOnly>(row)?.attempt;
    if attempt == entry.attempt {
        return Ok(Settled::Own);
    }
    Ok(Settled::Other)
}

/// The part of a log row that settles a commit; the rest may be of a newer version.
#[derive(serde::Deserialize)]
struct AttemptOnly {
    attempt: AttemptId,
}

fn next_wait(clock: &impl Clock, give_up_at: TimeMs) -> Option<Duration> {
    let left_ms = give_up_at.since(clock.now());
    (left_ms > 0).then(|| Duration::from_millis(left_ms.min(EXCHANGE_WAIT_MS)))
}
