//! State machine of the leader, which assigns keys, and of the daemons that stand by to replace it.

use super::era::{EraState, RestoredTerm};
use super::evidence::{EndedOwners, FreedRange};
use super::orders::{ProgressMap, SentOrder};
use super::outstanding::OutstandingGrants;
use super::reachability::Reachability;
use super::service::{KnownUpstreams, OrderContext, PlanContext, ServiceState, assignment_key};
use super::{
    AssignerInput, AssignerOutput, Commit, CommitResult, DaemonIdentity, GrantTiming, MoveScope,
    Order, OrderId, OrderKind, OrderResult, RowVersion, StoredLead, StoredRanges,
};
use crate::directory::Upstreams;
use crate::evacuation::EvacuatedZones;
use balsam_types::{Map, ServiceName, ServiceRanges, TimeMs, new_map};
use std::sync::Arc;

/// Delay before another attempt to become leader, in milliseconds.
const ELECTION_RETRY_MS: u64 = 500;

/// Delay before another attempt to read the rows, in milliseconds.
const RELOAD_RETRY_MS: u64 = 300;

/// What this daemon knows about who is the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Lead {
    /// The leader's row has not been read yet.
    Unread,
    /// This daemon stops and takes no further part.
    Stopped,
    /// Another daemon is the leader, or there is none.
    Other(StoredLead),
    /// This daemon is the leader.
    Mine {
        version: RowVersion,
        confirmed_at: TimeMs,
        /// When all grants of earlier leaders have expired.
        inherited_grants_until: TimeMs,
        /// The longest duration of those grants.
        inherited_hold_ms: u64,
        /// Whether all earlier leaders have sent their last order.
        have_predecessors_ended: bool,
        /// Whether the rows have been read since this daemon became the leader.
        has_loaded_rows: bool,
        /// Whether there has never been a leader before.
        is_first: bool,
        /// Which grants are permitted until the inherited ones have expired, if the rows may lack
        /// assignments that were made before the store was restored.
        restored: Option<RestoredTerm>,
    },
}

/// What a standby daemon knows about the current leader, or about the last one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct FollowedLeader {
    /// When this daemon learned of its election.
    pub(super) since: TimeMs,
    /// Whether all grants of the leaders before it have expired.
    pub(super) is_settled: bool,
    /// Whether it has sent its last order.
    pub(super) has_ended: bool,
}

/// The commit in flight.
#[derive(Clone, Debug)]
pub(super) enum PendingCommit {
    Lead {
        sent_at: TimeMs,
        is_first: bool,
    },
    Ranges {
        sent_at: TimeMs,
        ranges: Arc<ServiceRanges>,
    },
}

/// The leader, or a standby that may become the leader.
#[derive(Debug)]
pub struct Assigner {
    pub(super) me: DaemonIdentity,
    pub(super) timing: GrantTiming,
    /// Delay before attempts to become leader, which differs between daemons.
    pub(super) stagger_ms: u64,
    pub(super) lead: Lead,
    /// The leader that this daemon follows.
    pub(super) followed: FollowedLeader,
    /// The leader before this daemon, while its orders may still be in flight.
    pub(super) predecessor: Option<DaemonIdentity>,
    /// The version of the predecessor's row.
    pub(super) predecessor_version: RowVersion,
    /// When this daemon's turn comes to become the first leader of a deployment.
    pub(super) first_turn_at: TimeMs,
    /// When this daemon tries to become leader, unless a heartbeat postpones it.
    pub(super) election_at: TimeMs,
    /// Whether this daemon is about to stop.
    pub(super) is_leaving: bool,
    pub(super) services: Map<ServiceName, ServiceState>,
    /// The services whose keys have one owner each.
    pub(super) keyed: Vec<ServiceName>,
    pub(super) upstreams: Arc<Upstreams>,
    /// The zones whose upstreams should own no keys.
    pub(super) evacuated: Arc<EvacuatedZones>,
    pub(super) outstanding: OutstandingGrants,
    /// Owners at whose addresses other upstreams have answered.
    pub(super) ended: EndedOwners,
    pub(super) reachability: Reachability,
    /// Orders in flight.
    pub(super) sent: Map<OrderId, SentOrder>,
    pub(super) last_order: u64,
    pub(super) pending: Option<PendingCommit>,
    /// When the rows are to be read again; `None` if they are up to date as far as is known.
    pub(super) reload_at: Option<TimeMs>,
    pub(super) is_reloading: bool,
    /// When the store is next asked whether this daemon is still the leader.
    pub(super) confirm_at: TimeMs,
    /// The era of the store, and what this daemon did before it began.
    pub(super) era: EraState,
    /// The ranges that have become free since they were last taken.
    freed: Vec<FreedRange>,
}

impl Assigner {
    /// Creates a standby.
    ///
    /// `stagger_ms` differs between daemons, so that they do not all try to become leader at once.
    pub fn new(now: TimeMs, me: DaemonIdentity, timing: GrantTiming, stagger_ms: u64) -> Self {
        Self {
            me,
            timing,
            stagger_ms,
            lead: Lead::Unread,
            followed: FollowedLeader::default(),
            predecessor: None,
            predecessor_version: RowVersion(0),
            first_turn_at: now.after(stagger_ms),
            election_at: now.after(stagger_ms),
            is_leaving: false,
            services: new_map(),
            keyed: Vec::new(),
            upstreams: Arc::new(Upstreams::default()),
            evacuated: Arc::default(),
            outstanding: OutstandingGrants::default(),
            ended: EndedOwners::new(),
            reachability: Reachability::new(),
            sent: new_map(),
            last_order: 0,
            pending: None,
            reload_at: Some(now),
            is_reloading: false,
            confirm_at: now,
            era: EraState::default(),
            freed: Vec::new(),
        }
    }

    /// Sets whether the whole deployment starts for the first time, so that a missing leader row
    /// shows that there has never been a leader.
    #[must_use]
    pub const fn with_first_start(mut self, is_first_start: bool) -> Self {
        self.era.is_first_start = is_first_start;
        self
    }

    /// Delays the first read of the rows. The heartbeat of a leader that arrives sooner replaces it.
    #[must_use]
    pub fn with_first_read_delay(mut self, delay_ms: u64) -> Self {
        self.reload_at = self.reload_at.map(|at| at.after(delay_ms));
        self
    }

    /// Returns whether this daemon is the leader, as far as it knows.
    pub const fn is_leading(&self) -> bool {
        matches!(self.lead, Lead::Mine { .. })
    }

    /// Returns the leader that this daemon knows of.
    pub fn leader(&self) -> Option<&DaemonIdentity> {
        match &self.lead {
            Lead::Unread | Lead::Stopped => None,
            Lead::Other(stored) => stored.leader.as_ref(),
            Lead::Mine { .. } => Some(&self.me),
        }
    }

    /// Returns the version of the leader's row, as far as this daemon knows.
    pub const fn lead_version(&self) -> RowVersion {
        match &self.lead {
            Lead::Unread | Lead::Stopped => RowVersion(0),
            Lead::Other(stored) => stored.version,
            Lead::Mine { version, .. } => *version,
        }
    }

    /// Returns the stored assignments of a service and their version.
    pub fn stored(&self, service: &ServiceName) -> Option<&StoredRanges> {
        self.services.get(service).map(ServiceState::stored)
    }

    /// Returns the ranges whose keys have become free for their next owners since the last call.
    pub fn take_freed(&mut self) -> Vec<FreedRange> {
        std::mem::take(&mut self.freed)
    }

    /// Processes one input and returns the actions that follow from it.
    pub fn handle(&mut self, now: TimeMs, input: AssignerInput) -> Vec<AssignerOutput> {
        let can_wait_for_tick = self.can_wait_for_tick(&input);
        let mut moved = None;
        match input {
            AssignerInput::Era(era) => self.enter_era(now, era),
            AssignerInput::Lead(stored) => self.observe_lead(now, stored),
            AssignerInput::Ranges(stored) => self.observe_ranges(now, stored),
            AssignerInput::Reloaded => {
                self.is_reloading = false;
                self.reload_at = self.first_turn_after(now);
                self.rows_loaded(now);
            }
            AssignerInput::ReloadFailed => {
                self.is_reloading = false;
                self.reload_at = Some(now.after(RELOAD_RETRY_MS));
            }
            AssignerInput::Confirmed { asked_at, version } => {
                self.confirmed(now, asked_at, version);
            }
            AssignerInput::Heard {
                incarnation,
                is_settled,
                should_replace,
            } => self.heartbeat_received(now, incarnation, is_settled, should_replace),
            AssignerInput::Alive(daemon) => self.observe_daemon(now, &daemon),
            AssignerInput::Resigned(incarnation) => self.resigned(now, incarnation),
            AssignerInput::Leave => self.is_leaving = true,
            AssignerInput::Stop => self.lead = Lead::Stopped,
            AssignerInput::Behind => {
                if self.reload_at.is_none() {
                    self.reload_at = Some(now.after(RELOAD_RETRY_MS));
                }
            }
            AssignerInput::Cluster { upstreams, keyed } => {
                self.upstreams = upstreams;
                self.keyed = keyed;
                self.request_plans();
            }
            AssignerInput::Evacuated(evacuated) => {
                self.evacuated = evacuated;
                self.request_plans();
            }
            AssignerInput::Committed(result) => self.committed(now, result),
            AssignerInput::Ordered { id, result } => moved = self.ordered(now, id, &result),
            AssignerInput::Sampled { service, report } => {
                if self.is_leading() {
                    self.service(&service).add_report(now, report);
                }
                return Vec::new();
            }
            AssignerInput::NotHeld { service, key } => self.service(&service).not_held(key),
            AssignerInput::Tick => {}
        }
        let mut outputs = Vec::from_iter(moved);
        if !can_wait_for_tick {
            outputs.extend(self.due_outputs(now));
        }
        outputs
    }

    /// Returns whether the actions that follow from an input can wait for the next tick.
    ///
    /// In a large deployment the leader receives hundreds of greetings and acknowledged grants per
    /// second, while each search for due actions visits hundreds of ranges.
    fn can_wait_for_tick(&self, input: &AssignerInput) -> bool {
        self.is_leading()
            && match input {
                AssignerInput::Alive(_)
                | AssignerInput::Resigned(_)
                | AssignerInput::Heard { .. } => true,
                AssignerInput::Ordered { id, result } => {
                    let sent = self.sent.get(id);
                    let is_renewed = sent.is_some_and(|sent| sent.is_renewal);
                    is_renewed || *result == OrderResult::NotSent
                }
                _ => false,
            }
    }

    fn service(&mut self, name: &ServiceName) -> &mut ServiceState {
        let era = self.era.current;
        let state = self.services.entry(name.clone());
        state.or_insert_with(|| ServiceState::new(name.clone(), era))
    }

    fn request_plans(&mut self) {
        for service in self.services.values_mut() {
            service.request_plan();
        }
    }

    fn observe_ranges(&mut self, now: TimeMs, stored: StoredRanges) {
        self.enter_era(now, stored.version.era());
        let service = stored.ranges.service.clone();
        if self.service(&service).store(stored) {
            // Another daemon may have given keys away that this one believes to be held.
            self.era.ended_term = None;
        }
    }

    /// Returns whether this daemon is the leader and all grants of earlier leaders have expired.
    pub fn is_settled(&self, now: TimeMs) -> bool {
        self.is_leading() && now >= self.inherited_grants_until()
    }

    /// Handles the result of the commit in flight.
    fn committed(&mut self, now: TimeMs, result: CommitResult) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match (result, pending) {
            (CommitResult::Done(version), PendingCommit::Lead { sent_at, is_first }) => {
                // The first leader of a deployment has no predecessor.
                self.become_leader(now, version, sent_at, is_first);
            }
            (CommitResult::Done(version), PendingCommit::Ranges { sent_at, ranges }) => {
                if let Lead::Mine { confirmed_at, .. } = &mut self.lead {
                    *confirmed_at = sent_at.max(*confirmed_at);
                }
                let service = ranges.service.clone();
                self.service(&service)
                    .store(StoredRanges { version, ranges });
            }
            (CommitResult::Failed, PendingCommit::Lead { .. }) => {
                self.election_at = now.after(ELECTION_RETRY_MS + self.stagger_ms);
            }
            (CommitResult::Conflict | CommitResult::Unknown, PendingCommit::Lead { .. }) => {
                self.election_at = now.after(self.timing.leader_timeout_ms + self.stagger_ms);
                self.reload_at = Some(now);
            }
            (
                CommitResult::Conflict | CommitResult::Unknown | CommitResult::Failed,
                PendingCommit::Ranges { .. },
            ) => self.reload_at = Some(now.after(RELOAD_RETRY_MS / 3)),
        }
    }

    /// Records the result of an order. Returns an output if it shows that the next owner of a
    /// moving range now holds its keys.
    fn ordered(
        &mut self,
        now: TimeMs,
        id: OrderId,
        result: &OrderResult,
    ) -> Option<AssignerOutput> {
        let sent = self.sent.remove(&id)?;
        self.reachability.record_result(now, &sent.to, result);
        if sent.is_grant {
            match result {
                OrderResult::Granted => self.outstanding.ended(now, &self.timing, id, true),
                OrderResult::NoAnswer | OrderResult::Released { .. } => {
                    self.outstanding.ended(now, &self.timing, id, false);
                }
                OrderResult::Ended { .. }
                | OrderResult::Fenced
                | OrderResult::Refused { .. }
                | OrderResult::Unreached
                | OrderResult::NotSent => self.outstanding.forget(id),
            }
        }
        match result {
            OrderResult::Ended {
                successor,
                takes_orders,
            } => {
                self.outstanding.owner_ended(&sent.to);
                self.ended.record(now, &sent.to, successor, *takes_orders);
            }
            OrderResult::Released { .. } => {
                let (range, fence) = sent.key;
                self.outstanding
                    .released(&sent.service, &sent.to, range, fence);
            }
            _ => {}
        }
        let service = self.services.get_mut(&sent.service)?;
        let fence = service.ordered(&sent, result)?;
        Some(AssignerOutput::Moved {
            service: sent.service,
            fence,
        })
    }

    /// Returns the reads, commits and orders that are due.
    fn due_outputs(&mut self, now: TimeMs) -> Vec<AssignerOutput> {
        let mut outputs = Vec::new();
        if !self.is_reloading && self.reload_at.is_some_and(|at| at <= now) {
            self.is_reloading = true;
            outputs.push(AssignerOutput::Reload);
        }
        match self.lead.clone() {
            Lead::Unread | Lead::Stopped => {}
            Lead::Other(stored) => outputs.extend(self.take_lead(now, &stored)),
            Lead::Mine {
                version,
                confirmed_at,
                has_loaded_rows,
                ..
            } => {
                if now >= self.confirm_at {
                    self.confirm_at = now.after(self.timing.confirm_interval_ms);
                    outputs.push(AssignerOutput::Confirm);
                }
                // After a commit with an unknown result, the rows are read before the next commit.
                // Meanwhile the assignments that were last known to be stored stay in force.
                if has_loaded_rows && self.reload_at.is_none() {
                    outputs.extend(self.commit_ranges(now, version));
                }
                if has_loaded_rows {
                    self.issue_orders(now, confirmed_at, &mut outputs);
                }
            }
        }
        outputs
    }

    /// Returns a commit of changed assignments, if any service needs one and none is in flight.
    fn commit_ranges(&mut self, now: TimeMs, lead: RowVersion) -> Option<AssignerOutput> {
        if self.pending.is_some() {
            return None;
        }
        self.reachability.prune(now);
        // While an earlier leader may still give orders to a former owner, its release is not
        // conclusive. A range that started to move now would be without an owner until then.
        let moves = if now < self.stale_orders_until() {
            MoveScope::Needed
        } else {
            MoveScope::All
        };
        let settled_lead = self.have_earlier_leaders_ended(now).then_some(lead);
        let is_restored = self.restored_term(now).is_some();
        for name in self.keyed.clone() {
            let known = KnownUpstreams {
                upstreams: &self.upstreams,
                evacuated: &self.evacuated,
                reachability: &self.reachability,
            };
            let state = self.services.entry(name.clone());
            let state = state.or_insert_with(|| ServiceState::new(name, lead.era()));
            let proposed = state.propose(PlanContext {
                now,
                era: lead.era(),
                timing: &self.timing,
                known,
                moves,
                settled_lead,
                is_restored,
            });
            if let Some(ranges) = proposed {
                let expected = state.stored().version;
                self.pending = Some(PendingCommit::Ranges {
                    sent_at: now,
                    ranges: Arc::clone(&ranges),
                });
                return Some(AssignerOutput::Commit(Commit::Assign {
                    lead,
                    expected,
                    ranges,
                }));
            }
        }
        None
    }

    /// Appends the orders that are due, unless this daemon's right to give orders has expired.
    fn issue_orders(
        &mut self,
        now: TimeMs,
        confirmed_at: TimeMs,
        outputs: &mut Vec<AssignerOutput>,
    ) {
        let send_before = confirmed_at.after(self.timing.leader_lease_ms);
        if now >= send_before {
            return;
        }
        let upstreams = Arc::clone(&self.upstreams);
        let inherited_grants_until = self.inherited_grants_until();
        let stale_orders_until = self.stale_orders_until();
        let restored = self.restored_term(now);
        for (name, state) in &mut self.services {
            let due = state.due(OrderContext {
                now,
                timing: &self.timing,
                outstanding: &self.outstanding,
                ended: &self.ended,
                inherited_grants_until,
                stale_orders_until,
                restored,
                upstreams: &upstreams,
            });
            for mut due in due {
                self.freed.append(&mut due.freed);
                let id = ProgressMap::next_id(&mut self.last_order);
                let sent = SentOrder {
                    issued_at: now,
                    service: name.clone(),
                    to: due.to.clone(),
                    key: assignment_key(&due),
                    is_grant: matches!(due.kind, OrderKind::Grant { .. }),
                    is_renewal: due.is_renewal,
                };
                self.sent.insert(id, sent);
                let timeout_ms = match due.kind {
                    OrderKind::Grant { hold_ms, .. } => {
                        self.outstanding.sent(id, name, &due, hold_ms);
                        self.timing.grant_timeout_ms
                    }
                    OrderKind::Release => self.timing.release_timeout_ms,
                };
                outputs.push(AssignerOutput::Order(Order {
                    id,
                    service: name.clone(),
                    to: due.to,
                    range: due.range,
                    fence: due.fence,
                    kind: due.kind,
                    ends_move: due.ends_move,
                    send_before,
                    timeout_ms,
                }));
            }
        }
    }
}
