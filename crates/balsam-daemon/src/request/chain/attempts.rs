//! The retry loop of one request.
//!
//! Each attempt runs from resolving the owner to the head of the answer.

use super::EntryContext;
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

/// Details of the last attempt for the request log line.
#[derive(Clone, Debug, Default)]
pub(super) struct Trace {
    pub(super) route: Option<Route>,
    pub(super) via: Via,
    pub(super) number: u32,
}

impl Trace {
    /// Copies the details to the request's recorder.
    pub(super) fn copy_to(&self, recorder: &mut Recorder) {
        recorder.attempts = self.number;
        recorder.via = self.via;
        if let Some(route) = &self.route {
            recorder.unit = Some(route.unit);
            recorder.upstream = Some(route.upstream.clone());
        }
    }
}

/// The decision log line of a retry.
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

/// Runs the attempts of one request.
#[derive(Debug)]
pub(super) struct Attempts {
    entry: EntryContext,
    request: Identified,
    fingerprint: Fingerprint,
    body: BodySource,
    sent: u32,
    /// The reason why it is unknown whether an earlier attempt was run.
    may_have_run: Option<UnknownReason>,
    pub(super) trace: Trace,
}

impl Attempts {
    pub(super) fn new(
        entry: EntryContext,
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

    /// Makes attempts until one is answered or no further attempt is allowed.
    ///
    /// A request that an earlier attempt may have run is reported as unknown and never as not run.
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
            if !self.body.is_available() {
                return Err(failure);
            }
            self.wait_for_retry(failure).await?;
        }
    }

    /// Makes another attempt with a different head after an answer was truncated.
    pub(super) async fn resume(&mut self, head: RequestHead) -> Option<Answer> {
        let truncated = Failure::Unknown(UnknownReason::UpstreamLost);
        self.wait_for_retry(truncated).await.ok()?;
        self.attempt(head).await.ok()
    }

    /// Waits for the retry delay, or returns the failure to report if the request must not be
    /// retried.
    async fn wait_for_retry(&mut self, failure: Failure) -> Result<(), Failure> {
        if matches!(failure, Failure::Unknown(_)) || is_declared_not_run(failure) {
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
            RetryVerdict::GiveUp(reason) => return Err(failure_after_giving_up(failure, reason)),
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

/// Returns whether an upstream declared that it did not run the request, which counts as a sent
/// attempt.
///
/// A draining upstream does not count, because its dispatcher also refuses requests for it. Such
/// requests are retried until the upstream's keys have a new owner.
const fn is_declared_not_run(failure: Failure) -> bool {
    matches!(
        failure,
        Failure::NotRun(NotRunReason::Fenced | NotRunReason::Shed | NotRunReason::Starting)
    )
}

/// Returns the failure to report for a request that is not retried.
const fn failure_after_giving_up(failure: Failure, reason: GiveUpReason) -> Failure {
    match (failure, reason) {
        (Failure::NotRun(_), GiveUpReason::Budget) => Failure::NotRun(NotRunReason::RetryBudget),
        (failure, _) => failure,
    }
}
