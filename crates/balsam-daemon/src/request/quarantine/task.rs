//! The task that owns the quarantine machine and publishes the refused requests.

use super::Crashes;
use super::handle::Crash;
use crate::control::decide::ControlHandle;
use crate::control::edge::TableClient;
use crate::request::clock::now;
use balsam_decide::node::{OperatorCommand, View};
use balsam_decide::quarantine::{
    CrashCount, Quarantine, QuarantineInput, QuarantineOutput, QuarantinePolicy,
};
use balsam_decide::settings::SettingsTree;
use balsam_types::{Fingerprint, Incarnation, ServiceName, Set, new_set};
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

/// Stands for all other daemons in the shared count, which does not name them.
const OTHERS: Incarnation = Incarnation(0);

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
        me: views.borrow().me,
        views: views.clone(),
        control: control.clone(),
        table: table.clone(),
        published,
        exchanges: FuturesUnordered::new(),
    };
    tokio::spawn(task.run(receiver));
    (Crashes::new(crashes), refused)
}

struct QuarantineTask {
    machine: Quarantine,
    me: Incarnation,
    views: watch::Receiver<Arc<View>>,
    control: ControlHandle,
    table: TableClient,
    published: Published,
    exchanges: FuturesUnordered<BoxFuture<'static, Option<QuarantineInput>>>,
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
                Some(input) = self.exchanges.next(), if !self.exchanges.is_empty() => {
                    if let Some(input) = input {
                        self.step(input);
                    }
                }
                _ = ticks.tick() => self.step(QuarantineInput::Tick),
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
        let Crash {
            service,
            fingerprint,
            sent_at,
        } = crash;
        let before = self.own_count(fingerprint);
        self.step(QuarantineInput::Crashed {
            service: service.clone(),
            fingerprint,
            sent_at,
        });
        let own = self.own_count(fingerprint);
        if own == before {
            return;
        }
        let table = self.table.clone();
        self.exchanges.push(Box::pin(async move {
            let shared = table.count_crash(service.clone(), fingerprint).await?;
            Some(QuarantineInput::Row(vec![CrashCount {
                fingerprint,
                service,
                by: OTHERS,
                crashes: shared.saturating_sub(own),
            }]))
        }));
    }

    fn own_count(&self, fingerprint: Fingerprint) -> u32 {
        let row = self.machine.row();
        let own = |count: &&CrashCount| count.fingerprint == fingerprint && count.by == self.me;
        row.iter().find(own).map_or(0, |count| count.crashes)
    }

    fn step(&mut self, input: QuarantineInput) {
        for output in self.machine.handle(now(), input) {
            match output {
                // Each crash is added to the shared count when it is reported.
                QuarantineOutput::ShareCounts => {}
                QuarantineOutput::Commit(entry) => self.control.quarantine(entry),
                QuarantineOutput::Clear { fingerprint } => {
                    let control = self.control.clone();
                    self.exchanges.push(Box::pin(async move {
                        let command = OperatorCommand::ClearQuarantine { fingerprint };
                        // The machine asks again if the entry stays.
                        drop(control.command(command, CLEAR_WAIT).await);
                        None
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
