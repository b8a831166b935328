//! The graceful shutdown of a daemon.

use super::{Node, NodeOutput};
use balsam_types::TimeMs;
use balsam_types::control::{Change, RemovalReason};

/// How long a stopping daemon waits until other daemons have taken over its upstreams, in
/// milliseconds.
const HANDOVER_TIMEOUT_MS: u64 = 4_000;

/// How long a stopping daemon tries to leave the roster, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 8_000;

/// The phase of the daemon's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The daemon is not stopping.
    Running,
    /// The daemon waits until other daemons have taken over its upstreams.
    HandingOver { since: TimeMs },
    /// The daemon's removal from the roster is being committed, and it no longer acknowledges
    /// rounds.
    ///
    /// Once the removal is committed, majorities are counted as if this daemon had adopted every
    /// epoch. An acknowledgement after that could renew a lease that others assume to have expired.
    Withdrawn { since: TimeMs },
    /// The daemon has left the roster or given up trying to.
    Left,
}

impl Node {
    pub(super) fn stop(&mut self, now: TimeMs) {
        if self.phase == Phase::Running {
            self.phase = Phase::HandingOver { since: now };
            self.next_heartbeat_at = now;
            self.due.follow = true;
            self.due.decide = true;
        }
    }

    pub(super) const fn is_leaving(&self) -> bool {
        !matches!(self.phase, Phase::Running)
    }

    pub(super) const fn has_withdrawn(&self) -> bool {
        matches!(self.phase, Phase::Withdrawn { .. } | Phase::Left)
    }

    /// Returns the removal that a stopping daemon commits for itself, if it is due.
    pub(super) fn leaving_change(&self, now: TimeMs) -> Option<Change> {
        let me = self.me.incarnation;
        if !self.is_member() || !self.has_handed_over(now) {
            return None;
        }
        Some(Change::DaemonsRemoved {
            incarnations: vec![me],
            reason: RemovalReason::Left,
        })
    }

    fn has_handed_over(&self, now: TimeMs) -> bool {
        let me = self.me.incarnation;
        let since = match self.phase {
            Phase::HandingOver { since } => since,
            Phase::Withdrawn { .. } | Phase::Left => return true,
            Phase::Running => return false,
        };
        let mut upstreams = self.state.upstreams.values();
        let handed_over = upstreams.all(|upstream| upstream.dispatcher != Some(me));
        let alone = self.state.daemons.len() == 1;
        handed_over || alone || now.since(since) >= HANDOVER_TIMEOUT_MS
    }

    /// Stops acknowledging rounds before this daemon's own removal is written.
    pub(super) fn withdraw(&mut self, change: &Change) {
        let me = self.me.incarnation;
        let removes_me = matches!(
            change,
            Change::DaemonsRemoved { incarnations, reason: RemovalReason::Left }
                if incarnations.contains(&me)
        );
        if let Phase::HandingOver { since } = self.phase
            && removes_me
        {
            self.phase = Phase::Withdrawn { since };
            self.lease.stop_rounds();
            self.due.follow = true;
        }
    }

    pub(super) fn finish_leaving(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        let since = match self.phase {
            Phase::HandingOver { since } | Phase::Withdrawn { since } => since,
            Phase::Running | Phase::Left => return,
        };
        if !self.is_member() || now.since(since) >= LEAVE_TIMEOUT_MS {
            self.phase = Phase::Left;
            self.refuse_commands(out);
            out.push(NodeOutput::Left);
        }
    }
}
