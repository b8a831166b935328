//! Moves of keys that have ended at the upstreams before the row says so.
//!
//! Requests for moving keys wait. Without this news they would wait for the commit that ends the
//! move as well, and as long as the store is away.

use super::lines::ControlLine;
use super::task::ControlTask;
use crate::peer::PeerMessage;
use balsam_types::{FencingToken, Map, ServiceName, ServiceRanges, Set, TimeMs};
use std::sync::Arc;

/// Tokens in one datagram at most; one takes 8 bytes.
const FENCES_MAX: usize = 512;

/// Datagrams with this news that the leader sends in a second at most, so that a large deployment
/// hears less often instead of keeping the leader busy.
const NEWS_PER_S: u64 = 600;

impl ControlTask {
    /// Tells the other daemons which moving keys their next owners have, as the leader.
    pub(super) fn announce_moved(&mut self, now: TimeMs) {
        if self.moved.is_empty() {
            return;
        }
        let peers = self.book.peers(now, self.me.address);
        let pause_ms = peers.len() as u64 * 1_000 / NEWS_PER_S;
        if now.since(self.announced_at) < pause_ms {
            return;
        }
        self.announced_at = now;
        for (service, mut fences) in std::mem::take(&mut self.moved) {
            self.take_moved(service.clone(), &fences);
            // The others read the row once it is written.
            fences.truncate(FENCES_MAX);
            self.send(peers.clone(), PeerMessage::Moved { service, fences });
        }
    }

    /// Lets requests for moving keys go to their next owners.
    pub(super) fn take_moved(&mut self, service: ServiceName, fences: &[FencingToken]) {
        ControlLine::Moved {
            service: &service,
            moves: fences.len(),
        }
        .write();
        let known = self.view.moved.entry(service).or_default();
        Arc::make_mut(known).extend(fences);
        self.publish();
    }
}

/// Forgets the tokens of moves that have ended in the row as well.
///
/// News of a move may arrive before the row with the move itself.
pub(super) fn forget_settled(
    moved: &mut Map<ServiceName, Arc<Set<FencingToken>>>,
    ranges: &ServiceRanges,
) {
    let Some(known) = moved.get_mut(&ranges.service) else {
        return;
    };
    let moving = ranges.assignments.iter().filter(|found| found.is_moving());
    let moving: Set<FencingToken> = moving.map(|found| found.fence).collect();
    Arc::make_mut(known).retain(|fence| *fence >= ranges.next_fence || moving.contains(fence));
}
