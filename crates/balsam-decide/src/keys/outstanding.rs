//! Grants of this leader that may still be in force.

use super::service::DueOrder;
use super::{GrantTiming, OrderId};
use balsam_types::{FencingToken, KeyRange, Owner, ServiceName, TimeMs};

#[derive(Clone, Debug)]
struct Grant {
    id: OrderId,
    service: ServiceName,
    owner: Owner,
    range: KeyRange,
    fence: FencingToken,
    hold_ms: u64,
    /// When the grant has expired for certain; `None` while the order is in flight.
    expires_at: Option<TimeMs>,
    is_acknowledged: bool,
}

/// The grants that this leader has sent and that may not have expired.
#[derive(Debug, Default)]
pub(super) struct OutstandingGrants {
    grants: Vec<Grant>,
}

impl OutstandingGrants {
    /// Records a grant of `hold_ms` that is about to be sent.
    pub(super) fn sent(
        &mut self,
        id: OrderId,
        service: &ServiceName,
        due: &DueOrder,
        hold_ms: u64,
    ) {
        self.grants.push(Grant {
            id,
            service: service.clone(),
            owner: due.to.clone(),
            range: due.range,
            fence: due.fence,
            hold_ms,
            expires_at: None,
            is_acknowledged: false,
        });
    }

    /// Records the end of a grant order; `acknowledged` is false if the upstream may still execute
    /// it without having responded.
    pub(super) fn ended(
        &mut self,
        now: TimeMs,
        timing: &GrantTiming,
        id: OrderId,
        acknowledged: bool,
    ) {
        let Some(index) = self.grants.iter().position(|grant| grant.id == id) else {
            return;
        };
        let expires_at = now.after(timing.grant_expiry_ms(self.grants[index].hold_ms));
        self.grants[index].expires_at = Some(expires_at);
        self.grants[index].is_acknowledged = acknowledged;
        if acknowledged {
            let renewal = self.grants[index].clone();
            self.grants
                .retain(|grant| grant.id == id || !grant.is_renewed_by(&renewal));
        }
        self.grants
            .retain(|grant| grant.expires_at.is_none_or(|expires_at| now < expires_at));
    }

    /// Drops a grant that was not sent or was refused.
    pub(super) fn forget(&mut self, id: OrderId) {
        self.grants.retain(|grant| grant.id != id);
    }

    /// Records that an owner has released a range with the fencing token `fence`.
    ///
    /// Grants with this token or a higher one are kept, because the upstream may have executed them
    /// after the release: the answer comes only when its work on the range has ended, and the range
    /// may have returned to it meanwhile. Unacknowledged grants are kept for the same reason.
    pub(super) fn released(
        &mut self,
        service: &ServiceName,
        owner: &Owner,
        range: KeyRange,
        fence: FencingToken,
    ) {
        let mut remainders = Vec::new();
        self.grants.retain_mut(|grant| {
            let may_be_newer = !grant.is_acknowledged || grant.fence >= fence;
            if may_be_newer || !grant.overlaps(service, owner, range) {
                return true;
            }
            if grant.range.last > range.last {
                let mut right = grant.clone();
                right.range.first = range.last + 1;
                remainders.push(right);
            }
            if grant.range.first < range.first {
                grant.range.last = range.first - 1;
                return true;
            }
            false
        });
        self.grants.append(&mut remainders);
    }

    /// Drops all grants of an owner whose process has ended.
    pub(super) fn owner_ended(&mut self, owner: &Owner) {
        self.grants.retain(|grant| grant.owner != *owner);
    }

    /// Returns whether a grant of this leader may still let an owner hold a key of the range.
    pub(super) fn may_hold(
        &self,
        now: TimeMs,
        service: &ServiceName,
        owner: &Owner,
        range: KeyRange,
    ) -> bool {
        self.grants.iter().any(|grant| {
            grant.overlaps(service, owner, range)
                && grant.expires_at.is_none_or(|expires_at| now < expires_at)
        })
    }
}

impl Grant {
    fn overlaps(&self, service: &ServiceName, owner: &Owner, range: KeyRange) -> bool {
        self.range.first <= range.last
            && range.first <= self.range.last
            && self.owner == *owner
            && self.service == *service
    }

    /// Returns whether an acknowledged grant supersedes this one, because it covers its keys and no
    /// release ends it that would not end this one as well.
    fn is_renewed_by(&self, renewal: &Self) -> bool {
        self.is_acknowledged
            && self.fence <= renewal.fence
            && self.owner == renewal.owner
            && self.service == renewal.service
            && renewal.range.first <= self.range.first
            && self.range.last <= renewal.range.last
    }
}
