//! Carries out what the leader decides; each call is a task that reports its end.

use super::ControlInput;
use crate::clock::now;
use crate::order::OrderRequest;
use crate::store::{
    ClusterRowKey, Page, RangesRow, RowError, StoreChange, StoreClient, StoreError, StoreRequest,
    StoreTable, WriteOutcome, encode_row,
};
use balsam_decide::crashes::{Refused, TrackerInput};
use balsam_decide::keys::{Commit, CommitResult, Order, OrderResult, RowVersion};
use log::error;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Where calls go and where their ends are told.
#[derive(Clone, Debug)]
pub(super) struct Actor {
    pub(super) store: StoreClient,
    pub(super) orders: mpsc::Sender<OrderRequest>,
    pub(super) control: mpsc::Sender<ControlInput>,
    /// Assignments that fit into one row.
    pub(super) row_assignments_max: usize,
}

impl Actor {
    /// Starts a commit.
    pub(super) fn commit(&self, commit: Commit) {
        let actor = self.clone();
        actix_rt::spawn(async move {
            let result = actor.write(commit).await;
            actor.report(ControlInput::Committed(result)).await;
        });
    }

    /// Starts writing the row of refused requests, as the leader of a version.
    pub(super) fn write_refused(&self, lead: RowVersion, refused: Vec<Refused>) {
        let actor = self.clone();
        actix_rt::spawn(async move {
            let is_done = actor.write_refused_row(lead, &refused).await;
            let written = TrackerInput::RowWritten { is_done };
            actor.report(ControlInput::Watch(written)).await;
        });
    }

    /// Starts reading all own rows.
    pub(super) fn reload(&self) {
        let actor = self.clone();
        actix_rt::spawn(async move {
            let table = StoreTable::Cluster;
            let read = actor
                .store
                .call(|reply| StoreRequest::Read { table, reply })
                .await;
            actor.report(ControlInput::Reloaded(read)).await;
        });
    }

    /// Starts reading the row of the leader.
    pub(super) fn confirm(&self) {
        let actor = self.clone();
        actix_rt::spawn(async move {
            let asked_at = now();
            let key = ClusterRowKey::Lead.text();
            let read = actor
                .store
                .call(|reply| StoreRequest::ReadRow { key, reply })
                .await;
            let version = read.ok().map(|page| own_version(&page));
            actor
                .report(ControlInput::Confirmed { asked_at, version })
                .await;
        });
    }

    /// Sends an order.
    pub(super) fn order(&self, order: Order) {
        let actor = self.clone();
        actix_rt::spawn(async move {
            let id = order.id;
            let (reply, answer) = oneshot::channel();
            let result = match actor.orders.send(OrderRequest { order, reply }).await {
                Ok(()) => answer.await.unwrap_or(OrderResult::NoAnswer),
                Err(_) => OrderResult::NotSent,
            };
            actor.report(ControlInput::Ordered { id, result }).await;
        });
    }

    async fn report(&self, input: ControlInput) {
        // Without a control task nobody is left to be told.
        drop(self.control.send(input).await);
    }

    async fn write_refused_row(&self, lead: RowVersion, refused: &Vec<Refused>) -> bool {
        let key = ClusterRowKey::Refused.text();
        let value = match encode_row(&key, refused) {
            Ok(value) => value,
            Err(failure) => {
                error!("row not written: {failure}");
                return false;
            }
        };
        let written = self.store.call(|reply| StoreRequest::Write {
            expected: vec![(ClusterRowKey::Lead.text(), lead.0)],
            rows: vec![(key, value)],
            removed: Vec::new(),
            reply,
        });
        matches!(written.await, Ok(WriteOutcome::Done(_)))
    }

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
            Ok((
                vec![(Arc::clone(&lead_key), expected.0)],
                vec![(lead_key, value)],
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
            Ok((vec![(lead_key, lead.0), (first, expected.0)], rows))
        }
    }
}

/// Returns the version of the only row of a page, or 0 if there is none.
fn own_version(page: &Page) -> RowVersion {
    let versions = page.changes.iter().filter_map(|change| match change {
        StoreChange::Cluster {
            version,
            value: Some(_),
            ..
        } => Some(*version),
        _ => None,
    });
    RowVersion(versions.max().unwrap_or(0))
}
