//! Differences between two versions of a service's assignments, which the leader sends to the other
//! daemons.

use balsam_types::{Assignment, ServiceRanges};

/// Returns the assignments of `new` that `old` does not contain.
pub fn delta(old: &ServiceRanges, new: &ServiceRanges) -> ServiceRanges {
    let is_new = |found: &&Assignment| {
        let index = old
            .assignments
            .partition_point(|other| other.range < found.range);
        old.assignments.get(index) != Some(*found)
    };
    ServiceRanges {
        service: new.service.clone(),
        next_fence: new.next_fence,
        long_hold_ms: new.long_hold_ms,
        settled_lead: new.settled_lead,
        assignments: new.assignments.iter().filter(is_new).cloned().collect(),
    }
}

/// Applies `delta` to `old`. Returns `None` if the services differ or if the result would not cover
/// all keys exactly once.
pub fn apply_delta(old: &ServiceRanges, delta: &ServiceRanges) -> Option<ServiceRanges> {
    let is_replaced = |found: &Assignment| {
        delta
            .assignments
            .iter()
            .any(|new| new.range.first <= found.range.last && found.range.first <= new.range.last)
    };
    let kept = old.assignments.iter().filter(|found| !is_replaced(found));
    let mut assignments: Vec<Assignment> = kept.chain(&delta.assignments).cloned().collect();
    assignments.sort_by_key(|found| found.range);
    let new = ServiceRanges {
        service: delta.service.clone(),
        next_fence: delta.next_fence,
        long_hold_ms: delta.long_hold_ms,
        settled_lead: delta.settled_lead,
        assignments,
    };
    (old.service == delta.service && new.is_valid()).then_some(new)
}
