//! Key moves that are complete at the upstreams but not yet committed to the store.
//!
//! Requests for keys that are being moved are held back. Without these announcements they would
//! also wait for the commit that ends the move, for as long as the store is unavailable.

use super::events::ControlEvent;
use super::task::ControlTask;
use crate::peer::PeerMessage;
use balsam_types::{FencingToken, Map, ServiceName, ServiceRanges, Set, TimeMs};
use std::sync::Arc;

/// Upper limit on fencing tokens in one datagram. Each takes 8 bytes.
const FENCES_MAX: usize = 512;

/// Upper limit on these announcements, in datagrams per second. In a large deployment the leader
/// announces less often, so that this does not fill its processor time.
const DATAGRAMS_PER_S_MAX: u64 = 600;

impl ControlTask {
    /// Announces completed moves to the other daemons. Only the leader has any.
    pub(super) fn announce_moved(&mut self, now: TimeMs) {
        if self.moved.is_empty() {
            return;
        }
        let peers = self.peer_registry.peers(now, self.this_daemon.address);
        let pause_ms = peers.len() as u64 * 1_000 / DATAGRAMS_PER_S_MAX;
        if now.since(self.moves_announced_at) < pause_ms {
            return;
        }
        self.moves_announced_at = now;
        for (service, mut fences) in std::mem::take(&mut self.moved) {
            self.apply_moved(service.clone(), &fences);
            // The other daemons learn of the remaining moves from the row once it is written.
            fences.truncate(FENCES_MAX);
            self.send(peers.clone(), PeerMessage::Moved { service, fences });
        }
    }

    /// Routes requests for keys of completed moves to the next owners.
    pub(super) fn apply_moved(&mut self, service: ServiceName, fences: &[FencingToken]) {
        ControlEvent::Moved {
            service: &service,
            moves: fences.len(),
        }
        .emit();
        let known = self.view.moved.entry(service).or_default();
        Arc::make_mut(known).extend(fences);
        self.publish();
    }
}

/// Removes the tokens of moves whose end is committed.
///
/// Tokens from `next_fence` on are kept, because an announcement may arrive before the row that
/// contains the move.
pub(super) fn remove_committed(
    moved: &mut Map<ServiceName, Arc<Set<FencingToken>>>,
    ranges: &ServiceRanges,
) {
    let Some(known) = moved.get_mut(&ranges.service) else {
        return;
    };
    let moving = ranges
        .assignments
        .iter()
        .filter(|assignment| assignment.is_moving());
    let moving: Set<FencingToken> = moving.map(|assignment| assignment.fence).collect();
    Arc::make_mut(known).retain(|fence| *fence >= ranges.next_fence || moving.contains(fence));
}
