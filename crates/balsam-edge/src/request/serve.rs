//! Serves one request by up to the allowed number of attempts, one after the other.

use super::forward::{AttemptEnded, ForwardOutcome, forward};
use super::freshness::FreshnessGate;
use super::read::CallerRequest;
use super::record::{Record, Recorder};
use super::reply::{Reply, WholeResponse};
use super::route::{RouteError, RoutedRequest, route};
use super::{HeaderNames, NoticeReader};
use crate::clock::{instant_at, now};
use crate::control::ControlInput;
use crate::memory::{Held, MemoryClient};
use crate::pool::{LeaseError, LeaseRequest, PoolClient};
use crate::view::View;
use balsam_decide::attempts::{AttemptTracker, Ending, Step};
use balsam_decide::crashes::{Crash, CrashedUpstream, TrackerInput};
use balsam_decide::directory::DiscoveredUpstream;
use balsam_decide::pool::Verdict;
use balsam_types::{TimeMs, UpstreamEntry, UpstreamName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout_at};

/// Delay before the next attempt after an upstream refused a request because it does not hold the
/// key. Meanwhile its grant is renewed, or the next owner of the key becomes known.
const NOT_HELD_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time after which callers of a daemon without current tables should retry, in milliseconds.
const NO_CONFIG_RETRY_MS: u64 = 300;

/// Delay before the next attempt of a request with a key after the upstream ended the connection.
/// Only the owner of the key may run the request, and a busy upstream resets connections until its
/// queue is shorter.
const RESET_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time after which callers should retry if upstreams refused all attempts, in milliseconds.
const REFUSED_RETRY_MS: u64 = 150;

/// Channels and settings that each request task uses. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    pub(crate) names: HeaderNames,
    pub(crate) read_notice: NoticeReader,
    pub(crate) views: watch::Receiver<Arc<View>>,
    pub(crate) freshness: FreshnessGate,
    pub(crate) pool: PoolClient,
    pub(crate) control: mpsc::Sender<ControlInput>,
    pub(crate) memory: MemoryClient,
    pub(crate) recorder: Recorder,
}

/// Serves one request. The reply to a streamed response is sent before its body is complete.
pub(super) async fn serve(
    context: RequestContext,
    request: CallerRequest,
    reply: oneshot::Sender<Reply>,
) {
    // A daemon without tables refuses the request at once.
    let is_ready = context.views.borrow().is_ready();
    if is_ready && !context.freshness.pass(TimeMs(u64::MAX)).await {
        return refuse_unrouted(&context, &request, RouteError::Outdated, reply);
    }
    let view = Arc::clone(&context.views.borrow());
    match route(&context.names, &view, request) {
        Ok(routed) => Attempts::new(context, routed).run(reply).await,
        Err(unrouted) => {
            let (reason, request) = *unrouted;
            refuse_unrouted(&context, &request, reason, reply);
        }
    }
}

/// Refuses a request that arrived in the closing phase.
pub(super) fn refuse_stopping(
    context: &RequestContext,
    request: &CallerRequest,
    reply: oneshot::Sender<Reply>,
) {
    refuse_unrouted(context, request, RouteError::Stopping, reply);
}

fn refuse_unrouted(
    context: &RequestContext,
    request: &CallerRequest,
    reason: RouteError,
    reply: oneshot::Sender<Reply>,
) {
    let fields = &request.head.fields;
    let id = fields.text(context.names.attempt_id).map(str::to_owned);
    context
        .recorder
        .unrouted(id.as_deref(), &request.head, reason);
    let retry_after_ms = match reason {
        RouteError::NoConfig | RouteError::Outdated => Some(NO_CONFIG_RETRY_MS),
        // Other daemons already accept new connections.
        RouteError::Stopping => Some(0),
        // For want of memory the connection itself refuses requests, with the time of the budget.
        RouteError::NoMemory
        | RouteError::ExceedsMemory
        | RouteError::NoRoute
        | RouteError::BadRequest => None,
    };
    // The caller may have disconnected, in which case nobody needs the response.
    drop(reply.send(Reply::Local {
        status: reason.status(),
        attempt_id: id,
        retry_after_ms,
    }));
}

/// The attempts to serve one request.
struct Attempts {
    context: RequestContext,
    routed: RoutedRequest,
    attempt_tracker: AttemptTracker,
    record: Record,
    /// Upstreams to which earlier attempts were sent.
    avoid: Vec<UpstreamName>,
    /// Error response of an upstream, which is delivered if no other attempt can be made.
    failure: Option<WholeResponse>,
    /// The bytes that the request, and responses to it, hold.
    held: Held,
}

impl Attempts {
    fn new(context: RequestContext, mut routed: RoutedRequest) -> Self {
        let no_bytes = context.memory.hold(0);
        let mut held = std::mem::replace(&mut routed.request.held, no_bytes);
        // A body of unknown length has reserved more than it has.
        let surplus_bytes = held.used_bytes() - routed.request.body.len() as u64;
        held.release(surplus_bytes);
        let attempt_tracker = AttemptTracker::new(routed.route.kind, routed.route.attempts_max);
        let record = context.recorder.start(&routed);
        Self {
            context,
            routed,
            attempt_tracker,
            record,
            avoid: Vec::new(),
            failure: None,
            held,
        }
    }

    async fn run(mut self, reply: oneshot::Sender<Reply>) {
        loop {
            if let Some(until) = self.refused_until() {
                let retry_ms = until.since(now());
                return self.refuse_suspect(reply, retry_ms);
            }
            let lease_request = self.request_lease();
            let deadline = instant_at(self.routed.deadline);
            let lease = match timeout_at(deadline, self.context.pool.request_lease(lease_request))
                .await
            {
                Ok(Ok(lease)) => lease,
                Ok(Err(refused)) => return self.refuse(reply, refused),
                Err(_) => return self.end(reply, self.attempt_tracker.ending(), "deadline", None),
            };
            let upstream = Arc::clone(&lease.upstream);
            self.record.attempt_started(&lease);
            let request_bytes = self.held.used_bytes();
            match forward(&self.context, &self.routed, &mut self.held, lease).await {
                ForwardOutcome::StreamingResponse(streaming) => {
                    self.clear_suspicion();
                    let held = self.take_held();
                    let (response, stream) = streaming.split(held);
                    // If the caller has disconnected, the stream ends too.
                    drop(reply.send(response));
                    let ended = stream.await;
                    return self.record.streamed(ended.verdict);
                }
                ForwardOutcome::AttemptEnded(ended) => {
                    let response_bytes = ended.reply.as_ref().map_or(0, |reply| reply.body.len());
                    let needed_bytes = request_bytes + response_bytes as u64;
                    let surplus_bytes = self.held.used_bytes().saturating_sub(needed_bytes);
                    self.held.release(surplus_bytes);
                    if let Some(step) = self.record_outcome(ended, upstream).await {
                        return self.finish(reply, step);
                    }
                }
            }
        }
    }

    /// Takes what is held out of the request, whose body is not needed any more.
    fn take_held(&mut self) -> Held {
        let no_bytes = self.context.memory.hold(0);
        let mut held = std::mem::replace(&mut self.held, no_bytes);
        let body = std::mem::take(&mut self.routed.request.body);
        held.release(body.len() as u64);
        held
    }

    fn request_lease(&mut self) -> LeaseRequest {
        LeaseRequest {
            route: Arc::clone(&self.routed.route),
            service: self.record.service().cloned(),
            key: self.routed.key,
            received_at: self.routed.request.received_at,
            caller_deadline: self.routed.caller_deadline,
            give_up_at: self.routed.deadline,
            avoid: self.avoid.clone(),
            is_repeat: self.attempt_tracker.is_repeat(),
        }
    }

    /// Records the outcome of an attempt. Returns the final step if there is no other attempt.
    async fn record_outcome(
        &mut self,
        ended: AttemptEnded,
        upstream: Arc<DiscoveredUpstream>,
    ) -> Option<(Step, Option<WholeResponse>)> {
        let verdict = ended.verdict;
        let entry = &upstream.entry;
        self.record.attempt(&entry.name, &ended);
        if verdict != Verdict::Withdrawn {
            self.avoid.push(entry.name.clone());
        }
        match verdict {
            Verdict::Served => self.clear_suspicion(),
            Verdict::Reset => self.report_crash(entry, ended.took_ms),
            _ => {}
        }
        let step = self.attempt_tracker.note(verdict);
        match step {
            Step::Deliver | Step::End(_) => return Some((step, ended.reply)),
            Step::RetryOrDeliver => {
                if let Some(earlier) = std::mem::replace(&mut self.failure, ended.reply) {
                    self.held.release(earlier.body.len() as u64);
                }
            }
            Step::Retry => {}
        }
        if let (Verdict::NotHeld, Some(key), Some(service)) =
            (verdict, self.routed.key, self.record.service().cloned())
        {
            // If the control task is busy, the message is dropped. The task also renews grants
            // without it.
            drop(
                self.context
                    .control
                    .try_send(ControlInput::NotHeld { service, key }),
            );
            sleep(NOT_HELD_RETRY_DELAY).await;
        }
        if matches!(verdict, Verdict::Reset | Verdict::Surplus) && self.routed.key.is_some() {
            sleep(RESET_RETRY_DELAY).await;
        }
        None
    }

    /// Returns the time until which the request is refused because requests with the same
    /// fingerprint crashed upstreams.
    fn refused_until(&self) -> Option<TimeMs> {
        let suspects = Arc::clone(&self.context.views.borrow().suspects);
        if suspects.is_empty() {
            return None;
        }
        suspects.refused_until(now(), self.routed.fingerprint())
    }

    /// Reports that an upstream ended the connection while it processed the request.
    fn report_crash(&self, entry: &UpstreamEntry, took_ms: u64) {
        let crash = Crash {
            fingerprint: self.routed.fingerprint(),
            upstream: CrashedUpstream {
                name: entry.name.clone(),
                born: entry.born,
            },
            took_ms,
            ended_ago_ms: 0,
        };
        // If the control task is busy, the report is dropped. A request is refused only after
        // several crashes, so the refusal then needs one more.
        let crashed = ControlInput::Watch(TrackerInput::CrashedUpstream(crash));
        drop(self.context.control.try_send(crashed));
    }

    /// Reports that an upstream has served the request, if equal requests are suspected.
    fn clear_suspicion(&self) {
        let suspects = Arc::clone(&self.context.views.borrow().suspects);
        if suspects.is_empty() {
            return;
        }
        let fingerprint = self.routed.fingerprint();
        if suspects.contains(fingerprint) {
            // If the control task is busy, the report is dropped: the next equal request is
            // reported again.
            let served = ControlInput::Watch(TrackerInput::Served(fingerprint));
            drop(self.context.control.try_send(served));
        }
    }

    fn refuse_suspect(mut self, reply: oneshot::Sender<Reply>, retry_after_ms: u64) {
        let ending = self.attempt_tracker.ending();
        let retry = (ending == Ending::NotRun).then_some(retry_after_ms);
        self.end(reply, ending, "crashes-upstreams", retry);
    }

    fn finish(
        mut self,
        reply: oneshot::Sender<Reply>,
        (step, response): (Step, Option<WholeResponse>),
    ) {
        match (step, response) {
            (Step::End(ending), _) => {
                let retry = (ending == Ending::NotRun).then_some(REFUSED_RETRY_MS);
                self.end(reply, ending, "attempts", retry);
            }
            (_, Some(response)) => self.deliver(reply, response),
            (_, None) => self.end(reply, Ending::Unknown, "no-answer", None),
        }
    }

    fn refuse(mut self, reply: oneshot::Sender<Reply>, refused: LeaseError) {
        if let Some(failure) = self.failure.take() {
            return self.deliver(reply, failure);
        }
        let ending = self.attempt_tracker.ending();
        let retry = (ending == Ending::NotRun).then_some(refused.retry_after_ms);
        self.end(reply, ending, refused.refusal.as_str(), retry);
    }

    fn deliver(&mut self, reply: oneshot::Sender<Reply>, response: WholeResponse) {
        let held = Box::new(self.take_held());
        let response = Reply::Whole { response, held };
        self.record.delivered(&response);
        // The caller may have disconnected, in which case nobody needs the response.
        drop(reply.send(response));
    }

    fn end(
        &mut self,
        reply: oneshot::Sender<Reply>,
        ending: Ending,
        reason: &'static str,
        retry_after_ms: Option<u64>,
    ) {
        self.record.ended(ending, reason, now());
        let status = ending.status();
        let attempt_id = Some(self.routed.attempt_id.clone());
        // The caller may have disconnected, in which case nobody needs the response.
        drop(reply.send(Reply::Local {
            status,
            attempt_id,
            retry_after_ms,
        }));
    }
}
