//! The task that owns the memory budget of the daemon.

use super::MemoryClient;
use super::message::{HolderLink, LimitedClient, MemoryMessage, ReleaseMessage, ReserveReply};
use crate::clock::{instant_at, now};
use crate::metrics::EdgeMetrics;
use balsam_decide::memory::{
    HolderId, MemoryBudget, MemoryCounts, MemoryInput, MemoryOutput, MemoryTerms, Stall,
};
use balsam_types::{Map, new_map};
use serde::Serialize;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep_until};

/// Capacity of the channel to the task. A reservation that finds it full is refused.
const CHANNEL_CAPACITY: usize = 1_024;

/// Interval at which the metrics are set.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Log entry for a holder that was told to give way.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename = "memory-reclaimed")]
struct ReclaimedLogEntry {
    stalled: &'static str,
    bytes: u64,
    held_bytes: u64,
    waiting: u64,
}

/// A holder as the task knows it.
#[derive(Debug)]
struct KnownHolder {
    /// The reservation that has not been answered.
    reply: Option<ReserveReply>,
    /// Tells the holder to give way.
    give_way: mpsc::Sender<()>,
    /// The other end, until the first grant hands it out.
    unclaimed: Option<HolderLink>,
}

/// State of the task.
#[derive(Debug)]
pub(crate) struct MemoryTask {
    budget: MemoryBudget,
    holders: Map<HolderId, KnownHolder>,
    next_holder: u64,
    releases: mpsc::UnboundedSender<ReleaseMessage>,
    reported: MemoryCounts,
    metrics: EdgeMetrics,
}

impl MemoryTask {
    /// Starts the task on the current thread. Returns its handle.
    pub(crate) fn start(terms: MemoryTerms, metrics: EdgeMetrics) -> MemoryClient {
        let (messages, inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (releases, inbox_of_releases) = mpsc::unbounded_channel();
        let task = Self {
            budget: MemoryBudget::new(terms),
            holders: new_map(),
            next_holder: 0,
            releases,
            reported: MemoryCounts::default(),
            metrics,
        };
        actix_rt::spawn(task.run(inbox, inbox_of_releases));
        MemoryClient::Limited(LimitedClient { messages })
    }

    async fn run(
        mut self,
        mut messages: mpsc::Receiver<MemoryMessage>,
        mut releases: mpsc::UnboundedReceiver<ReleaseMessage>,
    ) {
        let mut gauges = interval(METRICS_INTERVAL);
        gauges.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wake_at = self.budget.next_wakeup();
            let wake_up = async {
                match wake_at {
                    Some(at) => sleep_until(instant_at(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // Releases come first, so that no reservation is refused for bytes that are free.
                biased;
                Some(release) = releases.recv() => self.release(release),
                message = messages.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = wake_up => self.handle(MemoryInput::Tick),
                _ = gauges.tick() => self.report(),
            }
        }
    }

    fn report(&mut self) {
        let counts = self.budget.counts();
        self.metrics.memory(&self.reported, &counts);
        self.reported = counts;
    }

    fn release(&mut self, release: ReleaseMessage) {
        match release {
            ReleaseMessage::Release { holder, bytes } => {
                self.handle(MemoryInput::Release { holder, bytes });
            }
            ReleaseMessage::End { holder } => self.end(holder),
        }
    }

    fn end(&mut self, holder: HolderId) {
        self.holders.remove(&holder);
        self.handle(MemoryInput::End { holder });
    }

    fn take(&mut self, message: MemoryMessage) {
        match message {
            MemoryMessage::Reserve {
                holder,
                bytes,
                purpose,
                reply,
            } => {
                let holder = holder.unwrap_or_else(|| self.add_holder());
                if let Some(known) = self.holders.get_mut(&holder) {
                    known.reply = Some(reply);
                }
                self.handle(MemoryInput::Reserve {
                    holder,
                    bytes,
                    purpose,
                });
            }
            MemoryMessage::Progress { holder, stall } => {
                self.handle(MemoryInput::Progress { holder, stall });
            }
        }
    }

    fn add_holder(&mut self) -> HolderId {
        let id = HolderId(self.next_holder);
        self.next_holder += 1;
        let (give_way, requests) = mpsc::channel(1);
        let link = HolderLink {
            id,
            give_way: Some(requests),
            releases: Some(self.releases.clone()),
        };
        let known = KnownHolder {
            reply: None,
            give_way,
            unclaimed: Some(link),
        };
        self.holders.insert(id, known);
        id
    }

    fn handle(&mut self, input: MemoryInput) {
        for output in self.budget.handle(now(), input) {
            match output {
                MemoryOutput::Grant(id) => self.grant(id),
                MemoryOutput::Refuse(id, refusal) => {
                    let known = self.holders.get_mut(&id);
                    if let Some(reply) = known.and_then(|known| known.reply.take()) {
                        // The exchange may have been cancelled.
                        drop(reply.send(Err(refusal)));
                    }
                    self.forget_unclaimed(id);
                }
                MemoryOutput::GiveWay {
                    holder,
                    stall,
                    bytes,
                } => self.reclaim(holder, stall, bytes),
            }
        }
    }

    fn grant(&mut self, id: HolderId) {
        let Some(known) = self.holders.get_mut(&id) else {
            return;
        };
        let link = known.unclaimed.take().unwrap_or(HolderLink {
            id,
            give_way: None,
            releases: None,
        });
        if let Some(reply) = known.reply.take() {
            // If the exchange was cancelled, its first link is dropped, which ends the holder. Bytes
            // granted to a holder that has its link, and no longer waits, end with the holder.
            drop(reply.send(Ok(link)));
        }
    }

    /// Ends a holder that was refused before it held anything.
    fn forget_unclaimed(&mut self, id: HolderId) {
        let unclaimed = self.holders.get_mut(&id);
        // Dropping the link sends the message that ends the holder.
        drop(unclaimed.and_then(|known| known.unclaimed.take()));
    }

    fn reclaim(&mut self, id: HolderId, stall: Stall, bytes: u64) {
        let Some(known) = self.holders.get(&id) else {
            return;
        };
        // A full channel holds the same request already.
        let _ = known.give_way.try_send(());
        let counts = self.budget.counts();
        balsam_log::decision(&ReclaimedLogEntry {
            stalled: match stall {
                Stall::Body => "body",
                Stall::Answer => "answer",
            },
            bytes,
            held_bytes: counts.held_bytes,
            waiting: counts.waiting,
        });
    }
}
