//! The task that owns the quarantine state machine and publishes the fingerprints to refuse.

use super::CrashReporter;
use super::handle::Crash;
use crate::control::commit::SharedCrashes;
use crate::control::decide::ControlHandle;
use crate::control::edge::TableClient;
use crate::request::clock::now;
use balsam_decide::node::{OperatorCommand, View};
use balsam_decide::quarantine::{Quarantine, QuarantineInput, QuarantineOutput, QuarantinePolicy};
use balsam_decide::settings::SettingsTree;
use balsam_types::{Fingerprint, ServiceName, Set, new_set};
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

/// The capacity of the crash report queue.
const QUEUE_CAPACITY: usize = 256;

/// The interval at which expired entries are removed. Their lifetimes are in the order of minutes.
const TICK_PERIOD: Duration = Duration::from_secs(1);

/// The time limit for the control task to confirm that an entry is cleared. The state machine asks
/// again if it does not.
const CLEAR_TIMEOUT: Duration = Duration::from_secs(5);

type Published = watch::Sender<Arc<Set<Fingerprint>>>;

/// Starts the task. Returns the handle for crash reports and the set of fingerprints to refuse.
pub(crate) fn start_quarantine(
    views: &watch::Receiver<Arc<View>>,
    control: &ControlHandle,
    table: &TableClient,
) -> (CrashReporter, watch::Receiver<Arc<Set<Fingerprint>>>) {
    let (crashes, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let (published, refused) = watch::channel(Arc::new(new_set()));
    let task = QuarantineTask {
        machine: Quarantine::new(views.borrow().me),
        views: views.clone(),
        control: control.clone(),
        table: table.clone(),
        published,
        sharing: Sharing::Done,
        exchanges: FuturesUnordered::new(),
    };
    tokio::spawn(task.run(receiver));
    (CrashReporter::new(crashes), refused)
}

/// The state of writing the crash counts to the shared table row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharing {
    /// The shared row holds the counts of this daemon.
    Done,
    /// A read or write of the row is in progress.
    Running,
    /// A read or write of the row is in progress, and the counts have changed since it began.
    RunningStale,
    /// The table did not answer. The next tick tries again.
    Failed,
}

/// The result of an asynchronous table or control operation.
#[derive(Debug)]
enum Exchanged {
    /// The shared row was read, or `None` if the table did not answer.
    Read(Option<SharedCrashes>),
    /// Whether the shared row was written. `Some(false)` means that another daemon had changed it,
    /// and `None` that the table did not answer.
    Written(Option<bool>),
    /// The control task was asked to clear an entry.
    Cleared,
}

struct QuarantineTask {
    machine: Quarantine,
    sharing: Sharing,
    views: watch::Receiver<Arc<View>>,
    control: ControlHandle,
    table: TableClient,
    published: Published,
    exchanges: FuturesUnordered<BoxFuture<'static, Exchanged>>,
}

impl QuarantineTask {
    async fn run(mut self, mut crashes: mpsc::Receiver<Crash>) {
        let mut views = self.views.clone();
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.adopt();
        loop {
            tokio::select! {
                crash = crashes.recv() => match crash {
                    Some(crash) => self.count(crash),
                    None => return,
                },
                Some(exchanged) = self.exchanges.next(), if !self.exchanges.is_empty() => {
                    self.handle_exchange(exchanged);
                }
                _ = ticks.tick() => self.tick(),
                Ok(()) = views.changed() => self.adopt(),
            }
            self.publish();
        }
    }

    fn adopt(&mut self) {
        let view = Arc::clone(&self.views.borrow());
        self.step(QuarantineInput::Policies(policies(&view.state.settings)));
        self.step(QuarantineInput::Adopted(view.state.quarantine.clone()));
    }

    fn count(&mut self, crash: Crash) {
        self.step(QuarantineInput::Crashed {
            service: crash.service,
            fingerprint: crash.fingerprint,
            sent_at: crash.sent_at,
        });
    }

    fn tick(&mut self) {
        self.step(QuarantineInput::Tick);
        if self.sharing == Sharing::Failed {
            self.read_shared_row();
        }
    }

    fn start_sharing(&mut self) {
        match self.sharing {
            Sharing::Done | Sharing::Failed => self.read_shared_row(),
            Sharing::Running | Sharing::RunningStale => self.sharing = Sharing::RunningStale,
        }
    }

    fn read_shared_row(&mut self) {
        self.sharing = Sharing::Running;
        let table = self.table.clone();
        let reading = async move { Exchanged::Read(table.read_crashes().await) };
        self.exchanges.push(Box::pin(reading));
    }

    fn handle_exchange(&mut self, exchanged: Exchanged) {
        match exchanged {
            Exchanged::Read(Some(shared)) => self.merge(shared),
            Exchanged::Read(None) | Exchanged::Written(None) => self.sharing = Sharing::Failed,
            Exchanged::Written(Some(true)) => self.shared(),
            // Another daemon wrote its counts after this daemon read the row.
            Exchanged::Written(Some(false)) => self.read_shared_row(),
            Exchanged::Cleared => {}
        }
    }

    /// Merges the counts of other daemons, and writes the row unless it already holds the merged
    /// counts.
    fn merge(&mut self, shared: SharedCrashes) {
        let SharedCrashes {
            version,
            counts: stored_counts,
        } = shared;
        self.step(QuarantineInput::Row(stored_counts.clone()));
        let counts = self.machine.row();
        if counts == stored_counts {
            self.shared();
            return;
        }
        let table = self.table.clone();
        self.exchanges.push(Box::pin(async move {
            let shared = SharedCrashes { version, counts };
            Exchanged::Written(table.write_crashes(shared).await)
        }));
    }

    fn shared(&mut self) {
        let is_stale = self.sharing == Sharing::RunningStale;
        self.sharing = Sharing::Done;
        if is_stale {
            self.read_shared_row();
        }
    }

    fn step(&mut self, input: QuarantineInput) {
        for output in self.machine.handle(now(), input) {
            match output {
                QuarantineOutput::ShareCounts => self.start_sharing(),
                QuarantineOutput::Commit(entry) => self.control.quarantine(entry),
                QuarantineOutput::Clear { fingerprint } => {
                    let control = self.control.clone();
                    self.exchanges.push(Box::pin(async move {
                        let command = OperatorCommand::ClearQuarantine { fingerprint };
                        // The state machine asks again if the entry is not cleared.
                        drop(control.command(command, CLEAR_TIMEOUT).await);
                        Exchanged::Cleared
                    }));
                }
            }
        }
    }

    fn publish(&self) {
        let view = Arc::clone(&self.views.borrow());
        let adopted = view.state.quarantine.keys().copied();
        let counted = self.machine.row();
        let counted = counted.iter().map(|count| count.fingerprint);
        let time = now();
        let refused: Set<Fingerprint> = adopted
            .chain(counted)
            .filter(|fingerprint| self.machine.is_refused(time, *fingerprint))
            .collect();
        self.published.send_if_modified(|published| {
            let is_new = **published != refused;
            if is_new {
                *published = Arc::new(refused);
            }
            is_new
        });
    }
}

fn policies(settings: &SettingsTree) -> BTreeMap<ServiceName, QuarantinePolicy> {
    let resolve = |service: &ServiceName| {
        let policy = settings.service_policy(service)?;
        let policy = QuarantinePolicy {
            crashes: policy.quarantine_crashes,
            ttl_ms: policy.quarantine_ttl_ms,
        };
        Some((service.clone(), policy))
    };
    settings.services().filter_map(resolve).collect()
}
