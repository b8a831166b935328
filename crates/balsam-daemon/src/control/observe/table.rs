//! Reads of the control state from the platform's table and object store.

use crate::control::edge::rows::{decode_bytes, decode_row, remaining};
use crate::control::edge::{Platform, PlatformError};
use balsam_decide::control::ControlState;
use balsam_decide::node::TableResult;
use balsam_types::Epoch;
use balsam_types::control::LogEntry;
use balsam_types::timing::SNAPSHOT_INTERVAL_EPOCHS;
use balsam_wire::platform::{
    CONTROL_ROW, ControlRow, LOG_PREFIX, ReadRequest, SNAPSHOT_ROW, SnapshotRow, TableRow,
    log_row_key,
};
use std::time::Duration;
use tokio::time::Instant;

/// The largest number of log rows in one response; further rows are read as further pages.
const PAGE_ROWS: usize = 512;

/// The time limit of one page; only the object of a snapshot may take longer.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// The rows of the control state that one request returned.
struct Page {
    epoch: Epoch,
    snapshot: Option<SnapshotRow>,
    entries: Vec<LogEntry>,
}

/// Reads the epoch of the table and the log entries after `after`, within `time_limit`.
///
/// The result confirms the epoch of the first page: the freshness lease runs from the start of the
/// read, and later pages may show changes that were committed afterwards.
pub async fn read_table(
    platform: &impl Platform,
    after: Epoch,
    time_limit: Duration,
) -> TableResult {
    let deadline = Instant::now() + time_limit;
    match read_changes(platform, after, deadline).await {
        Ok(result) => result,
        Err(error) => {
            // Outages are expected, and the view shows them. An invalid row needs an operator.
            let level = match &error {
                PlatformError::Malformed { .. } | PlatformError::Order { .. } => log::Level::Error,
                PlatformError::Timeout { .. }
                | PlatformError::Transport { .. }
                | PlatformError::Status { .. } => log::Level::Debug,
            };
            log::log!(level, "cannot read the table after epoch {after}: {error}");
            TableResult::Failed
        }
    }
}

async fn read_changes(
    platform: &impl Platform,
    after: Epoch,
    deadline: Instant,
) -> Result<TableResult, PlatformError> {
    let mut page = read_page(platform, after, deadline).await?;
    let first_epoch = page.entries.first().map(|entry| entry.epoch);
    let has_gap = page.epoch > after && first_epoch != Some(after.next());
    let snapshot = page.snapshot.take();
    let should_load = |row: &SnapshotRow| {
        let far_behind = row.epoch.0 > after.0.saturating_add(SNAPSHOT_INTERVAL_EPOCHS);
        row.epoch > after && (has_gap || far_behind || after == Epoch(0))
    };
    if let Some(row) = snapshot.filter(should_load) {
        return read_snapshot(platform, &row, deadline).await;
    }
    let entries =
        read_remaining_entries(platform, page.epoch, after, page.entries, deadline).await?;
    Ok(TableResult::Read {
        epoch: page.epoch,
        entries,
    })
}

async fn read_snapshot(
    platform: &impl Platform,
    row: &SnapshotRow,
    deadline: Instant,
) -> Result<TableResult, PlatformError> {
    let object = platform
        .get_object(&row.object, remaining(deadline))
        .await?;
    let state: ControlState = decode_bytes(&row.object, &object)?;
    let page = read_page(platform, state.epoch, deadline).await?;
    let entries =
        read_remaining_entries(platform, page.epoch, state.epoch, page.entries, deadline).await?;
    Ok(TableResult::Snapshot {
        epoch: page.epoch,
        state: Box::new(state),
        entries,
    })
}

/// Reads further pages until the entries reach `epoch`, and drops all entries after a gap in the
/// epochs.
async fn read_remaining_entries(
    platform: &impl Platform,
    epoch: Epoch,
    after: Epoch,
    mut entries: Vec<LogEntry>,
    deadline: Instant,
) -> Result<Vec<LogEntry>, PlatformError> {
    loop {
        let contiguous = entries
            .iter()
            .zip(after.0 + 1..)
            .take_while(|(entry, expected)| entry.epoch.0 == *expected)
            .count();
        entries.truncate(contiguous);
        let last = entries.last().map_or(after, |entry| entry.epoch);
        if last >= epoch {
            entries.retain(|entry| entry.epoch <= epoch);
            return Ok(entries);
        }
        let next = read_page(platform, last, deadline).await?.entries;
        if next.first().map(|entry| entry.epoch) != Some(last.next()) {
            return Ok(entries);
        }
        entries.extend(next);
    }
}

async fn read_page(
    platform: &impl Platform,
    after: Epoch,
    deadline: Instant,
) -> Result<Page, PlatformError> {
    let mut request = ReadRequest::of_keys([CONTROL_ROW.to_owned(), SNAPSHOT_ROW.to_owned()])
        .with_prefix(LOG_PREFIX, Some(log_row_key(after)));
    request.limit = Some(PAGE_ROWS);
    let time_limit = remaining(deadline).min(PAGE_TIMEOUT);
    let response = platform.read(&request, time_limit).await?;
    let mut page = Page {
        epoch: Epoch(0),
        snapshot: None,
        entries: Vec::new(),
    };
    for row in response.rows {
        add_row(&mut page, row)?;
    }
    Ok(page)
}

fn add_row(page: &mut Page, row: TableRow) -> Result<(), PlatformError> {
    match row.key.as_str() {
        CONTROL_ROW => page.epoch = decode_row::<ControlRow>(row)?.epoch,
        SNAPSHOT_ROW => page.snapshot = Some(decode_row(row)?),
        _ => page.entries.push(decode_row(row)?),
    }
    Ok(())
}
