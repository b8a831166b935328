//! The attempts of one request, each from the lookup of the owner to the answer's head.

use super::Entry;
use super::body::BodySource;
use crate::logging;
use crate::request::clock::now;
use crate::request::identify::Identified;
use crate::request::locate::{Route, locate};
use crate::request::message::{Answer, Attempt, AttemptResult, Failure};
use crate::request::record::{Recorder, Via};
use crate::request::relay;
use balsam_decide::entry::EntryRank;
use balsam_decide::retry::{self, GiveUpReason, RetryVerdict};
use balsam_types::{
    Fingerprint, NotRunReason, Outcome, RequestHead, ServiceName, UnknownReason, UpstreamName,
};
use balsam_wire::peer::RelayRequest;
use serde::Serialize;
use std::time::Duration;
use tokio::time::sleep;

/// What the record says of the last attempt.
#[derive(Clone, Debug, Default)]
pub(super) struct Trace {
    pub(super) route: Option<Route>,
    pub(super) via: Via,
    pub(super) number: u32,
}

impl Trace {
    /// Copies what is known to the request's record.
    pub(super) fn note(&self, recorder: &mut Recorder) {
        recorder.attempts = self.number;
        recorder.via = self.via;
        if let Some(route) = &self.route {
            recorder.unit = Some(route.unit);
            recorder.upstream = Some(route.upstream.clone());
        }
    }
}

/// The log line of a retry.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename = "retry")]
struct RetryLine<'a> {
    service: &'a ServiceName,
    key: &'a str,
    upstream: Option<&'a UpstreamName>,
    attempt: u32,
    outcome: Outcome,
    delay_ms: u64,
}

/// Makes the attempts of one request.
#[derive(Debug)]
pub(super) struct Attempts {
    entry: Entry,
    request: Identified,
    fingerprint: Fingerprint,
    body: BodySource,
    sent: u32,
    /// Why it is unknown whether an earlier attempt was run.
    may_have_run: Option<UnknownReason>,
    pub(super) trace: Trace,
}

impl Attempts {
    pub(super) fn new(
        entry: Entry,
        request: Identified,
        fingerprint: Fingerprint,
        body: BodySource,
    ) -> Self {
        Self {
            entry,
            request,
            fingerprint,
            body,
            sent: 0,
            may_have_run: None,
            trace: Trace::default(),
        }
    }

    fn rank(&self) -> EntryRank {
        EntryRank {
            service: self.request.head.service.clone(),
            rank: self.request.head.rank.clone(),
        }
    }

    /// Makes attempts until one is answered or no more may be made.
    ///
    /// A request that an earlier attempt may have run is not reported as not run.
    pub(super) async fn run(&mut self) -> AttemptResult {
        let result = self.run_attempts().await;
        result.map_err(|failure| self.may_have_run.map_or(failure, Failure::Unknown))
    }

    async fn run_attempts(&mut self) -> AttemptResult {
        self.entry.retries.first_attempt(self.rank());
        let head = self.request.head.clone();
        loop {
            let failure = match self.attempt(head.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            if let Failure::Unknown(reason) = failure {
                self.may_have_run.get_or_insert(reason);
            }
            if !self.body.is_left() {
                return Err(failure);
            }
            self.wait_for_retry(failure).await?;
        }
    }

    /// Makes one more attempt with another head, after an answer was cut short.
    pub(super) async fn resume(&mut self, head: RequestHead) -> Option<Answer> {
        let cut = Failure::Unknown(UnknownReason::UpstreamLost);
        self.wait_for_retry(cut).await.ok()?;
        self.attempt(head).await.ok()
    }

    /// Waits until the next attempt may be made, or returns the outcome for the caller.
    async fn wait_for_retry(&mut self, failure: Failure) -> Result<(), Failure> {
        if matches!(failure, Failure::Unknown(_)) || is_declared(failure) {
            self.sent += 1;
        }
        let outcome = Outcome::from(failure);
        let attempt = retry::Attempt {
            rank: self.rank(),
            outcome,
            idempotent: self.request.idempotent,
            number: self.trace.number,
            sent: self.sent,
            deadline: self.request.deadline,
        };
        let delay_ms = match self.entry.retries.verdict(attempt).await {
            RetryVerdict::Now => 0,
            RetryVerdict::After { delay_ms } => delay_ms,
            RetryVerdict::GiveUp(reason) => return Err(final_failure(failure, reason)),
        };
        let head = &self.request.head;
        self.entry.metrics.retry(&head.service, &head.rank);
        logging::decision(&RetryLine {
            service: &head.service,
            key: &head.key.text,
            upstream: self.trace.route.as_ref().map(|route| &route.upstream),
            attempt: self.trace.number,
            outcome,
            delay_ms,
        });
        sleep(Duration::from_millis(delay_ms)).await;
        Ok(())
    }

    async fn attempt(&mut self, mut head: RequestHead) -> AttemptResult {
        let deadline = self.request.deadline;
        let route = locate(&mut self.entry.views, &head, deadline).await?;
        self.trace.number += 1;
        self.trace.via = if route.is_local {
            Via::Local
        } else {
            Via::Relay
        };
        self.trace.route = Some(route.clone());
        let Some(body) = self.body.take() else {
            return Err(Failure::NotRun(NotRunReason::Cancelled));
        };
        head.remaining_ms = deadline.since(now());
        let service = head.service.clone();
        let attempt = Attempt {
            request: RelayRequest {
                upstream: route.upstream,
                epoch: route.epoch,
                fingerprint: self.fingerprint,
                head,
            },
            body,
            deadline,
        };
        if route.is_local {
            return self.entry.dispatchers.dispatch(attempt).await;
        }
        self.entry.metrics.relay_hop(&service);
        relay::send(&self.entry.peers, route.dispatcher.peer_address, attempt).await
    }
}

/// Returns whether an upstream declared that it did not run the request, which counts as an attempt.
///
/// A draining upstream is waited out instead: its dispatcher refuses work for it as well.
const fn is_declared(failure: Failure) -> bool {
    matches!(
        failure,
        Failure::NotRun(NotRunReason::Fenced | NotRunReason::Shed | NotRunReason::Starting)
    )
}

/// Returns the outcome for the caller of a request that is not sent again.
const fn final_failure(failure: Failure, reason: GiveUpReason) -> Failure {
    match (failure, reason) {
        (Failure::NotRun(_), GiveUpReason::Budget) => Failure::NotRun(NotRunReason::RetryBudget),
        (failure, _) => failure,
    }
}
