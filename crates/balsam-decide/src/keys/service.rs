//! The leader's state for the assignments of one service.

use super::era::RestoredTerm;
use super::evidence::{EndedOwners, FreedBy, FreedRange};
use super::orders::{AssignmentKey, ProgressMap, SentOrder};
use super::reachability::Reachability;
use super::{
    Candidate, GrantTiming, KeySamples, LoadReport, MoveScope, OrderKind, OrderResult,
    ResponseTimes, RowVersion, StoredRanges, plan,
};
use crate::directory::Upstreams;
use crate::evacuation::EvacuatedZones;
use balsam_types::{
    Assignment, FencingToken, KeyRange, Map, Owner, ServiceName, ServiceRanges, ShardKey, StoreEra,
    TimeMs, UpstreamName, new_map, new_set,
};
use std::sync::Arc;

/// Interval between two plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 250;

/// How long the set of upstreams must stay the same before the first assignment, in milliseconds;
/// the upstreams of a new deployment start one after another.
const FIRST_ASSIGNMENT_DELAY_MS: u64 = 800;

/// Delay before a grant that was not acknowledged is sent again, in milliseconds.
const GRANT_RETRY_MS: u64 = 150;

/// Delay before a release is sent again, in milliseconds.
const RELEASE_RETRY_MS: u64 = 300;

/// Interval between two commits that only end moves, in milliseconds. They are not urgent, because
/// the new owners already hold their keys.
const MOVE_END_INTERVAL_MS: u64 = 500;

/// Weight of an upstream that is still warming up, in percent of its slots.
const WARMUP_WEIGHT_PERCENT: f64 = 50.0;

/// An order that is to be sent now.
#[derive(Debug)]
pub(super) struct DueOrder {
    pub(super) to: Owner,
    pub(super) range: KeyRange,
    pub(super) fence: FencingToken,
    pub(super) kind: OrderKind,
    /// Whether the owner has already acknowledged a grant of the same assignment.
    pub(super) is_renewal: bool,
    /// Whether this is the first grant of a moving range to its next owner.
    pub(super) ends_move: bool,
    /// What shows that the former owners hold none of the keys, if this is the first attempt to end
    /// the move.
    pub(super) freed: Vec<FreedRange>,
}

/// The state outside a service that its orders depend on.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderContext<'a> {
    pub(super) now: TimeMs,
    pub(super) timing: &'a GrantTiming,
    pub(super) outstanding: &'a super::outstanding::OutstandingGrants,
    pub(super) ended: &'a EndedOwners,
    /// When all grants of earlier leaders have expired.
    pub(super) inherited_grants_until: TimeMs,
    /// When orders of earlier leaders can no longer arrive.
    pub(super) stale_orders_until: TimeMs,
    /// Which grants are permitted, if the store has lost assignments by which keys may be held.
    pub(super) restored: Option<RestoredTerm>,
    pub(super) upstreams: &'a Upstreams,
}

/// The state outside a service that its plan depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlanContext<'a> {
    pub(super) now: TimeMs,
    pub(super) era: StoreEra,
    pub(super) timing: &'a GrantTiming,
    pub(super) known: KnownUpstreams<'a>,
    pub(super) moves: MoveScope,
    /// The version of this daemon's row as leader, if all earlier leaders have ended.
    pub(super) settled_lead: Option<RowVersion>,
    /// Whether grants of assignments that a restored store has lost may be in force. Another upstream
    /// may then hold the keys of an owner that has seen a higher token.
    pub(super) is_restored: bool,
}

/// What is known of the upstreams that may own keys.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownUpstreams<'a> {
    pub(super) upstreams: &'a Upstreams,
    pub(super) evacuated: &'a EvacuatedZones,
    pub(super) reachability: &'a Reachability,
}

/// The stored assignments of one service and the progress of their orders.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// The assignments, with the version that their row has in the store. After a restoration they
    /// may be newer than the row.
    stored: StoredRanges,
    /// The era in which the assignments were read or written.
    ranges_era: StoreEra,
    samples: KeySamples,
    answers: ResponseTimes,
    /// The relative latency of the upstreams, and when it was computed.
    relative_latency: (TimeMs, Map<UpstreamName, f64>),
    progress_map: ProgressMap,
    planned_at: TimeMs,
    /// Whether a change makes a plan due before the interval has passed.
    is_plan_requested: bool,
    moves_ended_at: TimeMs,
    /// The number of candidates, and since when it has been the same.
    candidates: (usize, TimeMs),
}

impl ServiceState {
    /// Creates the state of a service without a row.
    pub(super) fn new(service: ServiceName, era: StoreEra) -> Self {
        Self {
            stored: StoredRanges {
                version: RowVersion::absent(era),
                ranges: Arc::new(ServiceRanges::new(service)),
            },
            ranges_era: era,
            samples: KeySamples::new(),
            answers: ResponseTimes::new(),
            relative_latency: (TimeMs(0), new_map()),
            progress_map: ProgressMap::new(),
            planned_at: TimeMs(0),
            is_plan_requested: true,
            moves_ended_at: TimeMs(0),
            candidates: (0, TimeMs(0)),
        }
    }

    /// Adopts a row if it is newer than the known one. Returns whether the assignments were replaced.
    ///
    /// A row of a restored store that no leader of its era has written is older than the assignments
    /// of an earlier era. Those are kept, because upstreams hold keys by them.
    pub(super) fn store(&mut self, stored: StoredRanges) -> bool {
        if stored.version <= self.stored.version {
            return false;
        }
        self.is_plan_requested = true;
        let is_older = self.ranges_era < stored.version.era()
            && stored.ranges.next_fence <= self.stored.ranges.next_fence
            && !self.stored.ranges.assignments.is_empty();
        if is_older {
            let long_hold_ms = stored.ranges.long_hold_ms;
            if long_hold_ms > self.stored.ranges.long_hold_ms {
                Arc::make_mut(&mut self.stored.ranges).long_hold_ms = long_hold_ms;
            }
            self.stored.version = stored.version;
            return false;
        }
        self.progress_map.retain(&stored.ranges.assignments);
        self.ranges_era = stored.version.era();
        self.stored = stored;
        true
    }

    /// Records that the store was restored. Until it is read again, the row counts as missing.
    pub(super) fn enter_era(&mut self, era: StoreEra) {
        self.stored.version = self.stored.version.max(RowVersion::absent(era));
    }

    /// Returns the row as last stored.
    pub(super) const fn stored(&self) -> &StoredRanges {
        &self.stored
    }

    /// Discards the progress of orders that this daemon gave during an earlier term as leader.
    pub(super) fn discard_progress(&mut self) {
        self.progress_map = ProgressMap::new();
    }

    /// Makes the next plan due at once.
    pub(super) const fn request_plan(&mut self) {
        self.is_plan_requested = true;
    }

    /// Adds the requests that a daemon reported.
    pub(super) fn add_report(&mut self, now: TimeMs, report: LoadReport) {
        self.samples.add(now, report.keys);
        self.answers.add(now, report.answers);
    }

    /// Makes a grant due at once, because the owner says that it does not hold the key.
    pub(super) fn not_held(&mut self, key: ShardKey) {
        let Some(found) = self.stored.ranges.find(key) else {
            return;
        };
        let progress = self.progress_map.of(found);
        if progress.is_granted && !progress.is_granting {
            progress.granted_at = None;
        }
    }

    /// Returns the orders that are due and marks them as in flight.
    pub(super) fn due(&mut self, context: OrderContext<'_>) -> Vec<DueOrder> {
        let stored = self.stored.clone();
        let service = &stored.ranges.service;
        let mut due = Vec::new();
        for assignment in &stored.ranges.assignments {
            if let Some(RestoredTerm { renewable_below }) = context.restored
                && (assignment.is_moving() || assignment.fence >= renewable_below)
            {
                continue;
            }
            let mut is_free = true;
            let mut freed = Vec::new();
            // A range that moves back may have its owner among the former ones. Nobody else gets the
            // keys that the owner still holds, so it has nothing to release.
            let others = assignment.former.iter();
            for former in others.filter(|former| **former != assignment.owner) {
                if let Some(by) = self.freed_by(context, service, assignment, former) {
                    freed.push(FreedRange {
                        service: service.clone(),
                        range: assignment.range,
                        fence: assignment.fence,
                        former: former.clone(),
                        by,
                    });
                } else {
                    is_free = false;
                    due.extend(self.release(context, assignment, former));
                }
            }
            if is_free {
                due.extend(self.grant(context, assignment, freed));
            }
        }
        due
    }

    /// Returns what shows that a former owner holds no key of an assignment's range, or `None` if it
    /// may hold some.
    fn freed_by(
        &self,
        context: OrderContext<'_>,
        service: &ServiceName,
        assignment: &Assignment,
        former: &Owner,
    ) -> Option<FreedBy> {
        let inherited_grants_until = context.inherited_grants_until;
        let ended = context.ended;
        if let Some(successor) = ended.successor(context.now, former, inherited_grants_until) {
            return Some(FreedBy::Successor(successor.clone()));
        }
        if context
            .outstanding
            .may_hold(context.now, service, former, assignment.range)
        {
            return None;
        }
        let progress = self.progress_map.get(assignment);
        let released_at = progress.and_then(|progress| progress.release_sent_at(former));
        // A restarted upstream forgets the release, and an earlier leader could then still grant it
        // the keys. A release is conclusive only if it was sent after the last order of all earlier
        // leaders.
        let has_released = released_at.is_some_and(|sent_at| sent_at >= context.stale_orders_until);
        let has_expired = context.now >= inherited_grants_until;
        match (has_released, has_expired) {
            (true, _) => Some(FreedBy::Release),
            (false, true) => Some(FreedBy::Expiry),
            (false, false) => None,
        }
    }

    /// Returns a release for a former owner, unless one is in flight or was sent recently.
    fn release(
        &mut self,
        context: OrderContext<'_>,
        assignment: &Assignment,
        former: &Owner,
    ) -> Option<DueOrder> {
        let progress = self.progress_map.of(assignment);
        let waits = progress
            .released_at
            .is_some_and(|sent| context.now.since(sent) < RELEASE_RETRY_MS);
        let waits = waits
            || progress.release_sent_at(former).is_some()
                && context.now < context.stale_orders_until;
        if progress.releasing.contains(former) || waits {
            return None;
        }
        progress.releasing.push(former.clone());
        progress.released_at = Some(context.now);
        Some(DueOrder {
            to: former.clone(),
            range: assignment.range,
            fence: assignment.fence,
            kind: OrderKind::Release,
            is_renewal: false,
            ends_move: false,
            freed: Vec::new(),
        })
    }

    /// Returns a grant or renewal for the owner, if one is due.
    fn grant(
        &mut self,
        context: OrderContext<'_>,
        assignment: &Assignment,
        mut freed: Vec<FreedRange>,
    ) -> Option<DueOrder> {
        // Grants of an upstream that was removed or restarted are not renewed and expire.
        let discovered = context.upstreams.get(&assignment.owner.upstream)?;
        if discovered.entry.born != assignment.owner.born {
            return None;
        }
        let hold_ms = context.timing.hold_ms(self.stored.ranges.long_hold_ms);
        let progress = self.progress_map.of(assignment);
        let wait_ms = if progress.is_granted {
            context.timing.renew_interval_ms(hold_ms)
        } else {
            GRANT_RETRY_MS
        };
        let waits = progress
            .granted_at
            .is_some_and(|sent| context.now.since(sent) < wait_ms);
        if progress.is_granting || progress.is_fenced || waits {
            return None;
        }
        progress.is_granting = true;
        if progress.granted_at.replace(context.now).is_some() {
            freed.clear();
        }
        let handover = if progress.is_granted {
            None
        } else {
            progress.handover.clone()
        };
        Some(DueOrder {
            to: assignment.owner.clone(),
            range: assignment.range,
            fence: assignment.fence,
            kind: OrderKind::Grant { hold_ms, handover },
            is_renewal: progress.is_granted,
            ends_move: !progress.is_granted && assignment.is_moving(),
            freed,
        })
    }

    /// Records the result of an order. Returns the fencing token of a moving range if its next
    /// owner now holds the keys.
    pub(super) fn ordered(
        &mut self,
        sent: &SentOrder,
        result: &OrderResult,
    ) -> Option<FencingToken> {
        let progress = self.progress_map.get_mut(&sent.key)?;
        self.is_plan_requested |= !sent.is_renewal;
        if sent.is_grant {
            progress.is_granting = false;
            match result {
                OrderResult::Granted => {
                    progress.is_granted = true;
                    let assignments = &self.stored.ranges.assignments;
                    let mut moving = assignments.iter().filter(|found| found.is_moving());
                    let is_moving = moving.any(|found| (found.range, found.fence) == sent.key);
                    return (!sent.is_renewal && is_moving).then_some(sent.key.1);
                }
                OrderResult::Fenced => progress.is_fenced = true,
                OrderResult::Ended { .. } | OrderResult::Refused { .. } => {
                    progress.is_granted = false;
                }
                OrderResult::Released { .. }
                | OrderResult::Unreached
                | OrderResult::NotSent
                | OrderResult::NoAnswer => {}
            }
            return None;
        }
        progress.releasing.retain(|former| *former != sent.to);
        if let OrderResult::Released { handover } = result {
            progress.handover = handover.clone().or(progress.handover.take());
            progress.record_release(&sent.to, sent.issued_at);
        }
        None
    }

    /// Returns the assignments to commit, or `None` if they should not change.
    pub(super) fn propose(&mut self, context: PlanContext<'_>) -> Option<Arc<ServiceRanges>> {
        let PlanContext {
            now,
            era,
            timing,
            known,
            moves,
            settled_lead,
            is_restored,
        } = context;
        let is_due = self.is_plan_requested || now.since(self.planned_at) >= PLAN_INTERVAL_MS;
        if !is_due && !self.stored.ranges.assignments.is_empty() {
            return None;
        }
        self.is_plan_requested = false;
        let mut draft = ServiceRanges::clone(&self.stored.ranges);
        // A later leader of a lost time may have issued any token of its era.
        let has_old_tokens = draft.next_fence < era.first_fence();
        draft.next_fence = draft.next_fence.max(era.first_fence());

        let has_ended_moves = self.end_moves(&mut draft, is_restored);
        let mut changed = has_old_tokens && !draft.assignments.is_empty()
            || has_ended_moves && now.since(self.moves_ended_at) >= MOVE_END_INTERVAL_MS;
        // The end of any order may trigger a plan; latencies change more slowly than that.
        if now.since(self.relative_latency.0) >= PLAN_INTERVAL_MS {
            self.relative_latency = (now, self.answers.relative_latency(now));
        }
        let relative_latency = &self.relative_latency.1;
        let candidates = candidates(now, &draft.service, known, relative_latency);
        if self.candidates.0 != candidates.len() {
            self.candidates = (candidates.len(), now);
        }
        if draft.assignments.is_empty() && now.since(self.candidates.1) < FIRST_ASSIGNMENT_DELAY_MS
        {
            return None;
        }
        let mut owners = new_set();
        owners.extend(candidates.iter().map(|candidate| &candidate.owner));
        let lacks_owner = draft.assignments.is_empty()
            || draft
                .assignments
                .iter()
                .any(|found| !owners.contains(&found.owner));
        if lacks_owner || now.since(self.planned_at) >= PLAN_INTERVAL_MS {
            self.planned_at = now;
            let keys = self.samples.sorted(now);
            if let Some(planned) = plan(&draft, &candidates, &keys, moves) {
                draft = planned;
                changed = true;
            }
        }
        if let Some(lead) = settled_lead.filter(|lead| lead.0 != draft.settled_lead)
            && !draft.assignments.is_empty()
        {
            draft.settled_lead = lead.0;
            changed = true;
        }
        // Later leaders of this era need not wait for grants of earlier ones.
        if !is_restored && StoreEra::of(draft.settled_lead) < era {
            draft.settled_lead = era.absent();
        }
        let long_hold_ms = timing.long_hold_ms(draft.assignments.len());
        if long_hold_ms > draft.long_hold_ms {
            draft.long_hold_ms = long_hold_ms;
            changed = true;
        }
        if changed && has_ended_moves {
            self.moves_ended_at = now;
        }
        changed.then(|| Arc::new(draft))
    }

    /// Ends moves whose new owner holds the keys, and replaces fencing tokens that are lower than
    /// one an owner has seen. Returns whether anything changed.
    fn end_moves(&self, draft: &mut ServiceRanges, is_restored: bool) -> bool {
        let mut changed = false;
        let mut next_fence = draft.next_fence;
        for assignment in &mut draft.assignments {
            let Some(progress) = self.progress_map.get(assignment) else {
                continue;
            };
            if progress.is_fenced && !is_restored {
                assignment.fence = next_fence;
                next_fence = FencingToken(next_fence.0 + 1);
                changed = true;
            } else if progress.is_granted && assignment.is_moving() {
                assignment.former.clear();
                changed = true;
            }
        }
        draft.next_fence = next_fence;
        changed
    }
}

/// Returns the upstreams that may own keys of a service, weighted by slots, warm-up and latency.
///
/// There are none if all upstreams are in evacuated zones. All keys then stay where they are.
fn candidates(
    now: TimeMs,
    service: &ServiceName,
    known: KnownUpstreams<'_>,
    relative_latency: &Map<UpstreamName, f64>,
) -> Vec<Candidate> {
    let ready = known.upstreams.of(service).iter().filter(|discovered| {
        let entry = &discovered.entry;
        entry.is_ready() && !known.evacuated.contains(&entry.zone)
    });
    let all = ready.map(|discovered| {
        let entry = &discovered.entry;
        let slots = f64::from(entry.slots.max(1));
        let relative_latency = relative_latency.get(&entry.name).copied().unwrap_or(1.0);
        let is_warming_up = now < discovered.warmup_ends_at;
        Candidate {
            owner: Owner {
                upstream: entry.name.clone(),
                born: entry.born,
                address: entry.address,
            },
            weight: if is_warming_up {
                slots * WARMUP_WEIGHT_PERCENT / 100.0
            } else {
                slots / relative_latency
            },
        }
    });
    all.filter(|candidate| known.reachability.is_eligible(now, &candidate.owner))
        .collect()
}

/// Returns the key of the assignment that an order belongs to.
pub(super) const fn assignment_key(due: &DueOrder) -> AssignmentKey {
    (due.range, due.fence)
}
