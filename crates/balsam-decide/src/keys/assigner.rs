//! The leader: the one daemon that assigns keys.

use super::orders::{Sent, Tenures};
use super::outstanding::Holds;
use super::reachability::Reach;
use super::service::{Moment, ServiceState, tenure_key};
use super::{
    AssignerInput, AssignerOutput, Commit, CommitResult, DaemonIdentity, GrantTiming, MoveScope,
    Order, OrderId, OrderKind, OrderResult, RowVersion, StoredLead, StoredRanges,
};
use crate::directory::Upstreams;
use balsam_types::{Map, ServiceName, ServiceRanges, TimeMs, new_map};
use std::sync::Arc;

/// The time between two attempts to take the lead, in milliseconds.
const TAKE_RETRY_MS: u64 = 500;

/// The time between two attempts to read the rows, in milliseconds.
const RELOAD_RETRY_MS: u64 = 300;

/// Whether this daemon is the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Lead {
    /// The row was not read yet.
    Unread,
    /// This daemon stops and takes no part any more.
    Stopped,
    /// Another daemon is, or nobody.
    Other(StoredLead),
    /// This daemon is.
    Mine {
        version: RowVersion,
        confirmed_at: TimeMs,
        /// When no grant of an earlier leader can hold any more.
        inherited_until: TimeMs,
        /// The hold of those grants.
        inherited_hold_ms: u64,
        /// Whether all earlier leaders have sent their last order.
        have_ended: bool,
        /// Whether the rows were read since this daemon became the leader.
        is_loaded: bool,
    },
}

/// What a daemon knows of the leader that it follows, or followed last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Followed {
    /// Whether it has waited for the grants of earlier leaders.
    pub(super) is_settled: bool,
    /// Whether it gives no more orders.
    pub(super) has_ended: bool,
}

/// What the commit that is under way will write.
#[derive(Clone, Debug)]
pub(super) enum Pending {
    Lead {
        sent_at: TimeMs,
        is_first: bool,
    },
    Ranges {
        sent_at: TimeMs,
        ranges: Arc<ServiceRanges>,
    },
}

/// The leader, or a daemon that stands by to become it.
#[derive(Debug)]
pub struct Assigner {
    pub(super) me: DaemonIdentity,
    pub(super) timing: GrantTiming,
    pub(super) stagger_ms: u64,
    pub(super) lead: Lead,
    /// What is known of the leader that this daemon follows.
    pub(super) followed: Followed,
    /// The leader before this one, while its orders may still be under way.
    pub(super) predecessor: Option<DaemonIdentity>,
    /// The version of that leader's row.
    pub(super) predecessor_version: RowVersion,
    pub(super) take_at: TimeMs,
    /// Whether this daemon is about to stop.
    pub(super) is_leaving: bool,
    pub(super) services: Map<ServiceName, ServiceState>,
    pub(super) keyed: Vec<ServiceName>,
    pub(super) upstreams: Arc<Upstreams>,
    pub(super) holds: Holds,
    pub(super) reach: Reach,
    pub(super) sent: Map<OrderId, Sent>,
    pub(super) last_order: u64,
    pub(super) pending: Option<Pending>,
    pub(super) reload_at: Option<TimeMs>,
    pub(super) is_reloading: bool,
    pub(super) confirm_at: TimeMs,
}

impl Assigner {
    /// Makes a leader in waiting.
    ///
    /// `stagger_ms` differs between daemons, so that they do not all try to take the lead at once.
    pub fn new(now: TimeMs, me: DaemonIdentity, timing: GrantTiming, stagger_ms: u64) -> Self {
        Self {
            me,
            timing,
            stagger_ms,
            lead: Lead::Unread,
            followed: Followed::default(),
            predecessor: None,
            predecessor_version: RowVersion(0),
            take_at: now.after(stagger_ms),
            is_leaving: false,
            services: new_map(),
            keyed: Vec::new(),
            upstreams: Arc::new(Upstreams::default()),
            holds: Holds::default(),
            reach: Reach::new(),
            sent: new_map(),
            last_order: 0,
            pending: None,
            reload_at: Some(now),
            is_reloading: false,
            confirm_at: now,
        }
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

    /// Returns the version of the row of the leader, as far as this daemon knows.
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

    /// Takes one input and returns what is to be done.
    pub fn handle(&mut self, now: TimeMs, input: AssignerInput) -> Vec<AssignerOutput> {
        let is_routine = self.is_routine(&input);
        let mut moved = None;
        match input {
            AssignerInput::Lead(stored) => self.see_lead(now, stored),
            AssignerInput::Ranges(stored) => self.see_ranges(stored),
            AssignerInput::Reloaded => {
                self.is_reloading = false;
                self.reload_at = None;
                self.loaded(now);
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
            } => self.heard(now, incarnation, is_settled, should_replace),
            AssignerInput::Alive(daemon) => self.see_alive(now, &daemon),
            AssignerInput::Resigned(incarnation) => self.resigned(now, incarnation),
            AssignerInput::Leave => self.is_leaving = true,
            AssignerInput::Stop => self.lead = Lead::Stopped,
            AssignerInput::Behind => {
                if self.reload_at.is_none() {
                    self.reload_at = Some(now.after(RELOAD_RETRY_MS));
                }
            }
            AssignerInput::Cluster { upstreams, keyed } => {
                if self.keyed.is_empty() && !keyed.is_empty() {
                    self.keys_known(now);
                }
                self.upstreams = upstreams;
                self.keyed = keyed;
                for service in self.services.values_mut() {
                    service.plan_soon();
                }
            }
            AssignerInput::Committed(result) => self.committed(now, result),
            AssignerInput::Ordered { id, result } => moved = self.ordered(now, id, &result),
            AssignerInput::Sampled { service, report } => {
                if self.is_leading() {
                    self.service(&service).sample(now, report);
                }
                return Vec::new();
            }
            AssignerInput::NotHeld { service, key } => self.service(&service).not_held(key),
            AssignerInput::Tick => {}
        }
        let mut outputs = Vec::from_iter(moved);
        if !is_routine {
            outputs.extend(self.act(now));
        }
        outputs
    }

    /// Returns whether what follows from an input can wait for the next tick.
    ///
    /// In a large deployment the leader takes hundreds of greetings and ends of grants in a second,
    /// and looks at hundreds of ranges to find what is due.
    fn is_routine(&self, input: &AssignerInput) -> bool {
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
        let state = self.services.entry(name.clone());
        state.or_insert_with(|| ServiceState::new(name.clone()))
    }

    fn see_ranges(&mut self, stored: StoredRanges) {
        let service = stored.ranges.service.clone();
        self.service(&service).store(stored);
    }

    /// Returns whether no grant of an earlier leader can hold any more.
    pub fn is_settled(&self, now: TimeMs) -> bool {
        self.is_leading() && now >= self.inherited_until()
    }

    fn committed(&mut self, now: TimeMs, result: CommitResult) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match (result, pending) {
            (CommitResult::Done(version), Pending::Lead { sent_at, is_first }) => {
                // The first leader of all has no predecessor.
                let expiry_after_takeover_ms = if is_first {
                    0
                } else {
                    self.timing.expiry_after_takeover_ms(self.longest_hold_ms())
                };
                self.lead_taken(now, version, sent_at, now.after(expiry_after_takeover_ms));
            }
            (CommitResult::Done(version), Pending::Ranges { sent_at, ranges }) => {
                if let Lead::Mine { confirmed_at, .. } = &mut self.lead {
                    *confirmed_at = sent_at.max(*confirmed_at);
                }
                self.see_ranges(StoredRanges { version, ranges });
            }
            (CommitResult::Failed, Pending::Lead { .. }) => {
                self.take_at = now.after(TAKE_RETRY_MS + self.stagger_ms);
            }
            (CommitResult::Conflict | CommitResult::Unknown, Pending::Lead { .. }) => {
                self.take_at = now.after(self.timing.leader_timeout_ms + self.stagger_ms);
                self.reload_at = Some(now);
            }
            (
                CommitResult::Conflict | CommitResult::Unknown | CommitResult::Failed,
                Pending::Ranges { .. },
            ) => self.reload_at = Some(now.after(RELOAD_RETRY_MS / 3)),
        }
    }

    /// Notes how an order ended; returns the news if the next owner of moving keys has them now.
    fn ordered(
        &mut self,
        now: TimeMs,
        id: OrderId,
        result: &OrderResult,
    ) -> Option<AssignerOutput> {
        let sent = self.sent.remove(&id)?;
        self.reach.note(now, &sent.to, result);
        if sent.is_grant {
            match result {
                OrderResult::Granted => self.holds.ended(now, &self.timing, id, true),
                OrderResult::NoAnswer | OrderResult::Released { .. } => {
                    self.holds.ended(now, &self.timing, id, false);
                }
                OrderResult::Ended
                | OrderResult::Fenced
                | OrderResult::Refused { .. }
                | OrderResult::Unreached
                | OrderResult::NotSent => self.holds.forget(id),
            }
        }
        match result {
            OrderResult::Ended => self.holds.owner_ended(&sent.to),
            OrderResult::Released { .. } => {
                self.holds.released(&sent.service, &sent.to, sent.key.0);
            }
            _ => {}
        }
        let inherits = now < self.inherited_until();
        let service = self.services.get_mut(&sent.service)?;
        let fence = service.ordered(&sent, result, inherits)?;
        Some(AssignerOutput::Moved {
            service: sent.service,
            fence,
        })
    }

    fn act(&mut self, now: TimeMs) -> Vec<AssignerOutput> {
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
                is_loaded,
                ..
            } => {
                if now >= self.confirm_at {
                    self.confirm_at = now.after(self.timing.confirm_interval_ms);
                    outputs.push(AssignerOutput::Confirm);
                }
                // After a commit of unknown fate the rows are read before the next one; the
                // assignments that are known to be stored stay in force meanwhile.
                if is_loaded && self.reload_at.is_none() {
                    outputs.extend(self.commit_ranges(now, version));
                }
                if is_loaded {
                    self.give_orders(now, confirmed_at, &mut outputs);
                }
            }
        }
        outputs
    }

    fn commit_ranges(&mut self, now: TimeMs, lead: RowVersion) -> Option<AssignerOutput> {
        if self.pending.is_some() {
            return None;
        }
        self.reach.prune(now);
        // Keys that move while an earlier leader may order their former owner have no owner
        // meanwhile.
        let moves = if now < self.stale_until() {
            MoveScope::Needed
        } else {
            MoveScope::All
        };
        let settled_lead = self.is_alone(now).then_some(lead);
        for name in self.keyed.clone() {
            let upstreams = Arc::clone(&self.upstreams);
            let state = self.services.entry(name.clone());
            let state = state.or_insert_with(|| ServiceState::new(name));
            if let Some(ranges) = state.propose(
                now,
                &self.timing,
                &upstreams,
                &self.reach,
                moves,
                settled_lead,
            ) {
                let expected = state.stored().version;
                self.pending = Some(Pending::Ranges {
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

    fn give_orders(
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
        let inherited_until = self.inherited_until();
        let stale_until = self.stale_until();
        for (name, state) in &mut self.services {
            let due = state.due(Moment {
                now,
                timing: &self.timing,
                holds: &self.holds,
                inherited_until,
                stale_until,
                upstreams: &upstreams,
                keyed: &self.keyed,
            });
            for due in due {
                let id = Tenures::next_id(&mut self.last_order);
                let sent = Sent {
                    left_at: now,
                    service: name.clone(),
                    to: due.to.clone(),
                    key: tenure_key(&due),
                    is_grant: matches!(due.kind, OrderKind::Grant { .. }),
                    is_renewal: due.is_renewal,
                };
                self.sent.insert(id, sent);
                let timeout_ms = match due.kind {
                    OrderKind::Grant { hold_ms, .. } => {
                        self.holds.sent(id, name, &due.to, due.range, hold_ms);
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
                    send_before,
                    timeout_ms,
                }));
            }
        }
    }
}
