//! Reads of the control state's rows.

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

/// Log rows in one answer; a daemon that is further behind reads again.
const PAGE_ROWS: usize = 512;

/// The wait for one page; only a snapshot's object may take longer.
const PAGE_WAIT: Duration = Duration::from_secs(1);

/// The rows of one read of the control state.
struct Page {
    epoch: Epoch,
    snapshot: Option<SnapshotRow>,
    entries: Vec<LogEntry>,
}

/// Reads the epoch of the table and the changes after `after`, within `wait`.
///
/// The first page decides the epoch that the result confirms, because the freshness right is dated
/// from before this read began.
pub async fn read_table(platform: &impl Platform, after: Epoch, wait: Duration) -> TableResult {
    let until = Instant::now() + wait;
    match read_changes(platform, after, until).await {
        Ok(result) => result,
        Err(error) => {
            // An outage is expected and shows in the view; a damaged row needs an operator.
            let level = match &error {
                PlatformError::Malformed { .. } | PlatformError::Order { .. } => log::Level::Error,
                PlatformError::Silent { .. }
                | PlatformError::Broken { .. }
                | PlatformError::Status { .. } => log::Level::Debug,
            };
            log::log!(level, "table read after epoch {after}: {error}");
            TableResult::Failed
        }
    }
}

async fn read_changes(
    platform: &impl Platform,
    after: Epoch,
    until: Instant,
) -> Result<TableResult, PlatformError> {
    let mut page = read_page(platform, after, until).await?;
    let first_missing = page.entries.first().map(|entry| entry.epoch);
    let gap = page.epoch > after && first_missing != Some(after.next());
    let snapshot = page.snapshot.take();
    let useful = |row: &SnapshotRow| {
        let far_behind = row.epoch.0 > after.0.saturating_add(SNAPSHOT_INTERVAL_EPOCHS);
        row.epoch > after && (gap || far_behind || after == Epoch(0))
    };
    if let Some(row) = snapshot.filter(useful) {
        return read_snapshot(platform, &row, until).await;
    }
    let entries = read_rest(platform, page.epoch, after, page.entries, until).await?;
    Ok(TableResult::Read {
        epoch: page.epoch,
        entries,
    })
}

async fn read_snapshot(
    platform: &impl Platform,
    row: &SnapshotRow,
    until: Instant,
) -> Result<TableResult, PlatformError> {
    let object = platform.get_object(&row.object, remaining(until)).await?;
    let state: ControlState = decode_bytes(&row.object, &object)?;
    let page = read_page(platform, state.epoch, until).await?;
    let entries = read_rest(platform, page.epoch, state.epoch, page.entries, until).await?;
    Ok(TableResult::Snapshot {
        epoch: page.epoch,
        state: Box::new(state),
        entries,
    })
}

/// Reads further pages until the entries end at `epoch`; entries behind a gap are dropped.
async fn read_rest(
    platform: &impl Platform,
    epoch: Epoch,
    after: Epoch,
    mut entries: Vec<LogEntry>,
    until: Instant,
) -> Result<Vec<LogEntry>, PlatformError> {
    loop {
        let whole = entries
            .iter()
            .zip(after.0 + 1..)
            .take_while(|(entry, expected)| entry.epoch.0 == *expected)
            .count();
        entries.truncate(whole);
        let last = entries.last().map_or(after, |entry| entry.epoch);
        if last >= epoch {
            entries.retain(|entry| entry.epoch <= epoch);
            return Ok(entries);
        }
        let next = read_page(platform, last, until).await?.entries;
        if next.first().map(|entry| entry.epoch) != Some(last.next()) {
            return Ok(entries);
        }
        entries.extend(next);
    }
}

async fn read_page(
    platform: &impl Platform,
    after: Epoch,
    until: Instant,
) -> Result<Page, PlatformError> {
    let mut request = ReadRequest::of_keys([CONTROL_ROW.to_owned(), SNAPSHOT_ROW.to_owned()])
        .with_prefix(LOG_PREFIX, Some(log_row_key(after)));
    request.limit = Some(PAGE_ROWS);
    let wait = remaining(until).min(PAGE_WAIT);
    let response = platform.read(&request, wait).await?;
    let mut page = Page {
        epoch: Epoch(0),
        snapshot: None,
        entries: Vec::new(),
    };
    for row in response.rows {
        take_row(&mut page, row)?;
    }
    Ok(page)
}

fn take_row(page: &mut Page, row: TableRow) -> Result<(), PlatformError> {
    match row.key.as_str() {
        CONTROL_ROW => page.epoch = decode_row::<ControlRow>(row)?.epoch,
        SNAPSHOT_ROW => page.snapshot = Some(decode_row(row)?),
        _ => page.entries.push(decode_row(row)?),
    }
    Ok(())
}
