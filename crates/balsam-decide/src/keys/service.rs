//! The assignments of one service at the leader.

use super::orders::{Sent, TenureKey, Tenures};
use super::reachability::Reach;
use super::{
    Candidate, GrantTiming, KeySamples, LoadReport, MoveScope, OrderKind, OrderResult,
    ResponseTimes, RowVersion, StoredRanges, plan,
};
use crate::directory::Upstreams;
use balsam_types::{
    Assignment, Fence, KeyRange, Map, Owner, ServiceName, ServiceRanges, ShardKey, TimeMs,
    UpstreamName, new_map, new_set,
};
use std::sync::Arc;

/// The time between two plans, in milliseconds.
const PLAN_MS: u64 = 250;

/// How long the upstreams must stay the same before keys are assigned for the first time, in
/// milliseconds; they start one after the other.
const FIRST_WAIT_MS: u64 = 800;

/// The time between two attempts of a grant that was not acknowledged, in milliseconds.
const GRANT_RETRY_MS: u64 = 150;

/// The time between two attempts of a release, in milliseconds.
const RELEASE_RETRY_MS: u64 = 300;

/// The time between two commits that only end moves, in milliseconds; the new owners have their
/// keys already.
const SETTLE_MS: u64 = 500;

/// How much later than an owner another upstream must have started to show that the owner has
/// ended, in milliseconds; the machines' clocks may differ by less.
const BORN_SKEW_MS: u64 = 5_000;

/// The weight of an upstream that is still slow after its start, in percent of its slots.
const COLD_PERCENT: f64 = 50.0;

/// An order that is due.
#[derive(Debug)]
pub(super) struct Due {
    pub(super) to: Owner,
    pub(super) range: KeyRange,
    pub(super) fence: Fence,
    pub(super) kind: OrderKind,
    /// Whether the owner has acknowledged a grant of the same keys before.
    pub(super) is_renewal: bool,
}

/// What the orders of a moment depend on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moment<'a> {
    pub(super) now: TimeMs,
    pub(super) timing: &'a GrantTiming,
    pub(super) holds: &'a super::outstanding::Holds,
    /// When grants of earlier leaders have run out.
    pub(super) inherited_until: TimeMs,
    /// When no order of an earlier leader can arrive any more.
    pub(super) stale_until: TimeMs,
    pub(super) upstreams: &'a Upstreams,
    /// The services that are divided by key.
    pub(super) keyed: &'a [ServiceName],
}

impl Moment<'_> {
    /// Returns whether an upstream that takes no keys has the address of an owner, which has ended
    /// then; orders that earlier leaders still send there change nothing.
    fn has_ended(&self, owner: &Owner) -> bool {
        self.upstreams.iter().any(|found| {
            let entry = &found.entry;
            entry.address == owner.address
                && entry.born.0 > owner.born.0.saturating_add(BORN_SKEW_MS)
                && !self.keyed.contains(&entry.service)
        })
    }
}

/// One service's assignments, as stored, and what was done for them.
#[derive(Debug)]
pub(super) struct ServiceState {
    stored: StoredRanges,
    load: KeySamples,
    answers: ResponseTimes,
    /// How slow upstreams are, and when that was told.
    relative_latency: (TimeMs, Map<UpstreamName, f64>),
    tenures: Tenures,
    planned_at: TimeMs,
    /// Whether something has changed that the next plan should heed at once.
    wants_plan: bool,
    settled_at: TimeMs,
    /// The number of candidates and since when it is the same.
    candidates: (usize, TimeMs),
}

impl ServiceState {
    /// Makes the state of a service without a row.
    pub(super) fn new(service: ServiceName) -> Self {
        Self {
            stored: StoredRanges {
                version: RowVersion(0),
                ranges: Arc::new(ServiceRanges::new(service)),
            },
            load: KeySamples::new(),
            answers: ResponseTimes::new(),
            relative_latency: (TimeMs(0), new_map()),
            tenures: Tenures::new(),
            planned_at: TimeMs(0),
            wants_plan: true,
            settled_at: TimeMs(0),
            candidates: (0, TimeMs(0)),
        }
    }

    /// Adopts a newer row.
    pub(super) fn store(&mut self, stored: StoredRanges) {
        if stored.version > self.stored.version {
            self.tenures.retain(&stored.ranges.assignments);
            self.stored = stored;
            self.wants_plan = true;
        }
    }

    /// Returns the row as it was last stored.
    pub(super) const fn stored(&self) -> &StoredRanges {
        &self.stored
    }

    /// Forgets what this daemon did as an earlier leader.
    pub(super) fn start_over(&mut self) {
        self.tenures = Tenures::new();
    }

    /// Makes the next plan due at once.
    pub(super) const fn plan_soon(&mut self) {
        self.wants_plan = true;
    }

    /// Adds the requests that a daemon saw.
    pub(super) fn sample(&mut self, now: TimeMs, report: LoadReport) {
        self.load.add(now, report.keys);
        self.answers.add(now, report.answers);
    }

    /// Makes the grant of a key due that its owner says it does not hold.
    pub(super) fn not_held(&mut self, key: ShardKey) {
        let Some(found) = self.stored.ranges.find(key) else {
            return;
        };
        let tenure = self.tenures.of(found);
        if tenure.is_granted && !tenure.is_granting {
            tenure.granted_at = None;
        }
    }

    /// Returns the orders that are due and notes them as under way.
    pub(super) fn due(&mut self, at: Moment<'_>) -> Vec<Due> {
        let stored = self.stored.clone();
        let service = &stored.ranges.service;
        let mut due = Vec::new();
        for assignment in &stored.ranges.assignments {
            let mut is_free = true;
            for former in &assignment.former {
                if !self.is_free(at, service, assignment, former) {
                    is_free = false;
                    due.extend(self.release(at, assignment, former));
                }
            }
            if is_free {
                due.extend(self.grant(at, assignment));
            }
        }
        due
    }

    /// Returns whether a former owner holds no key of an assignment's range.
    fn is_free(
        &self,
        at: Moment<'_>,
        service: &ServiceName,
        assignment: &Assignment,
        former: &Owner,
    ) -> bool {
        if at.has_ended(former) {
            return true;
        }
        if at.holds.may_hold(at.now, service, former, assignment.range) {
            return false;
        }
        let tenure = self.tenures.get(assignment);
        let released_at = tenure.and_then(|tenure| tenure.release_of(former));
        // An upstream that starts anew forgets the release, and an earlier leader may then still
        // grant it the keys. Only a release that follows the last of its orders is conclusive.
        let has_released = released_at.is_some_and(|sent_at| sent_at >= at.stale_until);
        has_released || at.now >= at.inherited_until
    }

    fn release(&mut self, at: Moment<'_>, assignment: &Assignment, former: &Owner) -> Option<Due> {
        let tenure = self.tenures.of(assignment);
        let waits = tenure
            .released_at
            .is_some_and(|sent| at.now.since(sent) < RELEASE_RETRY_MS);
        let waits = waits || tenure.release_of(former).is_some() && at.now < at.stale_until;
        if tenure.releasing.contains(former) || waits {
            return None;
        }
        tenure.releasing.push(former.clone());
        tenure.released_at = Some(at.now);
        Some(Due {
            to: former.clone(),
            range: assignment.range,
            fence: assignment.fence,
            kind: OrderKind::Release,
            is_renewal: false,
        })
    }

    fn grant(&mut self, at: Moment<'_>, assignment: &Assignment) -> Option<Due> {
        // The grants of an upstream that has left or started anew run out.
        let believed = at.upstreams.get(&assignment.owner.upstream)?;
        if believed.entry.born != assignment.owner.born {
            return None;
        }
        let hold_ms = at.timing.hold_ms(self.stored.ranges.long_hold_ms);
        let tenure = self.tenures.of(assignment);
        let wait_ms = if tenure.is_granted {
            at.timing.renew_interval_ms(hold_ms)
        } else {
            GRANT_RETRY_MS
        };
        let waits = tenure
            .granted_at
            .is_some_and(|sent| at.now.since(sent) < wait_ms);
        if tenure.is_granting || tenure.is_fenced || waits {
            return None;
        }
        tenure.is_granting = true;
        tenure.granted_at = Some(at.now);
        let handover = if tenure.is_granted {
            None
        } else {
            tenure.handover.clone()
        };
        Some(Due {
            to: assignment.owner.clone(),
            range: assignment.range,
            fence: assignment.fence,
            kind: OrderKind::Grant { hold_ms, handover },
            is_renewal: tenure.is_granted,
        })
    }

    /// Notes how an order ended; returns the token of moving keys whose next owner has them now.
    pub(super) fn ordered(
        &mut self,
        sent: &Sent,
        result: &OrderResult,
        inherits: bool,
    ) -> Option<Fence> {
        let tenure = self.tenures.get_mut(&sent.key)?;
        self.wants_plan |= !sent.is_renewal;
        if sent.is_grant {
            tenure.is_granting = false;
            match result {
                OrderResult::Granted => {
                    tenure.is_granted = true;
                    let assignments = &self.stored.ranges.assignments;
                    let mut moving = assignments.iter().filter(|found| found.is_moving());
                    let is_moving = moving.any(|found| (found.range, found.fence) == sent.key);
                    return (!sent.is_renewal && is_moving).then_some(sent.key.1);
                }
                OrderResult::Fenced => tenure.is_fenced = true,
                OrderResult::Ended | OrderResult::Refused { .. } => tenure.is_granted = false,
                OrderResult::Released { .. }
                | OrderResult::Unreached
                | OrderResult::NotSent
                | OrderResult::NoAnswer => {}
            }
            return None;
        }
        tenure.releasing.retain(|former| *former != sent.to);
        let has_released = match result {
            OrderResult::Released { handover } => {
                tenure.handover = handover.clone().or(tenure.handover.take());
                true
            }
            // A stale leader could still order the next process at the address.
            OrderResult::Ended => !inherits,
            _ => false,
        };
        if has_released {
            tenure.note_released(&sent.to, sent.left_at);
        }
        None
    }

    /// Returns assignments to commit, if they should change.
    pub(super) fn propose(
        &mut self,
        now: TimeMs,
        timing: &GrantTiming,
        upstreams: &Upstreams,
        reach: &Reach,
        moves: MoveScope,
        settled_lead: Option<RowVersion>,
    ) -> Option<Arc<ServiceRanges>> {
        let is_due = self.wants_plan || now.since(self.planned_at) >= PLAN_MS;
        if !is_due && !self.stored.ranges.assignments.is_empty() {
            return None;
        }
        self.wants_plan = false;
        let mut draft = ServiceRanges::clone(&self.stored.ranges);
        let is_settled = self.settle(&mut draft);
        let mut changed = is_settled && now.since(self.settled_at) >= SETTLE_MS;
        // Each end of an order may bring a plan; speeds change more slowly than that.
        if now.since(self.relative_latency.0) >= PLAN_MS {
            self.relative_latency = (now, self.answers.relative_latency(now));
        }
        let relative_latency = &self.relative_latency.1;
        let candidates = candidates(now, &draft.service, upstreams, reach, relative_latency);
        if self.candidates.0 != candidates.len() {
            self.candidates = (candidates.len(), now);
        }
        if draft.assignments.is_empty() && now.since(self.candidates.1) < FIRST_WAIT_MS {
            return None;
        }
        let mut owners = new_set();
        owners.extend(candidates.iter().map(|candidate| &candidate.owner));
        let lacks_owner = draft.assignments.is_empty()
            || draft
                .assignments
                .iter()
                .any(|found| !owners.contains(&found.owner));
        if lacks_owner || now.since(self.planned_at) >= PLAN_MS {
            self.planned_at = now;
            let keys = self.load.sorted(now);
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
        let long_hold_ms = timing.long_hold_ms(draft.assignments.len());
        if long_hold_ms > draft.long_hold_ms {
            draft.long_hold_ms = long_hold_ms;
            changed = true;
        }
        if changed && is_settled {
            self.settled_at = now;
        }
        changed.then(|| Arc::new(draft))
    }

    /// Ends moves whose owner has the keys, and gives new tokens where an owner has seen a higher
    /// one.
    fn settle(&self, draft: &mut ServiceRanges) -> bool {
        let mut changed = false;
        let mut next_fence = draft.next_fence;
        for assignment in &mut draft.assignments {
            let Some(tenure) = self.tenures.get(assignment) else {
                continue;
            };
            if tenure.is_fenced {
                assignment.fence = next_fence;
                next_fence = Fence(next_fence.0 + 1);
                changed = true;
            } else if tenure.is_granted && assignment.is_moving() {
                assignment.former.clear();
                changed = true;
            }
        }
        draft.next_fence = next_fence;
        changed
    }
}

fn candidates(
    now: TimeMs,
    service: &ServiceName,
    upstreams: &Upstreams,
    reach: &Reach,
    relative_latency: &Map<UpstreamName, f64>,
) -> Vec<Candidate> {
    let ready = upstreams
        .of(service)
        .iter()
        .filter(|believed| believed.entry.is_ready());
    let all = ready.map(|believed| {
        let entry = &believed.entry;
        let slots = f64::from(entry.slots.max(1));
        let relative_latency = relative_latency.get(&entry.name).copied().unwrap_or(1.0);
        let is_cold = now < believed.warmup_ends_at;
        Candidate {
            owner: Owner {
                upstream: entry.name.clone(),
                born: entry.born,
                address: entry.address,
            },
            weight: if is_cold {
                slots * COLD_PERCENT / 100.0
            } else {
                slots / relative_latency
            },
        }
    });
    all.filter(|candidate| reach.is_good(now, &candidate.owner))
        .collect()
}

/// Names the tenure of an order.
pub(super) const fn tenure_key(due: &Due) -> TenureKey {
    (due.range, due.fence)
}
