//! A store with the daemons' rows and conditional writes, which may go back to an earlier copy.

use balsam_decide::keys::{
    Commit, CommitResult, DaemonIdentity, RowVersion, StoredLead, StoredRanges,
};
use balsam_types::{Map, ServiceName, ServiceRanges, StoreEra, TimeMs, new_map};
use std::collections::VecDeque;
use std::sync::Arc;

/// Copies that are kept, one for each step.
const COPIES_MAX: usize = 200;

/// The rows with the store's own numbers of their versions.
#[derive(Clone, Debug)]
struct Rows {
    counter: u64,
    lead: (u64, Option<DaemonIdentity>),
    /// The rows of the terms, by era.
    terms: Map<StoreEra, u64>,
    ranges: (u64, Arc<ServiceRanges>),
}

/// The leader's rows and the row of one service's assignments.
#[derive(Clone, Debug)]
pub struct Store {
    rows: Rows,
    era: StoreEra,
    copies: VecDeque<(TimeMs, Rows)>,
}

impl Store {
    pub fn new(service: &ServiceName) -> Self {
        let rows = Rows {
            counter: 0,
            lead: (0, None),
            terms: new_map(),
            ranges: (0, Arc::new(ServiceRanges::new(service.clone()))),
        };
        Self {
            rows,
            era: StoreEra(0),
            copies: VecDeque::new(),
        }
    }

    /// Returns the era that the store's answers contain.
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    fn version(&self, number: u64) -> RowVersion {
        RowVersion(self.era.version(number).expect("a small number"))
    }

    pub fn lead(&self) -> StoredLead {
        StoredLead {
            version: self.version(self.rows.lead.0),
            leader: self.rows.lead.1.clone(),
        }
    }

    pub fn ranges(&self) -> StoredRanges {
        StoredRanges {
            version: self.version(self.rows.ranges.0),
            ranges: Arc::clone(&self.rows.ranges.1),
        }
    }

    /// Keeps a copy of the rows.
    pub fn keep_copy(&mut self, now: TimeMs) {
        self.copies.push_back((now, self.rows.clone()));
        while self.copies.len() > COPIES_MAX {
            self.copies.pop_front();
        }
    }

    /// Goes back to the newest copy that is not newer than `at`. `hides_era` makes the store answer
    /// in the same era as before.
    pub fn restore(&mut self, at: TimeMs, hides_era: bool) {
        let index = self.copies.partition_point(|(kept_at, _)| *kept_at <= at);
        self.copies.truncate(index.max(1));
        let Some((_, rows)) = self.copies.back() else {
            return;
        };
        self.rows = rows.clone();
        if !hides_era {
            self.era.0 += 1;
        }
    }

    /// Executes a write whose conditions hold. The rows have no era, so that a write of an earlier
    /// era may be executed, but its result is not known then.
    pub fn commit(&mut self, commit: &Commit) -> CommitResult {
        let rows = &mut self.rows;
        let number = |version: &RowVersion| StoreEra::number(version.0);
        let (is_expected, era) = match commit {
            Commit::TakeLead { expected, .. } => (number(expected) == rows.lead.0, expected.era()),
            Commit::Assign { lead, expected, .. } => {
                let term = rows.terms.get(&lead.era()).copied();
                let has_term = term == Some(number(lead));
                let is_expected =
                    number(lead) == rows.lead.0 && number(expected) == rows.ranges.0 && has_term;
                (is_expected, lead.era())
            }
        };
        if is_expected {
            rows.counter += 1;
            match commit {
                Commit::TakeLead { leader, .. } => {
                    rows.lead = (rows.counter, Some(leader.clone()));
                    rows.terms.insert(era, rows.counter);
                }
                Commit::Assign { ranges, .. } => rows.ranges = (rows.counter, Arc::clone(ranges)),
            }
        }
        if era != self.era {
            CommitResult::Unknown
        } else if is_expected {
            CommitResult::Done(self.version(self.rows.counter))
        } else {
            CommitResult::Conflict
        }
    }
}
