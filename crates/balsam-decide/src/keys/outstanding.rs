//! Which grants may still hold keys.

use super::{GrantTiming, OrderId};
use balsam_types::{KeyRange, Owner, ServiceName, TimeMs};

#[derive(Clone, Debug)]
struct Grant {
    id: OrderId,
    service: ServiceName,
    owner: Owner,
    range: KeyRange,
    hold_ms: u64,
    /// When its keys are free again; `None` while the order is under way.
    until: Option<TimeMs>,
    is_answered: bool,
}

/// The grants that this leader has sent and that may not have run out.
#[derive(Debug, Default)]
pub(super) struct Holds {
    grants: Vec<Grant>,
}

impl Holds {
    /// Notes a grant that is about to be sent.
    pub(super) fn sent(
        &mut self,
        id: OrderId,
        service: &ServiceName,
        owner: &Owner,
        range: KeyRange,
        hold_ms: u64,
    ) {
        self.grants.push(Grant {
            id,
            service: service.clone(),
            owner: owner.clone(),
            range,
            hold_ms,
            until: None,
            is_answered: false,
        });
    }

    /// Notes the end of a grant.
    pub(super) fn ended(&mut self, now: TimeMs, timing: &GrantTiming, id: OrderId, answered: bool) {
        let Some(at) = self.grants.iter().position(|grant| grant.id == id) else {
            return;
        };
        let until = now.after(timing.grant_expiry_ms(self.grants[at].hold_ms));
        self.grants[at].until = Some(until);
        self.grants[at].is_answered = answered;
        if answered {
            let renewal = self.grants[at].clone();
            self.grants
                .retain(|grant| grant.id == id || !grant.is_renewed_by(&renewal));
        }
        self.grants
            .retain(|grant| grant.until.is_none_or(|until| now < until));
    }

    /// Notes that a grant was not sent or was refused.
    pub(super) fn forget(&mut self, id: OrderId) {
        self.grants.retain(|grant| grant.id != id);
    }

    /// Notes that an owner has released a range.
    ///
    /// Grants without an answer stay: they may be carried out late.
    pub(super) fn released(&mut self, service: &ServiceName, owner: &Owner, range: KeyRange) {
        let mut rest = Vec::new();
        self.grants.retain_mut(|grant| {
            if !grant.is_answered || !grant.overlaps(service, owner, range) {
                return true;
            }
            if grant.range.last > range.last {
                let mut right = grant.clone();
                right.range.first = range.last + 1;
                rest.push(right);
            }
            if grant.range.first < range.first {
                grant.range.last = range.first - 1;
                return true;
            }
            false
        });
        self.grants.append(&mut rest);
    }

    /// Notes that the process of an owner has ended.
    pub(super) fn owner_ended(&mut self, owner: &Owner) {
        self.grants.retain(|grant| grant.owner != *owner);
    }

    /// Returns whether an owner may hold a key of the range by a grant of this leader.
    pub(super) fn may_hold(
        &self,
        now: TimeMs,
        service: &ServiceName,
        owner: &Owner,
        range: KeyRange,
    ) -> bool {
        self.grants.iter().any(|grant| {
            grant.overlaps(service, owner, range) && grant.until.is_none_or(|until| now < until)
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

    fn is_renewed_by(&self, renewal: &Self) -> bool {
        self.is_answered
            && self.owner == renewal.owner
            && self.service == renewal.service
            && renewal.range.first <= self.range.first
            && self.range.last <= renewal.range.last
    }
}
