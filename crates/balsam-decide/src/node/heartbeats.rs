//! Heartbeats, their replies and the fetching of changes from peers.

use super::output::{NodeOutput, PeerEndpoint, RequestId};
use super::{Heartbeat, HeartbeatReply, Node};
use balsam_types::control::DaemonInfo;
use balsam_types::timing::HEARTBEAT_INTERVAL_MS;
use balsam_types::{Incarnation, Round, TimeMs};
use std::net::SocketAddr;

/// A peer that was heard from within this time needs no heartbeat while table reads renew the
/// lease, in milliseconds.
///
/// With half the period, exactly one daemon of a pair keeps sending heartbeats to the other, so
/// that both still hear from each other in every period.
const RECENTLY_HEARD_MS: u64 = HEARTBEAT_INTERVAL_MS / 2;

/// The time-out of a request for changes, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 300;

impl Node {
    /// Starts a lease round and sends its heartbeats, if they are due.
    pub(super) fn heartbeat(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        if now < self.next_heartbeat_at || !self.is_member() || self.has_withdrawn() {
            return;
        }
        self.next_heartbeat_at = now.after(HEARTBEAT_INTERVAL_MS);
        let Some(roster) = self.state.roster() else {
            return;
        };
        let round = self.lease.begin_round(now, self.state.epoch, roster);
        let needing = |peer: &&DaemonInfo| self.needs_heartbeat(now, peer);
        let peers: Vec<DaemonInfo> = self.peers().filter(needing).cloned().collect();
        for peer in peers {
            self.send_heartbeat(now, &peer, round, out);
        }
        if self.is_placer() {
            let reports = self.reports(now);
            self.placer
                .record_reports(now, self.me.incarnation, reports);
        }
    }

    /// Returns whether a peer must get a heartbeat in this round.
    ///
    /// Acknowledgements are needed only when table reads do not renew the lease. Otherwise a
    /// heartbeat is sent to announce an epoch, reports or a shutdown, or to show that this daemon
    /// is alive.
    fn needs_heartbeat(&self, now: TimeMs, peer: &DaemonInfo) -> bool {
        let incarnation = &peer.incarnation;
        let knows_epoch = self.membership.epoch_of(incarnation) == self.state.epoch;
        let heard = self.membership.silence_ms(now, incarnation) < RECENTLY_HEARD_MS;
        let reports_to = self.state.placer == Some(*incarnation);
        !self.table.is_fresh(now) || !knows_epoch || !heard || reports_to || self.is_leaving()
    }

    /// Tells the author of a change and the placer that this daemon has adopted its epoch.
    pub(super) fn announce_epoch(
        &mut self,
        now: TimeMs,
        author: Option<Incarnation>,
        out: &mut Vec<NodeOutput>,
    ) {
        if !self.is_member() || self.has_withdrawn() {
            return;
        }
        let is_waiting = |peer: &&DaemonInfo| {
            Some(peer.incarnation) == author || Some(peer.incarnation) == self.state.placer
        };
        let peers: Vec<DaemonInfo> = self.peers().filter(is_waiting).cloned().collect();
        for peer in peers {
            self.send_heartbeat(now, &peer, Round(0), out);
        }
    }

    /// Sends a heartbeat to the placer at once, because the status of an upstream has changed.
    pub(super) fn report_now(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        if self.is_placer() {
            let reports = self.reports(now);
            self.placer
                .record_reports(now, self.me.incarnation, reports);
            self.due.decide = true;
            return;
        }
        self.announce_epoch(now, None, out);
    }

    fn peers(&self) -> impl Iterator<Item = &DaemonInfo> {
        let me = self.me.incarnation;
        let daemons = self.state.daemons.values();
        daemons.filter(move |daemon| daemon.incarnation != me)
    }

    fn send_heartbeat(
        &self,
        now: TimeMs,
        peer: &DaemonInfo,
        round: Round,
        out: &mut Vec<NodeOutput>,
    ) {
        let to_placer = self.state.placer == Some(peer.incarnation);
        let heartbeat = Heartbeat {
            from: self.me.clone(),
            epoch: self.state.epoch,
            round,
            table_ok: self.table.ok,
            leaving: self.is_leaving(),
            reports: if to_placer {
                self.reports(now)
            } else {
                Vec::new()
            },
        };
        out.push(NodeOutput::SendHeartbeat {
            to: endpoint(peer),
            heartbeat,
        });
    }

    /// Records a heartbeat of a peer and replies to it, unless this daemon is leaving the roster.
    pub(super) fn ack(
        &mut self,
        now: TimeMs,
        request: RequestId,
        heartbeat: Heartbeat,
        out: &mut Vec<NodeOutput>,
    ) {
        let from = heartbeat.from.incarnation;
        if self.membership.heard(now, from, heartbeat.epoch) {
            self.observe_adoption(now);
        }
        self.membership.set_leaving(from, heartbeat.leaving);
        if self.placer.record_reports(now, from, heartbeat.reports) {
            self.due.decide = true;
        }
        if self.has_withdrawn() {
            return;
        }
        let reply = HeartbeatReply {
            incarnation: self.me.incarnation,
            epoch: self.state.epoch,
            round: heartbeat.round,
        };
        out.push(NodeOutput::AnswerHeartbeat { request, reply });
        if heartbeat.epoch > self.state.epoch {
            self.fetch_changes(now, endpoint(&heartbeat.from), out);
        }
    }

    /// Records a peer's reply and counts it as an acknowledgement of the lease round.
    pub(super) fn heartbeat_replied(
        &mut self,
        now: TimeMs,
        reply: HeartbeatReply,
        out: &mut Vec<NodeOutput>,
    ) {
        let from = reply.incarnation;
        let newer = if reply.round == self.lease.round() {
            self.membership.heard(now, from, reply.epoch)
        } else {
            self.membership.learn_epoch(from, reply.epoch)
        };
        if newer {
            self.observe_adoption(now);
        }
        if self.has_withdrawn() {
            return;
        }
        self.lease.acknowledged(now, from, reply.epoch, reply.round);
        if reply.epoch > self.state.epoch
            && let Some(peer) = self.state.daemons.get(&from)
        {
            let peer = endpoint(peer);
            self.fetch_changes(now, peer, out);
        }
    }

    /// Requests changes from a peer that is ahead and makes a table read due as well.
    fn fetch_changes(&mut self, now: TimeMs, from: PeerEndpoint, out: &mut Vec<NodeOutput>) {
        if now < self.fetching_until {
            return;
        }
        self.fetching_until = now.after(FETCH_TIMEOUT_MS);
        self.table.read_soon(now);
        out.push(NodeOutput::FetchChanges {
            from,
            after: self.state.epoch,
        });
    }

    /// Marks the peers as replaced that had the address of a new incarnation.
    pub(super) fn peer_replaced(&mut self, address: SocketAddr, incarnation: Incarnation) {
        let replaced: Vec<Incarnation> = self
            .peers()
            .filter(|peer| peer.peer_address == address && peer.incarnation != incarnation)
            .map(|peer| peer.incarnation)
            .collect();
        for peer in replaced {
            self.membership.set_replaced(peer);
        }
        self.due.follow = true;
        self.due.decide = true;
    }
}

const fn endpoint(daemon: &DaemonInfo) -> PeerEndpoint {
    PeerEndpoint {
        incarnation: daemon.incarnation,
        address: daemon.peer_address,
    }
}
