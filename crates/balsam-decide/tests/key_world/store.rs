//! A store with two rows and conditional writes.

use balsam_decide::keys::{
    Commit, CommitResult, DaemonIdentity, RowVersion, StoredLead, StoredRanges,
};
use balsam_types::{ServiceName, ServiceRanges};
use std::sync::Arc;

/// The leader's row and the row of one service's assignments.
#[derive(Clone, Debug)]
pub struct Store {
    counter: u64,
    lead: (u64, Option<DaemonIdentity>),
    ranges: (u64, Arc<ServiceRanges>),
}

impl Store {
    pub fn new(service: &ServiceName) -> Self {
        Self {
            counter: 0,
            lead: (0, None),
            ranges: (0, Arc::new(ServiceRanges::new(service.clone()))),
        }
    }

    pub fn lead(&self) -> StoredLead {
        StoredLead {
            version: RowVersion(self.lead.0),
            leader: self.lead.1.clone(),
        }
    }

    pub fn ranges(&self) -> StoredRanges {
        StoredRanges {
            version: RowVersion(self.ranges.0),
            ranges: Arc::clone(&self.ranges.1),
        }
    }

    pub fn commit(&mut self, commit: &Commit) -> CommitResult {
        let is_expected = match commit {
            Commit::TakeLead { expected, .. } => expected.0 == self.lead.0,
            Commit::Assign { lead, expected, .. } => {
                lead.0 == self.lead.0 && expected.0 == self.ranges.0
            }
        };
        if !is_expected {
            return CommitResult::Conflict;
        }
        self.counter += 1;
        match commit {
            Commit::TakeLead { leader, .. } => self.lead = (self.counter, Some(leader.clone())),
            Commit::Assign { ranges, .. } => self.ranges = (self.counter, Arc::clone(ranges)),
        }
        CommitResult::Done(RowVersion(self.counter))
    }
}
