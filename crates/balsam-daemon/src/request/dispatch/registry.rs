//! The task that starts a dispatch task for each upstream and hands requests to it.

use super::task::{DispatchTask, WORK_QUEUE};
use super::{DispatchWork, Dispatchers};
use crate::control::decide::ControlHandle;
use crate::metrics::Metrics;
use crate::request::message::Failure;
use crate::request::quarantine::Crashes;
use balsam_decide::node::View;
use balsam_types::{Fingerprint, Map, NotRunReason, Set, UpstreamName, new_map};
use std::sync::Arc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// What every dispatch task uses; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct DispatchContext {
    /// The newest view.
    pub(crate) views: watch::Receiver<Arc<View>>,
    /// Takes load reports.
    pub(crate) control: ControlHandle,
    /// Takes broken connections.
    pub(crate) crashes: Crashes,
    /// The quarantined requests.
    pub(crate) refused: watch::Receiver<Arc<Set<Fingerprint>>>,
    /// The instruments.
    pub(crate) metrics: Metrics,
}

/// Starts the registry; it ends, after its requests, when every handle is dropped.
pub(crate) fn start_dispatchers(context: DispatchContext) -> Dispatchers {
    let (sender, work) = mpsc::channel(WORK_QUEUE);
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
                    Some(work) => self.hand_on(work),
                    None => break,
                },
                Ok(()) = views.changed() => self.drop_removed(),
                Some(_) = self.tasks.join_next(), if !self.tasks.is_empty() => {}
            }
        }
        self.upstreams.clear();
        while self.tasks.join_next().await.is_some() {}
    }

    fn hand_on(&mut self, work: DispatchWork) {
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
            let (sender, receiver) = mpsc::channel(WORK_QUEUE);
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

    /// Ends the tasks of upstreams that the control state no longer lists.
    fn drop_removed(&mut self) {
        let view = Arc::clone(&self.context.views.borrow());
        self.upstreams
            .retain(|name, _| view.state.upstreams.contains_key(name));
    }
}

fn refuse(work: DispatchWork, reason: NotRunReason) {
    // The requester may have gone away.
    drop(work.reply.send(Err(Failure::NotRun(reason))));
}
