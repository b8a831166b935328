//! Shows the other daemons and the request tasks how old the tables are.

use super::events::ControlEvent;
use super::task::ControlTask;
use crate::clock::now;
use crate::peer::PeerMessage;
use balsam_decide::feed::FeedTable;

impl ControlTask {
    /// Broadcasts what this daemon has read from the store, if that is due.
    pub(super) fn broadcast_reading(&mut self) {
        let is_leading = self.assigner.is_leading();
        if let Some(reading) = self.feed.take_broadcast(now(), is_leading) {
            let peers = self.peer_registry.peers(now(), self.this_daemon.address);
            self.send(peers, PeerMessage::Reading(reading));
        }
    }

    /// Publishes until when requests may be served from the published view.
    pub(super) fn publish_freshness(&mut self) {
        let now = now();
        let serves_until = self.feed.serves_until(now);
        self.serves_until.send_if_modified(|known| {
            let has_changed = *known != serves_until;
            *known = serves_until;
            has_changed
        });
        if !self.view.is_ready() {
            return;
        }
        let age_ms = self.feed.staleness_ms(now);
        if serves_until > now {
            if let Some(since) = self.outdated_since.take() {
                let held_ms = now.since(since);
                ControlEvent::Current { held_ms, age_ms }.emit();
            }
        } else if self.outdated_since.is_none() {
            self.outdated_since = Some(now);
            let mut tables = FeedTable::ALL.into_iter();
            ControlEvent::Outdated {
                age_ms,
                leader_silent_ms: self.feed.leader_silent_ms(now),
                is_behind: tables.any(|table| self.feed.is_behind(table)),
            }
            .emit();
        }
    }
}
