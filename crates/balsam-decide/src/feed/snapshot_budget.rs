//! Limits the bytes of snapshots that the leader sends.

use balsam_types::TimeMs;

/// Time whose share of the budget may be used at once, in milliseconds.
const BURST_MS: u64 = 250;

/// The leader's budget for snapshots.
///
/// After a restart of all daemons each of them asks for every table. Snapshots for all of them would
/// hold up the heartbeats on the leader's link for seconds, and the other daemons would elect
/// another leader, to which the same would happen.
#[derive(Debug)]
pub struct SnapshotBudget {
    bytes_per_s: u64,
    /// When everything that was sent so far has left at this rate.
    busy_until: TimeMs,
}

impl SnapshotBudget {
    /// Creates an unused budget.
    pub const fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s,
            busy_until: TimeMs(0),
        }
    }

    /// Takes the bytes of a snapshot from the budget. Returns whether the snapshot may be sent.
    pub fn take(&mut self, now: TimeMs, bytes: usize) -> bool {
        if self.busy_until > now.after(BURST_MS) {
            return false;
        }
        let takes_ms = bytes as u64 * 1_000 / self.bytes_per_s.max(1);
        self.busy_until = self.busy_until.max(now).after(takes_ms);
        true
    }
}
