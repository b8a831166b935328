//! The placer state machine and the order of its decisions.

use super::reports::Reports;
use super::revocations::Revocations;
use super::summary::PlacementSummary;
use super::{PlacerContext, dispatchers, moves, planning, roster, statuses};
use crate::control::ControlState;
use crate::grants::RevokeReply;
use crate::lease::Safeguard;
use crate::node::{Decision, NodeOutput, UpstreamReport};
use balsam_types::control::{Change, Instance, LogEntry, UpstreamStatus};
use balsam_types::{Epoch, Incarnation, Map, ServiceName, TimeMs, UnitId, UpstreamName, new_map};
use std::sync::Arc;

/// The placer's state.
///
/// Every daemon maintains it, so that any of them can become the placer.
#[derive(Debug)]
pub struct Placer {
    pub(super) reports: Reports,
    pub(super) revocations: Revocations,
    pub(super) instances: Option<Arc<Vec<Instance>>>,
    /// The status of each upstream, and when this daemon first saw that status.
    pub(super) status_since: Map<UpstreamName, (UpstreamStatus, TimeMs)>,
    /// Recent balancing moves: when they were adopted, the service, and the number of units.
    pub(super) balance_moves: Vec<(TimeMs, ServiceName, u64)>,
    pub(super) next_plan_at: TimeMs,
    /// The epoch at which no change for units without an available owner was found.
    pub(super) unowned_planned_epoch: Option<Epoch>,
    pub(super) summary: PlacementSummary,
    /// The placer according to the adopted state.
    leader: Option<Incarnation>,
    /// When this daemon adopted the state that names it, or resumed after a pause.
    leader_since: TimeMs,
}

impl Default for Placer {
    fn default() -> Self {
        Self::new()
    }
}

impl Placer {
    /// Creates the state of a daemon that has not observed anything yet.
    pub fn new() -> Self {
        Self {
            reports: Reports::new(),
            revocations: Revocations::new(),
            instances: None,
            status_since: new_map(),
            balance_moves: Vec::new(),
            next_plan_at: TimeMs(0),
            unowned_planned_epoch: None,
            summary: PlacementSummary::default(),
            leader: None,
            leader_since: TimeMs(0),
        }
    }

    /// Disables a safety rule; only for tests.
    #[must_use]
    pub fn without(mut self, safeguard: Safeguard) -> Self {
        self.revocations = self.revocations.without(safeguard);
        self
    }

    /// Returns the next change to commit while this daemon is the placer.
    ///
    /// Changes that give keys an owner again come first, because those keys are not served
    /// meanwhile.
    pub fn next_change(&mut self, context: &PlacerContext<'_>) -> Option<Change> {
        self.summary.follow(context.state);
        moves::finish(self, context)
            .or_else(|| statuses::change(self, context))
            .or_else(|| planning::plan_unowned(self, context))
            .or_else(|| dispatchers::assign(context))
            .or_else(|| roster::remove_unresponsive(context))
            .or_else(|| roster::close_rosters(context))
            .or_else(|| statuses::remove(self, context))
            .or_else(|| planning::plan_balance(self, context))
    }

    /// Returns whether this daemon should become the placer.
    pub fn should_take_over(&self, context: &PlacerContext<'_>) -> bool {
        roster::should_take_over(context, self.leader_since)
    }

    /// Records the reports of a dispatcher; returns whether the reported state of any upstream has
    /// changed.
    pub fn record_reports(
        &mut self,
        now: TimeMs,
        from: Incarnation,
        reports: Vec<UpstreamReport>,
    ) -> bool {
        self.reports.record(now, from, reports)
    }

    /// Replaces the platform's list of instances.
    pub fn set_instances(&mut self, instances: Arc<Vec<Instance>>) {
        self.instances = Some(instances);
    }

    /// Handles the reply to a revocation; `None` means that the upstream did not reply.
    pub fn handle_revoke_reply(
        &mut self,
        now: TimeMs,
        upstream: UpstreamName,
        epoch: Epoch,
        units: Vec<UnitId>,
        reply: Option<RevokeReply>,
    ) {
        self.revocations
            .handle_reply(now, upstream, epoch, units, reply);
    }

    /// Returns the revocations to send now.
    pub fn revoke(&mut self, context: &PlacerContext<'_>) -> Vec<NodeOutput> {
        self.summary.follow(context.state);
        self.revocations.due(context, &self.summary.moving)
    }

    /// Discards the reports from before a pause of this daemon, because they may be outdated.
    ///
    /// The time that a new placer has before it can be replaced starts again.
    pub fn resume(&mut self, now: TimeMs) {
        self.reports.clear();
        self.leader_since = now;
    }

    /// Counts the balancing moves of an adopted log entry towards the limit per minute.
    pub fn entry_adopted(&mut self, now: TimeMs, entry: &LogEntry) {
        planning::count_moves(self, now, &entry.change);
    }

    /// Updates the tracked state after this daemon has adopted `state`.
    pub fn follow(&mut self, now: TimeMs, state: &ControlState) {
        if self.leader != state.placer {
            self.leader = state.placer;
            self.leader_since = now;
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
