//! The task that starts a dispatch task for each upstream and routes requests to it.

use super::task::{DispatchTask, WORK_QUEUE_CAPACITY};
use super::{DispatchWork, Dispatchers};
use crate::control::decide::ControlHandle;
use crate::metrics::Metrics;
use crate::request::message::Failure;
use crate::request::quarantine::CrashReporter;
use balsam_decide::node::View;
use balsam_types::{Fingerprint, Map, NotRunReason, Set, UpstreamName, new_map};
use std::sync::Arc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// The shared handles of all dispatch tasks. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct DispatchContext {
    /// The latest view of the control state.
    pub(crate) views: watch::Receiver<Arc<View>>,
    /// The handle to the control task, which receives load reports.
    pub(crate) control: ControlHandle,
    /// The reporter for requests that broke their upstream connections.
    pub(crate) crashes: CrashReporter,
    /// The fingerprints of quarantined requests, which are refused.
    pub(crate) refused: watch::Receiver<Arc<Set<Fingerprint>>>,
    /// The metric instruments.
    pub(crate) metrics: Metrics,
}

/// Starts the registry, which ends when every handle has been dropped and its requests have
/// completed.
pub(crate) fn start_dispatchers(context: DispatchContext) -> Dispatchers {
    let (sender, work) = mpsc::channel(WORK_QUEUE_CAPACITY);
    let registry = Registry {
        context,
        upstreams: new_map(),
        tasks: JoinSet::new(),
    };
    tokio::spawn(registry.run(work));
    Dispatchers::new(sender)
}

struct Registry {
    context: DispatchContext,
    upstreams: Map<UpstreamName, mpsc::Sender<DispatchWork>>,
    tasks: JoinSet<()>,
}

impl Registry {
    async fn run(mut self, mut work: mpsc::Receiver<DispatchWork>) {
        let mut views = self.context.views.clone();
        loop {
            tokio::select! {
                work = work.recv() => match work {
                    Some(work) => self.route(work),
                    None => break,
                },
                Ok(()) = views.changed() => self.drop_removed(),
                Some(_) = self.tasks.join_next(), if !self.tasks.is_empty() => {}
            }
        }
        self.upstreams.clear();
        while self.tasks.join_next().await.is_some() {}
    }

    fn route(&mut self, work: DispatchWork) {
        let name = work.attempt.request.upstream.clone();
        let is_known = self
            .context
            .views
            .borrow()
            .state
            .upstreams
            .contains_key(&name);
        if !is_known {
            return refuse(work, NotRunReason::NotDispatcher);
        }
        if self
            .upstreams
            .get(&name)
            .is_none_or(mpsc::Sender::is_closed)
        {
            let (sender, receiver) = mpsc::channel(WORK_QUEUE_CAPACITY);
            let task = DispatchTask::new(name.clone(), self.context.clone());
            self.tasks.spawn(task.run(receiver));
            self.upstreams.insert(name.clone(), sender);
        }
        let Some(upstream) = self.upstreams.get(&name) else {
            return;
        };
        match upstream.try_send(work) {
            Ok(()) => {}
            Err(TrySendError::Full(work) | TrySendError::Closed(work)) => {
                refuse(work, NotRunReason::QueueFull);
            }
        }
    }

    /// Closes the queues of upstreams that are no longer in the control state, which ends their
    /// tasks.
    fn drop_removed(&mut self) {
        let view = Arc::clone(&self.context.views.borrow());
        self.upstreams
            .retain(|name, _| view.state.upstreams.contains_key(name));
    }
}

fn refuse(work: DispatchWork, reason: NotRunReason) {
    // The send fails if the requester has disconnected.
    drop(work.reply.send(Err(Failure::NotRun(reason))));
}
