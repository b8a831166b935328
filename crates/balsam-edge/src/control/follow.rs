//! Follows one table of the store by long polling, as long as the control task asks for it.

use super::{ControlInput, TableUpdate};
use crate::clock::now;
use crate::store::{Page, StoreClient, StoreError, StoreRequest, StoreTable};
use balsam_decide::feed::{FeedSource, FeedTable};
use balsam_types::TimeMs;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// How long to wait after a change before the next poll, so that one call returns a burst of
/// changes, in milliseconds.
///
/// Changes come in bursts, and the platform charges for each call. The departure of an upstream
/// must be known within two seconds, which bounds this time.
const BATCH_WINDOW_MS: u64 = 250;

/// Pause after a response without changes to a call that the store was not to hold back, in
/// milliseconds. Without it a daemon that lacks a change would ask for it continually.
const NO_CHANGES_PAUSE_MS: u64 = 100;

/// Delay after the first failed call, in milliseconds. It doubles with each further failure up to
/// `REFUSED_BACKOFF_MAX_MS`.
const BACKOFF_MIN_MS: u64 = 100;

/// Upper limit on the delay between calls that the store refuses, in milliseconds. The platform
/// charges for each of these calls.
const REFUSED_BACKOFF_MAX_MS: u64 = 500;

/// Delay between calls while the store cannot be reached, in milliseconds.
///
/// A daemon must know of missed changes within three seconds of the end of a network partition.
/// Entries that expired are kept for two of these seconds, which leaves little time for a retry.
const UNREACHABLE_RETRY_MS: u64 = 100;

/// Whether to follow a table in the store, and from which version on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FollowParams {
    pub(super) source: FeedSource,
    /// The newest version of the table that the daemon has from any source, once it was read.
    pub(super) seen: Option<u64>,
    /// How long the store may delay its response while nothing changes, in milliseconds.
    pub(super) wait_ms: u64,
    /// Number of updates of the table that the control task has handled.
    pub(super) handled: u64,
}

impl Default for FollowParams {
    fn default() -> Self {
        Self {
            // The control task decides when the first read is due.
            source: FeedSource::Leader,
            seen: None,
            wait_ms: 0,
            handled: 0,
        }
    }
}

/// Follows a table until the control task ends.
#[derive(Debug)]
pub(super) struct TableFollower {
    table: FeedTable,
    store: StoreClient,
    params: watch::Receiver<FollowParams>,
    version: Option<u64>,
    /// The version after which the store cannot return the changes. While the daemon knows nothing
    /// newer, the whole table must be read.
    lost_after: Option<u64>,
    /// Number of updates that were sent to the control task.
    sent: u64,
    backoff_ms: u64,
    has_failed: bool,
    /// Whether the last response to a call for changes contained any.
    had_changes: Option<bool>,
    /// Whether the store was asked to hold the last call back while nothing changed.
    was_held: bool,
}

impl TableFollower {
    /// Creates a follower that has read nothing.
    pub(super) const fn new(
        table: FeedTable,
        store: StoreClient,
        params: watch::Receiver<FollowParams>,
    ) -> Self {
        Self {
            table,
            store,
            params,
            version: None,
            lost_after: None,
            sent: 0,
            backoff_ms: BACKOFF_MIN_MS,
            has_failed: false,
            had_changes: None,
            was_held: false,
        }
    }

    /// Runs until the control task ends.
    pub(super) async fn run(mut self, control: mpsc::Sender<ControlInput>) {
        while let Some((asked_at, update)) = self.next().await {
            self.has_failed = matches!(update, TableUpdate::Failed(_));
            let input = ControlInput::Store {
                table: self.table,
                asked_at,
                update,
            };
            let sent = control.send(input).await;
            self.sent += 1;
            if sent.is_err() {
                return;
            }
        }
    }

    /// Waits for the next update of the table, and returns it with the time at which it was asked
    /// for. Returns `None` once the control task or the store's task has ended.
    async fn next(&mut self) -> Option<(TimeMs, TableUpdate)> {
        match self.had_changes.take() {
            Some(true) => sleep(Duration::from_millis(BATCH_WINDOW_MS)).await,
            Some(false) if !self.was_held => {
                sleep(Duration::from_millis(NO_CHANGES_PAUSE_MS)).await;
            }
            _ => {}
        }
        let current = self.next_params().await?;
        // The table may be known from a snapshot of the leader without having been read here.
        let after = current.seen.max(self.version);
        let after = after.filter(|after| self.lost_after.is_none_or(|lost| lost < *after));
        // After a failure, poll without waiting, so that the daemon learns that the store responds
        // again before the next change.
        let wait_ms = if self.has_failed { 0 } else { current.wait_ms };
        self.was_held = wait_ms > 0;
        let asked_at = now();
        let update = match after {
            None => self.read().await.map(TableUpdate::Listed),
            Some(after) => self.follow(after, wait_ms).await.map(TableUpdate::Changed),
        };
        match update {
            Ok(update) => {
                self.backoff_ms = BACKOFF_MIN_MS;
                if let TableUpdate::Changed(page) = &update {
                    self.had_changes = Some(!page.changes.is_empty());
                }
                if let TableUpdate::Listed(page) | TableUpdate::Changed(page) = &update {
                    self.version = Some(page.version);
                    self.lost_after = None;
                }
                Some((asked_at, update))
            }
            Err(StoreError::Stopped) => None,
            // The same call would fail again.
            Err(error @ (StoreError::HistoryLost | StoreError::AnswerTooLong { .. }))
                if after.is_some() =>
            {
                self.lost_after = after;
                Some((asked_at, TableUpdate::ChangesLost(error)))
            }
            Err(error) => {
                self.back_off(&error).await;
                Some((asked_at, TableUpdate::Failed(error)))
            }
        }
    }

    /// Waits until the table is to be read from the store, as the control task decides after it has
    /// handled the last update.
    async fn next_params(&mut self) -> Option<FollowParams> {
        let sent = self.sent;
        let next_params = self
            .params
            .wait_for(|current| current.handled >= sent && current.source == FeedSource::Store);
        next_params.await.ok().map(|current| *current)
    }

    async fn back_off(&mut self, error: &StoreError) {
        if *error == StoreError::Unreachable {
            sleep(Duration::from_millis(UNREACHABLE_RETRY_MS)).await;
            return;
        }
        sleep(Duration::from_millis(self.backoff_ms)).await;
        self.backoff_ms = (self.backoff_ms * 2).min(REFUSED_BACKOFF_MAX_MS);
    }

    async fn read(&self) -> Result<Page, StoreError> {
        let table = StoreTable::from(self.table);
        self.store
            .call(|reply| StoreRequest::Read { table, reply })
            .await
    }

    async fn follow(&self, after: u64, wait_ms: u64) -> Result<Page, StoreError> {
        let table = StoreTable::from(self.table);
        let follow = |reply| StoreRequest::Follow {
            table,
            after,
            wait_ms,
            reply,
        };
        self.store.call(follow).await
    }
}
