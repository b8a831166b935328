//! Progress of the orders for each assignment of one service.

use super::OrderId;
use balsam_types::{
    Assignment, FencingToken, KeyRange, Map, Owner, ServiceName, TimeMs, new_map, new_set,
};
use std::sync::Arc;

/// An order that was sent and has not ended.
#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    pub(super) service: ServiceName,
    pub(super) to: Owner,
    pub(super) key: AssignmentKey,
    pub(super) is_grant: bool,
    /// Whether the owner had already acknowledged a grant of the same assignment.
    pub(super) is_renewal: bool,
    pub(super) issued_at: TimeMs,
}

/// Identifies an assignment by its range and its fencing token.
pub(super) type AssignmentKey = (KeyRange, FencingToken);

/// What the orders of this leader have achieved for one assignment.
#[derive(Debug, Default)]
pub(super) struct OrderProgress {
    /// When a grant was last sent to the owner.
    pub(super) granted_at: Option<TimeMs>,
    /// Whether a grant is in flight.
    pub(super) is_granting: bool,
    /// Whether the owner has acknowledged a grant.
    pub(super) is_granted: bool,
    /// Whether the owner has seen a higher fencing token.
    pub(super) is_fenced: bool,
    /// Former owners that have acknowledged a release, and when that release was sent.
    pub(super) released: Vec<(Owner, TimeMs)>,
    /// Former owners to which a release is in flight.
    pub(super) releasing: Vec<Owner>,
    /// When a release was last sent to any former owner.
    pub(super) released_at: Option<TimeMs>,
    /// The handover token that a former owner returned.
    pub(super) handover: Option<Arc<str>>,
}

impl OrderProgress {
    /// Records that a former owner has acknowledged a release.
    pub(super) fn record_release(&mut self, former: &Owner, sent_at: TimeMs) {
        self.released.retain(|(owner, _)| owner != former);
        self.released.push((former.clone(), sent_at));
    }

    /// Returns when the release was sent that a former owner has acknowledged.
    pub(super) fn release_sent_at(&self, former: &Owner) -> Option<TimeMs> {
        let mut found = self.released.iter().filter(|(owner, _)| owner == former);
        found.next().map(|(_, sent_at)| *sent_at)
    }
}

/// The progress of all assignments of one service.
#[derive(Debug)]
pub(super) struct ProgressMap(Map<AssignmentKey, OrderProgress>);

impl ProgressMap {
    /// Creates an empty map.
    pub(super) fn new() -> Self {
        Self(new_map())
    }

    /// Drops the progress of all assignments except those given.
    pub(super) fn retain(&mut self, assignments: &[Assignment]) {
        let keys = assignments.iter().map(|found| (found.range, found.fence));
        let mut kept = new_set();
        kept.extend(keys);
        self.0.retain(|key, _| kept.contains(key));
    }

    /// Returns the progress of an assignment, which is created if no order was given for it.
    pub(super) fn of(&mut self, assignment: &Assignment) -> &mut OrderProgress {
        self.0
            .entry((assignment.range, assignment.fence))
            .or_default()
    }

    /// Returns the progress of an assignment, if any order was given for it.
    pub(super) fn get(&self, assignment: &Assignment) -> Option<&OrderProgress> {
        self.0.get(&(assignment.range, assignment.fence))
    }

    /// Returns the progress of the assignment that `key` identifies.
    pub(super) fn get_mut(&mut self, key: &AssignmentKey) -> Option<&mut OrderProgress> {
        self.0.get_mut(key)
    }

    /// Increments `last` and returns it as the next order id.
    pub(super) const fn next_id(last: &mut u64) -> OrderId {
        *last += 1;
        OrderId(*last)
    }
}
