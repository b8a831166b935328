//! The task that owns the retry budgets of this daemon for the requests that it received.

use super::clock::now;
use balsam_decide::entry::EntryRank;
use balsam_decide::node::View;
use balsam_decide::retry::{Attempt, GiveUpReason, Retry, RetryVerdict};
use balsam_decide::settings::SettingsTree;
use balsam_types::{Map, new_map};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// The capacity of the task's message queue.
const QUEUE_CAPACITY: usize = 4_096;

#[derive(Debug)]
enum Message {
    FirstAttempt(EntryRank),
    Verdict {
        attempt: Attempt,
        reply: oneshot::Sender<RetryVerdict>,
    },
}

/// A handle to the retry task.
#[derive(Clone, Debug)]
pub(crate) struct Retries {
    messages: mpsc::Sender<Message>,
}

impl Retries {
    /// Counts the first attempt of a request, which adds to the retry budget of its rank.
    pub(crate) fn first_attempt(&self, rank: EntryRank) {
        // A count that is dropped because the queue is full only makes the budget smaller.
        drop(self.messages.try_send(Message::FirstAttempt(rank)));
    }

    /// Decides whether a failed request may be retried, and after which delay.
    pub(crate) async fn verdict(&self, attempt: Attempt) -> RetryVerdict {
        let give_up = RetryVerdict::GiveUp(GiveUpReason::Budget);
        let (reply, verdict) = oneshot::channel();
        let message = Message::Verdict { attempt, reply };
        if self.messages.try_send(message).is_err() {
            return give_up;
        }
        verdict.await.unwrap_or(give_up)
    }
}

/// Starts the task, which ends when every handle has been dropped. `seed` seeds the jitter of the
/// retry delays.
pub(crate) fn start_retries(views: &watch::Receiver<Arc<View>>, seed: u64) -> Retries {
    let (messages, receiver) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(run(views.clone(), receiver, Retry::new(seed)));
    Retries { messages }
}

async fn run(
    mut views: watch::Receiver<Arc<View>>,
    mut messages: mpsc::Receiver<Message>,
    mut retry: Retry,
) {
    let mut settings = Arc::clone(&views.borrow_and_update().state.settings);
    retry.set_percents(&retry_budget_percents(&settings));
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(Message::FirstAttempt(rank)) => retry.first_attempt(&rank),
                Some(Message::Verdict { attempt, reply }) => {
                    // The receiver is dropped when the request is cancelled.
                    let _ = reply.send(retry.verdict(now(), &attempt));
                }
                None => return,
            },
            Ok(()) = views.changed() => {
                let newest = Arc::clone(&views.borrow_and_update().state.settings);
                if !Arc::ptr_eq(&settings, &newest) {
                    settings = newest;
                    retry.set_percents(&retry_budget_percents(&settings));
                }
            }
        }
    }
}

fn retry_budget_percents(settings: &SettingsTree) -> Map<EntryRank, u64> {
    let mut percents = new_map();
    for (service, rank, policy) in settings.rank_policies() {
        let rank = EntryRank {
            service: service.clone(),
            rank: rank.clone(),
        };
        percents.insert(rank, policy.retry_budget_percent);
    }
    percents
}
