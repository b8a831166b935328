//! Serves one request: its attempts, one after the other.

use super::HeaderNames;
use super::forward::{Ended, Forwarded, forward};
use super::read::CallerRequest;
use super::record::{Record, Recorder};
use super::reply::Reply;
use super::route::{Routed, Unrouted, route};
use crate::clock::{instant_at, now};
use crate::control::ControlInput;
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

/// The pause after an upstream said that it does not hold a key, in milliseconds; its grant is
/// renewed meanwhile, or the key's next owner is known.
const NOT_HELD_PAUSE: Duration = Duration::from_millis(60);

/// When callers of a daemon without a configuration are told to come back, in milliseconds.
const NO_CONFIG_RETRY_MS: u64 = 300;

/// The pause before a request goes once more to the only upstream that may run it, after that one
/// has ended the connection: a busy one resets connections until its queue is shorter.
const RESET_PAUSE: Duration = Duration::from_millis(60);

/// When callers are told to come back after all attempts were refused by upstreams, in
/// milliseconds.
const REFUSED_RETRY_MS: u64 = 150;

/// The handles that requests use; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    pub(crate) names: HeaderNames,
    pub(crate) views: watch::Receiver<Arc<View>>,
    pub(crate) pool: PoolClient,
    pub(crate) control: mpsc::Sender<ControlInput>,
    pub(crate) recorder: Recorder,
}

/// Serves one request; the reply comes before the end of a long answer.
pub(super) async fn serve(
    context: RequestContext,
    request: CallerRequest,
    reply: oneshot::Sender<Reply>,
) {
    let view = Arc::clone(&context.views.borrow());
    match route(&context.names, &view, request) {
        Ok(routed) => Attempts::new(context, routed).run(reply).await,
        Err(unrouted) => {
            let (reason, request) = *unrouted;
            refuse_unrouted(&context, &request, reason, reply);
        }
    }
}

/// Refuses a request that came after the daemon had begun to close.
pub(super) fn refuse_stopping(
    context: &RequestContext,
    request: &CallerRequest,
    reply: oneshot::Sender<Reply>,
) {
    refuse_unrouted(context, request, Unrouted::Stopping, reply);
}

fn refuse_unrouted(
    context: &RequestContext,
    request: &CallerRequest,
    reason: Unrouted,
    reply: oneshot::Sender<Reply>,
) {
    let fields = &request.head.fields;
    let id = fields.text(context.names.attempt_id).map(str::to_owned);
    context
        .recorder
        .unrouted(id.as_deref(), &request.head, reason);
    let retry_after_ms = match reason {
        Unrouted::NoConfig => Some(NO_CONFIG_RETRY_MS),
        // Other daemons take new connections already.
        Unrouted::Stopping => Some(0),
        Unrouted::NoRoute | Unrouted::BadRequest => None,
    };
    // A caller that left needs no answer.
    drop(reply.send(Reply::Own {
        status: reason.status(),
        attempt_id: id,
        retry_after_ms,
    }));
}

struct Attempts {
    context: RequestContext,
    routed: Routed,
    ledger: AttemptTracker,
    record: Record,
    avoid: Vec<UpstreamName>,
    /// A failure that an upstream answered, for the case that no other attempt can be made.
    failure: Option<Reply>,
}

impl Attempts {
    fn new(context: RequestContext, routed: Routed) -> Self {
        let ledger = AttemptTracker::new(routed.route.kind, routed.route.attempts_max);
        let record = context.recorder.start(&routed);
        Self {
            context,
            routed,
            ledger,
            record,
            avoid: Vec::new(),
            failure: None,
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
            let lease =
                match timeout_at(deadline, self.context.pool.request_lease(lease_request)).await {
                    Ok(Ok(lease)) => lease,
                    Ok(Err(refused)) => return self.refuse(reply, refused),
                    Err(_) => return self.end(reply, self.ledger.ending(), "deadline", None),
                };
            let upstream = Arc::clone(&lease.upstream);
            self.record.sent(&lease);
            match forward(&self.context.names, &self.routed, lease).await {
                Forwarded::Streaming(streaming) => {
                    self.clear_suspicion();
                    let (answer, feed) = streaming.split();
                    // A caller that left ends the stream as well.
                    drop(reply.send(answer));
                    let ended = feed.await;
                    return self.record.streamed(ended.verdict);
                }
                Forwarded::Ended(ended) => {
                    if let Some(step) = self.note(ended, upstream).await {
                        return self.finish(reply, step);
                    }
                }
            }
        }
    }

    fn request_lease(&mut self) -> LeaseRequest {
        LeaseRequest {
            route: Arc::clone(&self.routed.route),
            service: self.record.service().cloned(),
            key: self.routed.key,
            give_up_at: self.routed.deadline,
            avoid: self.avoid.clone(),
            is_repeat: self.ledger.is_repeat(),
        }
    }

    /// Notes the end of an attempt; returns the last step if there is no other attempt.
    async fn note(
        &mut self,
        ended: Ended,
        upstream: Arc<DiscoveredUpstream>,
    ) -> Option<(Step, Option<Reply>)> {
        let verdict = ended.verdict;
        let entry = &upstream.entry;
        self.record.attempt(&entry.name, &ended);
        self.avoid.push(entry.name.clone());
        match verdict {
            Verdict::Served => self.clear_suspicion(),
            Verdict::Reset => self.suspect(entry, ended.took_ms),
            _ => {}
        }
        let step = self.ledger.note(verdict);
        match step {
            Step::Deliver | Step::End(_) => return Some((step, ended.reply)),
            Step::RetryOrDeliver => self.failure = ended.reply,
            Step::Retry => {}
        }
        if let (Verdict::NotHeld, Some(key), Some(service)) =
            (verdict, self.routed.key, self.record.service().cloned())
        {
            // The control task may be busy; it renews grants in any case.
            drop(
                self.context
                    .control
                    .try_send(ControlInput::NotHeld { service, key }),
            );
            sleep(NOT_HELD_PAUSE).await;
        }
        if verdict == Verdict::Reset && self.routed.key.is_some() {
            sleep(RESET_PAUSE).await;
        }
        None
    }

    /// Returns until when the request is refused because equal ones crashed upstreams.
    fn refused_until(&self) -> Option<TimeMs> {
        let suspects = Arc::clone(&self.context.views.borrow().suspects);
        if suspects.is_empty() {
            return None;
        }
        suspects.refused_until(now(), self.routed.fingerprint())
    }

    /// Tells that an upstream's connection ended under the request.
    fn suspect(&self, entry: &UpstreamEntry, took_ms: u64) {
        let crash = Crash {
            fingerprint: self.routed.fingerprint(),
            upstream: CrashedUpstream {
                name: entry.name.clone(),
                born: entry.born,
            },
            took_ms,
            ended_ago_ms: 0,
        };
        // A busy control task misses one crash of several.
        let crashed = ControlInput::Watch(TrackerInput::CrashedUpstream(crash));
        drop(self.context.control.try_send(crashed));
    }

    /// Tells that an upstream has served the request, if equal ones are suspected.
    fn clear_suspicion(&self) {
        let suspects = Arc::clone(&self.context.views.borrow().suspects);
        if suspects.is_empty() {
            return;
        }
        let fingerprint = self.routed.fingerprint();
        if suspects.contains(fingerprint) {
            // Equal requests follow and tell it again.
            let served = ControlInput::Watch(TrackerInput::Served(fingerprint));
            drop(self.context.control.try_send(served));
        }
    }

    fn refuse_suspect(mut self, reply: oneshot::Sender<Reply>, retry_after_ms: u64) {
        let ending = self.ledger.ending();
        let retry = (ending == Ending::NotRun).then_some(retry_after_ms);
        self.end(reply, ending, "crashes-upstreams", retry);
    }

    fn finish(mut self, reply: oneshot::Sender<Reply>, (step, answer): (Step, Option<Reply>)) {
        match (step, answer) {
            (Step::End(ending), _) => {
                let retry = (ending == Ending::NotRun).then_some(REFUSED_RETRY_MS);
                self.end(reply, ending, "attempts", retry);
            }
            (_, Some(answer)) => self.deliver(reply, answer),
            (_, None) => self.end(reply, Ending::Unknown, "no-answer", None),
        }
    }

    fn refuse(mut self, reply: oneshot::Sender<Reply>, refused: LeaseError) {
        if let Some(failure) = self.failure.take() {
            return self.deliver(reply, failure);
        }
        let ending = self.ledger.ending();
        let retry = (ending == Ending::NotRun).then_some(refused.retry_after_ms);
        self.end(reply, ending, refused.refusal.as_str(), retry);
    }

    fn deliver(&mut self, reply: oneshot::Sender<Reply>, answer: Reply) {
        self.record.delivered(&answer);
        // A caller that left needs no answer.
        drop(reply.send(answer));
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
        // A caller that left needs no answer.
        drop(reply.send(Reply::Own {
            status,
            attempt_id,
            retry_after_ms,
        }));
    }
}
