//! Publication of the view for the request path.

use super::{Node, NodeOutput, PeerEpoch, View};
use balsam_types::{Set, TimeMs, UpstreamName};
use std::sync::Arc;

impl Node {
    /// Publishes the view if it has changed.
    pub(super) fn publish(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        let view = self.view(now);
        if self
            .published
            .as_ref()
            .is_some_and(|published| is_same(published, &view))
        {
            return;
        }
        let view = Arc::new(view);
        self.published = Some(Arc::clone(&view));
        out.push(NodeOutput::Publish(view));
    }

    fn view(&self, now: TimeMs) -> View {
        View {
            state: Arc::clone(&self.state),
            me: self.me.incarnation,
            lease_until: self.lease.until(),
            joined: self.is_member() && !self.has_withdrawn(),
            suspected: self.suspected.clone(),
            draining: self.draining(),
            granted: self.granted(now),
            peers: self.peer_epochs(now),
            table_ok: self.table.ok,
        }
    }

    fn draining(&self) -> Set<UpstreamName> {
        let upstreams = self.upstreams.iter();
        upstreams
            .filter(|(_, session)| session.issuer.draining())
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn granted(&self, now: TimeMs) -> Set<UpstreamName> {
        let upstreams = self.upstreams.iter();
        upstreams
            .filter(|(name, session)| {
                let fence_epoch = self.state.fence_epoch(name);
                session.issuer.is_granted(now, fence_epoch)
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn peer_epochs(&self, now: TimeMs) -> Vec<PeerEpoch> {
        let me = self.me.incarnation;
        let daemons = self.state.daemons.keys();
        daemons
            .map(|incarnation| PeerEpoch {
                incarnation: *incarnation,
                epoch: if *incarnation == me {
                    self.state.epoch
                } else {
                    self.membership.epoch_of(incarnation)
                },
                silent_ms: if *incarnation == me {
                    Some(0)
                } else {
                    self.membership.last_exchange_ms(now, incarnation)
                },
            })
            .collect()
    }
}

/// Compares two views except for the silence of the peers, which changes all the time.
fn is_same(old: &View, new: &View) -> bool {
    let epochs = |view: &View| -> Vec<_> {
        let peers = view.peers.iter();
        peers.map(|peer| (peer.incarnation, peer.epoch)).collect()
    };
    Arc::ptr_eq(&old.state, &new.state)
        && old.lease_until == new.lease_until
        && old.joined == new.joined
        && old.suspected == new.suspected
        && old.draining == new.draining
        && old.granted == new.granted
        && old.table_ok == new.table_ok
        && epochs(old) == epochs(new)
}
