//! The orderly end of a daemon.

use super::{Node, NodeOutput};
use balsam_types::TimeMs;
use balsam_types::control::{Change, RemovalReason};

/// How long a stopping daemon waits for others to take its upstreams, in milliseconds.
const HANDOVER_MS: u64 = 4_000;

/// How long a stopping daemon tries to leave the roster, in milliseconds.
const LEAVE_MS: u64 = 8_000;

/// How far the daemon is with its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The daemon runs.
    Running,
    /// Its upstreams are handed to others.
    HandingOver { since: TimeMs },
    /// Its removal from the roster is being committed, and it makes no more statements.
    ///
    /// The removal lets majorities count without it, so a statement after the commit could renew
    /// a right that others take to have lapsed.
    Withdrawn { since: TimeMs },
    /// It has ended.
    Left,
}

impl Node {
    pub(super) fn stop(&mut self, now: TimeMs) {
        if self.phase == Phase::Running {
            self.phase = Phase::HandingOver { since: now };
            self.next_pulse_at = now;
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

    /// Returns the change that a stopping daemon commits.
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
        handed_over || alone || now.since(since) >= HANDOVER_MS
    }

    /// Stops making statements before the removal is written.
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
        if !self.is_member() || now.since(since) >= LEAVE_MS {
            self.phase = Phase::Left;
            self.refuse_commands(out);
            out.push(NodeOutput::Left);
        }
    }
}
