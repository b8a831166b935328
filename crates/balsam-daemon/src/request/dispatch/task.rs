//! The task that owns the queue, the slots and the idle connections of one upstream.

use super::{DispatchContext, DispatchWork, policy};
use crate::request::clock::{instant_at, now};
use crate::request::forward::{self, ForwardDone, ForwardJob, SendPermit, UpstreamConnection};
use crate::request::message::{Attempt, AttemptResult, Failure};
use balsam_decide::dispatch::{
    Dispatch, DispatchInput, DispatchOutput, DispatchPolicy, LoadSample, QueuedRequest, SlotResult,
    Ticket,
};
use balsam_decide::node::{Location, UpstreamReport, View};
use balsam_types::control::UpstreamInfo;
use balsam_types::timing::LEASE_TTL_MS;
use balsam_types::{Epoch, Map, NotRunReason, TimeMs, UpstreamName, new_map};
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{Id, JoinError, JoinSet};
use tokio::time::{MissedTickBehavior, interval, sleep_until};

/// The capacity of the channel to a dispatch task. The queues inside the task have their own limits
/// by rank.
pub(super) const WORK_QUEUE_CAPACITY: usize = 4_096;

/// The interval between load reports, which heartbeats carry to the placer.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

struct Waiting {
    attempt: Attempt,
    reply: oneshot::Sender<AttemptResult>,
}

/// Dispatches requests to one upstream.
pub(super) struct DispatchTask {
    upstream: UpstreamName,
    views: watch::Receiver<Arc<View>>,
    context: DispatchContext,
    machine: Dispatch,
    policy: Arc<DispatchPolicy>,
    waiting: Map<Ticket, Waiting>,
    cancels: FuturesUnordered<BoxFuture<'static, Ticket>>,
    idle: Vec<UpstreamConnection>,
    running: Map<Id, Ticket>,
    forwards: JoinSet<ForwardDone>,
    next_ticket: u64,
    /// The time at which the upstream last answered a request completely.
    answered_at: TimeMs,
    /// The epoch at which the owners of waiting requests were last checked.
    checked_epoch: Epoch,
}

impl DispatchTask {
    pub(super) fn new(upstream: UpstreamName, context: DispatchContext) -> Self {
        let policy = Arc::default();
        Self {
            upstream,
            views: context.views.clone(),
            context,
            machine: Dispatch::new(Arc::clone(&policy)),
            policy,
            waiting: new_map(),
            cancels: FuturesUnordered::new(),
            idle: Vec::new(),
            running: new_map(),
            forwards: JoinSet::new(),
            next_ticket: 0,
            answered_at: TimeMs(0),
            checked_epoch: Epoch(0),
        }
    }

    /// Runs until the registry closes the work queue and all requests have ended.
    pub(super) async fn run(mut self, mut work: mpsc::Receiver<DispatchWork>) {
        let mut views = self.views.clone();
        let mut reports = interval(REPORT_PERIOD);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.refresh_policy();
        let mut is_open = true;
        while is_open || !self.forwards.is_empty() || !self.waiting.is_empty() {
            let wake = self.machine.next_wake(now());
            tokio::select! {
                received = work.recv(), if is_open => match received {
                    Some(work) => self.enqueue(work),
                    None => is_open = false,
                },
                Some(done) = self.forwards.join_next_with_id(), if !self.forwards.is_empty() => {
                    self.release_slot(done);
                }
                Some(ticket) = self.cancels.next(), if !self.cancels.is_empty() => {
                    self.cancel(ticket);
                }
                () = sleep_until(instant_at(wake.unwrap_or_default())), if wake.is_some() => {
                    self.step(DispatchInput::Tick);
                }
                _ = reports.tick() => self.report(),
                Ok(()) = views.changed() => {
                    self.refresh_policy();
                    self.refuse_moved();
                }
            }
        }
    }

    fn enqueue(&mut self, work: DispatchWork) {
        let DispatchWork {
            attempt,
            reply,
            cancelled,
        } = work;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let head = &attempt.request.head;
        // The dispatcher that counted the crashes knows of a quarantine before the entry daemon
        // does.
        let fingerprint = attempt.request.fingerprint;
        if self.context.refused.borrow().contains(&fingerprint) {
            // The send fails if the requester has disconnected.
            drop(reply.send(Err(Failure::NotRun(NotRunReason::Quarantined))));
            return;
        }
        let unit = self
            .views
            .borrow()
            .state
            .unit_of(&head.service, head.key.hash);
        let Some(unit) = unit else {
            // The send fails if the requester has disconnected.
            drop(reply.send(Err(Failure::NotRun(NotRunReason::UnknownService))));
            return;
        };
        let queued = QueuedRequest {
            ticket,
            rank: head.rank.clone(),
            member: head.member.clone(),
            unit,
            key: head.key.hash,
            deadline: attempt.deadline,
        };
        self.waiting.insert(ticket, Waiting { attempt, reply });
        self.cancels.push(Box::pin(async move {
            // A closed channel signals the cancellation. Nothing is ever sent on it.
            drop(cancelled.await);
            ticket
        }));
        self.step(DispatchInput::Enqueue(queued));
    }

    fn cancel(&mut self, ticket: Ticket) {
        // A running request notices the cancellation because its reply channel closes.
        if self.waiting.remove(&ticket).is_some() {
            self.step(DispatchInput::Cancel { ticket });
        }
    }

    fn step(&mut self, input: DispatchInput) {
        for output in self.machine.handle(now(), input) {
            match output {
                DispatchOutput::Start { ticket } => self.start(ticket),
                DispatchOutput::Refuse { ticket, reason } => {
                    if let Some(waiting) = self.waiting.remove(&ticket) {
                        // The send fails if the requester has disconnected.
                        drop(waiting.reply.send(Err(Failure::NotRun(reason))));
                    }
                }
            }
        }
        let (queued, in_use) = (self.machine.waiting(), self.machine.running());
        self.context
            .metrics
            .dispatcher(&self.upstream, queued, in_use);
    }

    fn start(&mut self, ticket: Ticket) {
        let Some(Waiting { attempt, reply }) = self.waiting.remove(&ticket) else {
            // The request was cancelled in the meantime, so its slot must be released.
            let result = SlotResult::Failed;
            return self.step(DispatchInput::Finished { ticket, result });
        };
        let head = &attempt.request.head;
        let permit = SendPermit {
            views: self.views.clone(),
            upstream: self.upstream.clone(),
            service: head.service.clone(),
            key: head.key.hash,
            epoch: attempt.request.epoch,
            deadline: attempt.deadline,
        };
        let job = ForwardJob {
            connection: self.take_idle(),
            attempt,
            reply,
            permit,
            crashes: self.context.crashes.clone(),
            alive_at: self.alive_at(),
        };
        let id = self.forwards.spawn(forward::run(job)).id();
        self.running.insert(id, ticket);
    }

    /// Returns the time at which the upstream was last known to run.
    ///
    /// If a grant is in force, the upstream accepted it at most `LEASE_TTL_MS` ago.
    fn alive_at(&self) -> TimeMs {
        let is_granted = self.views.borrow().granted.contains(&self.upstream);
        let granted_at = TimeMs(now().0.saturating_sub(LEASE_TTL_MS));
        if is_granted {
            return self.answered_at.max(granted_at);
        }
        self.answered_at
    }

    /// Takes the most recently used connection that is still reusable, and closes the others that
    /// it finds on the way.
    fn take_idle(&mut self) -> Option<UpstreamConnection> {
        let address = self.info()?.address;
        while let Some(connection) = self.idle.pop() {
            if connection.is_reusable(address) {
                return Some(connection);
            }
        }
        None
    }

    fn release_slot(&mut self, done: Result<(Id, ForwardDone), JoinError>) {
        let (id, done) = match done {
            Ok((id, done)) => (id, Some(done)),
            Err(error) => (error.id(), None),
        };
        let Some(ticket) = self.running.remove(&id) else {
            return;
        };
        let mut result = SlotResult::Failed;
        if let Some(done) = done {
            result = done.result;
            if done.connection.is_some() {
                self.answered_at = now();
            }
            self.idle.extend(done.connection);
        }
        self.step(DispatchInput::Finished { ticket, result });
    }

    fn info(&self) -> Option<UpstreamInfo> {
        self.views
            .borrow()
            .state
            .upstreams
            .get(&self.upstream)
            .cloned()
    }

    fn refresh_policy(&mut self) {
        let Some(info) = self.info() else {
            return;
        };
        let settings = Arc::clone(&self.views.borrow().state.settings);
        let policy = Arc::new(policy::resolve(&settings, &info));
        if policy != self.policy {
            self.policy = Arc::clone(&policy);
            self.step(DispatchInput::Policy(policy));
        }
    }

    /// Refuses waiting requests whose keys have moved to another upstream or dispatcher. Their
    /// entry daemons then resolve the route again instead of waiting for a slot here.
    fn refuse_moved(&mut self) {
        let view = Arc::clone(&self.views.borrow());
        if view.state.epoch == self.checked_epoch {
            return;
        }
        self.checked_epoch = view.state.epoch;
        let is_here = |waiting: &Waiting| {
            let head = &waiting.attempt.request.head;
            match view.locate(&head.service, head.key.hash) {
                Location::At {
                    upstream,
                    dispatcher,
                    ..
                } => {
                    let is_local = dispatcher.is_some_and(|daemon| daemon.incarnation == view.me);
                    upstream.name == self.upstream && is_local
                }
                // The entry daemon may have resolved the route from a newer view than this daemon
                // has.
                _ => waiting.attempt.request.epoch > view.state.epoch,
            }
        };
        let moved = self.waiting.iter().filter(|(_, waiting)| !is_here(waiting));
        let moved: Vec<Ticket> = moved.map(|(ticket, _)| *ticket).collect();
        for ticket in moved {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                let failure = Failure::NotRun(NotRunReason::NotDispatcher);
                // The send fails if the requester has disconnected.
                drop(waiting.reply.send(Err(failure)));
            }
            self.step(DispatchInput::Cancel { ticket });
        }
    }

    fn report(&mut self) {
        self.idle.retain(UpstreamConnection::is_fresh);
        let LoadSample {
            load,
            heavy_units,
            heavy_keys,
        } = self.machine.take_sample(now());
        // The control node fills in the fields that it learns from its grant exchanges.
        self.context.control.report_load(UpstreamReport {
            upstream: self.upstream.clone(),
            silent: false,
            answering: false,
            draining: false,
            load,
            heavy_units,
            heavy_keys,
        });
    }
}
