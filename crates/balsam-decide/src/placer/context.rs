//! What the placer decides from.

use crate::control::ControlState;
use crate::lease::AdoptionTracker;
use crate::membership::Membership;
use balsam_types::control::DaemonInfo;
use balsam_types::{Incarnation, TimeMs};

/// The knowledge of the placer's daemon at one moment.
#[derive(Clone, Copy, Debug)]
pub struct PlacerContext<'a> {
    /// The time on the daemon's clock.
    pub now: TimeMs,
    /// The daemon.
    pub me: Incarnation,
    /// Whether the daemon is stopping.
    pub leaving: bool,
    /// The control state.
    pub state: &'a ControlState,
    /// Whether the table has answered quickly of late.
    pub table_is_responsive: bool,
    /// The peers.
    pub membership: &'a Membership,
    /// The epochs that majorities have adopted.
    pub adoption: &'a AdoptionTracker,
}

impl PlacerContext<'_> {
    /// Returns whether `daemon` can take tasks: it is neither suspected nor stopping.
    pub fn is_available(&self, daemon: &DaemonInfo) -> bool {
        let incarnation = &daemon.incarnation;
        if *incarnation == self.me {
            return !self.leaving;
        }
        !self.membership.is_suspected(self.now, incarnation)
            && !self.membership.is_leaving(incarnation)
    }
}
