//! The upstream's state.

use super::{
    ControlReply, ControlRequest, Effect, ExecutionId, Finish, Identity, Journal, Reports, Started,
    UpstreamOptions, WorkHead,
};
use balsam_decide::grants::{
    Grant, GrantReply, Holder, RefusalReason, Revoke, RevokeReply, RunningRequestId, WorkRequest,
};
use balsam_types::{Incarnation, KeyHash, Map, TimeMs, UnitId};
use balsam_wire::upstream::{
    AbortCause, AnswerFault, DrainResponse, HealthResponse, HealthState, JournalResponse,
    LoadResponse, NotRunCause, UpstreamFaults,
};
use std::sync::Arc;

#[derive(Debug)]
struct Running {
    unit: UnitId,
    key: KeyHash,
    deadline: TimeMs,
    /// The request's cover by the grant; `None` if the upstream does not check grants.
    covered: Option<RunningRequestId>,
    effect_done: bool,
}

/// Grants, slots, journal, reports and fault switches of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    options: Arc<UpstreamOptions>,
    incarnation: Incarnation,
    started_at: TimeMs,
    holder: Holder,
    draining: bool,
    running: Map<ExecutionId, Running>,
    journal: Journal,
    reports: Reports,
    faults: UpstreamFaults,
    last_identity: Option<Identity>,
}

impl UpstreamState {
    /// Makes the state of an upstream that starts now.
    pub fn new(now: TimeMs, incarnation: Incarnation, options: Arc<UpstreamOptions>) -> Self {
        Self {
            incarnation,
            started_at: now,
            holder: Holder::new(incarnation),
            draining: false,
            running: Map::default(),
            journal: Journal::new(options.journal_limit),
            reports: Reports::new(now),
            faults: UpstreamFaults::default(),
            last_identity: None,
            options,
        }
    }

    /// Begins an execution, or returns why the request is not run.
    ///
    /// # Errors
    ///
    /// Returns the cause that the caller is told.
    pub fn begin(&mut self, now: TimeMs, work: &WorkHead) -> Result<Started, NotRunCause> {
        match self.health(now) {
            HealthState::Starting => return Err(NotRunCause::Starting),
            HealthState::Draining => return Err(NotRunCause::Draining),
            HealthState::Ready => {}
        }
        if work.remaining_ms == 0 {
            return Err(NotRunCause::Deadline);
        }
        if self.running.len() >= self.options.slots as usize {
            return Err(NotRunCause::Shed);
        }
        let deadline = now.after(work.remaining_ms);
        let covered = self.cover(now, work, deadline)?;
        let id = self.journal.begin(now, work);
        let running = Running {
            unit: work.unit.unwrap_or_default(),
            key: work.key.hash,
            deadline,
            covered,
            effect_done: false,
        };
        self.running.insert(id, running);
        self.note_report(now);
        Ok(Started {
            id,
            work_ms: self.work_ms(now, work),
            remaining_ms: work.remaining_ms,
        })
    }

    /// Checks the execution again and lets its effect take place.
    ///
    /// # Errors
    ///
    /// Returns why the effect must not take place.
    pub fn effect(
        &mut self,
        now: TimeMs,
        id: ExecutionId,
        identity: Identity,
    ) -> Result<Effect, AbortCause> {
        self.recheck(now, id)?;
        if let Some(running) = self.running.get_mut(&id) {
            running.effect_done = true;
        }
        let fault = self.next_answer_fault();
        let former = self.last_identity.replace(identity.clone());
        let identity = match fault {
            Some(AnswerFault::Crossed) => former.unwrap_or_else(|| Identity {
                key: Arc::from("crossed"),
                order_id: None,
                body_digest: KeyHash::default(),
            }),
            _ => identity,
        };
        Ok(Effect { identity, fault })
    }

    /// Checks that the execution may go on.
    ///
    /// # Errors
    ///
    /// Returns why it must stop.
    pub fn recheck(&mut self, now: TimeMs, id: ExecutionId) -> Result<(), AbortCause> {
        let running = self.running.get(&id).ok_or(AbortCause::Cancelled)?;
        if let Some(covered) = running.covered {
            self.holder
                .recheck(now, covered)
                .map_err(|_| AbortCause::GrantLapsed)?;
        }
        if running.deadline <= now {
            return Err(AbortCause::Deadline);
        }
        self.journal.checked(now, id);
        Ok(())
    }

    /// Ends an execution and frees its slot.
    pub fn end(&mut self, now: TimeMs, id: ExecutionId, finish: Finish) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if let Some(covered) = running.covered {
            self.holder.end(covered);
        }
        self.journal.end(now, id, finish, running.effect_done);
        self.note_report(now);
    }

    /// Answers a control request.
    pub fn control(&mut self, now: TimeMs, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Grant(_) | ControlRequest::Revoke(_) if self.faults.ignore_control => {
                ControlReply::Silence
            }
            ControlRequest::Grant(grant) => ControlReply::Grant(self.grant(now, &grant)),
            ControlRequest::Revoke(revoke) => ControlReply::Revoke(self.revoke(&revoke)),
            ControlRequest::Health => ControlReply::Health(self.health_report(now)),
            ControlRequest::Load => ControlReply::Load(self.load_report(now)),
            ControlRequest::Drain => ControlReply::Drain(self.drain(now)),
            ControlRequest::Journal => ControlReply::Journal(self.journal_report()),
            ControlRequest::Faults => ControlReply::Faults(self.faults.clone()),
            ControlRequest::SetFaults(faults) => {
                self.faults = faults;
                ControlReply::Faults(self.faults.clone())
            }
        }
    }

    fn cover(
        &mut self,
        now: TimeMs,
        work: &WorkHead,
        deadline: TimeMs,
    ) -> Result<Option<RunningRequestId>, NotRunCause> {
        if self.options.no_check_grants {
            return Ok(None);
        }
        // A request that names no unit or epoch cannot be covered by a grant.
        let unit = work.unit.ok_or(NotRunCause::Fenced)?;
        let epoch = work.epoch.ok_or(NotRunCause::Fenced)?;
        let request = WorkRequest {
            unit,
            key: work.key.hash,
            epoch,
            deadline,
        };
        match self.holder.begin(now, request) {
            Ok(covered) => Ok(Some(covered)),
            Err(RefusalReason::DeadlinePassed) => Err(NotRunCause::Deadline),
            Err(RefusalReason::Draining) => Err(NotRunCause::Draining),
            Err(
                RefusalReason::GrantExpired | RefusalReason::NotOwned | RefusalReason::OldEpoch,
            ) => Err(NotRunCause::Fenced),
        }
    }

    fn grant(&mut self, now: TimeMs, grant: &Grant) -> GrantReply {
        GrantReply {
            running: self.running_count(),
            ..self.holder.grant(now, grant)
        }
    }

    fn revoke(&mut self, revoke: &Revoke) -> RevokeReply {
        let reply = self.holder.revoke(revoke);
        // The holder knows only requests that are checked against the grant.
        let on_units = |running: &&Running| {
            revoke.units.contains(&running.unit)
                || revoke.units.contains(&UnitId::hot_key(running.key))
        };
        RevokeReply {
            running: self.running.values().filter(on_units).count() as u32,
            ..reply
        }
    }

    fn drain(&mut self, now: TimeMs) -> DrainResponse {
        self.draining = true;
        self.holder.drain();
        self.note_report(now);
        DrainResponse {
            draining: true,
            running: self.running_count(),
        }
    }

    fn next_answer_fault(&mut self) -> Option<AnswerFault> {
        if self.faults.answer_count == 0 {
            return None;
        }
        self.faults.answer_count -= 1;
        self.faults.answers
    }

    fn work_ms(&self, now: TimeMs, work: &WorkHead) -> u64 {
        let base_ms = self.options.work_ms_of(work.rank.as_ref());
        let warmup_ms = self.options.warmup_ms;
        let ready_ms = now
            .since(self.started_at)
            .saturating_sub(self.options.starting_ms);
        let left_ms = warmup_ms.saturating_sub(ready_ms);
        let added = base_ms * self.options.warmup_percent * left_ms;
        base_ms + added.checked_div(100 * warmup_ms).unwrap_or(0)
    }

    fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    fn health(&self, now: TimeMs) -> HealthState {
        if self.draining {
            HealthState::Draining
        } else if now.since(self.started_at) < self.options.starting_ms {
            HealthState::Starting
        } else {
            HealthState::Ready
        }
    }

    fn note_report(&mut self, now: TimeMs) {
        let state = self.health(now);
        let running = self.running_count();
        self.reports.note(now, state, running);
    }

    fn lagging(&self, now: TimeMs) -> (HealthState, u32) {
        let lag_ms = self.options.report_lag_ms + self.faults.report_lag_ms;
        self.reports.report(now, lag_ms)
    }

    fn health_report(&mut self, now: TimeMs) -> HealthResponse {
        self.note_report(now);
        let state = if self.faults.reports_mislead {
            HealthState::Ready
        } else {
            self.lagging(now).0
        };
        HealthResponse { state }
    }

    fn load_report(&self, now: TimeMs) -> LoadResponse {
        let running = if self.faults.reports_mislead {
            0
        } else {
            self.lagging(now).1
        };
        LoadResponse {
            running,
            slots: self.options.slots,
        }
    }

    fn journal_report(&self) -> JournalResponse {
        let (executions, dropped) = self.journal.entries();
        JournalResponse {
            upstream: self.options.name.clone(),
            incarnation: self.incarnation,
            executions,
            dropped,
        }
    }
}
