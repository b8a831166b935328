//! The input of the placer's decisions.

use crate::control::ControlState;
use crate::lease::AdoptionTracker;
use crate::membership::Membership;
use balsam_types::control::DaemonInfo;
use balsam_types::{Incarnation, TimeMs};

/// What the local daemon knows at one point in time, as the input of the placer.
#[derive(Clone, Copy, Debug)]
pub struct PlacerContext<'a> {
    /// The time on the daemon's clock.
    pub now: TimeMs,
    /// The incarnation of the local daemon.
    pub me: Incarnation,
    /// Whether the local daemon is shutting down.
    pub leaving: bool,
    /// The control state at the epoch that the local daemon has adopted.
    pub state: &'a ControlState,
    /// Whether recent calls to the shared table were answered quickly.
    pub table_is_responsive: bool,
    /// The liveness of the peer daemons.
    pub membership: &'a Membership,
    /// The epochs that a majority of daemons has adopted.
    pub adoption: &'a AdoptionTracker,
}

impl PlacerContext<'_> {
    /// Returns whether `daemon` can be given work: it is neither suspected to have failed nor
    /// shutting down.
    pub fn is_available(&self, daemon: &DaemonInfo) -> bool {
        let incarnation = &daemon.incarnation;
        if *incarnation == self.me {
            return !self.leaving;
        }
        !self.membership.is_suspected(self.now, incarnation)
            && !self.membership.is_leaving(incarnation)
    }
}
