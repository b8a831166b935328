//! The recent log entries, kept for peers that are behind.

use super::ChangesBody;
use crate::control::ControlState;
use balsam_types::Epoch;
use balsam_types::control::LogEntry;
use std::collections::VecDeque;

/// The number of entries that are kept; peers further behind get the whole state.
const KEPT_ENTRIES_MAX: usize = 512;

/// The newest entries of the change log, without gaps.
#[derive(Debug, Default)]
pub(super) struct RecentLog {
    entries: VecDeque<LogEntry>,
}

impl RecentLog {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Appends an entry that was just applied.
    pub(super) fn push(&mut self, entry: LogEntry) {
        if self.entries.len() == KEPT_ENTRIES_MAX {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Drops all entries, because a snapshot has replaced the state that they lead to.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns the changes after epoch `after`, or the whole state if they are no longer kept.
    pub(super) fn after(&self, after: Epoch, state: &ControlState) -> ChangesBody {
        let reaches_back = self
            .entries
            .front()
            .is_some_and(|first| first.epoch <= after.next());
        if after >= state.epoch || reaches_back {
            let newer = self.entries.iter().filter(|entry| entry.epoch > after);
            return ChangesBody::Entries(newer.cloned().collect());
        }
        ChangesBody::Snapshot(Box::new(state.clone()))
    }
}
