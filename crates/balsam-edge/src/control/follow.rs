//! Follows one table of the store.

use super::{ControlInput, Followed};
use crate::store::{Page, StoreError, StoreRequest, StoreTable};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// How long the store holds back its answer while nothing changes, in milliseconds.
///
/// Each answer is a priced call; a dead connection is noticed by its keep-alive probes sooner.
const FOLLOW_WAIT_MS: u64 = 25_000;

/// How long further changes are gathered after one, in milliseconds.
///
/// Changes come in bursts, and each answer is a priced call of every daemon. Leaving upstreams must
/// be known within two seconds.
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

/// Follows `table` until the control task ends.
pub(super) async fn run(
    table: StoreTable,
    store: mpsc::Sender<StoreRequest>,
    control: mpsc::Sender<ControlInput>,
) {
    let mut version = None;
    let mut pause_ms = PAUSE_MS;
    let mut is_lost = false;
    let mut is_busy = false;
    loop {
        if std::mem::take(&mut is_busy) {
            sleep(Duration::from_millis(GATHER_MS)).await;
        }
        // After a failure the store's return must be known before the next change is.
        let wait_ms = if is_lost { 0 } else { FOLLOW_WAIT_MS };
        let news = match version {
            None => read(table, &store).await.map(Followed::Listed),
            Some(after) => follow(table, after, wait_ms, &store)
                .await
                .map(Followed::Changed),
        };
        let news = match news {
            Ok(Followed::Listed(page) | Followed::Changed(page)) if page.version == 0 => {
                // An empty store has no version to follow from.
                sleep(Duration::from_millis(PAUSE_MS)).await;
                Followed::Listed(page)
            }
            Ok(news) => {
                pause_ms = PAUSE_MS;
                is_busy = matches!(&news, Followed::Changed(page) if !page.changes.is_empty());
                if let Followed::Listed(page) | Followed::Changed(page) = &news {
                    version = Some(page.version);
                }
                news
            }
            Err(StoreError::Stopped) => return,
            Err(error) => {
                if error == StoreError::HistoryLost {
                    version = None;
                } else if matches!(error, StoreError::Unreachable) {
                    sleep(Duration::from_millis(UNREACHED_PAUSE_MS)).await;
                } else {
                    sleep(Duration::from_millis(pause_ms)).await;
                    pause_ms = (pause_ms * 2).min(REFUSED_PAUSE_MAX_MS);
                }
                Followed::Failed(error)
            }
        };
        let is_quiet = matches!(&news, Followed::Changed(page) if page.changes.is_empty());
        let was_lost = std::mem::replace(&mut is_lost, matches!(news, Followed::Failed(_)));
        let is_told = was_lost || !is_quiet;
        if is_told
            && control
                .send(ControlInput::Store(table, news))
                .await
                .is_err()
        {
            return;
        }
    }
}

async fn read(table: StoreTable, store: &mpsc::Sender<StoreRequest>) -> Result<Page, StoreError> {
    call(store, |reply| StoreRequest::Read { table, reply }).await
}

async fn follow(
    table: StoreTable,
    after: u64,
    wait_ms: u64,
    store: &mpsc::Sender<StoreRequest>,
) -> Result<Page, StoreError> {
    call(store, |reply| StoreRequest::Follow {
        table,
        after,
        wait_ms,
        reply,
    })
    .await
}

/// Sends a call to the store's task and waits for its end.
pub(super) async fn call<T>(
    store: &mpsc::Sender<StoreRequest>,
    request: impl FnOnce(oneshot::Sender<Result<T, StoreError>>) -> StoreRequest,
) -> Result<T, StoreError> {
    let (reply, answer) = oneshot::channel();
    if store.send(request(reply)).await.is_err() {
        return Err(StoreError::Stopped);
    }
    answer.await.unwrap_or(Err(StoreError::Stopped))
}
