//! What daemons and table say of a running cluster.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use balsam_standins::harness::cluster::{Cluster, wait_until};
use balsam_types::Epoch;
use balsam_types::control::{Change, LogEntry};
use balsam_wire::operator::{EpochsResponse, IdText, UpstreamBody};
use balsam_wire::platform::{LOG_PREFIX, ReadRequest};
use std::time::Duration;

/// Long against every time that the design page names.
const DEADLINE: Duration = Duration::from_secs(30);
const ROWS: usize = 1_000;

/// Returns the incarnation of a daemon.
pub async fn incarnation(cluster: &Cluster, daemon: usize) -> IdText {
    epochs(cluster, daemon).await.expect("answered").me
}

/// Returns what a daemon says of the adopted epochs; `None` if it does not answer.
pub async fn epochs(cluster: &Cluster, daemon: usize) -> Option<EpochsResponse> {
    let operator = cluster.daemons[daemon].operator().ok()?;
    operator.epochs().await.ok()
}

/// Returns the incarnation of the placer as a daemon sees it.
pub async fn placer(cluster: &Cluster, seen_by: usize) -> Option<IdText> {
    let operator = cluster.daemons[seen_by].operator().ok()?;
    let daemons = operator.daemons().await.ok()?.daemons;
    let placer = daemons.iter().find(|daemon| daemon.placer)?;
    Some(placer.incarnation)
}

/// Returns the number of the daemon that has `incarnation`.
pub async fn number_of(cluster: &Cluster, incarnation: IdText) -> usize {
    for daemon in 0..cluster.daemons.len() {
        if epochs(cluster, daemon)
            .await
            .is_some_and(|epochs| epochs.me == incarnation)
        {
            return daemon;
        }
    }
    panic!("no daemon has incarnation {incarnation}");
}

/// Returns what a daemon says of an upstream.
pub async fn upstream(cluster: &Cluster, seen_by: usize, upstream: usize) -> Option<UpstreamBody> {
    let name = &cluster.plan.upstreams[upstream].name;
    let operator = cluster.daemons[seen_by].operator().ok()?;
    let upstreams = operator.upstreams().await.ok()?.upstreams;
    upstreams.into_iter().find(|found| found.name == *name)
}

/// Waits until a daemon's view of an upstream meets `condition`.
pub async fn wait_upstream(
    cluster: &Cluster,
    seen_by: usize,
    number: usize,
    awaited: &'static str,
    condition: impl Fn(&UpstreamBody) -> bool,
) -> Duration {
    let reached = || async { upstream(cluster, seen_by, number).await.filter(&condition) };
    let waited = wait_until(awaited, DEADLINE, reached).await;
    waited.expect(awaited).1
}

/// Reads the whole change log from the table.
pub async fn change_log(cluster: &Cluster) -> Vec<LogEntry> {
    let mut entries = Vec::new();
    let mut after = None;
    loop {
        let mut read = ReadRequest::default().with_prefix(LOG_PREFIX, after.take());
        read.limit = Some(ROWS);
        let rows = cluster.platform.read(&read).await.expect("answered").rows;
        after = rows.last().map(|row| row.key.clone());
        let count = rows.len();
        let decoded = rows
            .into_iter()
            .map(|row| serde_json::from_value(row.value));
        entries.extend(decoded.map(|entry: Result<LogEntry, _>| entry.expect("a log entry")));
        if count < ROWS {
            return entries;
        }
    }
}

/// Returns the epochs of placement changes whose author was not the placer when they committed.
pub fn stale_changes(log: &[LogEntry]) -> Vec<Epoch> {
    let mut placer = None;
    let mut stale = Vec::new();
    for entry in log {
        match &entry.change {
            Change::PlacerTaken { incarnation } => placer = Some(*incarnation),
            Change::UnitsMoving { .. }
            | Change::UnitsOwned { .. }
            | Change::HotKeysSplit { .. }
            | Change::HotKeysMerged { .. }
            | Change::DispatchersAssigned { .. }
                if placer != Some(entry.author) =>
            {
                stale.push(entry.epoch);
            }
            _ => {}
        }
    }
    stale
}
