//! Executes the decisions of the leader. Each call is a task of its own that reports its result to
//! the control task.

use super::ControlInput;
use crate::clock::now;
use crate::order::OrderRequest;
use crate::store::{
    ClusterRowKey, Page, RangesRow, RowError, StoreChange, StoreClient, StoreError, StoreRequest,
    StoreTable, WriteOutcome, encode_row,
};
use balsam_decide::crashes::{Refused, TrackerInput};
use balsam_decide::keys::{Commit, CommitResult, Order, OrderResult, RowVersion};
use balsam_types::StoreEra;
use log::error;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Channels for calls and for their results.
#[derive(Clone, Debug)]
pub(super) struct Executor {
    pub(super) store: StoreClient,
    pub(super) orders: mpsc::Sender<OrderRequest>,
    pub(super) control: mpsc::Sender<ControlInput>,
    /// Number of assignments that fit into one row.
    pub(super) row_assignments_max: usize,
}

impl Executor {
    /// Starts the write of a commit.
    pub(super) fn commit(&self, commit: Commit) {
        let executor = self.clone();
        actix_rt::spawn(async move {
            let result = executor.write(commit).await;
            executor.report(ControlInput::Committed(result)).await;
        });
    }

    /// Starts the write of the row of refused requests. It succeeds only while `lead` is the
    /// version of the leader row.
    pub(super) fn write_refused(&self, lead: RowVersion, refused: Vec<Refused>) {
        let executor = self.clone();
        actix_rt::spawn(async move {
            let is_done = executor.write_refused_row(lead, &refused).await;
            let written = TrackerInput::RowWritten { is_done };
            executor.report(ControlInput::Watch(written)).await;
        });
    }

    /// Starts a read of all cluster rows.
    pub(super) fn reload(&self) {
        let executor = self.clone();
        actix_rt::spawn(async move {
            let asked_at = now();
            let table = StoreTable::Cluster;
            let read = executor
                .store
                .call(|reply| StoreRequest::Read { table, reply })
                .await;
            executor
                .report(ControlInput::Reloaded { asked_at, read })
                .await;
        });
    }

    /// Starts a read of the leader row.
    pub(super) fn confirm(&self) {
        let executor = self.clone();
        actix_rt::spawn(async move {
            let asked_at = now();
            let key = ClusterRowKey::Lead.text();
            let read = executor
                .store
                .call(|reply| StoreRequest::ReadRow { key, reply })
                .await;
            let read = read.ok().map(|page| (row_version(&page), page.store_now));
            executor
                .report(ControlInput::Confirmed { asked_at, read })
                .await;
        });
    }

    /// Starts sending an order to an upstream.
    pub(super) fn order(&self, order: Order, health_check: Option<Arc<str>>) {
        let executor = self.clone();
        actix_rt::spawn(async move {
            let id = order.id;
            let (reply, response) = oneshot::channel();
            let request = OrderRequest {
                order,
                health_check,
                reply,
            };
            let result = match executor.orders.send(request).await {
                Ok(()) => response.await.unwrap_or(OrderResult::NoAnswer),
                Err(_) => OrderResult::NotSent,
            };
            executor.report(ControlInput::Ordered { id, result }).await;
        });
    }

    async fn report(&self, input: ControlInput) {
        // The control task may have ended, in which case nobody needs the result.
        drop(self.control.send(input).await);
    }

    async fn write_refused_row(&self, lead: RowVersion, refused: &Vec<Refused>) -> bool {
        let key = ClusterRowKey::Refused.text();
        let value = match encode_row(&key, refused) {
            Ok(value) => value,
            Err(failure) => {
                error!("row of refused requests not written: {failure}");
                return false;
            }
        };
        let written = self.store.call(|reply| StoreRequest::Write {
            expected: leads(lead),
            rows: vec![(key, value)],
            removed: Vec::new(),
            reply,
        });
        matches!(written.await, Ok(WriteOutcome::Done(_)))
    }

    /// Writes a commit to the store. Without a response it is unknown whether the write was
    /// applied.
    async fn write(&self, commit: Commit) -> CommitResult {
        let (expected, rows) = match encode(&commit, self.row_assignments_max) {
            Ok(encoded) => encoded,
            Err(failure) => {
                error!("commit not sent: {failure}");
                return CommitResult::Failed;
            }
        };
        let written = self.store.call(|reply| StoreRequest::Write {
            expected,
            rows,
            removed: Vec::new(),
            reply,
        });
        match written.await {
            Ok(WriteOutcome::Done(version)) => CommitResult::Done(RowVersion(version)),
            Ok(WriteOutcome::Conflict) => CommitResult::Conflict,
            Err(failure) if failure.is_not_applied() => CommitResult::Failed,
            Err(StoreError::Stopped) => CommitResult::Failed,
            Err(_) => CommitResult::Unknown,
        }
    }
}

type Expected = Vec<(Arc<str>, u64)>;
type Row = (Arc<str>, bytes::Bytes);

fn encode(commit: &Commit, row_assignments_max: usize) -> Result<(Expected, Vec<Row>), RowError> {
    let lead_key = ClusterRowKey::Lead.text();
    match commit {
        Commit::TakeLead { expected, leader } => {
            let value = encode_row(&lead_key, leader)?;
            let term = ClusterRowKey::Term(expected.era()).text();
            Ok((
                vec![(Arc::clone(&lead_key), expected.0)],
                vec![(lead_key, value.clone()), (term, value)],
            ))
        }
        Commit::Assign {
            lead,
            expected,
            ranges,
        } => {
            let parts = RangesRow::split(ranges, expected.0, row_assignments_max);
            let rows = parts.iter().enumerate().map(|(part, row)| {
                let key = ClusterRowKey::Ranges(ranges.service.clone(), part as u16).text();
                Ok((Arc::clone(&key), encode_row(&key, row)?))
            });
            let rows = rows.collect::<Result<Vec<Row>, RowError>>()?;
            let first = ClusterRowKey::Ranges(ranges.service.clone(), 0).text();
            let mut expected_rows = leads(*lead);
            expected_rows.push((first, expected.0));
            Ok((expected_rows, rows))
        }
    }
}

/// Returns the condition that this daemon is still the leader that was elected with this version.
///
/// The row of the term makes the condition fail in a restored store that has lost the election and
/// has given out its version again: no later leader writes the row of an earlier era.
fn leads(lead: RowVersion) -> Expected {
    let term = ClusterRowKey::Term(lead.era()).text();
    vec![(ClusterRowKey::Lead.text(), lead.0), (term, lead.0)]
}

/// Returns the version of the only row of a page, which is that of a missing row if there is none.
fn row_version(page: &Page) -> RowVersion {
    let versions = page.changes.iter().filter_map(|change| match change {
        StoreChange::Cluster {
            version,
            value: Some(_),
            ..
        } => Some(*version),
        _ => None,
    });
    let absent = RowVersion::absent(StoreEra::of(page.version));
    versions.max().map_or(absent, RowVersion)
}
