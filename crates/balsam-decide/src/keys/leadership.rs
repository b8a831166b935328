//! How a daemon becomes the leader, and how long it waits for what its predecessors may still
//! order.

use super::assigner::{Assigner, Followed, Lead, Pending};
use super::service::ServiceState;
use super::{AssignerOutput, Commit, DaemonIdentity, RowVersion, StoredLead};
use balsam_types::{Incarnation, TimeMs};

impl Assigner {
    pub(super) fn see_lead(&mut self, now: TimeMs, stored: StoredLead) {
        match &self.lead {
            Lead::Mine { version, .. } if stored.version <= *version => return,
            Lead::Other(known) if stored.version <= known.version => return,
            Lead::Stopped => return,
            Lead::Unread | Lead::Other(_) | Lead::Mine { .. } => {}
        }
        // A lost answer to this daemon's own commit is settled here.
        if stored.leader.as_ref() == Some(&self.me) {
            let inherited_until =
                now.after(self.timing.expiry_after_takeover_ms(self.longest_hold_ms()));
            self.lead_taken(now, stored.version, now, inherited_until);
            return;
        }
        // An earlier life of this daemon cannot come back.
        let is_mine = stored
            .leader
            .as_ref()
            .is_some_and(|leader| leader.daemon == self.me.daemon);
        let is_free = is_mine || stored.leader.is_none();
        self.followed = Followed {
            is_settled: false,
            has_ended: is_mine,
        };
        let wait_ms = if is_free {
            0
        } else {
            self.timing.leader_timeout_ms
        };
        self.take_at = now.after(wait_ms + self.stagger_ms);
        self.lead = Lead::Other(stored);
    }

    /// Waits for this daemon's turn once there are keys to assign.
    ///
    /// The configuration reaches all daemons of a new deployment at the same moment. Those whose
    /// turn comes later read the row first, and find the leader.
    pub(super) fn keys_known(&mut self, now: TimeMs) {
        let is_free = match &self.lead {
            Lead::Unread => true,
            Lead::Other(stored) => stored.leader.is_none(),
            Lead::Stopped | Lead::Mine { .. } => false,
        };
        if is_free {
            self.take_at = self.take_at.max(now.after(self.stagger_ms));
            self.reload_at = Some(self.take_at);
        }
    }

    pub(super) fn lead_taken(
        &mut self,
        now: TimeMs,
        version: RowVersion,
        confirmed_at: TimeMs,
        inherited_until: TimeMs,
    ) {
        self.predecessor = self.leader().cloned();
        self.predecessor_version = self.lead_version();
        self.lead = Lead::Mine {
            version,
            confirmed_at,
            inherited_until,
            inherited_hold_ms: self.longest_hold_ms(),
            have_ended: false,
            is_loaded: false,
        };
        if self.followed.has_ended {
            self.predecessor_ended(now);
        }
        self.confirm_at = now.after(self.timing.confirm_interval_ms);
        for service in self.services.values_mut() {
            service.start_over();
        }
        // The assignments are read once more: what the former leader wrote last must be known.
        self.reload_at = Some(now);
    }

    pub(super) fn heard(
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
        self.take_at = if should_replace {
            self.take_at.min(now.after(self.stagger_ms))
        } else {
            now.after(self.timing.leader_timeout_ms + self.stagger_ms)
        };
    }

    fn follows(&self, incarnation: Incarnation) -> bool {
        !self.is_leading()
            && self
                .leader()
                .is_some_and(|leader| leader.incarnation == incarnation)
    }

    /// Learns that a daemon has sent its last order.
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

    /// Learns from a daemon's new life that its former one has ended.
    pub(super) fn see_alive(&mut self, now: TimeMs, alive: &DaemonIdentity) {
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

    /// Makes ready to follow a leader that gives no more orders.
    pub(super) fn leader_ended(&mut self, now: TimeMs) {
        self.followed.has_ended = true;
        self.take_at = self.take_at.min(now.after(self.stagger_ms));
    }

    /// Shortens the wait for grants of a predecessor that has ended.
    ///
    /// Earlier leaders may still give orders unless they are known to have ended as well.
    pub(super) fn predecessor_ended(&mut self, now: TimeMs) {
        if let Lead::Mine {
            inherited_until,
            inherited_hold_ms,
            have_ended,
            ..
        } = &mut self.lead
            && self.followed.is_settled
        {
            self.predecessor = None;
            *have_ended = true;
            let expiry_after_stop_ms = self.timing.expiry_after_stop_ms(*inherited_hold_ms);
            *inherited_until = now.after(expiry_after_stop_ms).min(*inherited_until);
        }
    }

    /// Returns the longest hold of any grant, as far as the rows are known.
    pub(super) fn longest_hold_ms(&self) -> u64 {
        let long = self.services.values();
        let long = long.map(|service| service.stored().ranges.long_hold_ms);
        self.timing.hold_ms(long.max().unwrap_or(0))
    }

    /// Goes on with the rows as they were read after this daemon became the leader.
    ///
    /// The rows may tell of longer holds than were known when the lead was taken.
    pub(super) fn loaded(&mut self, now: TimeMs) {
        let longest_ms = self.longest_hold_ms();
        if let Lead::Mine {
            inherited_until,
            inherited_hold_ms,
            is_loaded: is_loaded @ false,
            ..
        } = &mut self.lead
        {
            let longest_ms = longest_ms.max(*inherited_hold_ms);
            let longer_ms = self.timing.grant_expiry_ms(longest_ms)
                - self.timing.grant_expiry_ms(*inherited_hold_ms);
            *inherited_until = inherited_until.after(longer_ms);
            *inherited_hold_ms = longest_ms;
            *is_loaded = true;
            self.followed.is_settled |= self.is_predecessor_alone();
            if self.followed.has_ended {
                self.predecessor_ended(now);
            }
        }
    }

    /// Returns whether this daemon is the leader and all leaders before it have ended, so that
    /// whoever follows it has to wait for its own orders only.
    pub(super) fn is_alone(&self, now: TimeMs) -> bool {
        self.is_settled(now)
            || matches!(
                self.lead,
                Lead::Mine {
                    have_ended: true,
                    ..
                }
            )
    }

    /// Returns whether the rows say that all leaders before the predecessor have ended.
    ///
    /// After all daemons have ended at once nobody else remembers.
    fn is_predecessor_alone(&self) -> bool {
        let version = self.predecessor_version.0;
        let stored = self.services.values().map(ServiceState::stored);
        let mut written = stored.filter(|stored| stored.version.0 > 0).peekable();
        version > 0
            && written.peek().is_some()
            && written.all(|stored| stored.ranges.settled_lead == version)
    }

    pub(super) fn confirmed(&mut self, now: TimeMs, asked_at: TimeMs, read: Option<RowVersion>) {
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
            Some(_) => {
                // The row is read again to learn who follows.
                self.lead = Lead::Unread;
                self.followed = Followed::default();
                self.reload_at = Some(now);
            }
            None => self.confirm_at = now.after(self.timing.confirm_interval_ms / 4),
        }
    }

    /// Returns when no grant of an earlier leader can hold any more.
    pub(super) fn inherited_until(&self) -> TimeMs {
        match self.lead {
            Lead::Mine {
                inherited_until, ..
            } => inherited_until,
            Lead::Unread | Lead::Stopped | Lead::Other(_) => TimeMs(u64::MAX),
        }
    }

    /// Returns when no order of an earlier leader can arrive any more.
    pub(super) fn stale_until(&self) -> TimeMs {
        let grant_expiry_ms = match self.lead {
            Lead::Mine {
                inherited_hold_ms, ..
            } => self.timing.grant_expiry_ms(inherited_hold_ms),
            Lead::Unread | Lead::Stopped | Lead::Other(_) => 0,
        };
        TimeMs(self.inherited_until().0.saturating_sub(grant_expiry_ms))
    }

    pub(super) fn take_lead(&mut self, now: TimeMs, stored: &StoredLead) -> Option<AssignerOutput> {
        let waits = now < self.take_at || self.pending.is_some() || self.reload_at.is_some();
        if waits || self.is_leaving || self.keyed.is_empty() {
            return None;
        }
        let is_first = stored.version == RowVersion(0);
        self.pending = Some(Pending::Lead {
            sent_at: now,
            is_first,
        });
        Some(AssignerOutput::Commit(Commit::TakeLead {
            expected: stored.version,
            leader: self.me.clone(),
        }))
    }
}
