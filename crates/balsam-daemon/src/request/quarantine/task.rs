//! The task that owns the quarantine machine and publishes the refused requests.

use super::Crashes;
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

/// Crashes that may wait to be counted.
const QUEUE: usize = 256;

/// The period in which entries expire; their time is counted in minutes.
const TICK_PERIOD: Duration = Duration::from_secs(1);

/// The wait for the control task's word that an entry is cleared; it is asked again later.
const CLEAR_WAIT: Duration = Duration::from_secs(5);

type Published = watch::Sender<Arc<Set<Fingerprint>>>;

/// Starts the task and returns the handle for crashes and the refused requests.
pub(crate) fn start_crashes(
    views: &watch::Receiver<Arc<View>>,
    control: &ControlHandle,
    table: &TableClient,
) -> (Crashes, watch::Receiver<Arc<Set<Fingerprint>>>) {
    let (crashes, receiver) = mpsc::channel(QUEUE);
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
    (Crashes::new(crashes), refused)
}

/// How far the counts are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharing {
    /// The shared row is as this daemon would write it.
    Done,
    /// The row is read or written.
    Running,
    /// The row is read or written, and the counts have changed since.
    RunningStale,
    /// The table did not answer; the next tick tries again.
    Failed,
}

/// The result of an exchange.
#[derive(Debug)]
enum Exchanged {
    /// The shared row was read.
    Read(Option<SharedCrashes>),
    /// The shared row was written, unless it had changed.
    Written(Option<bool>),
    /// The end of an entry was reported.
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
                    self.take(exchanged);
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
            self.read_shared();
        }
    }

    fn share(&mut self) {
        match self.sharing {
            Sharing::Done | Sharing::Failed => self.read_shared(),
            Sharing::Running | Sharing::RunningStale => self.sharing = Sharing::RunningStale,
        }
    }

    fn read_shared(&mut self) {
        self.sharing = Sharing::Running;
        let table = self.table.clone();
        let reading = async move { Exchanged::Read(table.read_crashes().await) };
        self.exchanges.push(Box::pin(reading));
    }

    fn take(&mut self, exchanged: Exchanged) {
        match exchanged {
            Exchanged::Read(Some(shared)) => self.merge(shared),
            Exchanged::Read(None) | Exchanged::Written(None) => self.sharing = Sharing::Failed,
            Exchanged::Written(Some(true)) => self.shared(),
            // Another daemon has written its counts since the row was read.
            Exchanged::Written(Some(false)) => self.read_shared(),
            Exchanged::Cleared => {}
        }
    }

    /// Takes over the counts of other daemons and writes the own ones, unless the row has them.
    fn merge(&mut self, shared: SharedCrashes) {
        let SharedCrashes {
            version,
            counts: former,
        } = shared;
        self.step(QuarantineInput::Row(former.clone()));
        let counts = self.machine.row();
        if counts == former {
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
            self.read_shared();
        }
    }

    fn step(&mut self, input: QuarantineInput) {
        for output in self.machine.handle(now(), input) {
            match output {
                QuarantineOutput::ShareCounts => self.share(),
                QuarantineOutput::Commit(entry) => self.control.quarantine(entry),
                QuarantineOutput::Clear { fingerprint } => {
                    let control = self.control.clone();
                    self.exchanges.push(Box::pin(async move {
                        let command = OperatorCommand::ClearQuarantine { fingerprint };
                        // The machine asks again if the entry stays.
                        drop(control.command(command, CLEAR_WAIT).await);
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
