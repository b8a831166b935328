//! The daemons that keep the room of upstreams: chosen by the leader, adopted by the others.

use super::events::ControlEvent;
use super::task::ControlTask;
use crate::clock::now;
use crate::peer::PeerMessage;
use balsam_decide::room::{KeeperCandidate, KeeperDaemon, KeeperList};
use balsam_types::{TimeMs, ZoneName};
use std::net::SocketAddr;
use std::sync::Arc;

impl ControlTask {
    /// Returns the message with which this daemon offers to be a keeper, or `None` if the settings
    /// ask for no keepers.
    pub(super) fn capacity(&self) -> Option<PeerMessage> {
        let weight = self.keeper_weight?;
        Some(PeerMessage::Capacity {
            zone: self.zone.clone(),
            weight,
            is_leaving: self.is_leaving,
        })
    }

    /// Records the offer of a daemon. One that is new gets the present list at once.
    pub(super) fn handle_capacity(
        &mut self,
        from: SocketAddr,
        zone: ZoneName,
        weight: u16,
        is_leaving: bool,
    ) {
        let daemon = KeeperDaemon {
            address: from,
            zone,
            weight,
        };
        let candidate = KeeperCandidate { daemon, is_leaving };
        let is_new = self.keeper_election.heard(now(), candidate);
        let list = self.keeper_election.list();
        if is_new && self.assigner.is_leading() && !list.keepers.is_empty() {
            self.send(vec![from], PeerMessage::Keepers(list.clone()));
        }
    }

    /// Chooses the keepers as the leader, and publishes them if they are due.
    pub(super) fn publish_keepers(&mut self, now: TimeMs) {
        let Some(weight) = self.keeper_weight.filter(|_| self.assigner.is_leading()) else {
            return;
        };
        let daemon = KeeperDaemon {
            address: self.this_daemon.address,
            zone: self.zone.clone(),
            weight,
        };
        let is_leaving = self.is_leaving;
        let candidate = KeeperCandidate { daemon, is_leaving };
        self.keeper_election.heard(now, candidate);
        let lead = self.assigner.lead_version().0;
        if let Some(list) = self.keeper_election.publish(now, lead) {
            let peers = self.peer_registry.peers(now, self.this_daemon.address);
            self.send(peers, PeerMessage::Keepers(list));
            self.publish_keeper_list();
        }
    }

    /// Adopts the list of the leader.
    pub(super) fn adopt_keepers(&mut self, list: KeeperList) {
        if self.keeper_election.adopt(list) {
            self.publish_keeper_list();
        }
    }

    fn publish_keeper_list(&mut self) {
        let list = self.keeper_election.list();
        if *list == *self.view.keepers {
            return;
        }
        ControlEvent::Keepers {
            lead: list.lead,
            number: list.number,
            keepers: list.keepers.len(),
        }
        .emit();
        self.view.keepers = Arc::new(list.clone());
        self.publish();
    }
}
