//! The orders of one service that are under way, and what they have achieved.

use super::OrderId;
use balsam_types::{
    Assignment, FencingToken, KeyRange, Map, Owner, ServiceName, TimeMs, new_map, new_set,
};
use std::sync::Arc;

/// An order that was sent and has not ended.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) service: ServiceName,
    pub(super) to: Owner,
    pub(super) key: TenureKey,
    pub(super) is_grant: bool,
    /// Whether the owner had acknowledged a grant of the same keys before.
    pub(super) is_renewal: bool,
    pub(super) left_at: TimeMs,
}

/// Names an assignment: its range and its token.
pub(super) type TenureKey = (KeyRange, FencingToken);

/// What this leader has achieved for one assignment.
#[derive(Debug, Default)]
pub(super) struct Tenure {
    /// When the owner was last sent a grant.
    pub(super) granted_at: Option<TimeMs>,
    /// Whether a grant is under way.
    pub(super) is_granting: bool,
    /// Whether the owner has acknowledged a grant.
    pub(super) is_granted: bool,
    /// Whether the owner has seen a higher token.
    pub(super) is_fenced: bool,
    /// Former owners that have acknowledged a release, and when it was sent.
    pub(super) released: Vec<(Owner, TimeMs)>,
    /// Former owners to which a release is under way.
    pub(super) releasing: Vec<Owner>,
    /// When a release was last sent.
    pub(super) released_at: Option<TimeMs>,
    /// The token of the former owner.
    pub(super) handover: Option<Arc<str>>,
}

impl Tenure {
    /// Notes that a former owner has acknowledged a release.
    pub(super) fn note_released(&mut self, former: &Owner, sent_at: TimeMs) {
        self.released.retain(|(owner, _)| owner != former);
        self.released.push((former.clone(), sent_at));
    }

    /// Returns when the release was sent that a former owner has acknowledged.
    pub(super) fn release_of(&self, former: &Owner) -> Option<TimeMs> {
        let mut found = self.released.iter().filter(|(owner, _)| owner == former);
        found.next().map(|(_, sent_at)| *sent_at)
    }
}

/// The tenures of one service.
#[derive(Debug)]
pub(super) struct Tenures(Map<TenureKey, Tenure>);

impl Tenures {
    /// Makes an empty set.
    pub(super) fn new() -> Self {
        Self(new_map())
    }

    /// Drops what does not belong to an assignment.
    pub(super) fn retain(&mut self, assignments: &[Assignment]) {
        let keys = assignments.iter().map(|found| (found.range, found.fence));
        let mut kept = new_set();
        kept.extend(keys);
        self.0.retain(|key, _| kept.contains(key));
    }

    /// Returns the tenure of an assignment.
    pub(super) fn of(&mut self, assignment: &Assignment) -> &mut Tenure {
        self.0
            .entry((assignment.range, assignment.fence))
            .or_default()
    }

    /// Returns the tenure of an assignment, if anything was done for it.
    pub(super) fn get(&self, assignment: &Assignment) -> Option<&Tenure> {
        self.0.get(&(assignment.range, assignment.fence))
    }

    /// Returns a tenure by its key.
    pub(super) fn get_mut(&mut self, key: &TenureKey) -> Option<&mut Tenure> {
        self.0.get_mut(key)
    }

    /// Returns the next order id after `last`.
    pub(super) const fn next_id(last: &mut u64) -> OrderId {
        *last += 1;
        OrderId(*last)
    }
}
