//! The task that owns the keeper of this daemon.

use super::{RoomDelivery, RoomLink};
use crate::clock::{instant_at, now};
use crate::metrics::EdgeMetrics;
use crate::view::View;
use balsam_decide::room::{Keeper, KeeperCounts, KeeperInput};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, sleep_until};

/// Interval at which the gauges of the keeper are set.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// State of the keeper's task.
#[derive(Debug)]
pub(crate) struct KeeperTask {
    keeper: Keeper,
    link: RoomLink,
    /// The counts that were last reported.
    reported: KeeperCounts,
    metrics: EdgeMetrics,
}

impl KeeperTask {
    /// Creates the task of the daemon that receives datagrams at `address`.
    pub(crate) fn new(address: SocketAddr, link: RoomLink, metrics: EdgeMetrics) -> Self {
        Self {
            keeper: Keeper::new(now(), address),
            link,
            reported: KeeperCounts::default(),
            metrics,
        }
    }

    /// Runs until a channel is closed.
    pub(crate) async fn run(
        mut self,
        mut messages: mpsc::Receiver<RoomDelivery>,
        mut views: watch::Receiver<Arc<View>>,
    ) {
        let mut gauges = interval(METRICS_INTERVAL);
        gauges.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wake_at = self.keeper.next_wakeup();
            let wake_up = async {
                match wake_at {
                    Some(at) => sleep_until(instant_at(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                delivery = messages.recv() => match delivery {
                    Some(RoomDelivery { from, message }) =>
                        self.handle(KeeperInput::Message { from, message }),
                    None => return,
                },
                changed = views.changed() => match changed {
                    Ok(()) => {
                        let view = Arc::clone(&views.borrow_and_update());
                        self.adopt(&view);
                    }
                    Err(_) => return,
                },
                () = wake_up => self.handle(KeeperInput::Tick),
                _ = gauges.tick() => self.report(),
            }
        }
    }

    fn report(&mut self) {
        let counts = self.keeper.counts();
        self.metrics.keeper(&self.reported, &counts);
        self.reported = counts;
    }

    fn adopt(&mut self, view: &View) {
        if let Some(cluster) = view.cluster_state() {
            self.handle(KeeperInput::Cluster(cluster));
        }
        self.handle(KeeperInput::Keepers(view.keepers.as_ref().clone()));
    }

    fn handle(&mut self, input: KeeperInput) {
        for output in self.keeper.handle(now(), input) {
            self.link.send(output.to, output.message);
        }
    }
}
