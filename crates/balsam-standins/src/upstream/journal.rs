//! The bounded journal of executions.

use super::{ExecutionId, Finish, WorkHead};
use balsam_types::TimeMs;
use balsam_wire::upstream::{Execution, ExecutionEnd};
use std::collections::VecDeque;

/// Executions in the order of their start.
#[derive(Debug)]
pub struct Journal {
    executions: VecDeque<Execution>,
    dropped: u64,
    limit: usize,
}

impl Journal {
    /// Makes a journal that keeps the newest `limit` executions.
    pub const fn new(limit: usize) -> Self {
        Self {
            executions: VecDeque::new(),
            dropped: 0,
            limit,
        }
    }

    /// Adds an execution that begins now and returns its id.
    pub fn begin(&mut self, now: TimeMs, work: &WorkHead) -> ExecutionId {
        let id = ExecutionId(self.dropped + self.executions.len() as u64);
        self.executions.push_back(Execution {
            key: work.key.text.as_ref().to_owned(),
            key_hash: work.key.hash,
            unit: work.unit.unwrap_or_default(),
            epoch: work.epoch.unwrap_or_default(),
            order_id: work.order_id.clone(),
            rank: work.rank.clone(),
            member: work.member.clone(),
            started_at_ms: now,
            ended_at_ms: None,
            last_check_ms: now,
            end: ExecutionEnd::Running,
        });
        if self.executions.len() > self.limit {
            self.executions.pop_front();
            self.dropped += 1;
        }
        id
    }

    /// Notes that the execution's grant was valid at `now`.
    pub fn checked(&mut self, now: TimeMs, id: ExecutionId) {
        if let Some(execution) = self.find(id) {
            execution.last_check_ms = now;
        }
    }

    /// Notes the end of an execution.
    pub fn end(&mut self, now: TimeMs, id: ExecutionId, finish: Finish, after_effect: bool) {
        if let Some(execution) = self.find(id) {
            execution.ended_at_ms = Some(now);
            execution.end = match finish {
                Finish::Complete => ExecutionEnd::Committed,
                Finish::Aborted(cause) => ExecutionEnd::Aborted {
                    cause,
                    after_effect,
                },
            };
        }
    }

    /// Returns the kept executions and the number of dropped ones.
    pub fn entries(&self) -> (Vec<Execution>, u64) {
        (self.executions.iter().cloned().collect(), self.dropped)
    }

    fn find(&mut self, id: ExecutionId) -> Option<&mut Execution> {
        let index = id.0.checked_sub(self.dropped)?;
        self.executions.get_mut(index as usize)
    }
}
