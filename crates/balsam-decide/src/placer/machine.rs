//! The order of the placer's decisions.

use super::reports::Reports;
use super::revocations::Revocations;
use super::summary::Summary;
use super::{PlacerContext, dispatchers, moves, planning, roster, statuses};
use crate::control::ControlState;
use crate::grants::RevokeReply;
use crate::lease::Safeguard;
use crate::node::{Decision, NodeOutput, UpstreamReport};
use balsam_types::control::{Change, Instance, LogEntry, UpstreamStatus};
use balsam_types::{Epoch, Incarnation, Map, ServiceName, TimeMs, UnitId, UpstreamName, new_map};
use std::sync::Arc;

/// What a daemon knows as the placer, or keeps ready for becoming it.
#[derive(Debug)]
pub struct Placer {
    pub(super) reports: Reports,
    pub(super) revocations: Revocations,
    pub(super) instances: Option<Arc<Vec<Instance>>>,
    /// The status of each upstream, and since when it is known.
    pub(super) status_since: Map<UpstreamName, (UpstreamStatus, TimeMs)>,
    /// When balancing moved how many units of a service.
    pub(super) balance_moves: Vec<(TimeMs, ServiceName, u64)>,
    pub(super) next_plan_at: TimeMs,
    /// The epoch at which units without an available owner could not be placed.
    pub(super) unowned_planned_at: Option<Epoch>,
    pub(super) summary: Summary,
    in_office: Option<Incarnation>,
    in_office_since: TimeMs,
}

impl Default for Placer {
    fn default() -> Self {
        Self::new()
    }
}

impl Placer {
    /// Makes the state of a daemon that knows nothing yet.
    pub fn new() -> Self {
        Self {
            reports: Reports::new(),
            revocations: Revocations::new(),
            instances: None,
            status_since: new_map(),
            balance_moves: Vec::new(),
            next_plan_at: TimeMs(0),
            unowned_planned_at: None,
            summary: Summary::default(),
            in_office: None,
            in_office_since: TimeMs(0),
        }
    }

    /// Removes a safety rule; only for tests.
    #[must_use]
    pub fn without(mut self, safeguard: Safeguard) -> Self {
        self.revocations = self.revocations.without(safeguard);
        self
    }

    /// Returns the next change to commit while this daemon is the placer.
    ///
    /// Changes that give keys an owner again come first.
    pub fn next_change(&mut self, context: &PlacerContext<'_>) -> Option<Change> {
        self.summary.follow(context.state);
        moves::finish(self, context)
            .or_else(|| statuses::change(self, context))
            .or_else(|| planning::plan_unowned(self, context))
            .or_else(|| dispatchers::assign(context))
            .or_else(|| roster::remove_silent(context))
            .or_else(|| roster::close(context))
            .or_else(|| statuses::remove(self, context))
            .or_else(|| planning::plan_balance(self, context))
    }

    /// Returns whether this daemon should become the placer.
    pub fn should_take_over(&self, context: &PlacerContext<'_>) -> bool {
        roster::should_take_over(context, self.in_office_since)
    }

    /// Takes the reports of a dispatcher; returns whether an upstream's state differs from before.
    pub fn record_reports(
        &mut self,
        now: TimeMs,
        from: Incarnation,
        reports: Vec<UpstreamReport>,
    ) -> bool {
        self.reports.take(now, from, reports)
    }

    /// Takes the platform's list of instances.
    pub fn set_instances(&mut self, instances: Arc<Vec<Instance>>) {
        self.instances = Some(instances);
    }

    /// Takes the answer to a revocation.
    pub fn handle_revoke_reply(
        &mut self,
        now: TimeMs,
        upstream: UpstreamName,
        epoch: Epoch,
        units: Vec<UnitId>,
        reply: Option<RevokeReply>,
    ) {
        self.revocations.replied(now, upstream, epoch, units, reply);
    }

    /// Returns the revocations that are due.
    pub fn revoke(&mut self, context: &PlacerContext<'_>) -> Vec<NodeOutput> {
        self.summary.follow(context.state);
        self.revocations.due(context, &self.summary.moving)
    }

    /// Discards what was learned before a pause of this daemon itself.
    pub fn resume(&mut self, now: TimeMs) {
        self.reports.clear();
        self.in_office_since = now;
    }

    /// Counts the moves of an adopted entry.
    pub fn entry_adopted(&mut self, now: TimeMs, entry: &LogEntry) {
        planning::count_moves(self, now, &entry.change);
    }

    /// Follows the adopted state.
    pub fn follow(&mut self, now: TimeMs, state: &ControlState) {
        if self.in_office != state.placer {
            self.in_office = state.placer;
            self.in_office_since = now;
        }
        self.status_since
            .retain(|name, _| state.upstreams.contains_key(name));
        for upstream in state.upstreams.values() {
            let known = self
                .status_since
                .entry(upstream.name.clone())
                .or_insert((upstream.status, now));
            if known.0 != upstream.status {
                *known = (upstream.status, now);
            }
        }
        self.reports.follow(state);
        self.revocations.follow(state);
    }

    /// Logs the decisions of a change that this daemon has committed.
    pub fn log_decisions(&self, change: &Change, out: &mut Vec<NodeOutput>) {
        let mut log = |decision| out.push(NodeOutput::Log(decision));
        match change {
            Change::UnitsMoving { service, moves } => {
                for unit_move in moves {
                    log(Decision::MoveStarted {
                        service: service.clone(),
                        unit: unit_move.unit,
                        from: unit_move.from.clone(),
                        to: unit_move.to.clone(),
                        reason: unit_move.reason,
                    });
                }
            }
            Change::UnitsOwned { service, units } => {
                for (unit, owner) in units {
                    log(Decision::Owned {
                        service: service.clone(),
                        unit: *unit,
                        owner: owner.clone(),
                        acknowledged: self.revocations.is_acknowledged(service, *unit),
                    });
                }
            }
            Change::UpstreamsChanged { upstreams } => {
                for upstream in upstreams {
                    log(Decision::UpstreamStatus {
                        upstream: upstream.name.clone(),
                        status: upstream.status,
                    });
                }
            }
            Change::DispatchersAssigned { pairs } => {
                for (upstream, dispatcher) in pairs {
                    log(Decision::Dispatcher {
                        upstream: upstream.clone(),
                        dispatcher: *dispatcher,
                    });
                }
            }
            _ => {}
        }
    }
}
