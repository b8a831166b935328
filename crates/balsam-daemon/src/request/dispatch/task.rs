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

/// Requests that may be on their way to a dispatch task; the queues themselves are bounded by rank.
pub(super) const WORK_QUEUE: usize = 4_096;

/// The period of load reports; pulses carry them to the placer.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

struct Waiting {
    attempt: Attempt,
    reply: oneshot::Sender<AttemptResult>,
}

/// Dispatches for one upstream.
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
    /// When the upstream last answered a request in full.
    answered_at: TimeMs,
    /// The epoch at which waiting requests were last looked up.
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

    /// Runs until the registry drops the task and all requests have ended.
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
                    self.finish(done);
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
        // The entry daemon learns of a quarantine later than the dispatcher that counted.
        let fingerprint = attempt.request.fingerprint;
        if self.context.refused.borrow().contains(&fingerprint) {
            // The requester may have gone away.
            drop(reply.send(Err(Failure::NotRun(NotRunReason::Quarantined))));
            return;
        }
        let unit = self
            .views
            .borrow()
            .state
            .unit_of(&head.service, head.key.hash);
        let Some(unit) = unit else {
            // The requester may have gone away.
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
            // An ended channel is the cancellation; nothing is ever sent on it.
            drop(cancelled.await);
            ticket
        }));
        self.step(DispatchInput::Enqueue(queued));
    }

    fn cancel(&mut self, ticket: Ticket) {
        // A running request learns of the cancellation through its own reply channel.
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
                        // The requester may have gone away.
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
            // The slot of a request that has gone away must not stay taken.
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

    /// Returns when the upstream was last known to run.
    ///
    /// A grant that is in force was accepted at most the life of a right ago.
    fn alive_at(&self) -> TimeMs {
        let is_granted = self.views.borrow().granted.contains(&self.upstream);
        let granted_at = TimeMs(now().0.saturating_sub(LEASE_TTL_MS));
        if is_granted {
            return self.answered_at.max(granted_at);
        }
        self.answered_at
    }

    /// Takes the connection that was used last, and closes those that cannot be used any more.
    fn take_idle(&mut self) -> Option<UpstreamConnection> {
        let address = self.info()?.address;
        while let Some(connection) = self.idle.pop() {
            if connection.is_reusable(address) {
                return Some(connection);
            }
        }
        None
    }

    fn finish(&mut self, done: Result<(Id, ForwardDone), JoinError>) {
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

    /// Refuses waiting requests whose keys another upstream or dispatcher serves by now, so that
    /// their entry daemons look them up again instead of waiting for a slot here.
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
                    let is_mine = dispatcher.is_some_and(|daemon| daemon.incarnation == view.me);
                    upstream.name == self.upstream && is_mine
                }
                // A newer view of the entry daemon may know more.
                _ => waiting.attempt.request.epoch > view.state.epoch,
            }
        };
        let moved = self.waiting.iter().filter(|(_, waiting)| !is_here(waiting));
        let moved: Vec<Ticket> = moved.map(|(ticket, _)| *ticket).collect();
        for ticket in moved {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                let failure = Failure::NotRun(NotRunReason::NotDispatcher);
                // The requester may have gone away.
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
        // The node adds what it knows from its grant exchanges.
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
