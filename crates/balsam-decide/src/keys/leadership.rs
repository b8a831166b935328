//! Election of the leader, and how long a new leader waits for grants of earlier leaders to expire.

use super::assigner::{Assigner, FollowedLeader, Lead, PendingCommit};
use super::service::ServiceState;
use super::{AssignerOutput, Commit, DaemonIdentity, RowVersion, StoredLead};
use balsam_types::{Incarnation, TimeMs};

impl Assigner {
    /// Adopts a newer version of the leader's row.
    pub(super) fn observe_lead(&mut self, now: TimeMs, stored: StoredLead) {
        self.enter_era(now, stored.version.era());
        match &self.lead {
            Lead::Mine { version, .. } if stored.version <= *version => return,
            Lead::Other(known) if stored.version <= known.version => return,
            Lead::Stopped => return,
            // A heartbeat tells as much as the row that was to be read.
            Lead::Unread => self.reload_at = None,
            Lead::Other(_) | Lead::Mine { .. } => {}
        }
        // This daemon's own commit succeeded, although its result was lost. In a later era the row
        // may be from before the restoration, so this daemon must be elected again.
        if stored.leader.as_ref() == Some(&self.me) && !self.era.has_changed {
            self.become_leader(now, stored.version, now, false);
            return;
        }
        // An earlier incarnation of this daemon has ended and sends no more orders.
        let is_own = stored
            .leader
            .as_ref()
            .is_some_and(|leader| leader.daemon == self.me.daemon);
        let is_vacant = is_own || stored.leader.is_none();
        self.followed = FollowedLeader {
            since: now,
            is_settled: false,
            has_ended: is_own,
        };
        let wait_ms = if is_vacant {
            0
        } else {
            self.timing.leader_timeout_ms
        };
        self.election_at = if self.should_lead_again(now) {
            // This daemon can renew the grants that are in force, and no other one can.
            now
        } else if stored.version.is_absent() && self.era.has_changed {
            now.after(self.timing.leader_timeout_ms + self.stagger_ms)
        } else if stored.version.is_absent() {
            self.first_turn_at.max(now)
        } else {
            now.after(wait_ms + self.stagger_ms)
        };
        self.lead = Lead::Other(stored);
    }

    /// Returns when to read the row once more before this daemon tries to become the first leader of
    /// a deployment, or `None` if there is a leader or this daemon's turn has come.
    ///
    /// All daemons of a new deployment start at the same moment. Those with a longer stagger find
    /// the leader in the row when their turn comes.
    pub(super) fn first_turn_after(&self, now: TimeMs) -> Option<TimeMs> {
        let has_no_leader = matches!(&self.lead, Lead::Other(stored) if stored.version.is_absent());
        (has_no_leader && now < self.first_turn_at).then_some(self.first_turn_at)
    }

    /// Starts a term as leader, after the store has accepted this daemon's commit.
    pub(super) fn become_leader(
        &mut self,
        now: TimeMs,
        version: RowVersion,
        confirmed_at: TimeMs,
        is_first: bool,
    ) {
        self.enter_era(now, version.era());
        // The first leader of a deployment has no predecessor.
        let expiry_after_takeover_ms = if is_first {
            0
        } else {
            self.timing.expiry_after_takeover_ms(self.longest_hold_ms())
        };
        let inherited_grants_until = now.after(expiry_after_takeover_ms);
        self.predecessor = self.leader().cloned();
        self.predecessor_version = self.lead_version();
        self.lead = Lead::Mine {
            version,
            confirmed_at,
            inherited_grants_until,
            inherited_hold_ms: self.longest_hold_ms(),
            have_predecessors_ended: false,
            has_loaded_rows: false,
            is_first,
            restored: None,
        };
        if self.followed.has_ended {
            self.predecessor_ended(now);
        }
        self.confirm_at = now.after(self.timing.confirm_interval_ms);
        if !self.should_lead_again(now) {
            for service in self.services.values_mut() {
                service.discard_progress();
            }
        }
        // The rows are read again, because the previous leader may have committed assignments that
        // this daemon does not know.
        self.reload_at = Some(now);
    }

    /// Returns when this daemon learned of the election of the leader that it follows.
    pub const fn leader_since(&self) -> TimeMs {
        self.followed.since
    }

    /// Postpones the next attempt to become leader, or advances it if the leader should be replaced.
    pub(super) fn heartbeat_received(
        &mut self,
        now: TimeMs,
        incarnation: Incarnation,
        is_settled: bool,
        should_replace: bool,
    ) {
        if !self.follows(incarnation) {
            return;
        }
        self.followed.is_settled = is_settled;
        self.election_at = if should_replace {
            self.election_at.min(now.after(self.stagger_ms))
        } else {
            now.after(self.timing.leader_timeout_ms + self.stagger_ms)
        };
    }

    /// Returns whether this daemon follows the leader in this incarnation.
    fn follows(&self, incarnation: Incarnation) -> bool {
        !self.is_leading()
            && self
                .leader()
                .is_some_and(|leader| leader.incarnation == incarnation)
    }

    /// Handles the news that a daemon has sent its last order.
    pub(super) fn resigned(&mut self, now: TimeMs, incarnation: Incarnation) {
        let is_predecessor = self
            .predecessor
            .as_ref()
            .is_some_and(|leader| leader.incarnation == incarnation);
        if self.follows(incarnation) {
            self.leader_ended(now);
        } else if self.is_leading() && is_predecessor {
            self.predecessor_ended(now);
        }
    }

    /// Handles the news of a daemon's current incarnation, which shows that earlier incarnations
    /// have ended.
    pub(super) fn observe_daemon(&mut self, now: TimeMs, alive: &DaemonIdentity) {
        let is_former = |leader: &DaemonIdentity| {
            leader.daemon == alive.daemon && leader.incarnation != alive.incarnation
        };
        if !self.is_leading() && self.leader().is_some_and(is_former) {
            self.leader_ended(now);
        }
        if self.is_leading() && self.predecessor.as_ref().is_some_and(is_former) {
            self.predecessor_ended(now);
        }
    }

    /// Schedules an attempt to replace a leader that sends no more orders.
    pub(super) fn leader_ended(&mut self, now: TimeMs) {
        self.followed.has_ended = true;
        self.election_at = self.election_at.min(now.after(self.stagger_ms));
    }

    /// Shortens the wait for grants of the predecessor, which sends no more orders.
    ///
    /// This is safe only if the leaders before the predecessor are known to have ended as well;
    /// otherwise they may still give orders.
    pub(super) fn predecessor_ended(&mut self, now: TimeMs) {
        if let Lead::Mine {
            inherited_grants_until,
            inherited_hold_ms,
            have_predecessors_ended,
            restored: None,
            ..
        } = &mut self.lead
            && self.followed.is_settled
        {
            self.predecessor = None;
            *have_predecessors_ended = true;
            let expiry_after_stop_ms = self.timing.expiry_after_stop_ms(*inherited_hold_ms);
            *inherited_grants_until = now.after(expiry_after_stop_ms).min(*inherited_grants_until);
        }
    }

    /// Returns the longest duration of any grant, as far as the rows are known.
    pub(super) fn longest_hold_ms(&self) -> u64 {
        let long_holds = self.services.values();
        let long_holds = long_holds.map(|service| service.stored().ranges.long_hold_ms);
        self.timing.hold_ms(long_holds.max().unwrap_or(0))
    }

    /// Continues with the rows that were read after this daemon became the leader.
    ///
    /// The rows may show that grants last longer than was known when this daemon became the leader.
    pub(super) fn rows_loaded(&mut self, now: TimeMs) {
        let restrictions = self.restrictions(now);
        // Rows that are lost may have permitted the longest duration.
        let longest_ms = match restrictions {
            Some(_) => self.longest_hold_ms().max(self.timing.hold_max_ms),
            None => self.longest_hold_ms(),
        };
        let expiry_after_takeover_ms = self.timing.expiry_after_takeover_ms(longest_ms);
        if let Lead::Mine {
            inherited_grants_until,
            inherited_hold_ms,
            have_predecessors_ended,
            has_loaded_rows: has_loaded_rows @ false,
            is_first,
            restored,
            ..
        } = &mut self.lead
        {
            if !*is_first && restrictions.is_some() {
                *restored = restrictions;
                *inherited_grants_until = now.after(expiry_after_takeover_ms);
                *inherited_hold_ms = longest_ms;
                *have_predecessors_ended = false;
                if self.era.ended_term.take().is_none() {
                    for service in self.services.values_mut() {
                        service.discard_progress();
                    }
                }
            }
            let longest_ms = longest_ms.max(*inherited_hold_ms);
            let extension_ms = self.timing.grant_expiry_ms(longest_ms)
                - self.timing.grant_expiry_ms(*inherited_hold_ms);
            *inherited_grants_until = inherited_grants_until.after(extension_ms);
            *inherited_hold_ms = longest_ms;
            *has_loaded_rows = true;
            self.followed.is_settled |= self.had_leaders_before_predecessor_ended();
            if self.followed.has_ended {
                self.predecessor_ended(now);
            }
        }
    }

    /// Returns whether this daemon is the leader and all leaders before it have ended, so that its
    /// successor needs to wait for its grants only.
    pub(super) fn have_earlier_leaders_ended(&self, now: TimeMs) -> bool {
        self.is_settled(now)
            || matches!(
                self.lead,
                Lead::Mine {
                    have_predecessors_ended: true,
                    ..
                }
            )
    }

    /// Returns whether the rows show that all leaders before the predecessor had ended.
    ///
    /// After a restart of all daemons, no daemon remembers this.
    fn had_leaders_before_predecessor_ended(&self) -> bool {
        let version = self.predecessor_version.0;
        let stored = self.services.values().map(ServiceState::stored);
        let mut written = stored.filter(|stored| stored.version.0 > 0).peekable();
        version > 0
            && written.peek().is_some()
            && written.all(|stored| stored.ranges.settled_lead == version)
    }

    /// Extends this daemon's right to give orders if its row is still in the store, and ends its
    /// term as leader otherwise.
    pub(super) fn confirmed(&mut self, now: TimeMs, asked_at: TimeMs, read: Option<RowVersion>) {
        self.enter_era(now, read.unwrap_or_default().era());
        let Lead::Mine {
            version,
            confirmed_at,
            ..
        } = &mut self.lead
        else {
            return;
        };
        match read {
            Some(read) if read == *version => *confirmed_at = asked_at.max(*confirmed_at),
            // The answer was given before the store was restored.
            Some(read) if read.era() < version.era() => {
                self.confirm_at = now.after(self.timing.confirm_interval_ms / 4);
            }
            Some(_) => {
                // Another daemon has become the leader; the row is read again to learn which.
                self.lead = Lead::Unread;
                self.followed = FollowedLeader::default();
                self.reload_at = Some(now);
            }
            None => self.confirm_at = now.after(self.timing.confirm_interval_ms / 4),
        }
    }

    /// Returns when all grants of earlier leaders have expired.
    pub(super) fn inherited_grants_until(&self) -> TimeMs {
        match self.lead {
            Lead::Mine {
                inherited_grants_until,
                ..
            } => inherited_grants_until,
            Lead::Unread | Lead::Stopped | Lead::Other(_) => TimeMs(u64::MAX),
        }
    }

    /// Returns when orders of earlier leaders can no longer arrive at an upstream.
    ///
    /// After a restoration a range may have an owner that the rows do not name, and that an order
    /// which arrived before this time let hold it. A release of the known owner is not conclusive
    /// until its grants have expired too.
    pub(super) fn stale_orders_until(&self) -> TimeMs {
        let grant_expiry_ms = match self.lead {
            Lead::Mine {
                inherited_hold_ms,
                restored: None,
                ..
            } => self.timing.grant_expiry_ms(inherited_hold_ms),
            Lead::Mine { .. } | Lead::Unread | Lead::Stopped | Lead::Other(_) => 0,
        };
        TimeMs(
            self.inherited_grants_until()
                .0
                .saturating_sub(grant_expiry_ms),
        )
    }

    /// Returns a commit that makes this daemon the leader, if an attempt is due and possible.
    pub(super) fn take_lead(&mut self, now: TimeMs, stored: &StoredLead) -> Option<AssignerOutput> {
        let waits = now < self.election_at || self.pending.is_some() || self.reload_at.is_some();
        if waits || self.is_leaving {
            return None;
        }
        let is_first = self.is_first_leader(stored.version);
        self.pending = Some(PendingCommit::Lead {
            sent_at: now,
            is_first,
        });
        Some(AssignerOutput::Commit(Commit::TakeLead {
            expected: stored.version,
            leader: self.me.clone(),
        }))
    }
}
