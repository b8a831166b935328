//! Follows one table of the store while the control task wants it.

use super::{ControlInput, Followed};
use crate::store::{Page, StoreClient, StoreError, StoreRequest, StoreTable};
use balsam_decide::feed::{FEED_PEER_LONG_POLL_MS, FeedSource, FeedTable};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// How long further changes are gathered after one, in milliseconds.
///
/// Changes come in bursts, and each answer is a priced call. Leaving upstreams must be known within
/// two seconds.
const GATHER_MS: u64 = 250;

/// The pause after the first failed call in milliseconds; it doubles up to the greatest.
const PAUSE_MS: u64 = 100;

/// The greatest pause between calls that the store refuses, in milliseconds; each is priced.
const REFUSED_PAUSE_MAX_MS: u64 = 500;

/// The pause between calls that do not reach the store, in milliseconds.
///
/// A daemon must know what it missed within three seconds of the end of a partition, two of which
/// entries that lapsed are kept.
const UNREACHED_PAUSE_MS: u64 = 100;

/// Whether a table is to be followed, and from where on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FollowOrder {
    pub(super) source: FeedSource,
    /// The version up to which the table is known, once it was read.
    pub(super) seen: Option<u64>,
    /// How long the store holds back its answer while nothing changes, in milliseconds.
    pub(super) wait_ms: u64,
}

impl Default for FollowOrder {
    fn default() -> Self {
        Self {
            source: FeedSource::Store,
            seen: None,
            wait_ms: FEED_PEER_LONG_POLL_MS,
        }
    }
}

/// Follows a table until the control task ends.
#[derive(Debug)]
pub(super) struct Follower {
    table: FeedTable,
    store: StoreClient,
    orders: watch::Receiver<FollowOrder>,
    version: Option<u64>,
    pause_ms: u64,
    is_lost: bool,
    /// Whether the last answer brought changes.
    is_busy: bool,
}

impl Follower {
    /// Makes a follower that has read nothing.
    pub(super) const fn new(
        table: FeedTable,
        store: StoreClient,
        orders: watch::Receiver<FollowOrder>,
    ) -> Self {
        Self {
            table,
            store,
            orders,
            version: None,
            pause_ms: PAUSE_MS,
            is_lost: false,
            is_busy: false,
        }
    }

    /// Runs until the control task ends.
    pub(super) async fn run(mut self, control: mpsc::Sender<ControlInput>) {
        while let Some(news) = self.next().await {
            self.is_lost = matches!(news, Followed::Failed(_));
            let told = control.send(ControlInput::Store(self.table, news)).await;
            if told.is_err() {
                return;
            }
        }
    }

    /// Waits for news of the table; `None` once nobody wants them any more.
    async fn next(&mut self) -> Option<Followed> {
        if std::mem::take(&mut self.is_busy) {
            sleep(Duration::from_millis(GATHER_MS)).await;
        }
        let order = self.wanted().await?;
        let after = self
            .version
            .map(|known| order.seen.map_or(known, |seen| seen.max(known)));
        // After a failure the store's return must be known before the next change is.
        let wait_ms = if self.is_lost { 0 } else { order.wait_ms };
        let news = match after {
            None => self.read().await.map(Followed::Listed),
            Some(after) => self.follow(after, wait_ms).await.map(Followed::Changed),
        };
        match news {
            Ok(news) => {
                self.pause_ms = PAUSE_MS;
                self.is_busy = matches!(&news, Followed::Changed(page) if !page.changes.is_empty());
                if let Followed::Listed(page) | Followed::Changed(page) = &news {
                    self.version = Some(page.version);
                }
                Some(news)
            }
            Err(StoreError::Stopped) => None,
            Err(error) => {
                self.pause(&error).await;
                Some(Followed::Failed(error))
            }
        }
    }

    /// Waits until the table is to be followed.
    async fn wanted(&mut self) -> Option<FollowOrder> {
        let wanted = self
            .orders
            .wait_for(|order| order.source == FeedSource::Store);
        wanted.await.ok().map(|order| *order)
    }

    async fn pause(&mut self, error: &StoreError) {
        match error {
            StoreError::HistoryLost => self.version = None,
            StoreError::Unreachable => sleep(Duration::from_millis(UNREACHED_PAUSE_MS)).await,
            _ => {
                sleep(Duration::from_millis(self.pause_ms)).await;
                self.pause_ms = (self.pause_ms * 2).min(REFUSED_PAUSE_MAX_MS);
            }
        }
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
